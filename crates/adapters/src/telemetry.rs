//! Logs and metrics.

mod log_queue;
mod rate_limiter;

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;

use cranberryvalve_coordination::builds::PROTOCOL_VERSION;
use cranberryvalve_coordination::builds::UNANNOUNCED_PROTOCOL;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_core::VmId;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::info;
use slog::o;

pub use self::log_queue::LogGuard;
pub use self::rate_limiter::LogRateLimiter;

use self::log_queue::LogQueue;

/// Upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BUCKETS_S: [f64; 14] =
    [0.001, 0.005, 0.01, 0.02, 0.039, 0.08, 0.15, 0.3, 0.6, 1.0, 1.5, 3.0, 10.0, 30.0];

/// Creates a logger that writes JSON lines to standard output without blocking its callers. Each line
/// names the VM and its build.
///
/// Dropping the guard waits for a limited time until the queued lines are written.
pub fn logger(vm: &VmId, build: &'static str, level: Level) -> (Logger, LogGuard) {
    let (queue, guard) = LogQueue::start(io::stdout());
    let json = slog_json::Json::new(queue)
        .set_newlines(true)
        .add_key_value(o!(
            "time_unix_ms" => FnValue(|_| unix_time_ms()),
            "level" => FnValue(|record| record.level().as_str()),
            "message" => FnValue(|record| record.msg().to_string()),
        ))
        .build();
    let drain = LevelFilter::new(Mutex::new(json).fuse(), level).fuse();
    (Logger::root(drain, o!("build" => build, "vm" => vm.to_string())), guard)
}

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// Fails if the process already has a recorder.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &DURATION_BUCKETS_S)?
        .install_recorder()
}

/// Logs VMs that announce another protocol version than this one, with both builds.
pub fn log_other_protocols(log: &Logger, own_build: &str, announced: &[VmBuild]) {
    for build in announced.iter().filter(|it| it.protocol_version != PROTOCOL_VERSION) {
        info!(log, "VM of another protocol version"; "peer" => &*build.vm,
            "peer_build" => &*build.build, "peer_protocol" => build.protocol_version,
            "own_build" => own_build, "own_protocol" => PROTOCOL_VERSION);
    }
}

/// Logs VMs that have not announced their build, as those of builds before protocol 1.
pub fn log_silent_vms(log: &Logger, own_build: &str, vms: &[VmId]) {
    for vm in vms {
        info!(log, "VM has not announced its build"; "peer" => &**vm,
            "peer_protocol" => UNANNOUNCED_PROTOCOL,
            "own_build" => own_build, "own_protocol" => PROTOCOL_VERSION);
    }
}

/// Sets the gauges of the number of living VMs by protocol version.
pub fn record_members(by_protocol: &BTreeMap<u32, usize>) {
    // Versions without a member are set to 0 again, so the list has no gaps.
    for protocol in UNANNOUNCED_PROTOCOL..=PROTOCOL_VERSION {
        let count = by_protocol.get(&protocol).copied().unwrap_or(0);
        metrics::gauge!("cranberryvalve_members", "protocol" => protocol.to_string())
            .set(count as f64);
    }
    let later: usize = by_protocol.range(PROTOCOL_VERSION + 1..).map(|it| it.1).sum();
    metrics::gauge!("cranberryvalve_members", "protocol" => "later").set(later as f64);
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since_epoch = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
