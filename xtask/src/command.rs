//! Runs external programs.

use std::process::Command;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

/// Runs a program and waits for it; fails if it cannot start or exits with an error status.
pub(crate) fn run(program: &str, arguments: &[&str]) -> Result<()> {
    run_with(program, arguments, &[])
}

/// Like [`run`], with additional environment variables.
pub(crate) fn run_with(
    program: &str,
    arguments: &[&str],
    variables: &[(&str, &str)],
) -> Result<()> {
    let command_line = format!("{program} {}", arguments.join(" "));
    let mut command = Command::new(program);
    command.args(arguments).envs(variables.iter().copied());
    let status = command.status().wrap_err_with(|| format!("cannot start `{command_line}`"))?;
    if !status.success() {
        bail!("`{command_line}` failed: {status}");
    }
    Ok(())
}

/// Returns whether `program --version` runs successfully.
pub(crate) fn is_installed(program: &str) -> bool {
    Command::new(program).arg("--version").output().is_ok_and(|it| it.status.success())
}
