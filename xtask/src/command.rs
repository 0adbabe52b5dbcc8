//! Runs programs.

use std::process::Command;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

/// Runs a program to its end.
pub(crate) fn run(program: &str, arguments: &[&str]) -> Result<()> {
    run_with(program, arguments, &[])
}

/// Runs a program to its end, with environment variables.
pub(crate) fn run_with(
    program: &str,
    arguments: &[&str],
    variables: &[(&str, &str)],
) -> Result<()> {
    let line = format!("{program} {}", arguments.join(" "));
    let mut command = Command::new(program);
    command.args(arguments).envs(variables.iter().copied());
    let status = command.status().wrap_err_with(|| format!("cannot start `{line}`"))?;
    if !status.success() {
        bail!("`{line}` failed: {status}");
    }
    Ok(())
}

/// Whether a program is installed.
pub(crate) fn is_installed(program: &str) -> bool {
    Command::new(program).arg("--version").output().is_ok_and(|it| it.status.success())
}
