//! Benchmark of the time until a configuration is active on all VMs, and of the control overhead.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Config;
use cranberryvalve_core::UpstreamKind;
use cranberryvalve_standins::client;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config::upstream;
use cranberryvalve_standins::vm::Vm;
use eyre::Result;
use serde_json::json;

use super::process;
use crate::programs;
use crate::report;
use crate::report::percentile;

/// Numbers of VMs to measure with.
const VM_COUNTS: [usize; 5] = [4, 8, 16, 32, 64];

/// Numbers of customers and upstreams in the configuration document.
const CUSTOMERS: usize = 440;
const UPSTREAMS: usize = 600;

/// Time without requests during which the control overhead is measured.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// Maximum time to wait until a configuration is active.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Measures and prints the activation times and the control overhead for each number of VMs.
pub(super) fn run() -> Result<()> {
    let mut time_rows = Vec::new();
    let mut overhead_rows = Vec::new();
    let mut document_bytes = 0;
    for vms in VM_COUNTS {
        let settings = ClusterSettings {
            vms,
            engines: 12,
            services: 3,
            customers: CUSTOMERS,
            ..ClusterSettings::default()
        };
        let cluster = Cluster::start_with(&programs::daemon()?, settings, add_drained_upstreams)?;
        document_bytes = serde_json::to_vec(&cluster.config)?.len();
        thread::sleep(Duration::from_secs(5));
        overhead_rows.push(control_overhead(&cluster));
        time_rows.push(activation_times(&cluster));
    }
    report::line(&format!(
        "\nspread: time until active on every VM, median and worst VM, in s; the document has \
         {document_bytes} bytes"
    ));
    let header = ["VMs", "healthy", "store slow by 500 ms", "store down after"];
    report::table(&header, &time_rows);
    report::line("\ncontrol: cost of one VM without requests, 15 upstreams");
    let header = [
        "VMs",
        "core %",
        "memory MiB",
        "peer messages/s out",
        "peer bytes/s out",
        "store reads/s",
        "store writes/s, all VMs",
    ];
    report::table(&header, &overhead_rows);
    Ok(())
}

/// Adds drained upstreams up to `UPSTREAMS`, so that the document has a realistic size.
fn add_drained_upstreams(config: &mut Config) {
    for number in config.upstreams.len()..UPSTREAMS {
        let address = ([127, 0, 0, 1], 1).into();
        let id = format!("engine-{number}");
        let mut upstream = upstream(&id, address, UpstreamKind::Engine, "lyttelton", 8);
        upstream.drained = true;
        config.upstreams.push(upstream);
    }
}

/// Returns the cells of one row: the activation times with a healthy store, with a slow store and
/// with the store down after the confirmation.
fn activation_times(cluster: &Cluster) -> Vec<String> {
    let mut cells = vec![cluster.vms.len().to_string()];
    let mut drained = false;
    for phase in 0..3 {
        drained = !drained;
        let intent = json!({ "intent": "drain", "upstream": "engine-1", "drained": drained });
        let plan = cluster.plan(0, "bench", &intent).body;
        if phase == 1 {
            cluster.platform.set_faults(|it| it.delay = Duration::from_millis(500));
        }
        let confirmed = cluster.confirm(0, &plan);
        let started = Instant::now();
        let version = confirmed.body["version"].as_u64().unwrap_or(u64::MAX);
        if phase == 2 {
            cluster.platform.set_faults(|it| it.down = true);
        }
        cells.push(activation_time(&cluster.vms, version, started));
        cluster.platform.set_faults(|it| *it = Default::default());
        thread::sleep(Duration::from_secs(2));
    }
    cells
}

/// Waits until `version` is active on all VMs; returns the median and the longest time, infinite for
/// a VM that exceeds the timeout.
fn activation_time(vms: &[Vm], version: u64, started: Instant) -> String {
    let mut times_s = Vec::new();
    thread::scope(|scope| {
        let threads: Vec<_> = vms
            .iter()
            .map(|vm| {
                scope.spawn(move || {
                    while started.elapsed() < ACTIVATION_TIMEOUT {
                        if vm.config_version() >= version {
                            return started.elapsed().as_secs_f64();
                        }
                        thread::sleep(Duration::from_millis(5));
                    }
                    f64::INFINITY
                })
            })
            .collect();
        times_s.extend(threads.into_iter().filter_map(|it| it.join().ok()));
    });
    times_s.sort_by(f64::total_cmp);
    format!("{:.2} / {:.2}", percentile(&times_s, 50), percentile(&times_s, 100))
}

/// Returns the cells of one row: the resources that VMs use without requests.
fn control_overhead(cluster: &Cluster) -> Vec<String> {
    let vms = &cluster.vms;
    let sum = |name: &str| vms.iter().map(|vm| metric(vm, name)).sum::<f64>();
    let cpu = || vms.iter().map(|vm| process::cpu_time(vm.pid())).sum::<Duration>();
    let labels = "direction=\"out\"";
    let names = [
        format!("cranberryvalve_peer_messages_total{{{labels}}}"),
        format!("cranberryvalve_peer_bytes_total{{{labels}}}"),
    ];
    let counts_before = cluster.platform.counts();
    let before: Vec<f64> = names.iter().map(|name| sum(name)).collect();
    let cpu_before = cpu();
    let started = Instant::now();
    thread::sleep(IDLE_TIME);
    let cpu_used = cpu() - cpu_before;
    let after: Vec<f64> = names.iter().map(|name| sum(name)).collect();
    let counts = cluster.platform.counts();
    let elapsed_s = started.elapsed().as_secs_f64();
    let per_vm = |total: f64| total / elapsed_s / vms.len() as f64;
    let memory_mib: f64 = vms.iter().map(|vm| process::memory_mib(vm.pid())).sum();
    vec![
        vms.len().to_string(),
        format!("{:.2}", 100.0 * per_vm(cpu_used.as_secs_f64())),
        format!("{:.1}", memory_mib / vms.len() as f64),
        format!("{:.1}", per_vm(after[0] - before[0])),
        format!("{:.0}", per_vm(after[1] - before[1])),
        format!("{:.2}", per_vm((counts.row_reads - counts_before.row_reads) as f64)),
        format!("{:.2}", (counts.row_writes - counts_before.row_writes) as f64 / elapsed_s),
    ]
}

/// Returns the value of a metric from the Prometheus text of a VM, or 0 if it is missing.
fn metric(vm: &Vm, name: &str) -> f64 {
    let response = client::operator(vm.operator_address, "GET", "/metrics", None);
    let text = response.and_then(|it| it.body.as_str().map(str::to_owned)).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|it| it.trim().parse().ok()).unwrap_or(0.0)
}
