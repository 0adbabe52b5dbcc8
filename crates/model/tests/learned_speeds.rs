//! Engines of one pool differ in speed, and the scheduler learns how much each one takes well.

use std::time::Duration;

use cranberryvalve_model::Fleet;
use cranberryvalve_model::Load;
use cranberryvalve_model::PlacementPolicy;
use cranberryvalve_model::Report;
use cranberryvalve_model::simulate;

const SECOND: Duration = Duration::from_secs(1);

/// Engines with 1.6, 1.0 and 0.6 times the usual speed.
const UNEVEN: [f64; 3] = [0.625, 1.0, 1.67];

fn uneven_fleet() -> Fleet {
    Fleet { engines: 24, vms: 24, ..Fleet::small().slowdowns(&UNEVEN) }
}

/// Twice the moderate load, with drafts for nine seconds and then streams in a burst.
fn changing_load() -> Load {
    let load = Load::moderate().scaled(2.0);
    load.burst("draft", 2.3, SECOND, 9 * SECOND).burst("stream", 2.3, 11 * SECOND, 6 * SECOND)
}

fn run(fleet: &Fleet) -> Report {
    simulate(fleet, &changing_load(), PlacementPolicy::Coordinated, 7)
}

/// Guards against streams that share slow engines with prompts: the target is 95 in 100 on time.
#[test]
fn streams_keep_their_pauses_on_uneven_engines() {
    let report = run(&uneven_fleet().reporting_work_time());
    for kind in ["draft", "question", "stream"] {
        assert!(report.on_time_share(kind) >= 0.95, "{kind}: {report:?}");
    }
    let without = run(&uneven_fleet());
    assert!(without.on_time_share("stream") < 0.95, "{without:?}");
}
