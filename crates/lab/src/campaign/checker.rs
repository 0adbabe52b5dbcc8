//! Checks the observations of callers, operators and upstreams against the invariants.

use std::collections::BTreeMap;
use std::fmt;

/// Observations of one round.
#[derive(Debug, Clone, Default)]
pub(crate) struct Observations {
    pub(crate) chats: Vec<ChatObservation>,
    pub(crate) bookings: Vec<BookingObservation>,
    /// Plans that operators confirmed.
    pub(crate) plans: Vec<PlanObservation>,
    /// Idempotency keys of the calls that the services ran, one for each run.
    pub(crate) effects: Vec<String>,
    /// Number of VMs.
    pub(crate) vm_count: usize,
    /// Active configuration version of each VM that runs at the end.
    pub(crate) final_versions: Vec<u64>,
}

/// A model request and its response, as the caller observed them.
#[derive(Debug, Clone)]
pub(crate) struct ChatObservation {
    pub(crate) class: String,
    pub(crate) expected: Vec<String>,
    pub(crate) tokens: Vec<String>,
    /// Whether the response was marked complete.
    pub(crate) complete: bool,
    pub(crate) outcome: String,
    pub(crate) reason: String,
}

/// A call to a service other than an engine, as the caller observed it.
#[derive(Debug, Clone)]
pub(crate) struct BookingObservation {
    pub(crate) key: String,
    pub(crate) outcome: String,
}

/// The confirmation of a plan, as the operator observed it.
#[derive(Debug, Clone)]
pub(crate) struct PlanObservation {
    pub(crate) base_version: u64,
    pub(crate) result: String,
    pub(crate) version: u64,
}

/// A breach of an invariant.
///
/// Names of variants and fields are part of the printed output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Breach {
    /// A response was marked complete but is not the expected one.
    WrongAnswer { class: String },
    /// A response has tokens of another response, or tokens in the wrong order.
    ForeignTokens { class: String },
    /// A request of the highest class was shed, although lower classes must be shed first.
    TopClassShed { reason: String },
    /// A call ran more than once.
    RanTwice { key: String, times: usize },
    /// The outcome reported to every caller was that the call did not run, but it ran.
    RanThoughNotRun { key: String },
    /// The outcome reported to a caller was that the call completed, but it never ran.
    CompletedWithoutRun { key: String },
    /// Two plans with the same base version were applied.
    TwoPlansApplied { base_version: u64 },
    /// At the end, a VM has an older version than the newest applied one, or the VMs differ.
    VersionLost { versions: Vec<u64>, applied: u64 },
    /// At the end, some VMs do not run.
    VmsLost { running: usize, vms: usize },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl Observations {
    /// Returns the newest version that was reported to an operator as applied, or 1 if none was.
    pub(crate) fn newest_applied(&self) -> u64 {
        let applied = self.plans.iter().filter(|it| it.result == "applied");
        applied.map(|it| it.version).max().unwrap_or(1)
    }
}

/// Returns every breach of an invariant.
pub(crate) fn check(observations: &Observations) -> Vec<Breach> {
    let mut breaches = Vec::new();
    breaches.extend(observations.chats.iter().filter_map(check_chat));
    check_bookings(observations, &mut breaches);
    check_plans(observations, &mut breaches);
    check_versions(observations, &mut breaches);
    breaches
}

fn check_chat(chat: &ChatObservation) -> Option<Breach> {
    let class = chat.class.clone();
    if chat.complete && chat.tokens != chat.expected {
        return Some(Breach::WrongAnswer { class });
    }
    if !chat.expected.starts_with(&chat.tokens) {
        return Some(Breach::ForeignTokens { class });
    }
    let is_top = chat.class == cranberryvalve_standins::config::TIDE_CHECK;
    let is_shed = ["queue_full", "queue_timeout"].contains(&&*chat.reason);
    if is_top && is_shed && chat.outcome == "not_run" {
        return Some(Breach::TopClassShed { reason: chat.reason.clone() });
    }
    None
}

fn check_bookings(observations: &Observations, breaches: &mut Vec<Breach>) {
    let mut effects = BTreeMap::<&str, usize>::new();
    for key in &observations.effects {
        *effects.entry(key).or_default() += 1;
    }
    for (key, times) in &effects {
        if *times > 1 && !key.is_empty() {
            breaches.push(Breach::RanTwice { key: (*key).to_owned(), times: *times });
        }
    }
    let mut outcomes = BTreeMap::<&str, Vec<&str>>::new();
    for booking in &observations.bookings {
        outcomes.entry(&booking.key).or_default().push(&booking.outcome);
    }
    for (key, reported) in outcomes {
        let times = effects.get(key).copied().unwrap_or(0);
        let key = key.to_owned();
        if times > 0 && reported.iter().all(|it| *it == "not_run") {
            breaches.push(Breach::RanThoughNotRun { key });
        } else if times == 0 && reported.contains(&"completed") {
            breaches.push(Breach::CompletedWithoutRun { key });
        }
    }
}

fn check_plans(observations: &Observations, breaches: &mut Vec<Breach>) {
    let mut applied = BTreeMap::<u64, usize>::new();
    for plan in observations.plans.iter().filter(|it| it.result == "applied") {
        *applied.entry(plan.base_version).or_default() += 1;
    }
    let conflicts = applied.into_iter().filter(|(_, times)| *times > 1);
    breaches.extend(conflicts.map(|(base_version, _)| Breach::TwoPlansApplied { base_version }));
}

fn check_versions(observations: &Observations, breaches: &mut Vec<Breach>) {
    let applied = observations.newest_applied();
    let is_lost = observations.final_versions.iter().any(|it| *it < applied);
    let is_divergent = observations.final_versions.windows(2).any(|pair| pair[0] != pair[1]);
    let (running, vms) = (observations.final_versions.len(), observations.vm_count);
    if running != vms {
        breaches.push(Breach::VmsLost { running, vms });
    }
    if is_lost || is_divergent {
        let versions = observations.final_versions.clone();
        breaches.push(Breach::VersionLost { versions, applied });
    }
}

#[cfg(test)]
mod tests;
