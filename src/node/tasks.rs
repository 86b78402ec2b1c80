//! Tasks that pass received messages, readings of the clock and counts to the driver.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{sync::mpsc, time};

use crate::{
    crash_guard::SuspectReport,
    driver::Driver,
    event::Event,
    gossip::{self, DropReason},
    membership::{Message, Source},
    pool::Reachability,
    time::WallTime,
};

/// The interval at which the wall clock is passed to the reducer for rollout schedules.
const CLOCK_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which the numbers of dropped datagrams are logged and counted.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(10);

pub(super) async fn apply_reachability(
    mut changes: mpsc::UnboundedReceiver<Reachability>,
    driver: Arc<Driver>,
) {
    while let Some(reachability) = changes.recv().await {
        driver.dispatch(Event::Reachability(reachability));
    }
}

pub(super) async fn apply_suspect_reports(
    mut received: mpsc::Receiver<Vec<SuspectReport>>,
    driver: Arc<Driver>,
) {
    while let Some(reports) = received.recv().await {
        driver.dispatch(Event::SuspectReports(reports));
    }
}

/// Logs and counts dropped datagrams at intervals. The decoder must not log each one, because anyone can send
/// datagrams and flood the log.
pub(super) async fn report_drops(counters: Arc<gossip::Counters>, driver: Arc<Driver>) {
    let mut reported = [0; DropReason::ALL.len()];
    let mut interval = time::interval(DROP_REPORT_INTERVAL);
    loop {
        interval.tick().await;
        for (reason, reported) in DropReason::ALL.into_iter().zip(&mut reported) {
            let total = counters.dropped(reason);
            if total > *reported {
                let new = total - *reported;
                slog::warn!(driver.log(), "gossip-dropped"; "kind" => reason.name(), "new" => new, "total" => total);
                driver.metrics().count_dropped_datagrams(reason.name(), new);
                *reported = total;
            }
        }
    }
}

pub(super) async fn apply_gossip(
    mut messages: mpsc::Receiver<(Source, Message)>,
    driver: Arc<Driver>,
) {
    while let Some((from, message)) = messages.recv().await {
        driver.dispatch(Event::Gossip(from, Box::new(message)));
    }
}

pub(super) async fn read_clock(driver: Arc<Driver>) {
    let mut interval = time::interval(CLOCK_INTERVAL);
    loop {
        interval.tick().await;
        driver.dispatch(Event::Clock(wall_clock()));
    }
}

pub(super) fn wall_clock() -> WallTime {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_millis(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
