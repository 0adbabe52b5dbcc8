//! Plays rolling upgrades from the program of an earlier commit to the present one.

mod bytes;
mod daemon;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use gumdrop::Options;

use crate::checks::print_line;
use crate::command::run_with;

/// File whose line `production = "COMMIT"` names the commit that operators run.
const SYSTEM_FILE: &str = "deploy/system.toml";

/// Commit to start from if no other one is named.
const DEFAULT_COMMIT: &str = "HEAD~";

/// Folder of the older commits, each in a git worktree that is kept.
const WORKTREES_FOLDER: &str = "target/upgrade";

/// A program of an earlier commit.
struct OlderProgram {
    package: &'static str,
    /// Path in the commit's worktree.
    path: &'static str,
}

/// The platform's program of an earlier commit.
const NODE: OlderProgram =
    OlderProgram { package: "cranberryvalve-platform", path: "target/debug/cranberryvalve-node" };

/// Folder of built files in a worktree, and those of its folders that Cargo uses again.
const BUILD_FOLDER: &str = "target/debug";
const REUSED_FOLDERS: [&str; 3] = ["deps", "build", ".fingerprint"];

/// Number of digits of a commit in names.
const SHORT_HASH_DIGITS: usize = 7;

/// Maximum number of VMs in a run, as in the soak.
const MAX_VMS: u64 = 64;

/// Flags of the command.
#[derive(Debug)]
#[derive(Options)]
struct Flags {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "commit to start from (default: `production` in deploy/system.toml, or HEAD~)"
    )]
    from: Option<String>,
    #[options(no_short, help = "seed of the first run (default 1)")]
    seed: Option<u64>,
    #[options(no_short, help = "number of runs, with one seed after the other (default 1)")]
    seeds: Option<u64>,
    #[options(no_short, help = "start no further run after this time")]
    minutes: Option<u64>,
    #[options(no_short, help = "number of VMs in each run (default: 2 to 5, by the seed)")]
    vms: Option<u64>,
    #[options(no_short, help = "play this plan instead, a JSON file that a failed run kept")]
    plan: Option<String>,
    #[options(
        no_short,
        help = "keep the story and the logs of each run, also if it breaks no rule"
    )]
    keep: bool,
    #[options(no_short, help = "only check that the commit reads what the present build writes")]
    bytes: bool,
    #[options(no_short, help = "replace daemons instead of the platform's program")]
    daemon: bool,
}

/// Runs upgrades with the arguments of `cargo xtask upgrade`.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let flags = Flags::parse_args_default(arguments)?;
    if flags.help {
        print_line(&format!("cargo xtask upgrade\n\n{}", Flags::usage()));
        return Ok(());
    }
    let mut variables = variables(&flags)?;
    let system = fs::read_to_string(SYSTEM_FILE).unwrap_or_default();
    let commit = flags.from.as_deref().or(production(&system)).unwrap_or(DEFAULT_COMMIT);
    let hash = full_hash(Path::new("."), commit)?;
    let worktree = worktree(&hash)?;
    bytes::check(&worktree, &hash)?;
    if flags.bytes {
        return Ok(());
    }
    if flags.daemon {
        return daemon::play(&flags, &build_program(&worktree, &hash, &daemon::DAEMON)?);
    }
    let program = build_program(&worktree, &hash, &NODE)?;
    variables.push(("CRANBERRYVALVE_UPGRADE_OLD", program.display().to_string()));
    variables.push(("CRANBERRYVALVE_UPGRADE_FROM", hash[..SHORT_HASH_DIGITS].to_owned()));
    let variables: Vec<(&str, &str)> =
        variables.iter().map(|(name, value)| (*name, &**value)).collect();
    let command = [
        "test",
        "--quiet",
        "--package",
        "cranberryvalve-platform",
        "--test",
        "rolling_upgrade",
        "--",
        "--ignored",
        "--nocapture",
        "upgrades_by_hand",
    ];
    print_line(&format!(
        "from {hash}; first tries during the change that were served, at a fixed rate:"
    ));
    print_line(
        "| seed | VMs | course | faults | calls | upgrade | rolling restart | broken rules | \
         broken by the restart |",
    );
    run_with("cargo", &command, &variables)
}

