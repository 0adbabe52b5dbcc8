//! Only the tests that are listed as failing are passed over, and rules of the sources are found.

use super::known_red_tests;
use super::mixes_derives;

#[test]
fn reads_names_of_known_failures() {
    let text = "# comment, test: none\ntest: a_b\n  seen: test: c\n\ntest: d\n";
    assert_eq!(known_red_tests(text).collect::<Vec<_>>(), ["a_b", "d"]);
    assert_eq!(known_red_tests("# Empty means none.\n").count(), 0);
}

#[test]
fn finds_mixed_derives() {
    assert!(mixes_derives("    #[derive(Debug, Serialize)]"));
    assert!(!mixes_derives("#[derive(Debug, Clone)]"));
    assert!(!mixes_derives("#[derive(Serialize, Deserialize)]"));
    assert!(!mixes_derives("struct Debug;"));
}
