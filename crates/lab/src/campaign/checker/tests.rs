//! The checker finds a planted breach of each kind, and none where there is none.

use super::*;

fn chat(class: &str) -> ChatSeen {
    let expected = vec!["a ".to_owned(), "b ".to_owned()];
    ChatSeen {
        class: class.to_owned(),
        tokens: expected.clone(),
        expected,
        complete: true,
        outcome: "completed".to_owned(),
        reason: String::new(),
    }
}

fn sound() -> Observations {
    let booking = |outcome: &str| PlainSeen { key: "k".to_owned(), outcome: outcome.to_owned() };
    let confirmed = |base_version: u64, result: &str| Confirmed {
        base_version,
        result: result.to_owned(),
        version: base_version + 1,
    };
    Observations {
        chats: vec![chat("tide-check"), chat("replan")],
        bookings: vec![booking("completed"), booking("unknown"), booking("not_run")],
        confirmed: vec![confirmed(1, "applied"), confirmed(1, "stale"), confirmed(2, "unknown")],
        effects: vec!["k".to_owned()],
        final_versions: vec![2, 2],
    }
}

fn breaches_of(plant: impl FnOnce(&mut Observations)) -> Vec<Breach> {
    let mut seen = sound();
    plant(&mut seen);
    check(&seen)
}

#[test]
fn sound_round_has_no_breach() {
    assert_eq!(breaches_of(|_| {}), []);
}

#[test]
fn planted_chat_breaches_are_found() {
    let class = || "tide-check".to_owned();
    let wrong = breaches_of(|it| it.chats[0].tokens.truncate(1));
    assert_eq!(wrong, [Breach::WrongAnswer { class: class() }]);
    let foreign = breaches_of(|it| {
        it.chats[0].complete = false;
        it.chats[0].tokens = vec!["b ".to_owned()];
    });
    assert_eq!(foreign, [Breach::ForeignTokens { class: class() }]);
    let shed = breaches_of(|it| {
        it.chats[0].complete = false;
        it.chats[0].tokens.clear();
        it.chats[0].outcome = "not_run".to_owned();
        it.chats[0].reason = "queue_full".to_owned();
    });
    assert_eq!(shed, [Breach::TopClassShed { reason: "queue_full".to_owned() }]);
}

#[test]
fn planted_booking_breaches_are_found() {
    let key = || "k".to_owned();
    let twice = breaches_of(|it| it.effects.push(key()));
    assert_eq!(twice, [Breach::RanTwice { key: key(), times: 2 }]);
    let lied = breaches_of(|it| {
        it.bookings.iter_mut().for_each(|it| it.outcome = "not_run".to_owned());
    });
    assert_eq!(lied, [Breach::RanThoughNotRun { key: key() }]);
    let never = breaches_of(|it| it.effects.clear());
    assert_eq!(never, [Breach::CompletedWithoutRun { key: key() }]);
}

#[test]
fn planted_configuration_breaches_are_found() {
    let both = breaches_of(|it| it.confirmed[1].result = "applied".to_owned());
    assert_eq!(both, [Breach::TwoPlansApplied { base_version: 1 }]);
    let lost = breaches_of(|it| it.final_versions[1] = 1);
    assert_eq!(lost, [Breach::VersionLost { versions: vec![2, 1], applied: 2 }]);
    let parted = breaches_of(|it| it.final_versions[1] = 3);
    assert_eq!(parted, [Breach::VersionLost { versions: vec![2, 3], applied: 2 }]);
}
