//! Message bodies that can be replayed for another attempt, or that report how they ended.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use axum::body::Body;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::{runtime::Handle, time};

/// The largest request body in bytes that is kept for another attempt.
pub(crate) const REPLAY_LIMIT: usize = 64 * 1024;

/// The position of the reader that goes on behind [`REPLAY_LIMIT`].
const SPENT_READER: usize = usize::MAX;

/// The bytes that are read of a body that nobody wants; the connection closes behind them.
const DRAIN_LIMIT: usize = 4 << 20;

/// The time in which such a body must arrive.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// How a streamed body ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole body arrived.
    Complete,
    /// The sender stopped before the end.
    Cut,
    /// The receiver went away before the end.
    Dropped,
}

/// A body that reports once how it ended.
pub(crate) struct Tracked<F: FnOnce(End)> {
    inner: Body,
    report: Option<F>,
}

impl<F: FnOnce(End) + Unpin> Tracked<F> {
    pub(crate) fn new(inner: Body, report: F) -> Tracked<F> {
        Tracked { inner, report: Some(report) }
    }

    fn finish(&mut self, end: End) {
        if let Some(report) = self.report.take() {
            report(end);
        }
    }
}

impl<F: FnOnce(End) + Unpin> HttpBody for Tracked<F> {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.finish(End::Complete),
            Some(Err(_)) => self.finish(End::Cut),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F: FnOnce(End)> Drop for Tracked<F> {
    fn drop(&mut self) {
        // A server does not poll past the last byte of a body of known length.
        let end = if self.inner.is_end_stream() { End::Complete } else { End::Dropped };
        if let Some(report) = self.report.take() {
            report(end);
        }
    }
}

/// A request body that keeps what it has yielded, up to [`REPLAY_LIMIT`], so that another attempt can send it
/// again.
#[derive(Clone)]
pub(crate) struct Replay {
    shared: Arc<Mutex<Source>>,
}

struct Source {
    body: Body,
    kept: Vec<Bytes>,
    size: usize,
    /// The body is larger than the limit, so that only the first reader can go on.
    is_spent: bool,
    state: SourceState,
    /// The reader that waits for the next frame; several attempts may read at the same time.
    waiting: Vec<Waker>,
}

#[derive(Copy, Clone, PartialEq, Eq)]
enum SourceState {
    Open,
    Ended,
    Failed,
}

impl Replay {
    pub(crate) fn new(body: Body) -> Replay {
        let state = if body.is_end_stream() { SourceState::Ended } else { SourceState::Open };
        let source =
            Source { body, kept: Vec::new(), size: 0, is_spent: false, state, waiting: Vec::new() };
        Replay { shared: Arc::new(Mutex::new(source)) }
    }

    /// Returns whether another attempt can send the whole body.
    pub(crate) fn can_replay(&self) -> bool {
        let source = self.lock();
        !source.is_spent && source.state != SourceState::Failed
    }

    /// Returns whether the sender of the body stopped before its end.
    pub(crate) fn has_failed(&self) -> bool {
        self.lock().state == SourceState::Failed
    }

    /// Returns a body that starts at the beginning.
    pub(crate) fn reader(&self) -> Body {
        let hint = {
            let source = self.lock();
            if source.state == SourceState::Ended && source.size == 0 {
                return Body::empty();
            }
            let mut hint = SizeHint::new();
            if let Some(left) = source.body.size_hint().exact() {
                hint.set_exact(left + source.size as u64);
            }
            hint
        };
        Body::new(Reader { replay: self.clone(), next: 0, left: hint.exact() })
    }

    fn lock(&self) -> MutexGuard<'_, Source> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Reader {
    replay: Replay,
    next: usize,
    left: Option<u64>,
}

impl Reader {
    fn yield_data(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// The request body ended early, or can no longer be sent from its beginning.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the request body is not complete"))]
pub(crate) struct BodyCut;

impl HttpBody for Reader {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        let replay = self.replay.clone();
        let mut source = replay.lock();
        if let Some(data) = source.kept.get(self.next).cloned() {
            self.next += 1;
            return self.yield_data(data);
        }
        if source.is_spent && self.next != SPENT_READER {
            return Poll::Ready(Some(Err(BodyCut)));
        }
        match source.state {
            SourceState::Open => {}
            SourceState::Ended => return Poll::Ready(None),
            SourceState::Failed => return Poll::Ready(Some(Err(BodyCut))),
        }
        let frame = match Pin::new(&mut source.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                source.waiting.push(cx.waker().clone());
                return Poll::Pending;
            }
        };
        for waker in source.waiting.drain(..) {
            waker.wake();
        }
        match frame {
            None => {
                source.state = SourceState::Ended;
                Poll::Ready(None)
            }
            Some(Err(_)) => {
                source.state = SourceState::Failed;
                Poll::Ready(Some(Err(BodyCut)))
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    self.next = source.keep(&data, self.next);
                    self.yield_data(data)
                }
                // Trailers of requests are not passed on.
                Err(_) => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        let source = self.replay.lock();
        let is_whole =
            self.next == SPENT_READER || (!source.is_spent && self.next >= source.kept.len());
        source.state == SourceState::Ended && is_whole
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

impl Source {
    /// Keeps a frame if the limit allows, and returns the position of the reader behind it.
    fn keep(&mut self, data: &Bytes, position: usize) -> usize {
        self.size += data.len();
        if self.size > REPLAY_LIMIT {
            // The reader that crosses the limit is the only one that has seen every frame.
            self.kept = Vec::new();
            self.is_spent = true;
            return SPENT_READER;
        }
        self.kept.push(data.clone());
        position + 1
    }
}

/// A request body of HTTP/1 whose rest is read when nobody wants it any more.
///
/// A server that closes a connection with unread data resets it, and the sender may lose an answer that came
/// before the end of its body.
pub(crate) struct Drained {
    inner: Option<Body>,
}

impl Drained {
    pub(crate) fn new(inner: Body) -> Drained {
        Drained { inner: Some(inner) }
    }
}

impl HttpBody for Drained {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let Some(inner) = &mut self.inner else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(inner).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.inner = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for Drained {
    fn drop(&mut self) {
        if let Some(body) = self.inner.take().filter(|body| !body.is_end_stream())
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(time::timeout(DRAIN_TIME, drain(body)));
        }
    }
}

async fn drain(mut body: Body) {
    let mut left = DRAIN_LIMIT;
    while let Some(Ok(frame)) = body.frame().await {
        match left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

#[cfg(test)]
mod tests;
