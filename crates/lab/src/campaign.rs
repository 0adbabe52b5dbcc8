//! Fault-injection campaign: pairs of faults with real processes, and a check of the invariants.

mod callers;
mod checker;
mod faults;
mod upgrade;
mod workload;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use gumdrop::Options;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::callers::Callers;
use self::checker::Breach;
use self::checker::Observations;
use self::faults::Fault;
use self::upgrade::Programs;
use crate::CheckResult;
use crate::programs;
use crate::report;

/// Number of VMs in each round.
const VMS: usize = 4;

/// Number of engines in each round.
const ENGINES: usize = 6;

/// Time over which the workload of a pair of faults is spread.
const WORKLOAD_DURATION: Duration = Duration::from_millis(3_500);

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
    #[options(no_short, help = "replace the daemons one after the other instead of faults")]
    upgrade: bool,
    #[options(no_short, help = "program that an upgrade starts with (default: the present one)")]
    old: Option<String>,
}

/// Runs the rounds, each with a pair of faults and a workload drawn from its seed.
pub(crate) fn run(options: &CampaignOptions) -> Result<CheckResult> {
    let programs = programs(options)?;
    let mut result = CheckResult::Passed;
    for seed in options.seed..options.seed + options.rounds {
        let breaches = match &programs {
            Some(programs) => upgrade::run_round(seed, programs)?,
            None => run_round(seed)?,
        };
        for breach in &breaches {
            report::line(&format!("  BREACH: {breach}"));
            result = CheckResult::Failed;
        }
    }
    Ok(result)
}

/// Returns the programs of an upgrade, or `None` if none was asked for.
fn programs(options: &CampaignOptions) -> Result<Option<Programs>> {
    if !options.upgrade {
        return Ok(None);
    }
    let new = programs::daemon()?;
    let old = options.old.as_ref().map_or_else(|| new.clone(), PathBuf::from);
    if !old.exists() {
        bail!("--old: `{}` does not exist", old.display());
    }
    Ok(Some(Programs { old, new }))
}

/// Runs a pair of faults, prints a line and returns the invariants that were breached.
fn run_round(seed: u64) -> Result<Vec<Breach>> {
    let pair = Fault::pair(&mut Pcg64Mcg::seed_from_u64(seed));
    let settings =
        ClusterSettings { vms: VMS, engines: ENGINES, services: 2, ..ClusterSettings::default() };
    let mut cluster = Cluster::start(&programs::daemon()?, settings)?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = [rng.random_range(1..VMS), rng.random_range(0..ENGINES)];
    let callers = Callers::of(&cluster);
    let operators: Vec<_> = cluster.vms.iter().map(|it| it.operator_address).collect();
    let workload =
        thread::spawn(move || workload::run(seed, WORKLOAD_DURATION, &callers, &operators));
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
    let breaches = checker::check(&observations);
    report::line(&format!("seed {seed}: {pair:?}: {} breaches", breaches.len()));
    Ok(breaches)
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
