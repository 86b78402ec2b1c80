//! Processor time of processes on this machine.

use std::{fs, io};

/// The error code of Linux for a process that does not exist.
const ESRCH: i32 = 3;

/// Returns the processor time of all threads of a process in nanoseconds; `process` is an id or `self`.
///
/// `/proc/<id>/schedstat` covers the main thread only, and `/proc/<id>/stat` counts in steps of 10 ms, so the threads
/// are summed up. A thread that has ended no longer counts.
pub(crate) fn cpu_time(process: &str) -> io::Result<u64> {
    let mut sum = 0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = match fs::read_to_string(thread?.path().join("schedstat")) {
            Ok(text) => text,
            // The thread has ended since the folder was read.
            Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) if error.raw_os_error() == Some(ESRCH) => continue,
            Err(error) => return Err(error),
        };
        let ns = text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
        sum += ns.ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(sum)
}
