//! Loads played on the model of engines and many VMs, for each way to place requests.

mod plot;

use std::path::PathBuf;
use std::time::Duration;

use cranberryvalve_model::Decider;
use cranberryvalve_model::Fleet;
use cranberryvalve_model::Load;
use cranberryvalve_model::Report;
use cranberryvalve_model::Tally;
use cranberryvalve_model::simulate;
use eyre::Result;
use gumdrop::Options;

use self::plot::Outcome;
use self::plot::Panel;
use crate::Held;
use crate::report;

/// Seed of all runs.
const SEED: u64 = 7;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Options)]
pub(crate) struct FleetOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, meta = "FILE", help = "also draw the shares on time as SVG")]
    plot: Option<PathBuf>,
}

/// A load with the deployment that it is played on.
struct Scene {
    name: &'static str,
    fleet: Fleet,
    load: Load,
}

/// Prints a table for each scene and decider.
pub(crate) fn run(options: &FleetOptions) -> Result<Held> {
    let mut panels = Vec::new();
    for scene in scenes() {
        report::line(&format!("\n{}", scene.name));
        let mut outcomes = Vec::new();
        for decider in [Decider::Scheduler, Decider::Alone, Decider::Plain] {
            let report = simulate(&scene.fleet, &scene.load, decider, SEED);
            print(&scene, decider, &report);
            outcomes.push(Outcome { name: decider.name(), report });
        }
        panels.push(Panel { name: scene.name, outcomes });
    }
    if let Some(path) = &options.plot {
        plot::write(path, &panels)?;
    }
    Ok(Held::Yes)
}

fn scenes() -> Vec<Scene> {
    let burst = Load::calm().times(1.4).burst("draft", 2.3, SECOND, 9 * SECOND);
    let large = Load::calm().times(13.0).burst("draft", 1.6, SECOND, 9 * SECOND);
    let hot = Load::calm().times(10.0).hot(0.3);
    let crash = Fleet::small().crash(0, 4 * SECOND, 6 * SECOND);
    vec![
        Scene { name: "calm: 8 VMs, 12 engines", fleet: Fleet::small(), load: Load::calm() },
        Scene { name: "drafts burst: 8 VMs, 12 engines", fleet: Fleet::small(), load: burst },
        Scene { name: "an engine crashes: 8 VMs, 12 engines", fleet: crash, load: Load::calm() },
        Scene { name: "drafts burst: 80 VMs, 90 engines", fleet: Fleet::large(), load: large },
        Scene { name: "a hot beginning: 80 VMs, 90 engines", fleet: Fleet::large(), load: hot },
    ]
}

fn print(scene: &Scene, decider: Decider, result: &Report) {
    let per_vm_s =
        result.messages as f64 / scene.fleet.vms as f64 / scene.load.length.as_secs_f64();
    report::line(&format!(
        "{}: {:.0} % of prompt tokens cached, {} k read again, {per_vm_s:.1} messages a VM and s",
        decider.name(),
        result.cached_share() * 100.0,
        result.read_again_tokens / 1_000,
    ));
    let header =
        ["kind", "asked", "on time %", "late %", "refused %", "failed %", "longest wait s"];
    let rows: Vec<Vec<String>> =
        result.kinds.iter().map(|(kind, tally)| row(kind, tally)).collect();
    report::table(&header, &rows);
}

fn row(kind: &str, tally: &Tally) -> Vec<String> {
    let percent =
        |part: u32| format!("{:.1}", f64::from(part) * 100.0 / f64::from(tally.asked.max(1)));
    vec![
        kind.to_owned(),
        tally.asked.to_string(),
        percent(tally.on_time),
        percent(tally.late),
        percent(tally.refused),
        percent(tally.failed),
        format!("{:.2}", tally.longest_wait.as_secs_f64()),
    ]
}
