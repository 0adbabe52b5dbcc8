//! Commands that run tests, lints and experiments.

mod production;

use std::fs;
use std::path::Path;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

use crate::command::run;
use crate::command::run_with;

/// Prints a line to standard error.
#[expect(clippy::print_stderr, reason = "a developer command reports to the terminal")]
pub(crate) fn print_line(text: &str) {
    eprintln!("{text}");
}

/// File that lists tests which fail for a known fault.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";

/// Traits of the standard library that can be derived.
const STANDARD_DERIVES: [&str; 9] =
    ["Clone", "Copy", "Debug", "Default", "Eq", "Hash", "Ord", "PartialEq", "PartialOrd"];

/// Runs the tests of the workspace, except those listed in [`KNOWN_RED_FILE`], which are printed;
/// `passed` is handed on to `cargo test`.
pub(crate) fn test(passed: &[String]) -> Result<()> {
    build_programs("dev")?;
    let known_red = fs::read_to_string(KNOWN_RED_FILE)
        .wrap_err_with(|| format!("cannot read {KNOWN_RED_FILE}"))?;
    let mut arguments = vec!["test", "--quiet", "--workspace"];
    arguments.extend(passed.iter().map(String::as_str));
    if !passed.iter().any(|it| it == "--") {
        arguments.push("--");
    }
    for name in known_red_tests(&known_red) {
        print_line(&format!("passed over, see {KNOWN_RED_FILE}: {name}"));
        arguments.extend(["--skip", name]);
    }
    run("cargo", &arguments)
}

/// Returns the names of the tests in a list of known failures.
fn known_red_tests(text: &str) -> impl Iterator<Item = &str> {
    text.lines().filter_map(|it| it.strip_prefix("test: ")).map(str::trim)
}

/// Checks formatting, the rules for imports and module files, the commit in production, lints and
/// documentation.
pub(crate) fn lint() -> Result<()> {
    run("cargo", &["fmt", "--all", "--check"])?;
    check_sources(Path::new("."))?;
    production::check()?;
    let clippy = ["clippy", "--quiet", "--workspace", "--all-targets", "--", "-D", "warnings"];
    run("cargo", &clippy)?;
    let doc = ["doc", "--quiet", "--workspace", "--no-deps", "--document-private-items"];
    run_with("cargo", &doc, &[("RUSTDOCFLAGS", "-D warnings")])
}

/// Runs an experiment of the lab crate in a release build; `passed` is handed on to it.
pub(crate) fn lab(name: &str, passed: &[String]) -> Result<()> {
    build_programs("release")?;
    let mut arguments =
        vec!["run", "--quiet", "--release", "--package", "cranberryvalve-lab", "--", name];
    arguments.extend(passed.iter().map(String::as_str));
    run("cargo", &arguments)
}

/// Builds the daemon and the command-line client, which tests and experiments start as processes.
pub(crate) fn build_programs(profile: &str) -> Result<()> {
    let packages = ["--package", "cranberryvalved", "--package", "cranberryvalve-cli"];
    let mut arguments = vec!["build", "--quiet", "--profile", profile];
    arguments.extend(packages);
    run("cargo", &arguments)
}

/// Checks the Rust files below `folder`, except in `target` and hidden folders.
fn check_sources(folder: &Path) -> Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            check_sources(&path)?;
        } else if name.ends_with(".rs") {
            check_file(&path)?;
        }
    }
    Ok(())
}

/// Checks that a file is not named `mod.rs`, that each `use` line imports one item and that derives
/// of the standard library are on lines of their own.
fn check_file(path: &Path) -> Result<()> {
    if path.file_name().is_some_and(|it| it == "mod.rs") {
        bail!(
            "{}: rename `mod.rs` to a file beside the folder, named after the module",
            path.display()
        );
    }
    let text = fs::read_to_string(path)?;
    for (index, line) in text.lines().enumerate() {
        let is_import = line.starts_with("use ") || line.starts_with("pub use ");
        if is_import && line.contains('{') {
            bail!("{}:{}: import one item per `use` line", path.display(), index + 1);
        }
        if mixes_derives(line) {
            bail!("{}:{}: split derives of std and of other crates", path.display(), index + 1);
        }
    }
    Ok(())
}

/// Returns `true` if a line derives traits of the standard library and of another crate.
fn mixes_derives(line: &str) -> bool {
    let Some(list) = line.trim().strip_prefix("#[derive(") else { return false };
    let traits = list.trim_end_matches(")]").split(',').map(str::trim);
    let (standard, foreign): (Vec<_>, Vec<_>) =
        traits.partition(|it| STANDARD_DERIVES.contains(it));
    !standard.is_empty() && !foreign.is_empty()
}

#[cfg(test)]
mod tests;
