//! What happens on a server's connection, by which the server decides that it is idle.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
    time::{self, Instant},
};

use crate::serve::HeadLimits;

/// The minimum interval of checks while a request is running, whatever the timeouts of the configuration.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The requests and the progress on a connection.
#[derive(Clone)]
pub(crate) struct Activity(Arc<Mutex<Progress>>);

struct Progress {
    /// The number of requests that are running.
    running: usize,
    /// When an answer ended or bytes of one were sent.
    last_sent: Instant,
    /// When the first byte of a head that is not complete arrived.
    head_started: Option<Instant>,
}

impl Activity {
    pub(crate) fn new() -> Activity {
        let last_sent = Instant::now();
        Activity(Arc::new(Mutex::new(Progress { running: 0, last_sent, head_started: None })))
    }

    /// Records a request, whose head is complete.
    pub(crate) fn start(&self) -> ActivityGuard {
        let mut progress = self.lock();
        progress.running += 1;
        progress.head_started = None;
        ActivityGuard(self.clone())
    }

    /// Waits until the connection has been idle for the timeouts that are then in force. It is never idle while a
    /// request is running.
    pub(crate) async fn wait_until_idle(&self, limits: &watch::Receiver<HeadLimits>) {
        loop {
            let HeadLimits { timeout, head_timeout, .. } = *limits.borrow();
            let left = self.lock().time_left(timeout, head_timeout);
            if left.is_zero() {
                return;
            }
            time::sleep(left).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Progress {
    /// Returns the time before which the connection cannot become idle.
    fn time_left(&self, timeout: Duration, head_timeout: Duration) -> Duration {
        if self.running > 0 {
            return timeout.max(MIN_CHECK_INTERVAL);
        }
        let left = timeout.saturating_sub(self.last_sent.elapsed());
        // A head that began late has its whole timeout.
        let head_left = self.head_started.map(|at| head_timeout.saturating_sub(at.elapsed()));
        left.max(head_left.unwrap_or_default())
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
    }
}

/// A stream that records what is received and sent.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: Activity,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, activity: Activity) -> TrackedStream {
        TrackedStream { stream, activity }
    }

    fn record_sent(&self, sent: &Poll<io::Result<usize>>) {
        if matches!(sent, Poll::Ready(Ok(1..))) {
            self.activity.lock().last_sent = Instant::now();
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let received = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_sent(&sent);
        sent
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_sent(&sent);
        sent
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
