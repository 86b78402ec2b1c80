//! A bound on what a connection reads before the head of a response is complete.
//!
//! The HTTP client bounds the size of one head, but it skips interim responses without end, and keeps the thread busy with
//! them while more are there.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The value of a bound that does not apply.
const UNBOUNDED: usize = usize::MAX;

/// The bound on the bytes that may be read before the head of the next response is complete.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl HeadLimit {
    /// Creates a bound of `max_bytes` for each response, which does not apply yet.
    pub fn new(max_bytes: usize) -> HeadLimit {
        HeadLimit { left: Arc::new(AtomicUsize::new(UNBOUNDED)), max_bytes }
    }

    /// Begins to count, right before a request is sent.
    pub fn begin(&self) {
        self.left.store(self.max_bytes, Ordering::Relaxed);
    }

    /// Ceases to count once the head has been read.
    pub fn end(&self) {
        self.left.store(UNBOUNDED, Ordering::Relaxed);
    }

    fn is_reached(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn record(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != UNBOUNDED {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection that fails when it has read as many bytes as a head may have, and the head is not complete.
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    /// Applies a bound to a connection.
    pub fn new(stream: TcpStream, limit: HeadLimit) -> HeadLimitedStream {
        HeadLimitedStream { stream, limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_reached() {
            let error = "the head of the response has no end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buf.filled().len();
        let received = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.limit.record(buf.filled().len() - before);
        received
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
