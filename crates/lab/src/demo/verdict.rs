//! What came of the burst, and whether what must always hold did hold.

use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::config;

use super::load::Sample;
use super::load::Samples;
use crate::Held;
use crate::report;

/// Classes, highest tier first.
const CLASSES: [&str; 3] = [config::TIDE_CHECK, config::COMMENTARY, config::REPLAN];

/// Targets of all classes of the demonstration.
const FIRST_TOKEN: Duration = Duration::from_millis(1_500);
const TOKEN_INTERVAL: Duration = Duration::from_millis(39);

/// Prints one row for each class.
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
    let own: Vec<&Sample> = samples.chats.iter().filter(|it| it.class == class).collect();
    let whole = own.iter().filter(|it| is_whole(it)).count();
    let attained = own.iter().filter(|it| is_whole(it) && is_in_target(it)).count();
    let not_run = own.iter().filter(|it| it.reply.outcome == "not_run").count();
    let wasted: usize =
        own.iter().filter(|it| !it.reply.complete).map(|it| it.reply.tokens.len()).sum();
    let longest = own.iter().filter_map(|it| it.reply.first_token).max().unwrap_or_default();
    vec![
        class.to_owned(),
        own.len().to_string(),
        whole.to_string(),
        format!("{:.1}", 100.0 * attained as f64 / own.len().max(1) as f64),
        attained.to_string(),
        wasted.to_string(),
        not_run.to_string(),
        format!("{:.2}", longest.as_secs_f64()),
    ]
}

fn is_whole(sample: &Sample) -> bool {
    sample.reply.complete && sample.reply.tokens == sample.chat.expected()
}

fn is_in_target(sample: &Sample) -> bool {
    let is_prompt = sample.reply.first_token.is_some_and(|it| it <= FIRST_TOKEN);
    is_prompt && sample.reply.token_interval().is_none_or(|it| it <= TOKEN_INTERVAL)
}

/// Checks what must always hold, and reports each breach.
pub(super) fn check(cluster: &Cluster, samples: &Samples) -> Held {
    let mut breaches = Vec::new();
    for sample in &samples.chats {
        breaches.extend(breach_of(sample));
    }
    for (key, reply) in &samples.bookings {
        let effects: usize = cluster.services.iter().map(|it| it.effects_of(key)).sum();
        let is_allowed = match &*reply.outcome {
            "completed" => effects == 1,
            "not_run" => effects == 0,
            _ => effects <= 1,
        };
        if !is_allowed {
            breaches.push(format!("{key} ran {effects} times and was told {}", reply.outcome));
        }
    }
    for breach in &breaches {
        report::line(&format!("BREACH: {breach}"));
    }
    if breaches.is_empty() {
        report::line("what must always hold did hold");
        Held::Yes
    } else {
        Held::No
    }
}

fn breach_of(sample: &Sample) -> Option<String> {
    let (reply, class) = (&sample.reply, sample.class);
    let expected = sample.chat.expected();
    if class == config::TIDE_CHECK && !reply.complete {
        return Some(format!("a tide check ended {} ({})", reply.outcome, reply.reason));
    }
    if reply.complete && reply.tokens != expected {
        return Some(format!("a {class} answer is marked whole and is not"));
    }
    if !expected.starts_with(&reply.tokens) {
        return Some(format!("a {class} answer has tokens of another one"));
    }
    if reply.outcome == "not_run" && !reply.tokens.is_empty() {
        return Some(format!("a {class} was told not run after tokens of it came"));
    }
    None
}
