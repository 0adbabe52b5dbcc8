//! Upgrades of daemons from the build of an earlier commit to the present one.

use std::path::Path;

use eyre::Result;
use eyre::bail;

use super::Flags;
use super::OlderProgram;
use crate::checks::build_programs;
use crate::command::run;

/// The daemon of an earlier commit.
pub(super) const DAEMON: OlderProgram =
    OlderProgram { package: "cranberryvalved", path: "target/debug/cranberryvalved" };

/// Checks that no flag is given that upgrades of daemons ignore.
pub(super) fn check_flags(flags: &Flags) -> Result<()> {
    let ignored = [
        ("vms", flags.vms.is_some()),
        ("minutes", flags.minutes.is_some()),
        ("plan", flags.plan.is_some()),
        ("keep", flags.keep),
    ];
    match ignored.iter().find(|it| it.1) {
        Some((name, _)) => bail!("--{name}: not for --daemon"),
        None => Ok(()),
    }
}

/// Plays upgrades from a program, one for each seed.
pub(super) fn play(flags: &Flags, old: &Path) -> Result<()> {
    build_programs("dev")?;
    let (seed, seeds) = (flags.seed.unwrap_or(1), flags.seeds.unwrap_or(1));
    let (old, seed, seeds) = (old.display().to_string(), seed.to_string(), seeds.to_string());
    let command = [
        "run",
        "--quiet",
        "--package",
        "cranberryvalve-lab",
        "--",
        "campaign",
        "--upgrade",
        "--old",
        &old,
        "--seed",
        &seed,
        "--rounds",
        &seeds,
    ];
    run("cargo", &command)
}
