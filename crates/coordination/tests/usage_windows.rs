//! Windows are reported once their counts are complete, and not if too much is missing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::usage::ClockReading;
use cranberryvalve_coordination::usage::ClockVotes;
use cranberryvalve_coordination::usage::LocalUsage;
use cranberryvalve_coordination::usage::MergedUsage;
use cranberryvalve_coordination::usage::ReportPlan;
use cranberryvalve_coordination::usage::TrueClock;
use cranberryvalve_coordination::usage::UsageReport;
use cranberryvalve_coordination::usage::UsageRules;
use cranberryvalve_coordination::usage::VmCounts;
use cranberryvalve_coordination::usage::WindowCounts;
use cranberryvalve_coordination::usage::WindowState;
use cranberryvalve_core::VmId;

const RULES: UsageRules =
    UsageRules { window: Duration::from_secs(5), due: Duration::from_secs(10), tolerance: 0.05 };

/// A window, with its start, its end and when it is decided without missing VMs.
const WINDOW: u64 = 200;
const START_MS: u64 = WINDOW * 5_000;
const END_MS: u64 = START_MS + 5_000;
const DECISION_MS: u64 = END_MS + 8_000;

fn counts(vm: &str, incarnation: u64, since_ms: u64, count: u64, is_complete: bool) -> VmCounts {
    let counts = vec![("alpha".into(), count)];
    VmCounts {
        vm: vm.into(),
        incarnation,
        counts_since_ms: since_ms,
        windows: vec![WindowCounts { window: WINDOW, is_complete, counts }],
    }
}

fn merged(all: &[VmCounts]) -> MergedUsage {
    let mut merged = MergedUsage::default();
    all.iter().for_each(|it| merged.merge(&RULES, END_MS, it.clone()));
    merged
}

fn ready(count: u64) -> WindowState {
    let counts = BTreeMap::from([("alpha".into(), count)]);
    WindowState::Ready(UsageReport { window: WINDOW, counts })
}

fn state(merged: &MergedUsage, now_ms: u64, living: &[&str]) -> WindowState {
    let living: Vec<VmId> = living.iter().map(|it| (*it).into()).collect();
    merged.state(&RULES, now_ms, WINDOW, &living)
}

/// Repeated and late messages must not be counted twice.
#[test]
fn repeats_do_not_add() {
    let all = [
        counts("a", 1, 0, 7, true),
        counts("a", 1, 0, 3, false),
        counts("a", 1, 0, 7, true),
        counts("b", 1, 0, 2, true),
    ];
    assert_eq!(state(&merged(&all), END_MS, &["a", "b"]), ready(9));
}

/// A window must not be reported while a VM may still send counts of it.
#[test]
fn waits_for_all() {
    let all = [counts("a", 1, 0, 7, true), counts("b", 1, 0, 2, false)];
    let missing = WindowState::Open(vec!["b".into()]);
    assert_eq!(state(&merged(&all), END_MS, &["a", "b"]), missing);
    assert_eq!(state(&merged(&all), DECISION_MS, &["a", "b"]), WindowState::Lost);
    // The counts of a VM that died are kept.
    assert_eq!(state(&merged(&all), END_MS, &["a"]), ready(9));
    assert_eq!(state(&merged(&all), END_MS - 1, &["a"]), WindowState::Open(Vec::new()));
    assert_eq!(state(&merged(&all), END_MS + 10_000, &["a"]), WindowState::Lost);
}

/// One VM of many that does not respond must not cost the window.
#[test]
fn tolerates_few_missing() {
    let names: Vec<String> = (0..20).map(|it| format!("vm-{it}")).collect();
    let living: Vec<&str> = names.iter().map(|it| &**it).collect();
    let all: Vec<VmCounts> = living[1..].iter().map(|it| counts(it, 1, 0, 1, true)).collect();
    assert!(matches!(state(&merged(&all), END_MS, &living), WindowState::Open(_)));
    assert_eq!(state(&merged(&all), DECISION_MS, &living), ready(19));
    assert_eq!(state(&merged(&all[1..]), DECISION_MS, &living), WindowState::Lost);
}

