//! Checks the commit that the deployment names as the one in production.
//!
//! A day with an upgrade begins on it, so it has to be in the history, and the tests have to cover the
//! bytes that its code writes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

use super::print_line;

/// File that names the commit in its first line.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// Folder with the bytes that each landing writes, named after its commit.
const LANDED_FOLDER: &str = "crates/coordination/tests/data/landed";

/// Test that reads them.
const LANDED_TEST: &str = "crates/coordination/tests/landed_bytes.rs";

/// Number of digits of a full hash.
const HASH_DIGITS: usize = 40;

/// Checks that the commit in production is named by a full hash, is an ancestor of this one, and has
/// its bytes covered by a test; and that no file of bytes was edited after it was added.
pub(super) fn check() -> Result<()> {
    let deploy =
        fs::read_to_string(DEPLOY_FILE).wrap_err_with(|| format!("cannot read {DEPLOY_FILE}"))?;
    let Some(commit) = production(&deploy) else {
        bail!("{DEPLOY_FILE}: the first line must be `production = \"HASH\"`, with 40 digits");
    };
    let test = fs::read_to_string(LANDED_TEST)?;
    if !is_covered(&test, commit) || !landed_file(commit).exists() {
        bail!("{LANDED_TEST} does not cover the bytes of the commit in production, {commit}");
    }
    if !git(&["rev-parse", "--git-dir"]) {
        print_line(
            "skipped, as the sources have no history: whether the commit in production exists",
        );
        return Ok(());
    }
    if !git(&["cat-file", "-e", &format!("{commit}^{{commit}}")])
        || !git(&["merge-base", "--is-ancestor", commit, "HEAD"])
    {
        bail!("{DEPLOY_FILE}: the commit in production, {commit}, is not in the history");
    }
    check_unedited()
}

/// Returns the commit in the first line of a deploy file; `None` unless it is a full hash.
fn production(deploy: &str) -> Option<&str> {
    let line = deploy.lines().next()?;
    let hash = line.strip_prefix("production = \"")?.strip_suffix('"')?;
    let is_digit = |it: u8| it.is_ascii_digit() || (b'a'..=b'f').contains(&it);
    (hash.len() == HASH_DIGITS && hash.bytes().all(is_digit)).then_some(hash)
}

/// Returns whether a test includes the bytes of a commit.
fn is_covered(test: &str, commit: &str) -> bool {
    test.contains(&format!("include_str!(\"data/landed/{commit}.txt\")"))
}

fn landed_file(commit: &str) -> PathBuf {
    Path::new(LANDED_FOLDER).join(format!("{commit}.txt"))
}

/// Checks that each file of bytes is as it was when it was added.
fn check_unedited() -> Result<()> {
    for entry in fs::read_dir(LANDED_FOLDER)? {
        let path = entry?.path();
        let path = path.to_string_lossy();
        let log = ["log", "--format=%H", "--diff-filter=MRD", "--", &*path];
        let edits = Command::new("git").args(log).output()?;
        if !edits.status.success() {
            bail!("`git {}` failed: {}", log.join(" "), edits.status);
        }
        let is_added = git(&["cat-file", "-e", &format!("HEAD:{path}")]);
        if !edits.stdout.is_empty() || (is_added && !git(&["diff", "--quiet", "HEAD", "--", &path]))
        {
            bail!("{path}: the bytes of a landing are never edited");
        }
    }
    Ok(())
}

/// Runs `git` and returns whether it succeeds.
fn git(arguments: &[&str]) -> bool {
    let mut command = Command::new("git");
    command.args(arguments).stdout(Stdio::null()).stderr(Stdio::null());
    command.status().is_ok_and(|it| it.success())
}

#[cfg(test)]
mod tests;
