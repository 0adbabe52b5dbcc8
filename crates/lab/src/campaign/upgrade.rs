//! Upgrades of daemons: each VM's program is replaced by another one under a workload.

mod limited;
mod steps;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_standins::client;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;
use eyre::Result;
use eyre::eyre;

use self::steps::Ending;
use self::steps::Program;
use self::steps::Step;
use self::steps::Steps;
use super::CONVERGENCE_TIMEOUT;
use super::ENGINES;
use super::VMS;
use super::callers::Callers;
use super::callers::READINESS_PATH;
use super::checker;
use super::checker::Breach;
use super::checker::Observations;
use super::checker::VersionObservation;
use super::observe_effects;
use super::observe_versions;
use super::workload;
use crate::report;

/// Number of customers, of which the last one has a limit.
const CUSTOMERS: usize = 5;

/// Maximum number of requests of the last customer in flight, over all VMs.
const MAX_IN_FLIGHT: u32 = 6;

/// Time that services take to respond, so that VMs end while they wait.
const SERVICE_DELAY: Duration = Duration::from_millis(150);

/// Path at which a VM that serves callers responds.
const HEALTH_PATH: &str = "/healthz";

/// Time after the last step until the members agree and shares of the limits from before have expired,
/// and time for which the limits are observed after that.
const AGREEMENT_TIME: Duration = Duration::from_secs(8);
const AGREED_TIME: Duration = Duration::from_secs(3);

/// Maximum time for a VM to stop after SIGTERM; its streams take a few seconds.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two looks at the versions in force.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between probes of the load balancer, which has the drain time of a VM to notice a stop.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Folder of the logs of upgrades that breached an invariant.
const LOGS_FOLDER: &str = "target/upgrade/daemon-logs";

/// The programs of an upgrade.
pub(super) struct Programs {
    pub(super) old: PathBuf,
    pub(super) new: PathBuf,
}

impl Programs {
    fn path(&self, program: Program) -> &Path {
        match program {
            Program::Old => &self.old,
            Program::New => &self.new,
        }
    }
}

/// Plays the upgrade of a seed, prints a line and returns the invariants that were breached.
pub(super) fn run_round(seed: u64, programs: &Programs) -> Result<Vec<Breach>> {
    let settings = ClusterSettings {
        vms: VMS,
        engines: ENGINES,
        services: 2,
        customers: CUSTOMERS,
        ..ClusterSettings::default()
    };
    let mut cluster = Cluster::start_with(&programs.old, settings, |config| {
        config.customers[CUSTOMERS - 1].max_in_flight = Some(MAX_IN_FLIGHT);
    })?;
    for service in &cluster.services {
        service.set_faults(|it| it.delay = SERVICE_DELAY);
    }
    let steps = Steps::from_seed(seed, VMS);
    let mut observations = play(&mut cluster, seed, &steps, programs)?;
    cluster.platform.set_faults(|it| *it = Default::default());
    observe_effects(&cluster, &mut observations);
    observe_versions(&cluster, &mut observations);
    observe_members(&cluster, &mut observations);
    let breaches = checker::check(&observations);
    let served = observations.chats.iter().filter(|it| it.complete).count();
    report::line(&format!(
        "seed {seed}: {}: {} steps, {} of {} chats complete, {} calls ran, {} plans, {} of {} in \
         flight at most: {} breaches",
        steps.course.name(),
        steps.list.len(),
        served,
        observations.chats.len(),
        observations.effects.len(),
        observations.plans.len(),
        observations.peak_in_flight(None),
        MAX_IN_FLIGHT,
        breaches.len()
    ));
    if !breaches.is_empty() {
        keep_logs(&cluster, seed)?;
    }
    Ok(breaches)
}

