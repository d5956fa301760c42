//! Processor time and memory of this process and of groups of its threads, read from `/proc`.
//!
//! Threads are told apart by the names of their runtimes. This way the stand-ins can run in the
//! same process as the daemons without being counted as part of them.

use std::fs;
use std::time::Duration;

/// Processor time of the threads whose names start with `prefix`.
///
/// Threads that have ended are not counted.
#[must_use]
pub fn threads_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let of_task = |task: fs::DirEntry| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        if !name.starts_with(prefix) {
            return None;
        }
        let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos = stat.split(' ').next()?.parse().ok()?;
        Some(Duration::from_nanos(nanos))
    };
    tasks.filter_map(Result::ok).filter_map(of_task).sum()
}

/// Resident memory of this process, in bytes.
#[must_use]
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: u64 =
        line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0);
    kib * 1024
}

/// Load average of the machine over the last minute.
#[must_use]
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next();
    first.and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}
