//! Plays random faults against real processes of the platform's program.

use std::path::Path;

use eyre::Result;
use eyre::bail;
use gumdrop::Options;

use crate::checks::print_line;
use crate::command::run_with;

/// Maximum number of VMs in a run: with their threads they stay within the limits of a machine.
const MAX_VMS: u64 = 64;

/// Flags of the command.
#[derive(Debug)]
#[derive(Options)]
struct Flags {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "seed of the first run (default 1)")]
    seed: Option<u64>,
    #[options(no_short, help = "number of runs, with one seed after the other (default 1)")]
    seeds: Option<u64>,
    #[options(no_short, help = "start no further run after this time")]
    minutes: Option<u64>,
    #[options(no_short, help = "number of VMs in each run (default: 2 to 6, by the seed)")]
    vms: Option<u64>,
    #[options(no_short, help = "play this plan instead, a JSON file that a failed run kept")]
    plan: Option<String>,
    #[options(
        no_short,
        help = "play the plans of platform/tests/soak/by-hand, then the seeds if any are named"
    )]
    by_hand: bool,
    #[options(no_short, help = "leave out the faults that a failed plan does not need")]
    shorten: bool,
}

/// Runs the soak with the arguments of `cargo xtask soak`.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let flags = Flags::parse_args_default(arguments)?;
    if flags.help {
        print_line(&format!("cargo xtask soak\n\n{}", Flags::usage()));
        return Ok(());
    }
    let variables = variables(&flags)?;
    let variables: Vec<(&str, &str)> =
        variables.iter().map(|(name, value)| (*name, &**value)).collect();
    let test = ["--test", "soak", "--", "--ignored", "--nocapture", "runs_by_hand"];
    let mut command = vec!["test", "--quiet", "--package", "cranberryvalve-platform"];
    command.extend(test);
    print_line("| seed | VMs | faults | calls | broken rules |");
    run_with("cargo", &command, &variables)
}

/// Checks the flags, and returns the variables that pass them on to the test.
fn variables(flags: &Flags) -> Result<Vec<(&'static str, String)>> {
    if flags.vms.is_some_and(|it| it == 0 || it > MAX_VMS) {
        bail!("--vms: from 1 to {MAX_VMS}");
    }
    if flags.seeds == Some(0) {
        bail!("--seeds: at least 1");
    }
    if flags.by_hand && flags.plan.is_some() {
        bail!("--by-hand: not together with --plan");
    }
    let numbers = [
        ("CRANBERRYVALVE_SOAK_SEED", flags.seed),
        ("CRANBERRYVALVE_SOAK_SEEDS", flags.seeds),
        ("CRANBERRYVALVE_SOAK_MINUTES", flags.minutes),
        ("CRANBERRYVALVE_SOAK_VMS", flags.vms),
        ("CRANBERRYVALVE_SOAK_BY_HAND", flags.by_hand.then_some(1)),
        ("CRANBERRYVALVE_SOAK_SHORTEN", flags.shorten.then_some(1)),
    ];
    let mut variables: Vec<(&'static str, String)> = numbers
        .iter()
        .filter_map(|(name, number)| Some((*name, number.as_ref()?.to_string())))
        .collect();
    if let Some(plan) = &flags.plan {
        let Ok(path) = Path::new(plan).canonicalize() else {
            bail!("--plan: `{plan}` does not exist")
        };
        // The test runs in the folder of its package.
        variables.push(("CRANBERRYVALVE_SOAK_PLAN", path.display().to_string()));
    }
    Ok(variables)
}

#[cfg(test)]
mod tests;
