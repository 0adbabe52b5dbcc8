//! The checker finds an injected breach of each kind, and none in valid observations.

use std::ops::Range;
use std::sync::LazyLock;
use std::time::Duration;

use super::*;

fn chat(class: &str) -> ChatObservation {
    let expected = vec!["a ".to_owned(), "b ".to_owned()];
    ChatObservation {
        class: class.to_owned(),
        tokens: expected.clone(),
        expected,
        complete: true,
        outcome: "completed".to_owned(),
        reason: String::new(),
    }
}

fn version(vm: usize, process: u64, version: u64) -> VersionObservation {
    VersionObservation { vm, process, version }
}

/// Returns a request in flight in these milliseconds.
fn limited(ms: Range<u64>) -> LimitedObservation {
    LimitedObservation { from: at(ms.start), to: at(ms.end) }
}

fn at(ms: u64) -> Instant {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    *START + Duration::from_millis(ms)
}

fn valid_observations() -> Observations {
    let booking =
        |outcome: &str| BookingObservation { key: "k".to_owned(), outcome: outcome.to_owned() };
    let plan = |base_version: u64, result: &str| PlanObservation {
        base_version,
        result: result.to_owned(),
        version: base_version + 1,
    };
    Observations {
        chats: vec![chat("tide-check"), chat("replan")],
        bookings: vec![booking("completed"), booking("unknown"), booking("not_run")],
        plans: vec![plan(1, "applied"), plan(1, "stale"), plan(2, "unknown")],
        effects: vec!["k".to_owned()],
        vm_count: 2,
        final_versions: vec![2, 2],
        versions: vec![version(1, 7, 2), version(1, 8, 1), version(1, 8, 2)],
        limited: vec![limited(0..40), limited(0..34), limited(0..33), limited(30..40)],
        limit: Some(1),
        agreed_from: Some(at(35)),
        failed_stops: 0,
        final_members: vec![2, 2],
    }
}

fn breaches_after(inject: impl FnOnce(&mut Observations)) -> Vec<Breach> {
    let mut observations = valid_observations();
    inject(&mut observations);
    check(&observations)
}

#[test]
fn valid_round_has_no_breach() {
    assert_eq!(breaches_after(|_| {}), []);
}

#[test]
fn injected_chat_breaches_are_found() {
    let class = || "tide-check".to_owned();
    let wrong = breaches_after(|it| it.chats[0].tokens.truncate(1));
    assert_eq!(wrong, [Breach::WrongAnswer { class: class() }]);
    let foreign = breaches_after(|it| {
        it.chats[0].complete = false;
        it.chats[0].tokens = vec!["b ".to_owned()];
    });
    assert_eq!(foreign, [Breach::ForeignTokens { class: class() }]);
    let shed = breaches_after(|it| {
        it.chats[0].complete = false;
        it.chats[0].tokens.clear();
        it.chats[0].outcome = "not_run".to_owned();
        it.chats[0].reason = "queue_full".to_owned();
    });
    assert_eq!(shed, [Breach::TopClassShed { reason: "queue_full".to_owned() }]);
}

#[test]
fn injected_booking_breaches_are_found() {
    let key = || "k".to_owned();
    let twice = breaches_after(|it| it.effects.push(key()));
    assert_eq!(twice, [Breach::RanTwice { key: key(), times: 2 }]);
    let misreported = breaches_after(|it| {
        it.bookings.iter_mut().for_each(|it| it.outcome = "not_run".to_owned());
    });
    assert_eq!(misreported, [Breach::RanThoughNotRun { key: key() }]);
    let not_run = breaches_after(|it| it.effects.clear());
    assert_eq!(not_run, [Breach::CompletedWithoutRun { key: key() }]);
}

#[test]
fn injected_configuration_breaches_are_found() {
    let conflicting = breaches_after(|it| it.plans[1].result = "applied".to_owned());
    assert_eq!(conflicting, [Breach::TwoPlansApplied { base_version: 1 }]);
    let lost = breaches_after(|it| it.final_versions[1] = 1);
    assert_eq!(lost, [Breach::VersionLost { versions: vec![2, 1], applied: 2 }]);
    let divergent = breaches_after(|it| it.final_versions[1] = 3);
    assert_eq!(divergent, [Breach::VersionLost { versions: vec![2, 3], applied: 2 }]);
    let stopped = breaches_after(|it| it.final_versions.truncate(1));
    assert_eq!(stopped, [Breach::VmsLost { running: 1, vms: 2 }]);
}

#[test]
fn injected_upgrade_breaches_are_found() {
    let back = breaches_after(|it| it.versions.push(version(1, 8, 1)));
    assert_eq!(back, [Breach::VersionWentBack { vm: 1, from: 2, to: 1 }]);
    let exceeded = breaches_after(|it| it.limited.push(limited(31..32)));
    assert_eq!(exceeded, [Breach::LimitExceeded { in_flight: 5, limit: 4 }]);
    let exceeded = breaches_after(|it| it.limited.extend([limited(34..40), limited(34..40)]));
    assert_eq!(exceeded, [Breach::LimitExceeded { in_flight: 4, limit: 3 }]);
    let failed = breaches_after(|it| it.failed_stops = 1);
    assert_eq!(failed, [Breach::StopsFailed { vms: 1 }]);
    let unknown = breaches_after(|it| it.final_members[0] = 1);
    assert_eq!(unknown, [Breach::MembersUnknown { known: vec![1, 2], vms: 2 }]);
}
