//! Tests of the scheduler's decisions for single calls.

#[path = "support/calls.rs"]
mod calls;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::table::Authentication;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::PoolSpec;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use quickcheck::quickcheck;

use calls::CallState;
use calls::ENGINES;
use calls::Harness;
use calls::SERVICES;
use calls::TARGET;
use calls::call;
use calls::call_state;
use calls::prompt;
use calls::table;
use calls::two_services;
use calls::upstream;

#[test]
fn call_is_not_sent_after_its_deadline() {
    let mut harness = Harness::new(vec![upstream("p-near", SERVICES, "near")]);
    let mut running = 0;
    while harness.submit(CallKind::Idempotent, SERVICES, 0, None) != CallState::Queued {
        running += 1;
    }
    // The VM is suspended, and a response that arrived meanwhile makes room.
    harness.now += 8 * TARGET;
    let state = harness.end(running, 1, AttemptEnd::Complete);
    assert_eq!(state, CallState::Concluded(ConclusionReason::Overloaded));
}

#[test]
fn calls_without_prompt_stay_in_their_failure_domain() {
    let mut harness = Harness::new(two_services());
    for _ in 0..4 {
        let sent = harness.submit(CallKind::Idempotent, SERVICES, 0, None);
        assert_eq!(sent, CallState::Sent("p-near".to_owned()));
    }
}

#[test]
fn unreachable_upstream_is_avoided_after_one_failure() {
    let mut harness = Harness::new(two_services());
    harness.submit(CallKind::NonIdempotent, SERVICES, 0, None);
    assert_eq!(harness.end(1, 1, AttemptEnd::NotSent), CallState::Sent("p-far".to_owned()));
    let next = harness.submit(CallKind::NonIdempotent, SERVICES, 0, None);
    assert_eq!(next, CallState::Sent("p-far".to_owned()));
}

#[test]
fn non_repeatable_call_that_may_have_run_is_not_retried() {
    let mut harness = Harness::new(two_services());
    for end in [AttemptEnd::Interrupted, AttemptEnd::Failed] {
        harness.submit(CallKind::NonIdempotent, SERVICES, 0, None);
        let id = harness.next_id;
        let call_state = harness.end(id, 1, end);
        assert_eq!(call_state, CallState::Concluded(ConclusionReason::MayHaveRun));
    }
}

#[test]
fn retry_budget_grows_with_requests() {
    let mut harness = Harness::new(two_services());
    harness.submit(CallKind::Idempotent, SERVICES, 0, None);
    let call_state = harness.end(1, 1, AttemptEnd::Failed);
    assert_eq!(call_state, CallState::Concluded(ConclusionReason::RetryBudgetExhausted));
    for _ in 0..8 {
        harness.submit(CallKind::Idempotent, SERVICES, 0, None);
        let id = harness.next_id;
        harness.end(id, 1, AttemptEnd::Complete);
    }
    harness.submit(CallKind::Idempotent, SERVICES, 0, None);
    let id = harness.next_id;
    assert_eq!(harness.end(id, 1, AttemptEnd::Failed), CallState::Sent("p-far".to_owned()));
    let call_state = harness.end(id, 2, AttemptEnd::Failed);
    assert_eq!(call_state, CallState::Concluded(ConclusionReason::AttemptsExhausted));
}

#[test]
fn leaving_and_replaced_upstreams_get_no_calls() {
    let mut leaving = upstream("p-near", SERVICES, "near");
    leaving.is_leaving = true;
    let mut harness = Harness::new(vec![leaving, upstream("p-far", SERVICES, "far")]);
    let sent = harness.submit(CallKind::NonIdempotent, SERVICES, 0, None);
    assert_eq!(sent, CallState::Sent("p-far".to_owned()));
    harness.end(1, 1, AttemptEnd::Refused { misdirected: true });
    let call_state = harness.submit(CallKind::NonIdempotent, SERVICES, 0, None);
    assert_eq!(call_state, CallState::Concluded(ConclusionReason::NoUpstream));
}

