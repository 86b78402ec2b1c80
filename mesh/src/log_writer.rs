//! A buffering log writer that writes lines in batches from its own thread.

use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// The name of the writer thread.
pub const THREAD_NAME: &str = "log";

/// Limit on queued bytes: about 20,000 lines, and an eighth of the 32 MB that a node may use. Lines beyond it are
/// dropped and counted.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// Time for which lines are collected into a batch, because waking the writer for each line costs more than the line.
const COLLECT_INTERVAL: Duration = Duration::from_millis(20);

/// Buffer capacity in bytes that is retained after a burst.
const RETAINED_CAPACITY: usize = 64 << 10;

/// Queues lines, each terminated by a flush, for the writer thread.
pub struct LogWriter {
    line: Vec<u8>,
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    /// The number of lines dropped since the start.
    dropped: Arc<AtomicU64>,
}

#[derive(Default)]
struct Queue {
    text: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

impl LogWriter {
    /// Starts the writer thread; `format_dropped` formats the line that reports the number of dropped lines.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(
        out: impl Write + Send + 'static,
        format_dropped: fn(u64) -> String,
    ) -> io::Result<LogWriter> {
        let shared = Arc::<Shared>::default();
        let source = shared.clone();
        let writer = thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || source.run_writer(out, format_dropped))?;
        Ok(LogWriter { line: Vec::new(), shared, writer: Some(writer) })
    }

    /// Returns the counter of lines dropped since the start.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        self.shared.dropped.clone()
    }
}

impl Write for LogWriter {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        Ok(part.len())
    }

    /// Queues the current line, or drops it if the queue is full.
    fn flush(&mut self) -> io::Result<()> {
        let mut queue = self.shared.lock();
        if queue.text.len() + self.line.len() > MAX_QUEUED_BYTES {
            queue.dropped += 1;
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            let was_empty = queue.text.is_empty();
            queue.text.extend_from_slice(&self.line);
            drop(queue);
            if was_empty {
                self.shared.changed.notify_one();
            }
        }
        self.line.clear();
        Ok(())
    }
}

impl Drop for LogWriter {
    /// Waits until all queued lines are written.
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.changed.notify_one();
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

impl Shared {
    fn run_writer(&self, mut out: impl Write, format_dropped: fn(u64) -> String) {
        let mut text = Vec::new();
        loop {
            let (dropped, is_closed) = self.take(&mut text);
            // Errors are ignored, because there is nowhere else to report them.
            let _ = out.write_all(&text);
            if dropped > 0 {
                let _ = out.write_all(format_dropped(dropped).as_bytes());
            }
            let _ = out.flush();
            if is_closed {
                return;
            }
            text.clear();
            text.shrink_to(RETAINED_CAPACITY);
        }
    }

    /// Waits for lines and swaps them into `text`. Returns the number of lines dropped since the last call, and whether
    /// the writer was closed.
    fn take(&self, text: &mut Vec<u8>) -> (u64, bool) {
        let idle = |queue: &mut Queue| queue.text.is_empty() && !queue.is_closed;
        let queue = self.changed.wait_while(self.lock(), idle);
        let queue = queue.unwrap_or_else(PoisonError::into_inner);
        let collecting = |queue: &mut Queue| !queue.is_closed;
        let waited = self.changed.wait_timeout_while(queue, COLLECT_INTERVAL, collecting);
        let (mut queue, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(text, &mut queue.text);
        (std::mem::take(&mut queue.dropped), queue.is_closed)
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