/// Checks the flags, and returns the variables that pass them on to the test.
fn variables(flags: &Flags) -> Result<Vec<(&'static str, String)>> {
    if flags.vms.is_some_and(|it| !(2..=MAX_VMS).contains(&it)) {
        bail!("--vms: from 2 to {MAX_VMS}");
    }
    if flags.seeds == Some(0) {
        bail!("--seeds: at least 1");
    }
    if flags.daemon {
        daemon::check_flags(flags)?;
    }
    let numbers = [
        ("CRANBERRYVALVE_UPGRADE_SEED", flags.seed),
        ("CRANBERRYVALVE_UPGRADE_SEEDS", flags.seeds),
        ("CRANBERRYVALVE_UPGRADE_MINUTES", flags.minutes),
        ("CRANBERRYVALVE_UPGRADE_VMS", flags.vms),
        ("CRANBERRYVALVE_UPGRADE_KEEP", flags.keep.then_some(1)),
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
        variables.push(("CRANBERRYVALVE_UPGRADE_PLAN", path.display().to_string()));
    }
    Ok(variables)
}

/// Returns the commit in the line `production = "COMMIT"` of a deployment file.
fn production(text: &str) -> Option<&str> {
    text.lines().find_map(|line| {
        let (name, value) = line.split_once('=')?;
        let commit = value.trim().strip_prefix('"')?.split('"').next()?;
        (name.trim() == "production").then_some(commit)
    })
}

/// Returns the full hash of a commit in the repository's history.
fn full_hash(repository: &Path, commit: &str) -> Result<String> {
    let revision = format!("{commit}^{{commit}}");
    if let Some(hash) = git(repository, &["rev-parse", "--verify", "--quiet", &revision])? {
        return Ok(hash);
    }
    match git(repository, &["rev-parse", "--is-shallow-repository"])?.as_deref() {
        None => bail!("--from: there is no git history here to build `{commit}` from"),
        Some("true") => bail!(
            "--from: `{commit}` is not in the history, which is shallow; `git fetch --unshallow` \
             completes it"
        ),
        Some(_) => bail!("--from: `{commit}` is no commit in the history"),
    }
}

/// Returns the worktree of a commit, which is added if there is none.
fn worktree(hash: &str) -> Result<PathBuf> {
    let folder = Path::new(WORKTREES_FOLDER).join(hash);
    let text = folder.display().to_string();
    if !folder.is_dir() {
        // With `--force` also where the folder of an earlier worktree was deleted.
        let add = ["worktree", "add", "--quiet", "--force", "--detach", &text, hash];
        run_with("git", &add, &[])?;
    }
    let head = git(&folder, &["rev-parse", "HEAD"])?;
    if head.as_deref() != Some(hash) {
        bail!(
            "{text} is not at commit {hash}; remove it with `git worktree remove --force {text}`"
        );
    }
    copy_dependencies(&folder)?;
    Ok(folder)
}

/// Builds a program of a commit in its worktree, and returns its path.
fn build_program(folder: &Path, hash: &str, program: &OlderProgram) -> Result<PathBuf> {
    let text = folder.display().to_string();
    print_line(&format!("building {} of {hash} in {text}", program.package));
    let manifest = format!("{text}/Cargo.toml");
    let target = format!("{text}/target");
    let mut build = vec!["build", "--quiet", "--manifest-path", &manifest, "--target-dir", &target];
    build.extend(["--package", program.package]);
    run_with("cargo", &build, &[])?;
    let program = folder.join(program.path);
    program.canonicalize().wrap_err_with(|| format!("{} was not built", program.display()))
}

/// Copies what another worktree, or else this one, has built to a new one: most commits have the same
/// dependencies.
fn copy_dependencies(folder: &Path) -> Result<()> {
    let build_folder = folder.join(BUILD_FOLDER);
    if build_folder.exists() {
        return Ok(());
    }
    let worktrees = fs::read_dir(WORKTREES_FOLDER).wrap_err("cannot read the worktrees")?;
    let mut build_folders = worktrees.filter_map(|it| Some(it.ok()?.path().join(BUILD_FOLDER)));
    let other = build_folders.find(|it| it.join("deps").is_dir());
    let other = other.unwrap_or_else(|| Path::new(BUILD_FOLDER).to_owned());
    if !other.join("deps").is_dir() {
        return Ok(());
    }
    fs::create_dir_all(&build_folder).wrap_err("cannot write to the worktree")?;
    for name in REUSED_FOLDERS {
        // Cargo compares the times of files, which the copy has to keep.
        let (from, to) = (other.join(name), build_folder.join(name));
        let (from, to) = (from.display().to_string(), to.display().to_string());
        run_with("cp", &["--archive", &from, &to], &[])?;
    }
    Ok(())
}

/// Returns what a git command prints, or `None` if it fails.
fn git(folder: &Path, arguments: &[&str]) -> Result<Option<String>> {
    let mut command = Command::new("git");
    command.arg("-C").arg(folder).args(arguments);
    let output = command.output().wrap_err("cannot start `git`")?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    Ok(output.status.success().then_some(text))
}

#[cfg(test)]
mod tests;
