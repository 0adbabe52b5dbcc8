//! Checks the observations of callers, operators and upstreams against the invariants.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

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
    /// Versions in force at the VMs, in the order in which they were observed.
    pub(crate) versions: Vec<VersionObservation>,
    /// Requests of a customer with a limit.
    pub(crate) limited: Vec<LimitedObservation>,
    /// Number of such requests that the limit admits in flight; `None` if there is no limit.
    pub(crate) limit: Option<usize>,
    /// When the VMs agreed on the members again; `None` if they always did.
    pub(crate) agreed_from: Option<Instant>,
    /// Number of VMs that did not stop, or failed, after SIGTERM.
    pub(crate) failed_stops: usize,
    /// Number of VMs whose build each VM shows at the end; empty if it was not observed.
    pub(crate) final_members: Vec<usize>,
}

/// The version in force at a VM.
#[derive(Debug, Clone)]
pub(crate) struct VersionObservation {
    pub(crate) vm: usize,
    /// When the process started, which tells it from others of the VM.
    pub(crate) process: u64,
    pub(crate) version: u64,
}

/// The time in which a request was surely in flight, from its first token to its end.
#[derive(Debug, Clone)]
pub(crate) struct LimitedObservation {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
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
    /// The version in force at a VM went back while its process ran.
    VersionWentBack { vm: usize, from: u64, to: u64 },
    /// A customer had more requests in flight than its limit admits.
    LimitExceeded { in_flight: usize, limit: usize },
    /// VMs did not stop, or failed, after SIGTERM.
    StopsFailed { vms: usize },
    /// At the end, a VM does not show what all VMs run.
    MembersUnknown { known: Vec<usize>, vms: usize },
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

    /// Returns the maximum number of limited requests that were in flight at once, from a time on.
    pub(crate) fn peak_in_flight(&self, from: Option<Instant>) -> usize {
        let starts = self.limited.iter().map(|it| it.from).chain(from);
        let starts = starts.filter(|it| from.is_none_or(|from| *it >= from));
        let in_flight =
            starts.map(|at| self.limited.iter().filter(|it| it.from <= at && at < it.to).count());
        in_flight.max().unwrap_or(0)
    }
}

/// Returns every breach of an invariant.
pub(crate) fn check(observations: &Observations) -> Vec<Breach> {
    let mut breaches = Vec::new();
    breaches.extend(observations.chats.iter().filter_map(check_chat));
    check_bookings(observations, &mut breaches);
    check_plans(observations, &mut breaches);
    check_versions(observations, &mut breaches);
    check_order(observations, &mut breaches);
    check_limit(observations, &mut breaches);
    check_members(observations, &mut breaches);
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

fn check_order(observations: &Observations, breaches: &mut Vec<Breach>) {
    let mut newest = BTreeMap::<(usize, u64), u64>::new();
    for &VersionObservation { vm, process, version } in &observations.versions {
        let known = newest.entry((vm, process)).or_default();
        if version < *known {
            breaches.push(Breach::VersionWentBack { vm, from: *known, to: version });
        }
        *known = version;
    }
}

/// Checks the bounds of `coordination::limits`: the limit and one request for each VM, and the limit
/// twice while VMs disagree about the members.
fn check_limit(observations: &Observations, breaches: &mut Vec<Breach>) {
    let Some(limit) = observations.limit else { return };
    let agreed = (observations.agreed_from, limit + observations.vm_count);
    let always = (None, 2 * limit + observations.vm_count);
    for (from, admitted) in [agreed, always] {
        let in_flight = observations.peak_in_flight(from);
        if in_flight > admitted {
            breaches.push(Breach::LimitExceeded { in_flight, limit: admitted });
        }
    }
}

fn check_members(observations: &Observations, breaches: &mut Vec<Breach>) {
    if observations.failed_stops > 0 {
        breaches.push(Breach::StopsFailed { vms: observations.failed_stops });
    }
    let (known, vms) = (observations.final_members.clone(), observations.vm_count);
    if known.iter().any(|it| *it < vms) {
        breaches.push(Breach::MembersUnknown { known, vms });
    }
}

#[cfg(test)]
mod tests;