#[test]
fn long_prompts_with_the_same_prefix_share_an_engine() {
    let engines = (0..12).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut harness = Harness::new(engines);
    let first = harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
    harness.end(1, 1, AttemptEnd::Complete);
    let second = harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
    assert_eq!(first, second);
}

#[test]
fn second_owner_of_a_prefix_fetches_it_from_the_first() {
    let engines = (0..12).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut harness = Harness::new(engines);
    let mut place_next = || {
        harness.next_id += 1;
        let call =
            call(harness.next_id, harness.now, CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
        let actions =
            harness.scheduler.handle(harness.now, SchedulerEvent::Arrived(Box::new(call)));
        let send = actions.into_iter().find_map(|it| match it {
            SchedulerAction::Send(it) => Some(it),
            _ => None,
        });
        let send = send.expect("there is room");
        (send.upstream.id, send.prefix_source.map(|it| it.id))
    };
    let (first, _) = place_next();
    let mut second = place_next();
    while second.0 == first {
        second = place_next();
    }
    assert_eq!(second.1, Some(first));
}

#[test]
fn long_and_short_prompts_use_different_engines() {
    let engines = (0..6).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut harness = Harness::new(engines);
    let mut submit_six = |tokens: u32, tier: u8, first_id: u64| -> Vec<String> {
        let states = (first_id..first_id + 6)
            .map(|it| harness.submit(CallKind::Stream, ENGINES, tier, prompt(tokens, it)));
        let sent = states.filter_map(|it| match it {
            CallState::Sent(upstream) => Some(upstream),
            CallState::Concluded(_) | CallState::Queued => None,
        });
        sent.collect()
    };
    // The engines are split into lanes only once prompts of both kinds have arrived.
    submit_six(500, 0, 50);
    let long = submit_six(6_000, 2, 0);
    let short = submit_six(500, 0, 100);
    assert!(long.iter().all(|it| !short.contains(it)), "{long:?} {short:?}");
    assert!(!long.is_empty() && !short.is_empty());
}

#[test]
fn long_lane_gets_two_thirds_of_the_capacity_slow_engines_first() {
    let engines = (0..12).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut harness = Harness::new(engines);
    for engine in 0..12 {
        let event_gap = Duration::from_millis(if engine < 6 { 30 } else { 20 });
        let measured =
            SchedulerEvent::StreamMeasured { upstream: format!("e-{engine}").into(), event_gap };
        harness.scheduler.handle(harness.now, measured);
    }
    harness.submit(CallKind::Stream, ENGINES, 0, prompt(500, 10_000));
    let mut used = BTreeSet::new();
    for prefix_id in 0..300 {
        let sent = harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, prefix_id));
        harness.end(harness.next_id, 1, AttemptEnd::Complete);
        let CallState::Sent(engine) = sent else { panic!("{sent:?}") };
        used.insert(engine);
    }
    // The six slow engines have the capacity of four fast ones, so the total is ten. Two thirds of
    // that are the slow engines and three fast ones.
    assert_eq!(used.len(), 9, "{used:?}");
    assert!((0..6).all(|it| used.contains(&format!("e-{it}"))), "{used:?}");
}

#[test]
fn backlog_of_other_vms_blocks_calls_of_the_same_tier() {
    let mut harness = Harness::new(vec![upstream("e-0", ENGINES, "near")]);
    harness.report_other_vms_backlog("e-0", 900);
    assert_eq!(harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, 1)), CallState::Queued);
    // Engines prefill prompts of a higher tier first.
    let higher_tier = harness.submit(CallKind::Stream, ENGINES, 1, prompt(6_000, 1));
    assert_eq!(higher_tier, CallState::Sent("e-0".to_owned()));
}

#[test]
fn engine_profile_applies_to_a_directory_received_before_the_table() {
    let mut harness = Harness::new(vec![upstream("e-0", ENGINES, "near")]);
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let directory = SchedulerEvent::DirectoryChanged(harness.scheduler.directory());
    scheduler.handle(harness.now, directory);
    scheduler.set_table(Arc::new(table()));
    harness.scheduler = scheduler;
    harness.report_other_vms_backlog("e-0", 900);
    assert_eq!(harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, 1)), CallState::Queued);
}

