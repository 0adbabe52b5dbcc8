//! Checks the commit that the deployment names as the one in production.
//!
//! A day with an upgrade begins on it, so it has to be in the history, and the tests have to cover the
//! bytes that its code writes.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Stdio;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

use super::print_line;

/// File that names the commit in its first line.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// Folders with the bytes that each landing writes, in files named after its commit, and the tests
/// that read them.
const LANDED: [(&str, &str); 3] = [
    ("crates/coordination/tests/data/landed", "crates/coordination/tests/landed_bytes.rs"),
    ("crates/adapters/tests/data/landed", "crates/adapters/tests/landed_bytes.rs"),
    ("platform/tests/data/landed", "platform/src/store/tests/landed_rows.rs"),
];

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
    for (folder, test) in LANDED {
        let text = fs::read_to_string(test).wrap_err_with(|| format!("cannot read {test}"))?;
        let has_file = Path::new(folder).join(format!("{commit}.txt")).exists();
        if !has_file || !is_covered(&text, commit) {
            bail!("{test} does not cover the bytes of the commit in production, {commit}");
        }
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
    LANDED.iter().try_for_each(|it| check_unedited(it.0))
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
    let file = format!("data/landed/{commit}.txt\")");
    test.lines().any(|it| it.contains("include_str!(\"") && it.contains(&file))
}

/// Checks that each file of bytes in a folder is as it was when it was added.
fn check_unedited(folder: &str) -> Result<()> {
    for entry in fs::read_dir(folder)? {
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
