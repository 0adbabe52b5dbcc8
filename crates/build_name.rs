//! Sets the name of the build: the abbreviated hash of its commit, or the version of the package if
//! the sources come without a history.

use std::path::Path;
use std::process::Command;

/// Number of digits of the abbreviated hash.
const HASH_DIGITS: usize = 12;

fn main() {
    let commit = git(&["rev-parse", "HEAD"]);
    let name = commit.as_deref().and_then(|it| it.get(..HASH_DIGITS));
    let name = name.map_or_else(|| env!("CARGO_PKG_VERSION").to_owned(), str::to_owned);
    print_line(&format!("cargo::rustc-env=CRANBERRYVALVE_BUILD={name}"));
    // The log of `HEAD` changes with each commit and checkout. Without one, the script runs each time
    // that a file of the package changes.
    if let Some(log) = git(&["rev-parse", "--git-path", "logs/HEAD"])
        && Path::new(&log).exists()
    {
        print_line(&format!("cargo::rerun-if-changed={log}"));
    }
}

#[expect(clippy::print_stdout, reason = "Cargo reads these lines")]
fn print_line(line: &str) {
    println!("{line}");
}

/// Returns what `git` prints, or `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
