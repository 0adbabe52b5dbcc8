//! Runs demonstrations, benchmarks and experiments.

mod bench;
mod campaign;
mod demo;
mod fleet;
mod measure;
mod programs;
mod report;

use std::process::ExitCode;

use eyre::Result;
use gumdrop::Options;

#[derive(Debug)]
#[derive(Options)]
struct Cli {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug)]
#[derive(Options)]
enum Command {
    #[options(help = "run the demonstration with simulated upstreams")]
    Demo(demo::DemoOptions),
    #[options(help = "run the benchmarks: overhead, streams, decisions, spread; all by default")]
    Bench(bench::BenchOptions),
    #[options(help = "compare the router with a round-robin baseline, in virtual time")]
    Measure(measure::MeasureOptions),
    #[options(help = "simulate loads on a model of engines and many VMs, in virtual time")]
    Fleet(fleet::FleetOptions),
    #[options(help = "inject seeded pairs of faults and check the invariants")]
    Campaign(campaign::CampaignOptions),
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    let result = match &cli.command {
        Some(Command::Demo(options)) => demo::run(options),
        Some(Command::Bench(options)) => bench::run(options),
        Some(Command::Measure(options)) => measure::run(options),
        Some(Command::Fleet(options)) => fleet::run(options),
        Some(Command::Campaign(options)) => campaign::run(options),
        None => Ok(CheckResult::Passed),
    };
    exit(result)
}

/// Whether a run met all invariants; experiments that check none always pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckResult {
    Passed,
    Failed,
}

fn exit(result: Result<CheckResult>) -> ExitCode {
    match result {
        Ok(CheckResult::Passed) => ExitCode::SUCCESS,
        Ok(CheckResult::Failed) => ExitCode::FAILURE,
        Err(report) => {
            report::line(&format!("lab: {report:#}"));
            ExitCode::FAILURE
        }
    }
}
