//! Log lines in logfmt, one for each decision about a request and each change of the node's state.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use slog::{Discard, Drain, Level, Logger, info, o};
use slog_logfmt::Logfmt;

use crate::{
    effect::Record, log_prefix, log_writer::LogWriter, peer_memory::BoundReached, target::Lifetime,
};

/// Sampling ratio of requests without errors or retries: one in this many is logged. The sample is chosen by a hash of
/// the request id, so that all nodes log the same requests.
const SAMPLE_ONE_IN: u64 = 16;

/// A logger with a counter of the lines that it dropped.
#[derive(Clone, Debug)]
pub struct Log {
    /// The root logger.
    pub logger: Logger,
    dropped: Arc<AtomicU64>,
}

impl Log {
    /// Creates a logger that writes to standard output from its own thread.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be started.
    pub fn to_stdout() -> Log {
        let writer = LogWriter::start(io::stdout(), log_prefix::format_dropped)
            .expect("a process can start its first threads");
        let dropped = writer.dropped();
        let drain = Mutex::new(Logfmt::new(writer).set_prefix(log_prefix::write_prefix).build());
        Log { logger: Logger::root(drain.filter_level(Level::Info).fuse(), o!()), dropped }
    }

    /// Creates a logger that writes nothing.
    pub fn discard() -> Log {
        Log { logger: Logger::root(Discard, o!()), dropped: Arc::default() }
    }

    /// Returns the number of lines dropped because the writer was too slow.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Logs a record as one line; records of ordinary requests are sampled.
pub(crate) fn write(log: &Logger, record: &Record) {
    let ms = |time: &Duration| time.as_micros() as f64 / 1_000.0;
    match record {
        Record::Route {
            id,
            route,
            service,
            attempt,
            executions,
            open,
            allowed,
            member,
            cost,
            compared,
            age,
            config,
            is_nested,
        } => {
            if *attempt > 1 || is_sampled(id) {
                info!(log, "route"; "id" => id.as_str(), "route" => route.as_str(),
                    "service" => service.as_str(), "attempt" => attempt, "ended" => executions,
                    "open" => open, "allowed" => allowed, "member" => %member,
                    "cost_ms" => ms(cost), "compared" => compared,
                    "report_age_ms" => age.as_ref().map(ms), "config" => config, "nested" => is_nested);
            }
        }
        Record::Retry { id, attempt, cause, is_resent } => info!(log, "retry";
            "id" => id.as_str(), "attempt" => attempt, "cause" => cause, "resent" => is_resent),
        Record::Refuse { id, route, refusal, attempts, tried, waited, config } => {
            info!(log, "refuse";
            "id" => id.as_str(), "route" => route.as_str(), "reason" => refusal.reason.as_str(),
            "may_have_run" => refusal.may_have_run, "status" => refusal.status().as_u16(),
            "retry_after_ms" => refusal.retry_after.as_ref().map(ms), "attempts" => attempts,
            "tried" => tried.as_str(), "waited_ms" => ms(waited), "config" => config);
        }
        Record::Answer { id, route, status, attempts, took } => {
            if *attempts > 1 || *status >= 400 || is_sampled(id) {
                info!(log, "answer"; "id" => id.as_str(), "route" => route.as_str(), "status" => status,
                    "attempts" => attempts, "took_ms" => ms(took));
            }
        }
        Record::Admit { id, route, decision, reason, running, queued, limit, slowdown } => {
            if reason.is_some() || is_sampled(id) {
                info!(log, "admit"; "id" => id.as_str(), "route" => route.as_str(),
                    "decision" => decision, "reason" => reason.map(|reason| reason.as_str()),
                    "running" => running, "queued" => queued, "limit" => limit, "pace" => slowdown);
            }
        }
        Record::Ran { id, route, outcome, status, took, waited } => {
            if *outcome != "answered" || *status >= 400 || is_sampled(id) {
                info!(log, "ran"; "id" => id.as_str(), "route" => route.as_str(), "outcome" => outcome,
                    "status" => status, "took_ms" => ms(took), "waited_ms" => ms(waited));
            }
        }
        Record::Member { id, service, change } => info!(log, "member";
            "member" => %id, "service" => service.as_str(), "change" => change),
        Record::Target { lifetime, change } => info!(log, "target";
            "life" => lifetime.as_str(), "change" => change),
        Record::Notice { lifetime, current, kind, is_accepted } => {
            let start = |lifetime: &Lifetime| lifetime.started_ms;
            info!(log, "notice"; "kind" => kind.as_str(), "life" => lifetime.id.as_str(),
                "born" => start(lifetime),
                "known_life" => current.as_ref().map(|current| current.id.as_str()),
                "known_born" => current.as_ref().and_then(start), "accepted" => is_accepted);
        }
        Record::Recorder { is_recorder } => {
            info!(log, "recorder"; "change" => if *is_recorder { "taken" } else { "given-up" });
        }
        Record::Watcher { is_watcher } => {
            info!(log, "seat"; "change" => if *is_watcher { "taken" } else { "given-up" });
        }
        Record::Store { is_reachable } => {
            info!(log, "store"; "change" => if *is_reachable { "regained" } else { "lost" });
        }
        Record::Orders { is_confirmed, age, config } => info!(log, "orders";
            "change" => if *is_confirmed { "confirmed" } else { "unconfirmed" },
            "age_ms" => age.as_ref().map(ms), "config" => config),
        Record::StoreEra { previous, era } => info!(log, "store-era";
            "era" => era, "previous" => previous),
        Record::Config { version, routes, previous } => info!(log, "config";
            "version" => version, "routes" => routes, "previous" => previous),
        Record::Evacuated { centres } => info!(log, "evacuated"; "centres" => centres.as_str()),
        Record::Rollout { service, version, stage, new_good, new_bad, old_good, old_bad } => {
            info!(log, "rollout"; "service" => service.as_str(), "version" => version.as_str(),
                "stage" => stage, "new_good" => new_good, "new_bad" => new_bad,
                "old_good" => old_good, "old_bad" => old_bad);
        }
        Record::Suspect(suspect) => info!(log, "suspect";
            "fingerprint" => %suspect.fingerprint, "standing" => suspect.standing.as_str()),
        Record::RemoteShare { service, reason, permille, centres } => info!(log, "remote-share";
            "service" => service.as_str(), "reason" => reason, "share_permille" => permille,
            "centres" => centres.as_str()),
        Record::Paused { time } => info!(log, "paused"; "time_ms" => ms(time)),
        Record::Stop { phase, calls, works } => info!(log, "stop";
            "phase" => phase, "calls" => calls, "works" => works),
    }
}

/// Logs a bound on what peers hold.
pub(crate) fn write_peer_bound(log: &Logger, bound: &BoundReached, count: u64) {
    let BoundReached { action, endpoint, connections, bytes, .. } = bound;
    slog::warn!(log, "peer-bound"; "endpoint" => endpoint.as_str(), "action" => action.as_str(),
        "count" => count, "connections" => connections, "bytes" => bytes);
}

fn is_sampled(id: &str) -> bool {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE_ONE_IN)
}
