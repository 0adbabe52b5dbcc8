//! Only the tests that are listed as failing are passed over.

use super::known_red_tests;

#[test]
fn reads_names_of_known_failures() {
    let text = "# comment, test: none\ntest: a_b\n  seen: test: c\n\ntest: d\n";
    assert_eq!(known_red_tests(text).collect::<Vec<_>>(), ["a_b", "d"]);
    assert_eq!(known_red_tests("# Empty means none.\n").count(), 0);
}
