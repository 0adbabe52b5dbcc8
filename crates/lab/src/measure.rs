//! Compares the router with a round-robin baseline, in virtual time.
//!
//! Several VMs run the same router code as the daemon, in front of simple simulated engines. Time is
//! virtual and there are no threads, so every run gives the same figures.

mod baseline;
mod deployment;
mod engine;
mod run;
mod tally;

use std::collections::BTreeMap;

use eyre::Result;
use eyre::bail;
use gumdrop::Options;

use self::deployment::Deployment;
use self::run::Policy;
use self::run::run_once;
use self::tally::Tally;
use crate::CheckResult;
use crate::report;

/// Seeds of the runs whose tallies are summed.
const SEEDS: std::ops::Range<u64> = 0..5;

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct MeasureOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "deployment to simulate: tasman or agency; both by default")]
    deployment: Option<String>,
}

/// Prints a table for each deployment and routing policy.
pub(crate) fn run(options: &MeasureOptions) -> Result<CheckResult> {
    for deployment in selected_deployments(options)? {
        report::line(&format!("\n{}: {}", deployment.name, deployment.describe()));
        for policy in [Policy::Router, Policy::Uncoordinated, Policy::Baseline] {
            let mut totals = BTreeMap::<&'static str, Tally>::new();
            for seed in SEEDS {
                for (class, tally) in run_once(&deployment, policy, seed) {
                    totals.entry(class).or_default().add(&tally);
                }
            }
            print(policy, &deployment, &totals);
        }
    }
    Ok(CheckResult::Passed)
}

fn selected_deployments(options: &MeasureOptions) -> Result<Vec<Deployment>> {
    match options.deployment.as_deref() {
        None => Ok(vec![Deployment::tasman(), Deployment::agency()]),
        Some("tasman") => Ok(vec![Deployment::tasman()]),
        Some("agency") => Ok(vec![Deployment::agency()]),
        Some(other) => bail!("no deployment `{other}`; tasman and agency are known"),
    }
}

fn print(policy: Policy, deployment: &Deployment, tallies: &BTreeMap<&'static str, Tally>) {
    report::line(policy.name());
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