/// Replaces the programs under the workload and returns what was observed meanwhile.
fn play(
    cluster: &mut Cluster,
    seed: u64,
    steps: &Steps,
    programs: &Programs,
) -> Result<Observations> {
    let callers = Callers::of(cluster);
    let operators: Vec<_> = cluster.vms.iter().map(|it| it.operator_address).collect();
    let (started, is_over) = (Instant::now(), AtomicBool::new(false));
    let Cluster { vms, platform, .. } = cluster;
    thread::scope(|scope| {
        let workload = scope.spawn(|| workload::run(seed, steps.length, &callers, &operators));
        let limited = scope.spawn(|| limited::run(seed, &is_over, &callers));
        let versions = scope.spawn(|| sample_versions(&operators, &is_over));
        scope.spawn(|| {
            while !is_over.load(Ordering::SeqCst) {
                callers.probe();
                thread::sleep(PROBE_INTERVAL);
            }
        });
        scope.spawn(|| {
            sleep_until(started + steps.store_outage.start);
            platform.set_faults(|it| it.down = true);
            sleep_until(started + steps.store_outage.end);
            platform.set_faults(|it| *it = Default::default());
        });
        let failed_stops = replace_all(vms, started, steps, programs);
        let agreed_from = Instant::now() + AGREEMENT_TIME;
        let observations = workload.join();
        sleep_until(agreed_from + AGREED_TIME);
        is_over.store(true, Ordering::SeqCst);
        let failed = |_| eyre!("a thread of the upgrade panicked");
        Ok(Observations {
            limited: limited.join().map_err(failed)?,
            versions: versions.join().map_err(failed)?,
            limit: Some(MAX_IN_FLIGHT as usize),
            agreed_from: Some(agreed_from),
            failed_stops: failed_stops?,
            ..observations.map_err(failed)?
        })
    })
}

/// Carries out the steps, those of different VMs side by side. Returns how often a VM did not stop as
/// it should.
fn replace_all(
    vms: &mut [Vm],
    started: Instant,
    steps: &Steps,
    programs: &Programs,
) -> Result<usize> {
    thread::scope(|scope| {
        let threads: Vec<_> = vms
            .iter_mut()
            .enumerate()
            .map(|(number, vm)| {
                let own = steps.list.iter().filter(move |it| it.vm == number);
                scope.spawn(move || {
                    own.map(|it| replace(vm, started, it, programs)).collect::<Result<Vec<_>>>()
                })
            })
            .collect();
        let mut failed = 0;
        for thread in threads {
            let stops = thread.join().map_err(|_| eyre!("a thread of the upgrade panicked"))??;
            failed += stops.iter().filter(|it| !**it).count();
        }
        Ok(failed)
    })
}

/// Replaces the program of a VM. Returns whether it stopped as it should.
fn replace(vm: &mut Vm, started: Instant, step: &Step, programs: &Programs) -> Result<bool> {
    sleep_until(started + step.at);
    let is_stopped = match step.ending {
        Ending::Kill => true,
        Ending::Stop => {
            // Builds up to 97079c5 have no handler of signals when they accept the first callers.
            let is_new = vm.settings.program == programs.new;
            let path = if is_new { HEALTH_PATH } else { READINESS_PATH };
            let is_up = client::get_status(vm.caller_address, path) == Some(200);
            vm.terminate();
            vm.wait_exit(STOP_TIMEOUT) == Some(0) || !is_up
        }
        Ending::KillWhileStopping(after) => {
            vm.terminate();
            thread::sleep(after);
            true
        }
    };
    vm.kill();
    thread::sleep(step.down);
    vm.restart(programs.path(step.program))?;
    Ok(is_stopped)
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Looks at the version in force at each VM until the upgrade is over.
fn sample_versions(operators: &[SocketAddr], is_over: &AtomicBool) -> Vec<VersionObservation> {
    let mut samples = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        for (vm, address) in operators.iter().enumerate() {
            let Some(response) = client::operator(*address, "GET", "/dump", None) else { continue };
            let dump = response.body;
            let (started, version) = (&dump["started_unix_ms"], &dump["config"]["version"]);
            if let (Some(process), Some(version)) = (started.as_u64(), version.as_u64()) {
                samples.push(VersionObservation { vm, process, version });
            }
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    samples
}

/// Records the number of VMs whose build each VM shows, as soon as all show all, or else after the
/// timeout.
fn observe_members(cluster: &Cluster, observations: &mut Observations) {
    let known = |vm: &Vm| {
        let dump = vm.dump();
        let builds = dump["member_builds"].as_array().cloned().unwrap_or_default();
        let announced = builds.iter().filter(|it| it["build"] == builds[0]["build"]).count();
        let alive = dump["members_alive"].as_u64().unwrap_or(0);
        announced.min(usize::try_from(alive).unwrap_or(0))
    };
    let known_by_all = || cluster.vms.iter().map(known).collect::<Vec<_>>();
    wait_until(CONVERGENCE_TIMEOUT, || known_by_all().iter().all(|it| *it == VMS));
    observations.final_members = known_by_all();
}

fn keep_logs(cluster: &Cluster, seed: u64) -> Result<()> {
    let folder = Path::new(LOGS_FOLDER).join(format!("seed-{seed}"));
    fs::create_dir_all(&folder)?;
    for vm in &cluster.vms {
        fs::write(folder.join(format!("{}.log", vm.settings.name)), vm.log())?;
    }
    report::line(&format!("  logs: {}", folder.display()));
    Ok(())
}
