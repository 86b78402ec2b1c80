//! Bodies that can be replayed for another attempt, report how they ended, or drain their connection.

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

/// The maximum size in bytes of a request body that is buffered for another attempt.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The position of the only reader that can continue beyond [`MAX_BUFFERED_BYTES`].
const PAST_BUFFER: usize = usize::MAX;

/// The maximum number of bytes that are drained from an unread body; the connection is closed after them.
const MAX_DRAIN_BYTES: usize = 4 << 20;

/// The maximum time for draining an unread body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// How a streamed body ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The body was read to its end.
    Complete,
    /// The sender stopped before the end of the body.
    Incomplete,
    /// The receiver disconnected before the end of the body.
    Dropped,
}

/// A body that reports once how it ended.
pub(crate) struct Tracked<F: FnOnce(BodyEnd)> {
    inner: Body,
    report: Option<F>,
}

impl<F: FnOnce(BodyEnd) + Unpin> Tracked<F> {
    pub(crate) fn new(inner: Body, report: F) -> Tracked<F> {
        Tracked { inner, report: Some(report) }
    }

    fn finish(&mut self, end: BodyEnd) {
        if let Some(report) = self.report.take() {
            report(end);
        }
    }
}

impl<F: FnOnce(BodyEnd) + Unpin> HttpBody for Tracked<F> {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.finish(BodyEnd::Complete),
            Some(Err(_)) => self.finish(BodyEnd::Incomplete),
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

impl<F: FnOnce(BodyEnd)> Drop for Tracked<F> {
    fn drop(&mut self) {
        // A server does not poll past the last byte of a body of known length.
        let end = if self.inner.is_end_stream() { BodyEnd::Complete } else { BodyEnd::Dropped };
        if let Some(report) = self.report.take() {
            report(end);
        }
    }
}

/// A request body that buffers the data read so far, up to [`MAX_BUFFERED_BYTES`], so that another attempt can send it
/// again.
#[derive(Clone)]
pub(crate) struct ReplayableBody {
    shared: Arc<Mutex<Source>>,
}

struct Source {
    body: Body,
    buffered: Vec<Bytes>,
    size: usize,
    /// Whether the body exceeds the limit, so that only the reader that crossed the limit can continue.
    is_consumed: bool,
    state: SourceState,
    /// The readers that wait for the next frame; several attempts may read at the same time.
    waiting: Vec<Waker>,
}

#[derive(Copy, Clone, PartialEq, Eq)]
enum SourceState {
    Open,
    Ended,
    Failed,
}

impl ReplayableBody {
    pub(crate) fn new(body: Body) -> ReplayableBody {
        let state = if body.is_end_stream() { SourceState::Ended } else { SourceState::Open };
        let source = Source {
            body,
            buffered: Vec::new(),
            size: 0,
            is_consumed: false,
            state,
            waiting: Vec::new(),
        };
        ReplayableBody { shared: Arc::new(Mutex::new(source)) }
    }

    /// Returns whether another attempt can send the body from its beginning.
    pub(crate) fn can_replay(&self) -> bool {
        let source = self.lock();
        !source.is_consumed && source.state != SourceState::Failed
    }

    /// Returns whether the body failed before its end.
    pub(crate) fn has_failed(&self) -> bool {
        self.lock().state == SourceState::Failed
    }

    /// Returns a body that reads from the beginning.
    pub(crate) fn reader(&self) -> Body {
        let hint = {
            let source = self.lock();
            if source.state == SourceState::Ended && source.size == 0 {
                return Body::empty();
            }
            let mut hint = SizeHint::new();
            if let Some(remaining) = source.body.size_hint().exact() {
                hint.set_exact(remaining + source.size as u64);
            }
            hint
        };
        Body::new(Reader { replay: self.clone(), next: 0, remaining: hint.exact() })
    }

    fn lock(&self) -> MutexGuard<'_, Source> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Reader {
    replay: ReplayableBody,
    next: usize,
    remaining: Option<u64>,
}

impl Reader {
    fn yield_data(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        self.remaining =
            self.remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// The request body ended early, or can no longer be sent from its beginning.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the request body is not complete"))]
pub(crate) struct IncompleteBody;

impl HttpBody for Reader {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let replay = self.replay.clone();
        let mut source = replay.lock();
        if let Some(data) = source.buffered.get(self.next).cloned() {
            self.next += 1;
            return self.yield_data(data);
        }
        if source.is_consumed && self.next != PAST_BUFFER {
            return Poll::Ready(Some(Err(IncompleteBody)));
        }
        match source.state {
            SourceState::Open => {}
            SourceState::Ended => return Poll::Ready(None),
            SourceState::Failed => return Poll::Ready(Some(Err(IncompleteBody))),
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
                Poll::Ready(Some(Err(IncompleteBody)))
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    self.next = source.buffer(&data, self.next);
                    self.yield_data(data)
                }
                // Trailers of requests are not forwarded.
                Err(_) => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        let source = self.replay.lock();
        let has_read_all =
            self.next == PAST_BUFFER || (!source.is_consumed && self.next >= source.buffered.len());
        source.state == SourceState::Ended && has_read_all
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

impl Source {
    /// Buffers a frame within the limit and returns the reader's position after it.
    fn buffer(&mut self, data: &Bytes, position: usize) -> usize {
        self.size += data.len();
        if self.size > MAX_BUFFERED_BYTES {
            // Only the reader that crosses the limit has read every frame.
            self.buffered = Vec::new();
            self.is_consumed = true;
            return PAST_BUFFER;
        }
        self.buffered.push(data.clone());
        position + 1
    }
}

/// An HTTP/1 request body whose remaining data is drained when it is dropped.
///
/// When a server closes a connection with unread data, TCP resets the connection, and the sender may lose an answer
/// that was sent before the end of the request body.
pub(crate) struct DrainOnDrop {
    inner: Option<Body>,
}

impl DrainOnDrop {
    pub(crate) fn new(inner: Body) -> DrainOnDrop {
        DrainOnDrop { inner: Some(inner) }
    }
}

impl HttpBody for DrainOnDrop {
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

impl Drop for DrainOnDrop {
    fn drop(&mut self) {
        if let Some(body) = self.inner.take().filter(|body| !body.is_end_stream())
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(time::timeout(DRAIN_TIMEOUT, drain(body)));
        }
    }
}

async fn drain(mut body: Body) {
    let mut remaining = MAX_DRAIN_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        match remaining.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
            Some(rest) => remaining = rest,
            None => return,
        }
    }
}

#[cfg(test)]
mod tests;
