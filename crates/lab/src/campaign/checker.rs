//! Checks what callers, operators and upstreams saw against what must always hold.

use std::collections::BTreeMap;
use std::fmt;

/// What was seen in one round.
#[derive(Debug, Clone, Default)]
pub(crate) struct Observations {
    pub(crate) chats: Vec<ChatSeen>,
    pub(crate) bookings: Vec<PlainSeen>,
    pub(crate) confirmed: Vec<Confirmed>,
    /// Idempotency keys of the calls that the plain services ran.
    pub(crate) effects: Vec<String>,
    /// Versions in force at the end, one for each VM.
    pub(crate) final_versions: Vec<u64>,
}

/// A model request, as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct ChatSeen {
    pub(crate) class: String,
    pub(crate) expected: Vec<String>,
    pub(crate) tokens: Vec<String>,
    pub(crate) complete: bool,
    pub(crate) outcome: String,
    pub(crate) reason: String,
}

/// A call to a plain service, as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct PlainSeen {
    pub(crate) key: String,
    pub(crate) outcome: String,
}

/// A confirmation, as its operator saw it.
#[derive(Debug, Clone)]
pub(crate) struct Confirmed {
    pub(crate) base_version: u64,
    pub(crate) result: String,
    pub(crate) version: u64,
}

/// Something that must never happen, and did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Breach {
    /// An answer marked whole is not the expected one.
    WrongAnswer { class: String },
    /// Tokens of another answer, or in another order, were delivered.
    ForeignTokens { class: String },
    /// A request of the highest class was shed while lower ones were served.
    TopClassShed { reason: String },
    /// A call ran more than once.
    RanTwice { key: String, times: usize },
    /// Every caller was told that the call was not run, and it ran.
    RanThoughNotRun { key: String },
    /// A caller was told that the call completed, and it never ran.
    CompletedWithoutRun { key: String },
    /// Two plans for the same version were applied.
    TwoPlansApplied { base_version: u64 },
    /// At the end a VM has not the newest version that was applied.
    VersionLost { versions: Vec<u64>, applied: u64 },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl Observations {
    /// The newest version that an operator was told is applied.
    pub(crate) fn newest_applied(&self) -> u64 {
        let applied = self.confirmed.iter().filter(|it| it.result == "applied");
        applied.map(|it| it.version).max().unwrap_or(1)
    }
}

/// Lists every breach.
pub(crate) fn check(seen: &Observations) -> Vec<Breach> {
    let mut breaches = Vec::new();
    breaches.extend(seen.chats.iter().filter_map(check_chat));
    check_bookings(seen, &mut breaches);
    check_plans(seen, &mut breaches);
    check_versions(seen, &mut breaches);
    breaches
}

fn check_chat(chat: &ChatSeen) -> Option<Breach> {
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

fn check_bookings(seen: &Observations, breaches: &mut Vec<Breach>) {
    let mut effects = BTreeMap::<&str, usize>::new();
    for key in &seen.effects {
        *effects.entry(key).or_default() += 1;
    }
    for (key, times) in &effects {
        if *times > 1 && !key.is_empty() {
            breaches.push(Breach::RanTwice { key: (*key).to_owned(), times: *times });
        }
    }
    let mut outcomes = BTreeMap::<&str, Vec<&str>>::new();
    for booking in &seen.bookings {
        outcomes.entry(&booking.key).or_default().push(&booking.outcome);
    }
    for (key, told) in outcomes {
        let times = effects.get(key).copied().unwrap_or(0);
        let key = key.to_owned();
        if times > 0 && told.iter().all(|it| *it == "not_run") {
            breaches.push(Breach::RanThoughNotRun { key });
        } else if times == 0 && told.contains(&"completed") {
            breaches.push(Breach::CompletedWithoutRun { key });
        }
    }
}

fn check_plans(seen: &Observations, breaches: &mut Vec<Breach>) {
    let mut applied = BTreeMap::<u64, usize>::new();
    for confirmed in seen.confirmed.iter().filter(|it| it.result == "applied") {
        *applied.entry(confirmed.base_version).or_default() += 1;
    }
    let twice = applied.into_iter().filter(|(_, times)| *times > 1);
    breaches.extend(twice.map(|(base_version, _)| Breach::TwoPlansApplied { base_version }));
}

fn check_versions(seen: &Observations, breaches: &mut Vec<Breach>) {
    let applied = seen.newest_applied();
    let is_lost = seen.final_versions.iter().any(|it| *it < applied);
    let differ = seen.final_versions.windows(2).any(|pair| pair[0] != pair[1]);
    if is_lost || differ || seen.final_versions.is_empty() {
        let versions = seen.final_versions.clone();
        breaches.push(Breach::VersionLost { versions, applied });
    }
}

#[cfg(test)]
mod tests;