#[test]
fn new_pace_is_forwarded_a_limited_number_of_times() {
    let directory = || vec![upstream("e-0", ENGINES, "near")];
    let (mut sender, mut receiver) = (Harness::new(directory()), Harness::new(directory()));
    let event_gap = Duration::from_millis(20);
    let measured = SchedulerEvent::StreamMeasured { upstream: "e-0".into(), event_gap };
    sender.scheduler.handle(sender.now, measured);
    let updates = sender.scheduler.take_pace_updates(10);
    assert_eq!(updates, sender.scheduler.paces());
    receiver.scheduler.handle(receiver.now, SchedulerEvent::PeerPaces(updates.clone()));
    assert_eq!(receiver.scheduler.take_pace_updates(10), updates);
    while !receiver.scheduler.take_pace_updates(10).is_empty() {}
    receiver.scheduler.handle(receiver.now, SchedulerEvent::PeerPaces(updates));
    assert_eq!(receiver.scheduler.take_pace_updates(10), []);
}

#[test]
fn pace_received_before_the_directory_is_kept() {
    let mut sender = Harness::new(vec![upstream("e-0", ENGINES, "near")]);
    let event_gap = Duration::from_millis(20);
    let measured = SchedulerEvent::StreamMeasured { upstream: "e-0".into(), event_gap };
    sender.scheduler.handle(sender.now, measured);
    let paces = sender.scheduler.paces();
    let mut receiver = Harness::new(Vec::new());
    receiver.scheduler.handle(receiver.now, SchedulerEvent::PeerPaces(paces.clone()));
    let directory = SchedulerEvent::DirectoryChanged(sender.scheduler.directory());
    receiver.scheduler.handle(receiver.now, directory);
    assert_eq!(receiver.scheduler.paces(), paces);
}

#[test]
fn pool_without_engine_profile_becomes_a_plain_service() {
    let mut harness = Harness::new(vec![upstream("e-0", ENGINES, "near")]);
    let pools = vec![PoolSpec { id: ENGINES.into(), max_connections: 100, engine: None }];
    let table =
        RoutingTable::new(2, Vec::new(), pools, Authentication::Anonymous, CallerLimits::default());
    harness.scheduler.set_table(Arc::new(table));
    harness.report_other_vms_backlog("e-0", 900);
    let sent = harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
    assert_eq!(sent, CallState::Sent("e-0".to_owned()));
}