/// A restart of all VMs within a window must not lead to a report of the rest of it.
#[test]
fn restart_of_all_loses_window() {
    let all = [counts("a", 2, START_MS + 1, 7, true), counts("b", 2, START_MS + 1, 2, true)];
    assert_eq!(state(&merged(&all), END_MS, &["a", "b"]), WindowState::Lost);
    // The counts from before the restart are known.
    let earlier = [counts("a", 1, 0, 5, false), counts("b", 1, 0, 6, false)];
    assert_eq!(state(&merged(&[all, earlier].concat()), END_MS, &["a", "b"]), ready(20));
}

/// A lost message must not cost counts: each window is sent in full at its end.
#[test]
fn ended_windows_are_sent_in_full() {
    let mut local = LocalUsage::default();
    local.record(WINDOW, &"alpha".into());
    let changed = local.take_due(&RULES, START_MS + 1_000);
    assert_eq!(changed.iter().filter(|it| it.window == WINDOW).count(), 1);
    local.record(WINDOW, &"alpha".into());
    for _ in 0..2 {
        let due = local.take_due(&RULES, END_MS + 200);
        let due = due.into_iter().find(|it| it.window == WINDOW);
        let counts = vec![("alpha".into(), 2)];
        assert_eq!(due, Some(WindowCounts { window: WINDOW, is_complete: true, counts }));
    }
    assert!(local.take_due(&RULES, END_MS + 200).is_empty());
    assert!(local.all(&RULES, END_MS + 200).iter().any(|it| it.window == WINDOW));
}

/// A jump of a wall clock, or a VM that was suspended, must not move the agreed time.
#[test]
fn single_clocks_decide_nothing() {
    let now = Instant::now();
    let reading = |estimate_ms, wall_ms| ClockReading { estimate_ms, wall_ms };
    let mut votes = ClockVotes::default();
    votes.record(now, &"a".into(), reading(50_000, 56_000));
    assert_eq!(votes.agreed_ms(now), None);
    votes.record(now, &"b".into(), reading(50_010, 50_020));
    assert!(votes.agreed_ms(now).is_some_and(|it| it.abs_diff(50_010) <= 10));
    votes.record(now, &"a".into(), reading(44_000, 50_000));
    assert!(votes.agreed_ms(now).is_some_and(|it| it.abs_diff(50_010) <= 10));
    let mut clock = TrueClock::new(now, 44_000);
    assert!(clock.correct(now, 50_010));
    assert!(!clock.correct(now, 50_100));
    assert_eq!(clock.now_ms(now + Duration::from_secs(1)), 51_010);
}

/// Reports must be sent in order, and a window that is over must not be counted again.
#[test]
fn plans_in_order() {
    let report = |window| UsageReport { window, counts: BTreeMap::new() };
    let none = BTreeSet::new();
    let plan = |row: (u64, &[UsageReport]), confirmed: &BTreeSet<u64>, open_from: u64| {
        ReportPlan::next(&RULES, END_MS + 5_000, row, confirmed, |window| {
            if window >= open_from {
                WindowState::Open(vec!["b".into()])
            } else {
                WindowState::Ready(report(window))
            }
        })
    };
    let first = plan((WINDOW - 1, &[]), &none, WINDOW + 1);
    assert_eq!((first.concluded, &*first.intended), (WINDOW, &[report(WINDOW)][..]));
    assert_eq!(first.missing, ["b".into()]);
    let next = plan((WINDOW, &first.intended), &BTreeSet::from([WINDOW]), WINDOW + 2);
    assert_eq!((next.concluded, &*next.intended), (WINDOW + 1, &[report(WINDOW + 1)][..]));
    let over = plan((WINDOW + 5, &[report(WINDOW - 3)]), &none, WINDOW + 9);
    assert_eq!((over.concluded, over.intended.len()), (WINDOW + 5, 0));
}
