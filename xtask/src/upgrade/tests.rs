//! Flags of the upgrade are checked, and the commit to start from is found or its lack explained.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use gumdrop::Options;

use super::Flags;
use super::full_hash;
use super::git;
use super::production;
use super::variables;

fn parse(arguments: &[&str]) -> Result<Vec<(&'static str, String)>, String> {
    let flags = Flags::parse_args_default(arguments).map_err(|it| it.to_string())?;
    variables(&flags).map_err(|it| it.to_string())
}

/// Returns an empty folder with this name.
fn empty_folder(name: &str) -> PathBuf {
    let folder = env::temp_dir().join(format!("cranberryvalve-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a writable folder");
    folder
}

fn run_git(folder: &Path, arguments: &[&str]) -> String {
    git(folder, arguments).expect("git runs").expect("git succeeds")
}

/// Makes two empty commits in a new repository.
fn repository(name: &str) -> PathBuf {
    let folder = empty_folder(name);
    run_git(&folder, &["init", "--quiet"]);
    for message in ["first", "second"] {
        let author = ["-c", "user.name=test", "-c", "user.email=test@example"];
        let commit = ["commit", "--quiet", "--allow-empty", "--message", message];
        run_git(&folder, &[&author[..], &commit[..]].concat());
    }
    folder
}

#[test]
fn passes_flags_on() {
    assert_eq!(parse(&["--from", "HEAD"]), Ok(Vec::new()));
    let expected = [("SEED", "7"), ("SEEDS", "20"), ("MINUTES", "3"), ("VMS", "2"), ("KEEP", "1")];
    let expected =
        expected.map(|(name, value)| (format!("CRANBERRYVALVE_UPGRADE_{name}"), value.to_owned()));
    let passed = parse(&["--seed", "7", "--seeds", "20", "--minutes", "3", "--vms", "2", "--keep"])
        .map(|it| it.into_iter().map(|(name, value)| (name.to_owned(), value)).collect::<Vec<_>>());
    assert_eq!(passed, Ok(expected.to_vec()));
}

#[test]
fn rejects_bad_flags() {
    assert_eq!(parse(&["--vms", "1"]), Err("--vms: from 2 to 64".to_owned()));
    assert_eq!(parse(&["--vms", "65"]), Err("--vms: from 2 to 64".to_owned()));
    assert_eq!(parse(&["--seeds", "0"]), Err("--seeds: at least 1".to_owned()));
    assert!(parse(&["--seed", "x"]).is_err());
    assert_eq!(parse(&["--daemon", "--vms", "3"]), Err("--vms: not for --daemon".to_owned()));
    let missing = parse(&["--plan", "no-such-plan.json"]);
    assert_eq!(missing, Err("--plan: `no-such-plan.json` does not exist".to_owned()));
}

#[test]
fn finds_the_commit_in_production() {
    assert_eq!(production("build = \"x\"\nproduction = \"4be04b6\" # landed\n"), Some("4be04b6"));
    assert_eq!(production("build = \"x\"\n# production = \"4be04b6\"\n"), None);
    assert_eq!(production("production = 4\n"), None);
}

#[test]
fn finds_commits_and_explains_missing_ones() {
    let repository = repository("whole-history");
    let hash = run_git(&repository, &["rev-parse", "HEAD~"]);
    assert_eq!(full_hash(&repository, "HEAD~").expect("a commit"), hash);
    let error = |folder: &Path, commit| full_hash(folder, commit).expect_err("none").to_string();
    assert_eq!(error(&repository, "none"), "--from: `none` is no commit in the history");
    let clone = empty_folder("shallow-history");
    let (from, to) = (format!("file://{}", repository.display()), clone.display().to_string());
    run_git(Path::new("."), &["clone", "--quiet", "--depth", "1", &from, &to]);
    let shallow = error(&clone, &hash);
    assert!(shallow.ends_with("which is shallow; `git fetch --unshallow` completes it"));
    let missing = empty_folder("no-history");
    let expected = "--from: there is no git history here to build `HEAD~` from";
    assert_eq!(error(&missing, "HEAD~"), expected);
    for folder in [repository, clone, missing] {
        fs::remove_dir_all(folder).expect("a writable folder");
    }
}
