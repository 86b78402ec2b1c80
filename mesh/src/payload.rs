//! Message bodies. Small ones are buffered completely, so that they can be resent or checked; large ones are streamed.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{self, Instant, Sleep};

use crate::peer_memory::{NoRoom, Peer, PeerMemory};

/// Largest body in bytes that is buffered completely.
pub(crate) const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// A body of which the beginning, or all, is buffered.
pub(crate) struct Payload {
    pub(crate) buffered: Bytes,
    /// The unread remainder; `None` if the whole body is buffered.
    pub(crate) rest: Option<Incoming>,
    /// The length of the whole body in bytes, if the sender declared it.
    pub(crate) length: Option<u64>,
    /// Whether the remainder has been handed out already.
    is_consumed: bool,
}

/// The memory that the HTTP library takes at most while a body arrives, beside what is buffered here: its read buffer.
const LIBRARY_BYTES: usize = 64 << 10;

/// A body was not read.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// It ended prematurely.
    Incomplete,
    /// The account has no room for it.
    NoRoom,
}

impl From<NoRoom> for ReadError {
    fn from(_: NoRoom) -> ReadError {
        ReadError::NoRoom
    }
}

/// The body ended prematurely.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the body is incomplete"))]
pub struct IncompleteBody;

impl Payload {
    /// Returns the body of a request without one.
    pub(crate) fn empty() -> Payload {
        Payload { buffered: Bytes::new(), rest: None, length: Some(0), is_consumed: false }
    }

    /// Buffers a body until it ends or exceeds [`MAX_BUFFERED_BYTES`].
    pub(crate) async fn read(body: Incoming) -> Result<Payload, IncompleteBody> {
        Payload::buffer(body, |_| Ok(())).await.map_err(|_| IncompleteBody)
    }

    /// Buffers the body of a peer's request as [`read`](Self::read) does, as far as the account has room for it. What was
    /// buffered stays in the account until it has been sent.
    pub(crate) async fn read_counted(body: Incoming, peer: &Peer) -> Result<Payload, ReadError> {
        if body.is_end_stream() {
            return Payload::read(body).await.map_err(|_| ReadError::Incomplete);
        }
        let mut reservation = peer.begin_body();
        let mut payload = tokio::select! {
            biased;
            () = peer.refused() => return Err(ReadError::NoRoom),
            payload = Payload::buffer(body, |bytes| reservation.grow(bytes)) => payload?,
        };
        payload.buffered = reservation.finish(payload.buffered);
        Ok(payload)
    }

    /// Buffers a body, and calls `grow` with the memory that the buffer takes each time before it grows.
    async fn buffer(
        mut body: Incoming,
        mut grow: impl FnMut(usize) -> Result<(), NoRoom>,
    ) -> Result<Payload, ReadError> {
        let length = body.size_hint().exact();
        if body.is_end_stream() {
            return Ok(Payload { buffered: Bytes::new(), rest: None, length, is_consumed: false });
        }
        let mut first: Option<Bytes> = None;
        let mut joined = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ReadError::Incomplete)?.into_data() else { continue };
            let size = first.as_ref().map_or(joined.len(), Bytes::len) + data.len();
            if first.is_none() && joined.is_empty() {
                grow(size + LIBRARY_BYTES.min(size))?;
                first = Some(data);
            } else {
                let capacity = buffer_capacity(joined.capacity(), size, length);
                grow(capacity + LIBRARY_BYTES.min(size))?;
                joined.reserve_exact(capacity - joined.len());
                joined.extend_from_slice(&first.take().unwrap_or_default());
                joined.extend_from_slice(&data);
            }
            if size > MAX_BUFFERED_BYTES {
                let buffered = first.unwrap_or_else(|| joined.into());
                return Ok(Payload { buffered, rest: Some(body), length, is_consumed: false });
            }
        }
        let buffered = first.unwrap_or_else(|| joined.into());
        Ok(Payload { buffered, rest: None, length, is_consumed: false })
    }

    /// Returns whether there is no unread remainder.
    pub(crate) fn is_complete(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns the body for one attempt. A completely buffered body is cloned each time; a streaming body is returned
    /// once, and `None` afterwards.
    pub(crate) fn for_attempt(&mut self) -> Option<Payload> {
        let (buffered, length) = (self.buffered.clone(), self.length);
        if self.is_complete() && !self.is_consumed {
            return Some(Payload { buffered, rest: None, length, is_consumed: false });
        }
        let rest = Some(self.rest.take()?);
        self.is_consumed = true;
        Some(Payload { buffered, rest, length, is_consumed: false })
    }

    /// Returns the body to send. A streaming body is returned once, and `None` afterwards.
    pub(crate) fn take(&mut self) -> Option<Body> {
        if self.is_complete() && !self.is_consumed {
            return Some(Body::from(self.buffered.clone()));
        }
        let rest = self.rest.take()?;
        self.is_consumed = true;
        Some(Body {
            buffered: Some(self.buffered.clone()),
            rest: Some(rest),
            length: self.length,
            deadline: None,
            is_failed: false,
            end: None,
        })
    }
}

