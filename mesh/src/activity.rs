//! What happens on a server's connection, by which the server decides that it is idle or that the caller has left.

use std::{
    future::{Future as _, poll_fn},
    io::{self, IoSlice},
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf as _, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
    time::{self, Instant},
};

use crate::{early_runs::ConnectionRuns, peer_memory::Peer, serve::HeadLimits};

/// The minimum interval of checks while a request is running, whatever the timeouts of the configuration.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The most bytes that are read ahead of the HTTP server while a request is running. Callers that send more are not read
/// until their requests have been answered.
const READ_AHEAD_BYTES: usize = 16 << 10;

/// The requests and the progress on a connection.
#[derive(Clone)]
pub(crate) struct Activity {
    progress: Arc<Mutex<Progress>>,
    /// The connection in the account of what peers hold.
    peer: Peer,
}

struct Progress {
    /// The number of requests that are running.
    running: usize,
    /// When an answer ended or bytes of one were sent.
    last_sent: Instant,
    /// When the first byte of a head that is not complete arrived.
    head_started: Option<Instant>,
}

impl Activity {
    pub(crate) fn new(peer: Peer) -> Activity {
        let progress = Progress { running: 0, last_sent: Instant::now(), head_started: None };
        Activity { progress: Arc::new(Mutex::new(progress)), peer }
    }

    /// Records a request, whose head is complete.
    pub(crate) fn start(&self) -> ActivityGuard {
        let mut progress = self.lock();
        progress.running += 1;
        progress.head_started = None;
        self.peer.begin_request();
        ActivityGuard(self.clone())
    }

    /// Waits until the connection has been idle for the timeouts that are then in force. It is never idle while a
    /// request is running.
    ///
    /// This must be polled by the same task as the server and after it: a head that begins may end the wait earlier.
    pub(crate) async fn wait_until_idle(&self, limits: &watch::Receiver<HeadLimits>) {
        let mut check = pin!(time::sleep(Duration::ZERO));
        poll_fn(|cx| {
            loop {
                let HeadLimits { timeout, head_timeout, .. } = *limits.borrow();
                let left = self.lock().time_left(timeout, head_timeout);
                if left.is_zero() {
                    return Poll::Ready(());
                }
                let due = Instant::now() + left;
                if due < check.deadline() || check.is_elapsed() {
                    check.as_mut().reset(due);
                }
                ready!(check.as_mut().poll(cx));
            }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Progress {
    /// Returns the time before which the connection cannot become idle.
    fn time_left(&self, timeout: Duration, head_timeout: Duration) -> Duration {
        if self.running > 0 {
            return timeout.max(MIN_CHECK_INTERVAL);
        }
        // A head that began late has its whole timeout, and none has more.
        match self.head_started {
            Some(at) => head_timeout.saturating_sub(at.elapsed()),
            None => timeout.saturating_sub(self.last_sent.elapsed()),
        }
    }
}

/// Guard of a request in progress.
///
/// It is dropped when the server has taken the last bytes of the answer from its body, which may be long before they
/// are sent. From then on the connection stays open while the [`TrackedStream`] sends some of them within each idle
/// timeout.
pub(crate) struct ActivityGuard(Activity);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut progress = self.0.lock();
        progress.running -= 1;
        progress.last_sent = Instant::now();
        if progress.running == 0 {
            self.0.peer.end_request();
        }
    }
}

/// A stream that records what is received and sent.
pub(crate) struct TrackedStream {
    socket: Arc<Mutex<Socket>>,
    activity: Activity,
}

/// A connection, with the bytes that were read ahead of the HTTP server.
struct Socket {
    stream: TcpStream,
    read_ahead: BytesMut,
    /// The early runs, which see each byte once, when it is read from the stream.
    early_runs: Option<ConnectionRuns>,
    /// Whether the server waits for bytes, and so notices the end of the connection itself.
    is_awaited: bool,
}

/// Notices that the caller has closed the connection while the HTTP server does not read from it.
///
/// The server stops reading while a request is running and further ones are in its buffer. So it would not notice that
/// their caller has left, and the request would run to its end.
pub(crate) struct CloseMonitor {
    socket: Arc<Mutex<Socket>>,
    activity: Activity,
}

impl TrackedStream {
    pub(crate) fn new(
        stream: TcpStream,
        activity: Activity,
        early_runs: Option<ConnectionRuns>,
    ) -> TrackedStream {
        let read_ahead = BytesMut::new();
        let socket = Socket { stream, read_ahead, early_runs, is_awaited: false };
        TrackedStream { socket: Arc::new(Mutex::new(socket)), activity }
    }

    /// Returns the monitor, which must be polled by the same task as the server and after it.
    pub(crate) fn close_monitor(&self) -> CloseMonitor {
        CloseMonitor { socket: self.socket.clone(), activity: self.activity.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, Socket> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_sent(&self, sent: &Poll<io::Result<usize>>) {
        if matches!(sent, Poll::Ready(Ok(1..))) {
            self.activity.lock().last_sent = Instant::now();
        }
    }
}

impl Socket {
    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.read_ahead.is_empty() {
            let len = self.read_ahead.len().min(buf.remaining());
            buf.put_slice(&self.read_ahead[..len]);
            self.read_ahead.advance(len);
            return Poll::Ready(Ok(()));
        }
        let filled_before = buf.filled().len();
        let received = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.is_awaited = received.is_pending();
        if let Some(early_runs) = &self.early_runs {
            early_runs.receive(&buf.filled()[filled_before..]);
        }
        received
    }
}

impl CloseMonitor {
    /// Waits until the caller has closed the connection during a request.
    pub(crate) async fn closed(&self) {
        poll_fn(|cx| self.poll_closed(cx)).await;
    }

    fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.activity.lock().running == 0 {
            return Poll::Pending;
        }
        let mut socket = self.socket.lock().unwrap_or_else(PoisonError::into_inner);
        let Socket { stream, read_ahead, early_runs, is_awaited } = &mut *socket;
        if *is_awaited {
            return Poll::Pending;
        }
        let mut bytes = [0; READ_AHEAD_BYTES];
        while read_ahead.len() < READ_AHEAD_BYTES {
            let mut buf = ReadBuf::new(&mut bytes[read_ahead.len()..]);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    read_ahead.extend_from_slice(buf.filled());
                    if let Some(early_runs) = early_runs {
                        early_runs.receive(buf.filled());
                    }
                }
                Poll::Ready(Ok(()) | Err(_)) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let received = self.lock().poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.activity.peer.receive(buf.filled().len() - filled_before);
            let mut progress = self.activity.lock();
            // While a request is running, the bytes may be those of its body.
            if progress.running == 0 {
                progress.head_started.get_or_insert_with(Instant::now);
            }
        }
        received
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.lock().stream).poll_write(cx, bytes);
        self.record_sent(&sent);
        sent
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.lock().stream).poll_write_vectored(cx, slices);
        self.record_sent(&sent);
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }
}
