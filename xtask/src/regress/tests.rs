//! The list of regression runs and the output of the bench are parsed strictly.

use super::ListedSite;
use super::RegressionList;
use super::SiteResult;
use super::parse_list;
use super::parse_result;

#[test]
fn reads_bench_and_sites() {
    let list = parse_list("# comment\nbench kit/bench\n\nsite kit/a.toml 0.834\n").ok();
    let site = ListedSite { path: "kit/a.toml".to_owned(), committed_score: 0.834 };
    assert_eq!(list, Some(RegressionList { bench: "kit/bench".to_owned(), sites: vec![site] }));
}

#[test]
fn names_malformed_lines() {
    let message = |text| parse_list(text).map_err(|it| it.to_string());
    let score_missing = "bench kit/bench\nsite kit/a.toml\n";
    assert_eq!(
        message(score_missing),
        Err("xtask/regress.txt:2: malformed line `site kit/a.toml`".to_owned())
    );
    assert_eq!(
        message("site kit/a.toml 1.0\n"),
        Err("xtask/regress.txt: no line `bench PATH`".to_owned())
    );
}

#[test]
fn reads_score_and_gate() {
    let score = "quick estimate on the standard days of a (set d7): 0.856";
    let expected = Some(SiteResult { score: 0.856, is_gate_passed: false });
    assert_eq!(
        parse_result(&format!("{score}, +0.000 against snapshot 1\nGATE failed\n")),
        expected
    );
    assert_eq!(parse_result(&format!("{score}\nGATE failed: a rule is broken\n")), expected);
    assert_eq!(parse_result(&format!("{score}\n")), None);
}