/// Returns the capacity of a buffer that must hold `size` bytes: twice what it has, but not more than the declared length, so
/// that a body takes no more than it needs.
fn buffer_capacity(capacity: usize, size: usize, length: Option<u64>) -> usize {
    if size <= capacity {
        return capacity;
    }
    let length = length.and_then(|length| usize::try_from(length).ok());
    let limit = length.unwrap_or(usize::MAX).min(MAX_BUFFERED_BYTES);
    capacity.saturating_mul(2).min(limit).max(size)
}

/// An outgoing body: the buffered part, followed by the rest of an incoming body.
#[derive(Default)]
pub struct Body {
    buffered: Option<Bytes>,
    rest: Option<Incoming>,
    length: Option<u64>,
    /// The time at which a body that has not ended fails.
    deadline: Option<Pin<Box<Sleep>>>,
    is_failed: bool,
    /// Callback for when the body has been read or dropped, with whether it was read completely.
    end: Option<Box<dyn FnOnce(bool) + Send>>,
}

impl Body {
    /// Counts the buffered part in the account until it has been sent, which a slow reader delays.
    pub(crate) fn counted(mut self, memory: &PeerMemory) -> Body {
        self.buffered = self.buffered.take().map(|bytes| memory.hold(None, bytes));
        self
    }

    /// Adds a callback for when the connection has taken all of the body, or dropped it. The last bytes may wait in the
    /// connection's buffer at that time, so the callback does not show that they have been sent.
    pub(crate) fn on_end(self, end: impl FnOnce() + Send + 'static) -> Body {
        self.add_callback(move |_| end())
    }

    /// Adds a callback for when the connection has taken the body completely, as for [`on_end`](Self::on_end). It is
    /// dropped without a call if the body fails or is dropped before its end.
    pub(crate) fn on_complete(self, complete: impl FnOnce() + Send + 'static) -> Body {
        self.add_callback(move |is_complete| {
            if is_complete {
                complete();
            }
        })
    }

    /// Makes the body fail at `deadline`, because its sender may never end it.
    pub(crate) fn fail_at(mut self, deadline: Instant) -> Body {
        self.deadline = Some(Box::pin(time::sleep_until(deadline)));
        self
    }

    /// Returns whether the body can only fail, because its deadline has passed.
    pub(crate) fn is_expired(&self) -> bool {
        self.deadline.as_ref().is_some_and(|deadline| deadline.deadline() <= Instant::now())
    }

    fn add_callback(mut self, end: impl FnOnce(bool) + Send + 'static) -> Body {
        match self.end.take() {
            None => self.end = Some(Box::new(end)),
            Some(first) => {
                self.end = Some(Box::new(move |is_complete| {
                    first(is_complete);
                    end(is_complete);
                }));
            }
        }
        self
    }

    fn call_on_end(&mut self, is_complete: bool) {
        if let Some(end) = self.end.take() {
            end(is_complete);
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Body {
        let length = Some(bytes.len() as u64);
        let buffered = (!bytes.is_empty()).then_some(bytes);
        Body { buffered, rest: None, length, deadline: None, is_failed: false, end: None }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if let Some(start) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let is_due = |deadline: &mut Pin<Box<Sleep>>| deadline.as_mut().poll(cx).is_ready();
        if self.is_failed || self.deadline.as_mut().is_some_and(is_due) {
            self.is_failed = true;
            return Poll::Ready(Some(Err(IncompleteBody)));
        }
        let Some(rest) = &mut self.rest else {
            self.call_on_end(true);
            return Poll::Ready(None);
        };
        match ready!(Pin::new(rest).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(_)) => {
                self.is_failed = true;
                Poll::Ready(Some(Err(IncompleteBody)))
            }
            None => {
                self.call_on_end(true);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.rest.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        if let Some(start) = &self.buffered {
            let exact = if self.rest.is_none() { Some(start.len() as u64) } else { self.length };
            return exact.map_or_else(SizeHint::new, SizeHint::with_exact);
        }
        self.rest.as_ref().map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        // A body of known length is not polled again after its last byte.
        let is_complete = !self.is_failed && self.is_end_stream();
        self.call_on_end(is_complete);
    }
}
