//! Log lines in logfmt: one for each event and one for each routing or placement decision.
//!
//! The lines are listed in `docs/logs.md`.

use std::{
    io,
    sync::{Arc, Mutex},
};

use poplarbarrow_mesh::{log_prefix, log_writer::LogWriter};
use slog::{Drain, Level, Logger, info, o, warn};
use slog_logfmt::Logfmt;
use slotmap::{Key, KeyData};

use crate::{crash_guard::RequestStanding, effect::Record, rollout::Finding, settings::LogLevel};

pub(crate) use poplarbarrow_mesh::log_writer::THREAD_NAME;

/// Creates a logger that writes to standard error from a dedicated thread.
///
/// # Panics
///
/// Panics if the thread cannot be started.
pub fn logger(level: LogLevel) -> Logger {
    threaded_logger(io::stderr(), level)
}

/// Creates a logger that formats lines as [`logger`] does and discards the output.
pub(crate) fn sink_logger() -> Logger {
    threaded_logger(io::sink(), LogLevel::Info)
}

fn threaded_logger(out: impl io::Write + Send + 'static, level: LogLevel) -> Logger {
    let writer = LogWriter::start(out, log_prefix::format_dropped)
        .expect("a process can start its first threads");
    let drain = Mutex::new(Logfmt::new(writer).set_prefix(log_prefix::write_prefix).build());
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Creates a logger that discards records without formatting them.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns the size in bytes of the log lines that `write` produces.
pub(crate) fn formatted_size(write: impl FnOnce(&Logger)) -> usize {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let sink = SharedBuffer(lines.clone());
    let drain = Logfmt::new(sink).set_prefix(log_prefix::write_prefix).build().fuse();
    write(&Logger::root(Mutex::new(drain).fuse(), o!()));
    lines.lock().map_or(0, |lines| lines.len())
}

/// A buffer that can still be read after it was moved into a logger.
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().map_err(|_| io::ErrorKind::Other)?.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs a record as one line.
pub(crate) fn write(log: &Logger, record: &Record) {
    match record {
        Record::Route { call, service, attempt, member, reason, candidates } => info!(log, "route";
            "call" => key_id(call.data()), "service" => service.as_str(), "attempt" => attempt,
            "member" => %member, "reason" => reason, "candidates" => candidates.as_str()),
        Record::Relay { call, identity, to } => info!(log, "relay";
            "call" => key_id(call.data()), "identity" => %identity, "to" => %to),
        Record::Replay { call, identity } => info!(log, "replay";
            "call" => key_id(call.data()), "identity" => %identity),
        Record::HandOver { to, outcomes } => {
            info!(log, "hand-over"; "to" => %to, "outcomes" => outcomes);
        }
        Record::Refuse { call, service, refusal } => info!(log, "refuse";
            "call" => key_id(call.data()), "service" => service.as_str(),
            "reason" => refusal.reason.as_str(), "outcome" => refusal.outcome.as_str()),
        Record::Admit { work, from, path, decision, running, limit } => info!(log, "admit";
            "work" => key_id(work.data()), "from" => %from, "path" => path.as_str(), "decision" => decision,
            "running" => running, "limit" => limit),
        Record::Eject { member, service, pause } => info!(log, "eject";
            "member" => %member, "service" => service.as_str(), "pause_ms" => pause.as_millis() as u64),
        Record::TargetFailed { work, failure } => info!(log, "target-failed";
            "work" => key_id(work.data()), "failure" => failure),
        Record::Member { id, service, change } => info!(log, "member";
            "member" => %id, "service" => service.as_str(), "change" => change),
        Record::Synced { members } => info!(log, "synced"; "members" => members),
        Record::TableFull { refused } => warn!(log, "table-full"; "refused" => refused),
        Record::Region { region, service, members, is_confirmed } => info!(log, "region";
            "region" => region.as_str(), "service" => service.as_str(), "members" => members,
            "change" => if *is_confirmed { "confirmed" } else { "unconfirmed" }),
        Record::RemoteServicesFull { calls, limit } => {
            warn!(log, "remote-services-full"; "calls" => calls, "limit" => limit);
        }
        Record::Watcher { rank: Some(rank) } => {
            info!(log, "seat"; "change" => "taken", "seat" => rank);
        }
        Record::Watcher { rank: None } => info!(log, "seat"; "change" => "given-up"),
        Record::Pull { from, revision } => {
            info!(log, "pull"; "from" => %from, "revision" => revision);
        }
        Record::Measured { bytes, reports, probes, denied } => info!(log, "measured";
            "bytes" => bytes, "reports" => reports, "probes" => probes, "denied" => denied),
        Record::Document { revision, services } => info!(log, "document";
            "revision" => revision, "services" => services),
        Record::Rollout { service, version, stage, share, finding: None } => info!(log, "rollout";
            "service" => service.as_str(), "version" => version.as_str(), "stage" => stage,
            "share_permille" => share),
        Record::Rollout { service, version, stage, share, finding: Some((finding, route)) } => {
            let Finding { measure, new, old, .. } = finding;
            warn!(log, "rollout";
                "service" => service.as_str(), "version" => version.as_str(), "stage" => stage,
                "share_permille" => share, "measure" => measure.as_str(), "route" => route.as_str(),
                "new_hits" => new.hits, "new_of" => new.trials,
                "old_hits" => old.hits, "old_of" => old.trials);
        }
        Record::Suspect(RequestStanding { fingerprint, standing }) => warn!(log, "suspect";
            "fingerprint" => %fingerprint, "standing" => standing.as_str()),
        Record::Target { change } => info!(log, "target"; "change" => change),
        Record::Stop { phase, calls, works } => info!(log, "stop";
            "phase" => phase, "calls" => calls, "works" => works),
    }
}

fn key_id(data: KeyData) -> u64 {
    data.as_ffi()
}
