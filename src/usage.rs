//! CPU time of local processes.

use std::{fs, io};

/// The Linux error code for a process that does not exist.
const ESRCH: i32 = 3;

/// Returns the CPU time of all threads of a process in nanoseconds; `process` is a process id or `self`.
///
/// `/proc/<id>/schedstat` covers the main thread only, and `/proc/<id>/stat` has a resolution of 10 ms, so this adds up
/// the times of the threads. The time of threads that have exited is not included.
pub(crate) fn cpu_time(process: &str) -> io::Result<u64> {
    let mut sum = 0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = match fs::read_to_string(thread?.path().join("schedstat")) {
            Ok(text) => text,
            // The thread has exited since the directory was listed.
            Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) if error.raw_os_error() == Some(ESRCH) => continue,
            Err(error) => return Err(error),
        };
        let ns = text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
        sum += ns.ok_or(io::ErrorKind::InvalidData)?;
    }
    Ok(sum)
}
