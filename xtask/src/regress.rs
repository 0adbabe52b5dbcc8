//! Runs the users' bench on the deployments listed in a file and compares the scores.

use std::fs;
use std::path::Path;
use std::process::Command;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;

use crate::checks::print_line;

/// File with the bench, the sites and their committed scores.
const LIST_FILE: &str = "xtask/regress.txt";

/// Folder beside the repository that the paths in the list are relative to.
const GIVEN_FOLDER: &str = "../given";

/// Decrease of a score up to which it counts as noise, as stated by the bench.
const SCORE_NOISE: f64 = 0.03;

/// Number of processor cores that the bench may use.
const BENCH_JOBS: &str = "3";

/// The bench and the sites to run.
#[derive(Debug, PartialEq)]
struct RegressionList {
    bench: String,
    sites: Vec<ListedSite>,
}

/// A site with the score that was committed last.
#[derive(Debug, PartialEq)]
struct ListedSite {
    path: String,
    committed_score: f64,
}

/// The result of a bench run on one site.
#[derive(Debug, PartialEq)]
struct SiteResult {
    score: f64,
    is_gate_passed: bool,
}

/// Scores the listed sites and prints a table beside the committed scores. Sites whose path
/// contains one of `filters` are run, or all sites if there is no filter.
///
/// Fails if the bench is missing, a gate fails or a score is below the committed one by more than
/// [`SCORE_NOISE`].
pub(crate) fn regress(filters: &[String]) -> Result<()> {
    let text =
        fs::read_to_string(LIST_FILE).wrap_err_with(|| format!("cannot read {LIST_FILE}"))?;
    let list = parse_list(&text)?;
    let bench = Path::new(GIVEN_FOLDER).join(&list.bench);
    if !bench.is_file() {
        bail!(
            "{} is missing: the bench is delivered separately, in a folder `given` beside the \
             repository",
            bench.display()
        );
    }
    let is_selected =
        |it: &&ListedSite| filters.is_empty() || filters.iter().any(|f| it.path.contains(f));
    let selected: Vec<&ListedSite> = list.sites.iter().filter(is_selected).collect();
    if selected.is_empty() {
        bail!("no site in {LIST_FILE} matches {}", filters.join(", "));
    }
    print_line(&format!("{:<34} {:>9} {:>6} {:>7}  gate", "site", "committed", "now", "change"));
    let mut worse = Vec::new();
    for site in selected {
        let result = score(&bench, site)?;
        let change = result.score - site.committed_score;
        let name = Path::new(&site.path).file_stem().unwrap_or_default().to_string_lossy();
        let gate = if result.is_gate_passed { "passed" } else { "FAILED" };
        print_line(&format!(
            "{name:<34} {:>9.3} {:>6.3} {change:>+7.3}  {gate}",
            site.committed_score, result.score
        ));
        if !result.is_gate_passed || change < -SCORE_NOISE {
            worse.push(name.into_owned());
        }
    }
    if worse.is_empty() { Ok(()) } else { bail!("worse than committed: {}", worse.join(", ")) }
}

/// Runs the bench's quick score of a site.
fn score(bench: &Path, site: &ListedSite) -> Result<SiteResult> {
    let path = Path::new(GIVEN_FOLDER).join(&site.path);
    let output = Command::new(bench)
        .arg("score")
        .arg(&path)
        .args(["--quick", "--jobs", BENCH_JOBS, "--why", "regression run"])
        .output()
        .wrap_err_with(|| format!("cannot start {}", bench.display()))?;
    let text = String::from_utf8_lossy(&output.stdout);
    parse_result(&text).ok_or_else(|| {
        let errors = String::from_utf8_lossy(&output.stderr);
        eyre!("no score for {} in the output of the bench:\n{text}{errors}", path.display())
    })
}

/// Parses the list: `bench PATH` and `site PATH SCORE` lines; `#` starts a comment line.
fn parse_list(text: &str) -> Result<RegressionList> {
    let mut list = RegressionList { bench: String::new(), sites: Vec::new() };
    let lines = text.lines().enumerate();
    for (index, line) in lines.filter(|(_, it)| !it.is_empty() && !it.starts_with('#')) {
        let malformed = || eyre!("{LIST_FILE}:{}: malformed line `{line}`", index + 1);
        match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["bench", path] => list.bench = path.to_owned(),
            ["site", path, score] => {
                let committed_score = score.parse().map_err(|_| malformed())?;
                list.sites.push(ListedSite { path: path.to_owned(), committed_score });
            }
            _ => return Err(malformed()),
        }
    }
    if list.bench.is_empty() {
        bail!("{LIST_FILE}: no line `bench PATH`");
    }
    Ok(list)
}

/// Parses the output of the bench; `None` if it has no score or no result of the gate.
fn parse_result(output: &str) -> Option<SiteResult> {
    let score_line = output.lines().find(|it| it.starts_with("quick estimate on the "))?;
    let score = score_line.split_once("): ")?.1.split([',', ' ']).next()?.parse().ok()?;
    let gate_line = output.lines().find(|it| it.starts_with("GATE "))?;
    Some(SiteResult { score, is_gate_passed: gate_line.starts_with("GATE passed") })
}

#[cfg(test)]
mod tests;
