//! The prefix of each log line.

use std::{
    io,
    time::{SystemTime, UNIX_EPOCH},
};

use slog::Level;

/// Writes the prefix: the time in milliseconds since the Unix epoch, the level and the event name.
pub fn write_prefix(out: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let level = match record.level() {
        Level::Critical => "critical",
        Level::Error => "error",
        Level::Warning => "warning",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    };
    write!(out, "time={} level={level} event={} ", wall_millis(), record.msg())?;
    Ok(())
}

/// Formats the line that reports how many lines were dropped because the writer was too slow.
pub fn format_dropped(lines: u64) -> String {
    format!("time={} level=error event=log-lines-dropped lines={lines}\n", wall_millis())
}

fn wall_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}
