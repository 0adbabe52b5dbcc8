//! The commit in production is read only where it is a full hash in the first line.

use super::git;
use super::is_covered;
use super::production;

const HASH: &str = "97079c5a73887963ceaa95edad37f162e2c525de";

#[test]
fn reads_the_commit_in_production() {
    let deploy = format!("production = \"{HASH}\"\nbuild = \"cargo build\"\n");
    assert_eq!(production(&deploy), Some(HASH));
}

#[test]
fn refuses_anything_but_a_full_hash_in_the_first_line() {
    for line in [
        "",
        "build = \"cargo build\"",
        "production = \"\"",
        "production = \"97079c5\"",
        "production = \"HEAD\"",
        "production = \"97079C5A73887963CEAA95EDAD37F162E2C525DE\"",
        "production = \"97079c5a73887963ceaa95edad37f162e2c525dé\"",
        "production = \"97079c5a73887963ceaa95edad37f162e2c525de0\"",
    ] {
        assert_eq!(production(line), None, "{line}");
    }
    assert_eq!(production(&format!("\nproduction = \"{HASH}\"")), None);
}

#[test]
fn finds_commits_whose_bytes_are_not_covered() {
    let test = format!("include_str!(\"data/landed/{HASH}.txt\")");
    assert!(is_covered(&test, HASH));
    assert!(!is_covered(&test, &"0".repeat(40)));
    assert!(!is_covered(&format!("// {HASH}"), HASH));
}

#[test]
fn commits_that_do_not_exist_are_told_apart() {
    // Without a history, nothing exists.
    if git(&["rev-parse", "--git-dir"]) {
        assert!(git(&["cat-file", "-e", "HEAD^{commit}"]));
    }
    assert!(!git(&["cat-file", "-e", &format!("{}^{{commit}}", "0".repeat(40))]));
}
