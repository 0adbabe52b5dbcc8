//! Each load with the decision that answers it, beside the plain version.

use std::time::Duration;

use cranberryvalve_model::Decider;
use cranberryvalve_model::Fleet;
use cranberryvalve_model::Load;
use cranberryvalve_model::Report;
use cranberryvalve_model::simulate;

fn both(fleet: &Fleet, load: &Load) -> (Report, Report) {
    let report = |decider| simulate(fleet, load, decider, 7);
    (report(Decider::Scheduler), report(Decider::Plain))
}

fn show(name: &str, report: &Report) {
    println!("{name}");
    for (kind, tally) in &report.kinds {
        println!("  {kind:10} {tally:?}");
    }
    println!(
        "  read {} cached {:.2} crossed {} messages {} repeated {}",
        report.read_tokens,
        report.cached_share(),
        report.crossed_bytes,
        report.messages,
        report.repeated
    );
}

#[test]
fn explore() {
    let second = Duration::from_secs(1);
    for (name, fleet, load) in [
        ("calm", Fleet::small(), Load::calm()),
        ("burst", Fleet::small(), Load::calm().times(1.4).burst("draft", 2.3, second, 9 * second)),
        ("large", Fleet::large(), Load::calm().times(10.0)),
        ("large heavy", Fleet::large(), Load::calm().times(13.0).burst("draft", 1.6, second, 9 * second)),
    ] {
        for decider in [Decider::Scheduler, Decider::Alone, Decider::Plain] {
            show(&format!("{name} {}", decider.name()), &simulate(&fleet, &load, decider, 7));
        }
    }
}