#[test]
fn call_without_room_is_refused_early_with_retry_after() {
    let mut harness = Harness::new(vec![upstream("e-0", ENGINES, "near")]);
    harness.report_other_vms_backlog("e-0", 5_000);
    assert_eq!(harness.submit(CallKind::Stream, ENGINES, 2, prompt(6_000, 1)), CallState::Queued);
    let actions = harness.advance(TARGET / 8);
    let [SchedulerAction::Conclude(conclusion)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(conclusion.reason, ConclusionReason::Overloaded);
    assert!(conclusion.retry_after > 3 * TARGET, "{conclusion:?}");
}

#[test]
fn higher_tier_call_is_dispatched_first() {
    let mut harness = Harness::new(vec![upstream("p-near", SERVICES, "near")]);
    while harness.submit(CallKind::NonIdempotent, SERVICES, 2, None) != CallState::Queued {}
    let low = harness.next_id;
    assert_eq!(harness.submit(CallKind::NonIdempotent, SERVICES, 0, None), CallState::Queued);
    let high = harness.next_id;
    let event = SchedulerEvent::AttemptEnded { id: 1, attempt: 1, end: AttemptEnd::Complete };
    let actions = harness.scheduler.handle(harness.now, event);
    let sent: Vec<u64> = actions
        .iter()
        .filter_map(|it| match it {
            SchedulerAction::Send(it) => Some(it.id),
            _ => None,
        })
        .collect();
    assert_eq!(sent, [high]);
    assert!(low < high);
}

#[test]
fn customer_with_many_calls_waits_behind_others() {
    let mut harness = Harness::new(vec![upstream("p-near", SERVICES, "near")]);
    let mut submit = |customer: &str| -> (u64, CallState) {
        harness.next_id += 1;
        let mut call =
            call(harness.next_id, harness.now, CallKind::NonIdempotent, SERVICES, 0, None);
        call.customer = Some(customer.into());
        let id = call.id;
        let event = SchedulerEvent::Arrived(Box::new(call));
        (id, call_state(&harness.scheduler.handle(harness.now, event)))
    };
    let mut last = submit("busy");
    while last.1 != CallState::Queued {
        last = submit("busy");
    }
    let (other, state) = submit("other");
    assert_eq!(state, CallState::Queued);
    let event = SchedulerEvent::AttemptEnded { id: 1, attempt: 1, end: AttemptEnd::Complete };
    let actions = harness.scheduler.handle(harness.now, event);
    let sent = actions.iter().find_map(|it| match it {
        SchedulerAction::Send(it) => Some(it.id),
        _ => None,
    });
    assert_eq!(sent, Some(other));
}

quickcheck! {
    /// A call is at most at one upstream at a time, is concluded at most once, and is not sent
    /// again after it may have run if its route permits only one run.
    fn calls_are_sent_and_concluded_at_most_once(steps: Vec<(u8, u8)>) -> bool {
        let mut harness = Harness::new(two_services());
        let mut in_flight: Vec<(u64, u32)> = Vec::new();
        let mut may_have_run: Vec<u64> = Vec::new();
        let mut concluded: Vec<u64> = Vec::new();
        for (step, choice) in steps {
            let actions = match step % 4 {
                0 => {
                    harness.next_id += 1;
                    let call = call(
                        harness.next_id,
                        harness.now,
                        CallKind::NonIdempotent,
                        SERVICES,
                        choice % 3,
                        None,
                    );
                    harness.scheduler.handle(harness.now, SchedulerEvent::Arrived(Box::new(call)))
                }
                1 => harness.advance(Duration::from_millis(u64::from(choice))),
                _ if in_flight.is_empty() => continue,
                _ => {
                    let (id, attempt) =
                        in_flight.swap_remove(usize::from(choice) % in_flight.len());
                    let ends = [
                        AttemptEnd::Complete,
                        AttemptEnd::NotSent,
                        AttemptEnd::Refused { misdirected: false },
                        AttemptEnd::Failed,
                        AttemptEnd::Interrupted,
                        AttemptEnd::Abandoned,
                    ];
                    let end = ends[usize::from(choice) % ends.len()];
                    if matches!(end, AttemptEnd::Failed | AttemptEnd::Interrupted) {
                        may_have_run.push(id);
                    }
                    let event = SchedulerEvent::AttemptEnded { id, attempt, end };
                    harness.scheduler.handle(harness.now, event)
                }
            };
            for action in actions {
                match action {
                    SchedulerAction::Send(it) => {
                        let is_in_flight = in_flight.iter().any(|(id, _)| *id == it.id);
                        if is_in_flight
                            || may_have_run.contains(&it.id)
                            || concluded.contains(&it.id)
                        {
                            return false;
                        }
                        in_flight.push((it.id, it.attempt));
                    }
                    SchedulerAction::Conclude(it) => {
                        let is_in_flight = in_flight.iter().any(|(id, _)| *id == it.id);
                        if is_in_flight || concluded.contains(&it.id) {
                            return false;
                        }
                        concluded.push(it.id);
                    }
                    SchedulerAction::HealthChanged(_)
 | SchedulerAction::UpstreamLeaving { .. }
 | SchedulerAction::PauseStarted { .. }
 | SchedulerAction::PauseEnded { .. }
 | SchedulerAction::RateLimitChanged { .. }
 | SchedulerAction::PredictionObserved(_) => {}
                }
            }
        }
        true
    }
}
