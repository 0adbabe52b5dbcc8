//! Simulates loads on the model of engines and many VMs with each placement policy.

mod plot;

use std::path::PathBuf;
use std::time::Duration;

use cranberryvalve_model::Fleet;
use cranberryvalve_model::Load;
use cranberryvalve_model::PlacementPolicy;
use cranberryvalve_model::Report;
use cranberryvalve_model::Tally;
use cranberryvalve_model::simulate;
use eyre::Result;
use gumdrop::Options;

use self::plot::Panel;
use self::plot::PolicyResult;
use crate::CheckResult;
use crate::report;

/// Seed of every run, so that policies see the same requests.
const SEED: u64 = 7;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct FleetOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, meta = "FILE", help = "also plot the share of requests on time as SVG")]
    plot: Option<PathBuf>,
}

/// A load and the fleet that it is simulated on.
struct Scenario {
    name: &'static str,
    fleet: Fleet,
    load: Load,
}

/// Prints a table for each scenario and placement policy.
pub(crate) fn run(options: &FleetOptions) -> Result<CheckResult> {
    let mut panels = Vec::new();
    for scenario in scenarios() {
        report::line(&format!("\n{}", scenario.name));
        let mut results = Vec::new();
        for policy in [
            PlacementPolicy::Coordinated,
            PlacementPolicy::Uncoordinated,
            PlacementPolicy::Baseline,
        ] {
            let report = simulate(&scenario.fleet, &scenario.load, policy, SEED);
            print(&scenario, policy, &report);
            results.push(PolicyResult { name: policy.name(), report });
        }
        panels.push(Panel { name: scenario.name, results });
    }
    if let Some(path) = &options.plot {
        plot::write(path, &panels)?;
    }
    Ok(CheckResult::Passed)
}

fn scenarios() -> Vec<Scenario> {
    let burst = Load::moderate().scaled(1.4).burst("draft", 2.3, SECOND, 9 * SECOND);
    let large_burst = Load::moderate().scaled(13.0).burst("draft", 1.6, SECOND, 9 * SECOND);
    let hot = Load::moderate().scaled(10.0).hot_prefix(0.3);
    let crash = Fleet::small().crash(0, 4 * SECOND, 6 * SECOND);
    vec![
        Scenario { name: "calm: 8 VMs, 12 engines", fleet: Fleet::small(), load: Load::moderate() },
        Scenario { name: "drafts burst: 8 VMs, 12 engines", fleet: Fleet::small(), load: burst },
        Scenario {
            name: "an engine crashes: 8 VMs, 12 engines",
            fleet: crash,
            load: Load::moderate(),
        },
        Scenario {
            name: "drafts burst: 80 VMs, 90 engines",
            fleet: Fleet::large(),
            load: large_burst,
        },
        Scenario { name: "a hot beginning: 80 VMs, 90 engines", fleet: Fleet::large(), load: hot },
    ]
}

fn print(scenario: &Scenario, policy: PlacementPolicy, result: &Report) {
    let per_vm_s =
        result.messages as f64 / scenario.fleet.vms as f64 / scenario.load.duration.as_secs_f64();
    report::line(&format!(
        "{}: {:.0} % of prompt tokens cached, {} k read again, {per_vm_s:.1} messages a VM and s",
        policy.name(),
        result.cached_share() * 100.0,
        result.recomputed_tokens / 1_000,
    ));
    let header =
        ["kind", "asked", "on time %", "late %", "refused %", "failed %", "longest wait s"];
    let rows: Vec<Vec<String>> =
        result.kinds.iter().map(|(kind, tally)| row(kind, tally)).collect();
    report::table(&header, &rows);
}

fn row(kind: &str, tally: &Tally) -> Vec<String> {
    let percent =
        |part: u32| format!("{:.1}", f64::from(part) * 100.0 / f64::from(tally.requests.max(1)));
    vec![
        kind.to_owned(),
        tally.requests.to_string(),
        percent(tally.on_time),
        percent(tally.late),
        percent(tally.refused),
        percent(tally.failed),
        format!("{:.2}", tally.longest_wait.as_secs_f64()),
    ]
}
