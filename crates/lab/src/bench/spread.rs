//! Time until a configuration is in force everywhere, and the cost of control.

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

/// Numbers of VMs.
const SIZES: [usize; 5] = [4, 8, 16, 32, 64];

/// Customers and upstreams in the document.
const CUSTOMERS: usize = 440;
const UPSTREAMS: usize = 600;

/// Time for which control alone is measured.
const QUIET: Duration = Duration::from_secs(8);

/// Longest time that is waited for a configuration.
const LIMIT: Duration = Duration::from_secs(15);

/// Runs at each size.
pub(super) fn run() -> Result<()> {
    let mut times = Vec::new();
    let mut costs = Vec::new();
    let mut document_bytes = 0;
    for vms in SIZES {
        let settings = ClusterSettings {
            vms,
            engines: 12,
            services: 3,
            customers: CUSTOMERS,
            ..ClusterSettings::default()
        };
        let cluster = Cluster::start_with(&programs::daemon()?, settings, pad)?;
        document_bytes = serde_json::to_vec(&cluster.config)?.len();
        thread::sleep(Duration::from_secs(5));
        costs.push(control_cost(&cluster));
        times.push(spread_times(&cluster));
    }
    report::line(&format!(
        "\nspread: time until in force on every VM, median and worst VM, in s; the document has \
         {document_bytes} bytes"
    ));
    let header = ["VMs", "healthy", "store slow by 500 ms", "store down after"];
    report::table(&header, &times);
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
    report::table(&header, &costs);
    Ok(())
}

/// Adds upstreams up to the target size, out of service, so that the document has that size too.
fn pad(config: &mut Config) {
    for number in config.upstreams.len()..UPSTREAMS {
        let address = ([127, 0, 0, 1], 1).into();
        let id = format!("engine-{number}");
        let mut upstream = upstream(&id, address, UpstreamKind::Engine, "lyttelton", 8);
        upstream.drained = true;
        config.upstreams.push(upstream);
    }
}

fn spread_times(cluster: &Cluster) -> Vec<String> {
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
        cells.push(wait_in_force(&cluster.vms, version, started));
        cluster.platform.set_faults(|it| *it = Default::default());
        thread::sleep(Duration::from_secs(2));
    }
    cells
}

fn wait_in_force(vms: &[Vm], version: u64, started: Instant) -> String {
    let mut times_s = Vec::new();
    thread::scope(|scope| {
        let threads: Vec<_> = vms
            .iter()
            .map(|vm| {
                scope.spawn(move || {
                    while started.elapsed() < LIMIT {
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

fn control_cost(cluster: &Cluster) -> Vec<String> {
    let vms = &cluster.vms;
    let sum = |name: &str| vms.iter().map(|vm| metric(vm, name)).sum::<f64>();
    let cpu = || vms.iter().map(|vm| process::cpu_time(vm.pid())).sum::<Duration>();
    let out = "direction=\"out\"";
    let names = [
        format!("cranberryvalve_peer_messages_total{{{out}}}"),
        format!("cranberryvalve_peer_bytes_total{{{out}}}"),
    ];
    let counts_before = cluster.platform.counts();
    let before: Vec<f64> = names.iter().map(|name| sum(name)).collect();
    let cpu_before = cpu();
    let started = Instant::now();
    thread::sleep(QUIET);
    let cpu_used = cpu() - cpu_before;
    let after: Vec<f64> = names.iter().map(|name| sum(name)).collect();
    let counts = cluster.platform.counts();
    let elapsed_s = started.elapsed().as_secs_f64();
    let per_vm = |total: f64| total / elapsed_s / vms.len() as f64;
    let memory: f64 = vms.iter().map(|vm| process::memory_mib(vm.pid())).sum();
    vec![
        vms.len().to_string(),
        format!("{:.2}", 100.0 * per_vm(cpu_used.as_secs_f64())),
        format!("{:.1}", memory / vms.len() as f64),
        format!("{:.1}", per_vm(after[0] - before[0])),
        format!("{:.0}", per_vm(after[1] - before[1])),
        format!("{:.2}", per_vm((counts.reads - counts_before.reads) as f64)),
        format!("{:.2}", (counts.writes - counts_before.writes) as f64 / elapsed_s),
    ]
}

/// Value of a metric in Prometheus text; 0 when it is missing.
fn metric(vm: &Vm, name: &str) -> f64 {
    let reply = client::operator(vm.operators, "GET", "/metrics", None);
    let text = reply.and_then(|it| it.body.as_str().map(str::to_owned)).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|it| it.trim().parse().ok()).unwrap_or(0.0)
}
