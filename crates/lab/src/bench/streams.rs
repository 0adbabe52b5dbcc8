//! Benchmark of one VM process: the cost of many streams, and the latency it adds compared with a
//! direct connection.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::client::ChatResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::engine::EngineSettings;
use eyre::Result;

use super::process;
use crate::programs;
use crate::report;
use crate::report::percentile;

/// Numbers of concurrent streams.
const STREAM_COUNTS: [usize; 3] = [100, 400, 1_600];

/// Interval between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(39);

/// Number of tokens in each response.
const TOKENS: u64 = 120;

/// Number of requests sent through the VM; as many are sent through a direct connection.
const COMPARED_REQUESTS: usize = 60;

/// Measures the added latency, then the cost of each number of streams.
pub(super) fn run() -> Result<()> {
    let settings = ClusterSettings {
        vms: 1,
        engines: 4,
        engine: EngineSettings {
            slots: 1_000,
            token_interval: TOKEN_INTERVAL,
            prefill: Duration::from_millis(5),
            ..EngineSettings::default()
        },
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start_with(&programs::daemon()?, settings, |config| {
        config.upstreams.iter_mut().for_each(|it| it.slots = 1_000);
    })?;
    compare_latency(&cluster);
    report::line("\nstreams: one VM process, a token each 39 ms in each stream");
    let idle_mib = process::memory_mib(cluster.vms[0].pid());
    let mut rows = vec![vec!["0".to_owned(), "-".into(), "-".into(), format!("{idle_mib:.1}")]];
    for streams in STREAM_COUNTS {
        rows.push(run_streams(&cluster, streams));
    }
    report::table(&["streams", "tokens/s", "core %", "memory MiB"], &rows);
    Ok(())
}

fn run_streams(cluster: &Cluster, streams: usize) -> Vec<String> {
    let vm = &cluster.vms[0];
    let (callers, pid) = (vm.caller_address, vm.pid());
    let cpu_before = process::cpu_time(pid);
    let started = Instant::now();
    let mut peak_mib = 0.0_f64;
    let tokens: usize = thread::scope(|scope| {
        let threads: Vec<_> = (0..streams)
            .filter_map(|number| {
                let thread = thread::Builder::new().stack_size(256 * 1024);
                thread.spawn_scoped(scope, move || client::chat(callers, &chat(number))).ok()
            })
            .collect();
        while threads.iter().any(|it| !it.is_finished()) {
            peak_mib = peak_mib.max(process::memory_mib(pid));
            thread::sleep(Duration::from_millis(50));
        }
        let responses = threads.into_iter().filter_map(|it| it.join().ok());
        responses.map(|it| it.tokens.len()).sum()
    });
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = (process::cpu_time(pid) - cpu_before).as_secs_f64();
    vec![
        streams.to_string(),
        format!("{:.0}", tokens as f64 / elapsed),
        format!("{:.1}", 100.0 * cpu / elapsed),
        format!("{peak_mib:.1}"),
    ]
}

fn chat(number: usize) -> ChatRequest {
    let prompt = format!("stream {number}");
    let key = config::api_key(number % 4);
    ChatRequest::new(&key, config::COMMENTARY, config::MODEL, &prompt).tokens(TOKENS)
}

/// Compares the latency through the VM with that of a direct connection, with alternating requests.
fn compare_latency(cluster: &Cluster) {
    let vm = cluster.vms[0].caller_address;
    let engine = cluster.engines[0].address();
    let mut direct = LatencySamples::default();
    let mut routed = LatencySamples::default();
    for number in 0..COMPARED_REQUESTS {
        direct.measure(engine, number * 2);
        routed.measure(vm, number * 2 + 1);
    }
    let (direct, routed) = (direct.medians_ms(), routed.medians_ms());
    report::line("\noverhead: through one VM against a direct connection, medians in turn");
    let row = |name: &str, routed: f64, direct: f64| {
        vec![
            name.to_owned(),
            format!("{direct:.2}"),
            format!("{routed:.2}"),
            format!("{:.3}", routed / direct),
        ]
    };
    let rows = [
        row("time to first token", routed.0, direct.0),
        row("time between tokens", routed.1, direct.1),
    ];
    report::table(&["", "direct ms", "routed ms", "ratio"], &rows);
}

/// Latency samples in milliseconds.
#[derive(Default)]
struct LatencySamples {
    first_token_ms: Vec<f64>,
    token_interval_ms: Vec<f64>,
}

impl LatencySamples {
    fn measure(&mut self, address: SocketAddr, number: usize) {
        let response: ChatResponse = client::chat(address, &chat(number + 10_000).tokens(20));
        let ms = |it: Duration| it.as_secs_f64() * 1_000.0;
        self.first_token_ms.extend(response.first_token.map(ms));
        self.token_interval_ms.extend(response.token_interval().map(ms));
    }

    /// Returns the medians of the time to the first token and of the token interval.
    fn medians_ms(mut self) -> (f64, f64) {
        self.first_token_ms.sort_by(f64::total_cmp);
        self.token_interval_ms.sort_by(f64::total_cmp);
        (percentile(&self.first_token_ms, 50), percentile(&self.token_interval_ms, 50))
    }
}
