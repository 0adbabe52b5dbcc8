//! Prints the results of the burst and checks the invariants.

use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::config;

use super::load::Sample;
use super::load::Samples;
use crate::CheckResult;
use crate::report;

/// Classes, highest tier first.
const CLASSES: [&str; 3] = [config::TIDE_CHECK, config::COMMENTARY, config::REPLAN];

/// Service targets of all classes of the demonstration.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_500);
const TOKEN_INTERVAL_TARGET: Duration = Duration::from_millis(39);

/// Prints a table with one row for each class.
pub(super) fn print(title: &str, samples: &Samples) {
    report::line(&format!("\n{title}"));
    let rows: Vec<Vec<String>> = CLASSES.iter().map(|class| row(class, samples)).collect();
    let header = [
        "class",
        "requests",
        "whole",
        "in target %",
        "goodput",
        "wasted tokens",
        "not run",
        "longest first token s",
    ];
    report::table(&header, &rows);
}

fn row(class: &str, samples: &Samples) -> Vec<String> {
    let class_samples: Vec<&Sample> = samples.chats.iter().filter(|it| it.class == class).collect();
    let complete = class_samples.iter().filter(|it| is_complete(it)).count();
    let attained = class_samples.iter().filter(|it| is_complete(it) && is_in_target(it)).count();
    let not_run = class_samples.iter().filter(|it| it.response.outcome == "not_run").count();
    let wasted: usize = class_samples
        .iter()
        .filter(|it| !it.response.complete)
        .map(|it| it.response.tokens.len())
        .sum();
    let longest =
        class_samples.iter().filter_map(|it| it.response.first_token).max().unwrap_or_default();
    vec![
        class.to_owned(),
        class_samples.len().to_string(),
        complete.to_string(),
        format!("{:.1}", 100.0 * attained as f64 / class_samples.len().max(1) as f64),
        attained.to_string(),
        wasted.to_string(),
        not_run.to_string(),
        format!("{:.2}", longest.as_secs_f64()),
    ]
}

fn is_complete(sample: &Sample) -> bool {
    sample.response.complete && sample.response.tokens == sample.chat.expected()
}

fn is_in_target(sample: &Sample) -> bool {
    let is_first_on_time = sample.response.first_token.is_some_and(|it| it <= FIRST_TOKEN_TARGET);
    is_first_on_time
        && sample.response.token_interval().is_none_or(|it| it <= TOKEN_INTERVAL_TARGET)
}

/// Checks the invariants and prints each breach.
pub(super) fn check(cluster: &Cluster, samples: &Samples) -> CheckResult {
    let mut breaches = Vec::new();
    for sample in &samples.chats {
        breaches.extend(breach_of(sample));
    }
    for (key, response) in &samples.bookings {
        let effects: usize = cluster.services.iter().map(|it| it.effect_count(key)).sum();
        let is_allowed = match &*response.outcome {
            "completed" => effects == 1,
            "not_run" => effects == 0,
            _ => effects <= 1,
        };
        if !is_allowed {
            breaches.push(format!(
                "{key} ran {effects} times but was reported as {}",
                response.outcome
            ));
        }
    }
    for breach in &breaches {
        report::line(&format!("BREACH: {breach}"));
    }
    if breaches.is_empty() {
        report::line("all invariants held");
        CheckResult::Passed
    } else {
        CheckResult::Failed
    }
}

/// Returns a description of the invariant that a response violates, or `None`.
fn breach_of(sample: &Sample) -> Option<String> {
    let (response, class) = (&sample.response, sample.class);
    let expected = sample.chat.expected();
    if class == config::TIDE_CHECK && !response.complete {
        return Some(format!("a tide check ended with {} ({})", response.outcome, response.reason));
    }
    if response.complete && response.tokens != expected {
        return Some(format!("a {class} response is marked complete but is not"));
    }
    if !expected.starts_with(&response.tokens) {
        return Some(format!("a {class} response has tokens of another response"));
    }
    if response.outcome == "not_run" && !response.tokens.is_empty() {
        return Some(format!(
            "a {class} request was reported as not run after some of its tokens arrived"
        ));
    }
    None
}
