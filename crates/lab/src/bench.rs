//! Benchmarks, which print figures and check nothing.

mod decisions;
mod process;
mod spread;
mod streams;

use eyre::Result;
use eyre::bail;
use gumdrop::Options;

use crate::CheckResult;

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct BenchOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "decisions, streams or spread; all by default")]
    names: Vec<String>,
}

/// Runs the named benchmarks, or all if none is named.
pub(crate) fn run(options: &BenchOptions) -> Result<CheckResult> {
    let all = ["decisions", "streams", "spread"].map(str::to_owned);
    let names = if options.names.is_empty() { &all[..] } else { &options.names };
    for name in names {
        match name.as_str() {
            "decisions" => decisions::run(),
            "streams" => streams::run()?,
            "spread" => spread::run()?,
            other => bail!("no benchmark `{other}`; decisions, streams and spread are known"),
        }
    }
    Ok(CheckResult::Passed)
}
