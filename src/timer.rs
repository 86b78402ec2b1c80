//! The timer service to which the parts of a process subscribe.

use std::time::Duration;

use futures::StreamExt;
use tokio::sync::mpsc;
use tokio_util::time::DelayQueue;

use crate::event::Timer;

/// Sets timers; a clone sets timers at the same service.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    requests: mpsc::UnboundedSender<(Timer, Duration)>,
}

impl Timers {
    /// Starts the service; `fire` is called with each timer that expires.
    ///
    /// Timers cannot be cancelled: a receiver ignores a timer whose subject is gone, which costs less than
    /// keeping track of it.
    pub(crate) fn start(mut fire: impl FnMut(Timer) + Send + 'static) -> Timers {
        let (requests, mut incoming) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut queue = DelayQueue::new();
            loop {
                tokio::select! {
                    request = incoming.recv() => match request {
                        Some((timer, after)) => { queue.insert(timer, after); }
                        None => break,
                    },
                    Some(expired) = queue.next(), if !queue.is_empty() => fire(expired.into_inner()),
                }
            }
        });
        Timers { requests }
    }

    /// Lets `timer` expire after a delay, rounded up to whole milliseconds.
    pub(crate) fn arm(&self, timer: Timer, after: Duration) {
        // The service ends with the runtime only, when no timer matters any more.
        let _ = self.requests.send((timer, after));
    }
}
