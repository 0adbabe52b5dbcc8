//! Fault-injection campaign: pairs of faults with real processes, and a check of the invariants.

mod checker;
mod faults;
mod workload;

use std::thread;
use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;
use eyre::Result;
use eyre::eyre;
use gumdrop::Options;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::checker::Breach;
use self::checker::Observations;
use self::faults::Fault;
use crate::CheckResult;
use crate::programs;
use crate::report;

/// Number of VMs in each round.
const VMS: usize = 4;

/// Number of engines in each round.
const ENGINES: usize = 6;

/// Duration of the faults.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Maximum time for all VMs to activate the same configuration after the faults.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct CampaignOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "seed of the first round (default 1)", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of rounds (default 6)", default = "6")]
    rounds: u64,
}

/// Runs the rounds, each with a pair of faults and a workload drawn from its seed.
pub(crate) fn run(options: &CampaignOptions) -> Result<CheckResult> {
    let mut result = CheckResult::Passed;
    for seed in options.seed..options.seed + options.rounds {
        let pair = Fault::pair(&mut Pcg64Mcg::seed_from_u64(seed));
        let breaches = run_round(seed, pair)?;
        report::line(&format!("seed {seed}: {pair:?}: {} breaches", breaches.len()));
        for breach in &breaches {
            report::line(&format!("  BREACH: {breach}"));
            result = CheckResult::Failed;
        }
    }
    Ok(result)
}

/// Runs one round and returns the invariants that were breached.
fn run_round(seed: u64, pair: [Fault; 2]) -> Result<Vec<Breach>> {
    let settings =
        ClusterSettings { vms: VMS, engines: ENGINES, services: 2, ..ClusterSettings::default() };
    let mut cluster = Cluster::start(&programs::daemon()?, settings)?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = [rng.random_range(1..VMS), rng.random_range(0..ENGINES)];
    let callers: Vec<_> = cluster.vms.iter().map(|it| it.caller_address).collect();
    let operators: Vec<_> = cluster.vms.iter().map(|it| it.operator_address).collect();
    let workload = thread::spawn(move || workload::run(seed, &callers, &operators));
    thread::sleep(Duration::from_millis(300));
    for fault in pair {
        fault.start(&mut cluster, targets);
    }
    thread::sleep(FAULT_DURATION);
    for fault in pair {
        fault.stop(&mut cluster, targets);
    }
    let mut observations = workload.join().map_err(|_| eyre!("the workload panicked"))?;
    observe_effects(&cluster, &mut observations);
    observe_versions(&cluster, &mut observations);
    Ok(checker::check(&observations))
}

/// Records the idempotency keys of the calls that the services ran.
fn observe_effects(cluster: &Cluster, observations: &mut Observations) {
    for service in &cluster.services {
        observations.effects.extend(service.effects().into_iter().map(|it| it.idempotency_key));
    }
}

/// Records the active version of each VM as soon as all have the same one, no older than the newest
/// applied, or else after the timeout.
fn observe_versions(cluster: &Cluster, observations: &mut Observations) {
    let versions = || -> Vec<u64> {
        let dumps = cluster.vms.iter().map(Vm::dump);
        dumps.filter_map(|it| it["config"]["version"].as_u64()).collect()
    };
    wait_until(CONVERGENCE_TIMEOUT, || {
        let versions = versions();
        let newest = observations.newest_applied();
        versions.len() == cluster.vms.len()
            && versions.iter().all(|it| *it == versions[0] && *it >= newest)
    });
    observations.final_versions = versions();
    observations.vm_count = cluster.vms.len();
}
