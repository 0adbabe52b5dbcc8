//! Demonstration with simulated upstreams: a shift change whose load exceeds the capacity.

mod load;
mod results;

use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::engine::Engine;
use cranberryvalve_standins::engine::EngineSettings;
use cranberryvalve_standins::vm::OPERATOR_TOKEN;
use eyre::Result;
use gumdrop::Options;

use self::load::RoundRobin;
use self::load::Target;
use self::load::run_burst;
use crate::CheckResult;
use crate::programs;
use crate::report;

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct DemoOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "only start the cluster, print its addresses and wait for Enter")]
    keep: bool,
}

/// Runs the burst through cranberryvalve and through a round-robin baseline.
pub(crate) fn run(options: &DemoOptions) -> Result<CheckResult> {
    let settings = ClusterSettings {
        vms: 8,
        engines: 18,
        services: 3,
        customers: 10,
        engine: EngineSettings {
            slots: 4,
            token_interval: Duration::from_millis(15),
            prefill: Duration::from_millis(60),
            ..EngineSettings::default()
        },
        ..ClusterSettings::default()
    };
    let program = programs::daemon()?;
    report::line("starting 8 VMs in 3 failure domains, 18 engines, 3 plain services");
    let cluster = Cluster::start_with(&program, settings, |config| {
        for upstream in &mut config.upstreams {
            upstream.slots = if upstream.id.starts_with("engine") { 4 } else { 16 };
        }
    })?;
    // Uneven engines, as in production: one is a straggler, one breaks off its streams.
    cluster.engines[3].set_faults(|it| it.slowdown = 4);
    cluster.engines[7].set_faults(|it| it.cut_after_tokens = Some(40));
    if options.keep {
        return keep_running(&cluster);
    }
    let vms = cluster.vms.iter().map(|it| it.caller_address).collect();
    let routed = run_burst(&Target::Vms(vms));
    let result = results::check(&cluster, &routed);
    results::print("cranberryvalve", &routed);
    let engines = cluster.engines.iter().map(Engine::address).collect();
    let baseline = run_burst(&Target::Engines(RoundRobin::new(engines)));
    results::print("naive baseline: round robin over the engines, no tiers, no retries", &baseline);
    Ok(result)
}

/// Prints the addresses of the cluster and waits for Enter.
fn keep_running(cluster: &Cluster) -> Result<CheckResult> {
    let first_vm = &cluster.vms[0];
    for vm in &cluster.vms {
        let name = &vm.settings.name;
        report::line(&format!(
            "{name}: callers {}, operators {}",
            vm.caller_address, vm.operator_address
        ));
    }
    report::line(&format!(
        "try: curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' \
         -H 'x-service-class: {}' -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":\
         [{{\"role\":\"user\",\"content\":\"bar at 06:00?\"}}]}}'",
        first_vm.caller_address,
        config::api_key(0),
        config::TIDE_CHECK,
        config::MODEL,
    ));
    report::line(&format!("operators' token: {OPERATOR_TOKEN}"));
    report::line("press Enter to stop");
    std::io::stdin().read_line(&mut String::new())?;
    Ok(CheckResult::Passed)
}
