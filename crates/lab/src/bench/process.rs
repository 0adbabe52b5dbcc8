//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

/// Number of clock ticks per second in which Linux reports processor time in `/proc`.
const TICKS_PER_S: u64 = 100;

/// Returns the processor time, user and system, that a process has used so far.
pub(super) fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = after_name.split(' ').map(|it| it.parse().unwrap_or(0)).collect();
    // User and system time are the 14th and 15th field of the line. The fields after the name, the
    // 2nd, start with an empty one.
    let ticks: u64 = fields.iter().skip(12).take(2).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// Returns the resident memory of a process in MiB.
pub(super) fn memory_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0.0);
    kib / 1_024.0
}
