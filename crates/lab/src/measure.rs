//! The decisions against a naive router, in virtual time.
//!
//! The same router code as in the daemon decides for several VMs; small fake engines answer. There
//! is no clock and no thread, so that a figure is the same on every run.

mod deployment;
mod engine;
mod naive;
mod run;
mod tally;

use std::collections::BTreeMap;

use eyre::Result;
use eyre::bail;
use gumdrop::Options;

use self::deployment::Deployment;
use self::run::Decider;
use self::run::run_once;
use self::tally::Tally;
use crate::Held;
use crate::report;

/// Seeds of the runs that are added up.
const SEEDS: std::ops::Range<u64> = 0..5;

#[derive(Debug, Options)]
pub(crate) struct MeasureOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "tasman or agency; both by default")]
    deployment: Option<String>,
}

/// Prints a table for each deployment and decider.
pub(crate) fn run(options: &MeasureOptions) -> Result<Held> {
    for deployment in chosen(options)? {
        report::line(&format!("\n{}: {}", deployment.name, deployment.describe()));
        for decider in [Decider::Router, Decider::Alone, Decider::Naive] {
            let mut sum = BTreeMap::<&'static str, Tally>::new();
            for seed in SEEDS {
                for (class, tally) in run_once(&deployment, decider, seed) {
                    sum.entry(class).or_default().add(&tally);
                }
            }
            print(decider, &deployment, &sum);
        }
    }
    Ok(Held::Yes)
}

fn chosen(options: &MeasureOptions) -> Result<Vec<Deployment>> {
    match options.deployment.as_deref() {
        None => Ok(vec![Deployment::tasman(), Deployment::agency()]),
        Some("tasman") => Ok(vec![Deployment::tasman()]),
        Some("agency") => Ok(vec![Deployment::agency()]),
        Some(other) => bail!("no deployment `{other}`; tasman and agency are known"),
    }
}

fn print(decider: Decider, deployment: &Deployment, tallies: &BTreeMap<&'static str, Tally>) {
    report::line(decider.name());
    let header = [
        "class",
        "requests",
        "attained %",
        "goodput %",
        "wasted tokens %",
        "not run %",
        "partial",
        "first token p95 s",
        "longest wait s",
    ];
    let rows: Vec<Vec<String>> = deployment
        .classes
        .iter()
        .filter_map(|class| tallies.get(class.id).map(|tally| tally.row(class.id)))
        .collect();
    report::table(&header, &rows);
}
