//! The early runs of one connection.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use http::{Response, header, request::Parts};
use tokio::time::Instant;

use super::{Arrival, EarlyRun, EarlyRuns, MAX_PER_CONNECTION};
use crate::{
    activity::Activity,
    head_scanner::{Head, HeadScanner},
    payload::Body,
};

/// The most heads of a connection that are kept. Those beyond are not started early, nor is what lies behind them until
/// their turn has come.
const MAX_HEADS: usize = 64;

/// The early runs of a connection and the requests before them.
#[derive(Clone)]
pub(crate) struct ConnectionRuns(Arc<Mutex<Runs>>);

struct Runs {
    shared: Arc<EarlyRuns>,
    activity: Activity,
    scanner: HeadScanner,
    /// Whether no further request is started early.
    is_closed: bool,
    /// The requests that were found whose answers have not ended, in their order. Some may be missing.
    requests: VecDeque<Found>,
    /// The number of requests that the scanner has found.
    found: u64,
    /// The number of requests that the library has passed on.
    called: u64,
    /// The number of requests whose answers have ended.
    ended: u64,
}

/// A request that the scanner has found.
struct Found {
    /// The number of requests before it on the connection.
    number: u64,
    head: Head,
    /// The time of its arrival, if others were before it.
    arrival: Option<Arrival>,
    /// Whether it and the ones behind it may run at the same time, once that has been decided.
    is_free: Option<bool>,
    /// Whether a bound of the process or the connection was counted for it.
    is_delayed: bool,
    run: Option<EarlyRun>,
}

impl ConnectionRuns {
    pub(crate) fn new(shared: Arc<EarlyRuns>, activity: Activity) -> ConnectionRuns {
        ConnectionRuns(Arc::new(Mutex::new(Runs {
            shared,
            activity,
            scanner: HeadScanner::default(),
            is_closed: false,
            requests: VecDeque::new(),
            found: 0,
            called: 0,
            ended: 0,
        })))
    }

    /// Takes bytes that were read from the connection, and starts the requests among them that may run early.
    pub(crate) fn receive(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut runs = self.lock();
        if runs.is_closed || runs.scanner.is_ended() {
            return;
        }
        for head in runs.scanner.scan(bytes) {
            runs.add(head);
        }
        if runs.scanner.is_ended() {
            runs.shared.metrics.count_early_run("untracked");
        }
        runs.start_next();
    }

    /// Records that the library passes on the next request of the connection, and returns its run, if there is one.
    pub(crate) fn take(&self, parts: &mut Parts) -> Option<EarlyRun> {
        let mut runs = self.lock();
        let number = runs.called;
        runs.called += 1;
        // The library passes on a request when the answer to the one before has ended.
        runs.end(number);
        let found = runs.requests.front_mut().filter(|found| found.number == number)?;
        if let Some(arrival) = found.arrival {
            parts.extensions.insert(arrival);
        }
        let run = found.run.take()?;
        if found.head.parse().is_some_and(|head| is_same(&head, parts)) {
            return Some(run);
        }
        let discarded = runs.close();
        drop(runs);
        drop((run, discarded));
        None
    }

    /// Records that the answer to the request passed on last was sent to its end, and starts what waited for it.
    pub(crate) fn finish(&self) {
        let mut runs = self.lock();
        let ended = runs.called;
        runs.end(ended);
        runs.start_next();
    }

    /// Cancels the runs whose turn has not come, and starts no more.
    pub(crate) fn close(&self) {
        let discarded = self.lock().close();
        // Their answers report to other parts of the node, which may not happen under the lock.
        drop(discarded);
    }

    /// Returns whether requests behind the one that the library passed on last are running.
    fn has_runs(&self) -> bool {
        self.lock().requests.iter().any(|found| found.run.is_some())
    }

    /// Decides whether an answer closes the connection; what lies behind one that does was not read.
    ///
    /// A node that stops closes its connections with their answers, but a request that has been passed on to a target must
    /// be answered. So the connection stays open until the runs behind the answer have been delivered; none starts meanwhile.
    pub(crate) fn observe(&self, answer: &mut Response<Body>) {
        if self.has_runs() {
            answer.headers_mut().remove(header::CONNECTION);
            return;
        }
        let values = answer.headers().get_all(header::CONNECTION);
        let mut options = values.iter().flat_map(|value| value.as_bytes().split(|b| *b == b','));
        if options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close")) {
            self.close();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Runs {
    fn add(&mut self, head: Head) {
        let number = self.found;
        self.found += 1;
        if self.requests.len() >= MAX_HEADS {
            self.shared.metrics.count_early_run("delayed");
            return;
        }
        let arrival = (number > self.ended).then(|| Arrival(Instant::now()));
        let (is_free, is_delayed) = ((head.body_len > 0).then_some(false), false);
        let found = Found { number, head, arrival, is_free, is_delayed, run: None };
        self.requests.push_back(found);
    }

    /// Removes the requests before the one with this number, whose answers have ended.
    fn end(&mut self, number: u64) {
        self.ended = number;
        while self.requests.pop_front_if(|found| found.number < number).is_some() {}
    }

    /// Starts the requests behind the oldest one, as long as they and all before them may run at the same time. The library
    /// itself serves the oldest.
    fn start_next(&mut self) {
        if self.is_closed || self.requests.len() < 2 {
            return;
        }
        let mut running = self.requests.iter().filter(|found| found.run.is_some()).count();
        for (found, number) in self.requests.iter_mut().zip(self.ended..) {
            let is_oldest = number == self.ended;
            if found.number != number || found.is_free == Some(false) {
                return;
            }
            if found.run.is_some() || is_oldest && found.is_free.is_some() {
                continue;
            }
            let Some(parts) = found.check(&self.shared) else { return };
            if is_oldest {
                continue;
            }
            if running < MAX_PER_CONNECTION {
                found.run = self.shared.start(parts, self.activity.start());
            }
            if found.run.is_none() {
                if !std::mem::replace(&mut found.is_delayed, true) {
                    self.shared.metrics.count_early_run("delayed");
                }
                return;
            }
            running += 1;
        }
    }

    fn close(&mut self) -> VecDeque<Found> {
        self.is_closed = true;
        std::mem::take(&mut self.requests)
    }
}

impl Found {
    /// Returns the request if it may run at the same time as others.
    fn check(&mut self, shared: &EarlyRuns) -> Option<Parts> {
        let parts = self.head.parse().map(|req| req.into_parts().0);
        let is_free = parts.as_ref().is_some_and(|parts| shared.handler.can_start(parts));
        self.is_free = Some(is_free);
        let mut parts = parts.filter(|_| is_free)?;
        if let Some(arrival) = self.arrival {
            parts.extensions.insert(arrival);
        }
        Some(parts)
    }
}

fn is_same(head: &http::Request<()>, parts: &Parts) -> bool {
    head.method() == parts.method
        && *head.uri() == parts.uri
        && head.version() == parts.version
        && *head.headers() == parts.headers
}
