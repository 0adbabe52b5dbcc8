//! Decisions of the scheduler for single calls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::TierBacklog;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::EngineProfile;
use cranberryvalve_core::table::PoolProfile;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::WeightedPool;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::PromptPart;
use cranberryvalve_policy::scheduler::RetryLimits;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::SendEnd;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use quickcheck::quickcheck;

const ENGINES: &str = "engines";
const PLAIN: &str = "plain";
const TARGET: Duration = Duration::from_millis(1_000);

struct Bench {
    scheduler: Scheduler,
    now: Instant,
    next_id: u64,
}

/// What became of a call at once.
#[derive(Debug, PartialEq)]
enum Reaction {
    Sent(String),
    Concluded(ConclusionReason),
    Waits,
}

impl Bench {
    fn new(upstreams: Vec<UpstreamRecord>) -> Self {
        let settings = SchedulerSettings {
            failure_domain: Some("near".into()),
            retry_limits: RetryLimits { ratio: 0.2, slack: 56.0 },
        };
        let mut scheduler = Scheduler::new(settings);
        scheduler.put_in_force(Arc::new(table()));
        let now = Instant::now();
        scheduler.handle(now, SchedulerEvent::DirectoryChanged(upstreams));
        Self { scheduler, now, next_id: 0 }
    }

    fn arrive(&mut self, kind: CallKind, pool: &str, tier: u8, prompt: Option<Prompt>) -> Reaction {
        self.next_id += 1;
        let call = call(self.next_id, self.now, kind, pool, tier, prompt);
        let actions = self.scheduler.handle(self.now, SchedulerEvent::Arrived(Box::new(call)));
        reaction(&actions)
    }

    fn end(&mut self, id: u64, attempt: u32, end: SendEnd) -> Reaction {
        let event = SchedulerEvent::Ended { id, attempt, end };
        reaction(&self.scheduler.handle(self.now, event))
    }

    fn pass(&mut self, time: Duration) -> Vec<SchedulerAction> {
        self.now += time;
        self.scheduler.handle(self.now, SchedulerEvent::Tick)
    }

    /// Other VMs have this much to read at an engine, of tier 2.
    fn told(&mut self, upstream: &str, read_ms: u16) {
        let backlog = vec![TierBacklog { tier: 2, read_ms }];
        let load = UpstreamLoad { upstream: upstream.into(), in_flight: 3, backlog };
        self.scheduler.handle(self.now, SchedulerEvent::HomeTold(vec![load]));
    }
}

fn table() -> RoutingTable {
    let engine = EngineProfile { slots: 8, memory_tokens: 200_000 };
    let pools = vec![
        PoolProfile { id: ENGINES.into(), max_connections: 100, engine: Some(engine) },
        PoolProfile { id: PLAIN.into(), max_connections: 100, engine: None },
    ];
    RoutingTable::new(1, Vec::new(), pools, Vec::new(), CallerLimits::default())
}

fn reaction(actions: &[SchedulerAction]) -> Reaction {
    let found = actions.iter().find_map(|it| match it {
        SchedulerAction::Send(it) => Some(Reaction::Sent(it.upstream.id.to_string())),
        SchedulerAction::Conclude(it) => Some(Reaction::Concluded(it.reason)),
        SchedulerAction::Judged(_) | SchedulerAction::Checked(_) => None,
    });
    found.unwrap_or(Reaction::Waits)
}

fn call(
    id: u64,
    now: Instant,
    kind: CallKind,
    pool: &str,
    tier: u8,
    prompt: Option<Prompt>,
) -> Call {
    let route = RouteRule {
        id: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind,
        time_limit: 8 * TARGET,
        target: TARGET,
        event_gap: None,
        priority: tier,
        max_attempts: 2,
        is_public: true,
        pools: vec![WeightedPool { pool: pool.into(), weight: 1 }],
    };
    Call {
        id,
        route: Arc::new(route),
        pool: pool.into(),
        customer: None,
        tier,
        arrived_at: now,
        deadline: now + 8 * TARGET,
        prompt,
        body_bytes: 1_000,
    }
}

fn upstream(id: &str, pool: &str, failure_domain: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        pool: pool.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: failure_domain.into(),
        slots: 8,
        is_leaving: false,
        incarnation: 1,
    }
}

fn prompt(tokens: u32, shared: u64) -> Option<Prompt> {
    let parts = vec![
        PromptPart { id: shared, tokens: tokens / 2 },
        PromptPart { id: shared + 1_000, tokens: tokens - tokens / 2 },
    ];
    Some(Prompt { input_tokens: tokens, output_tokens: 100, parts })
}

fn two_plain() -> Vec<UpstreamRecord> {
    vec![upstream("p-near", PLAIN, "near"), upstream("p-far", PLAIN, "far")]
}

#[test]
fn plain_calls_stay_in_their_failure_domain() {
    let mut bench = Bench::new(two_plain());
    for _ in 0..4 {
        let sent = bench.arrive(CallKind::Idempotent, PLAIN, 0, None);
        assert_eq!(sent, Reaction::Sent("p-near".to_owned()));
    }
}

#[test]
fn unreachable_upstream_is_left_out_after_one_failure() {
    let mut bench = Bench::new(two_plain());
    bench.arrive(CallKind::Once, PLAIN, 0, None);
    assert_eq!(bench.end(1, 1, SendEnd::NotSent), Reaction::Sent("p-far".to_owned()));
    let next = bench.arrive(CallKind::Once, PLAIN, 0, None);
    assert_eq!(next, Reaction::Sent("p-far".to_owned()));
}

#[test]
fn call_that_may_have_run_once_is_not_sent_again() {
    let mut bench = Bench::new(two_plain());
    for end in [SendEnd::Broken, SendEnd::Failed] {
        bench.arrive(CallKind::Once, PLAIN, 0, None);
        let id = bench.next_id;
        let reaction = bench.end(id, 1, end);
        assert_eq!(reaction, Reaction::Concluded(ConclusionReason::MayHaveRun));
    }
}

#[test]
fn retries_need_to_be_earned() {
    let mut bench = Bench::new(two_plain());
    bench.arrive(CallKind::Idempotent, PLAIN, 0, None);
    let reaction = bench.end(1, 1, SendEnd::Failed);
    assert_eq!(reaction, Reaction::Concluded(ConclusionReason::BudgetUsed));
    for _ in 0..8 {
        bench.arrive(CallKind::Idempotent, PLAIN, 0, None);
        let id = bench.next_id;
        bench.end(id, 1, SendEnd::Complete);
    }
    bench.arrive(CallKind::Idempotent, PLAIN, 0, None);
    let id = bench.next_id;
    assert_eq!(bench.end(id, 1, SendEnd::Failed), Reaction::Sent("p-far".to_owned()));
    let reaction = bench.end(id, 2, SendEnd::Failed);
    assert_eq!(reaction, Reaction::Concluded(ConclusionReason::AttemptsUsed));
}

#[test]
fn leaving_and_replaced_upstreams_get_nothing() {
    let mut leaving = upstream("p-near", PLAIN, "near");
    leaving.is_leaving = true;
    let mut bench = Bench::new(vec![leaving, upstream("p-far", PLAIN, "far")]);
    let sent = bench.arrive(CallKind::Once, PLAIN, 0, None);
    assert_eq!(sent, Reaction::Sent("p-far".to_owned()));
    bench.end(1, 1, SendEnd::Refused { misdirected: true });
    let reaction = bench.arrive(CallKind::Once, PLAIN, 0, None);
    assert_eq!(reaction, Reaction::Concluded(ConclusionReason::NoUpstream));
}

#[test]
fn long_prompts_with_the_same_beginning_share_an_engine() {
    let engines = (0..12).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut bench = Bench::new(engines);
    let first = bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
    bench.end(1, 1, SendEnd::Complete);
    let again = bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
    assert_eq!(first, again);
}

#[test]
fn second_home_of_a_beginning_fetches_it_from_the_first() {
    let engines = (0..12).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut bench = Bench::new(engines);
    let mut placed = || {
        bench.next_id += 1;
        let call = call(bench.next_id, bench.now, CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
        let actions = bench.scheduler.handle(bench.now, SchedulerEvent::Arrived(Box::new(call)));
        let send = actions.into_iter().find_map(|it| match it {
            SchedulerAction::Send(it) => Some(it),
            _ => None,
        });
        let send = send.expect("there is room");
        (send.upstream.id, send.prefix_source.map(|it| it.id))
    };
    let (first, _) = placed();
    let mut other = placed();
    while other.0 == first {
        other = placed();
    }
    assert_eq!(other.1, Some(first));
}

#[test]
fn long_and_short_prompts_keep_apart() {
    let engines = (0..6).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut bench = Bench::new(engines);
    let mut sent = |tokens: u32, tier: u8, from: u64| -> Vec<String> {
        let reactions = (from..from + 6)
            .map(|it| bench.arrive(CallKind::Stream, ENGINES, tier, prompt(tokens, it)));
        let sent = reactions.filter_map(|it| match it {
            Reaction::Sent(upstream) => Some(upstream),
            Reaction::Concluded(_) | Reaction::Waits => None,
        });
        sent.collect()
    };
    // Both kinds have to be seen before the engines are divided.
    sent(500, 0, 50);
    let long = sent(6_000, 2, 0);
    let short = sent(500, 0, 100);
    assert!(long.iter().all(|it| !short.contains(it)), "{long:?} {short:?}");
    assert!(!long.is_empty() && !short.is_empty());
}

#[test]
fn lanes_share_the_capacity_of_engines_of_two_speeds() {
    let engines = (0..12).map(|it| upstream(&format!("e-{it}"), ENGINES, "near")).collect();
    let mut bench = Bench::new(engines);
    for engine in 0..12 {
        let event_gap = Duration::from_millis(if engine < 6 { 30 } else { 20 });
        let paced = SchedulerEvent::Paced { upstream: format!("e-{engine}").into(), event_gap };
        bench.scheduler.handle(bench.now, paced);
    }
    bench.arrive(CallKind::Stream, ENGINES, 0, prompt(500, 10_000));
    let mut used = BTreeSet::new();
    for beginning in 0..300 {
        let sent = bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, beginning));
        bench.end(bench.next_id, 1, SendEnd::Complete);
        let Reaction::Sent(engine) = sent else { panic!("{sent:?}") };
        used.insert(engine);
    }
    // The six slow ones have the capacity of four, so that two thirds of ten are those and three.
    assert_eq!(used.len(), 9, "{used:?}");
    assert!((0..6).all(|it| used.contains(&format!("e-{it}"))), "{used:?}");
}

#[test]
fn work_of_other_vms_counts() {
    let mut bench = Bench::new(vec![upstream("e-0", ENGINES, "near")]);
    bench.told("e-0", 900);
    assert_eq!(bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, 1)), Reaction::Waits);
    // The engine reads prompts of a higher tier first.
    let urgent = bench.arrive(CallKind::Stream, ENGINES, 1, prompt(6_000, 1));
    assert_eq!(urgent, Reaction::Sent("e-0".to_owned()));
}

#[test]
fn engines_are_known_when_the_directory_comes_before_the_table() {
    let mut bench = Bench::new(vec![upstream("e-0", ENGINES, "near")]);
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let directory = SchedulerEvent::DirectoryChanged(bench.scheduler.directory());
    scheduler.handle(bench.now, directory);
    scheduler.put_in_force(Arc::new(table()));
    bench.scheduler = scheduler;
    bench.told("e-0", 900);
    assert_eq!(bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, 1)), Reaction::Waits);
}

#[test]
fn news_of_a_pace_is_passed_on_and_dies_out() {
    let directory = || vec![upstream("e-0", ENGINES, "near")];
    let (mut teller, mut listener) = (Bench::new(directory()), Bench::new(directory()));
    let event_gap = Duration::from_millis(20);
    let paced = SchedulerEvent::Paced { upstream: "e-0".into(), event_gap };
    teller.scheduler.handle(teller.now, paced);
    let news = teller.scheduler.take_pace_news(10);
    assert_eq!(news, teller.scheduler.paces());
    listener.scheduler.handle(listener.now, SchedulerEvent::PacesTold(news.clone()));
    assert_eq!(listener.scheduler.take_pace_news(10), news);
    while !listener.scheduler.take_pace_news(10).is_empty() {}
    listener.scheduler.handle(listener.now, SchedulerEvent::PacesTold(news));
    assert_eq!(listener.scheduler.take_pace_news(10), []);
}

#[test]
fn pace_told_before_the_directory_is_kept() {
    let mut teller = Bench::new(vec![upstream("e-0", ENGINES, "near")]);
    let event_gap = Duration::from_millis(20);
    let paced = SchedulerEvent::Paced { upstream: "e-0".into(), event_gap };
    teller.scheduler.handle(teller.now, paced);
    let paces = teller.scheduler.paces();
    let mut listener = Bench::new(Vec::new());
    listener.scheduler.handle(listener.now, SchedulerEvent::PacesTold(paces.clone()));
    let directory = SchedulerEvent::DirectoryChanged(teller.scheduler.directory());
    listener.scheduler.handle(listener.now, directory);
    assert_eq!(listener.scheduler.paces(), paces);
}

#[test]
fn pool_that_loses_its_engine_profile_is_a_plain_service() {
    let mut bench = Bench::new(vec![upstream("e-0", ENGINES, "near")]);
    let pools = vec![PoolProfile { id: ENGINES.into(), max_connections: 100, engine: None }];
    let table = RoutingTable::new(2, Vec::new(), pools, Vec::new(), CallerLimits::default());
    bench.scheduler.put_in_force(Arc::new(table));
    bench.told("e-0", 900);
    let sent = bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, 1));
    assert_eq!(sent, Reaction::Sent("e-0".to_owned()));
}

#[test]
fn call_without_room_is_refused_early_with_a_time() {
    let mut bench = Bench::new(vec![upstream("e-0", ENGINES, "near")]);
    bench.told("e-0", 5_000);
    assert_eq!(bench.arrive(CallKind::Stream, ENGINES, 2, prompt(6_000, 1)), Reaction::Waits);
    let actions = bench.pass(TARGET / 8);
    let [SchedulerAction::Conclude(conclusion)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(conclusion.reason, ConclusionReason::Overloaded);
    assert!(conclusion.retry_after > 3 * TARGET, "{conclusion:?}");
}

#[test]
fn lower_tier_waits_while_a_higher_one_does() {
    let mut bench = Bench::new(vec![upstream("p-near", PLAIN, "near")]);
    while bench.arrive(CallKind::Once, PLAIN, 2, None) != Reaction::Waits {}
    let low = bench.next_id;
    assert_eq!(bench.arrive(CallKind::Once, PLAIN, 0, None), Reaction::Waits);
    let high = bench.next_id;
    let event = SchedulerEvent::Ended { id: 1, attempt: 1, end: SendEnd::Complete };
    let actions = bench.scheduler.handle(bench.now, event);
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
fn busy_customer_waits_behind_the_others() {
    let mut bench = Bench::new(vec![upstream("p-near", PLAIN, "near")]);
    let mut arrive = |customer: &str| -> (u64, Reaction) {
        bench.next_id += 1;
        let mut call = call(bench.next_id, bench.now, CallKind::Once, PLAIN, 0, None);
        call.customer = Some(customer.into());
        let id = call.id;
        let event = SchedulerEvent::Arrived(Box::new(call));
        (id, reaction(&bench.scheduler.handle(bench.now, event)))
    };
    let mut waiting = arrive("busy");
    while waiting.1 != Reaction::Waits {
        waiting = arrive("busy");
    }
    let (other, waits) = arrive("other");
    assert_eq!(waits, Reaction::Waits);
    let event = SchedulerEvent::Ended { id: 1, attempt: 1, end: SendEnd::Complete };
    let actions = bench.scheduler.handle(bench.now, event);
    let sent = actions.iter().find_map(|it| match it {
        SchedulerAction::Send(it) => Some(it.id),
        _ => None,
    });
    assert_eq!(sent, Some(other));
}

quickcheck! {
    /// Whatever happens, each call is sent to one upstream at a time and concluded once at most,
    /// and one that may run once is never sent after it may have run.
    fn calls_end_once(steps: Vec<(u8, u8)>) -> bool {
        let mut bench = Bench::new(two_plain());
        let mut flying: Vec<(u64, u32)> = Vec::new();
        let mut doubtful: Vec<u64> = Vec::new();
        let mut concluded: Vec<u64> = Vec::new();
        for (step, choice) in steps {
            let actions = match step % 4 {
                0 => {
                    bench.next_id += 1;
                    let call = call(bench.next_id, bench.now, CallKind::Once, PLAIN, choice % 3, None);
                    bench.scheduler.handle(bench.now, SchedulerEvent::Arrived(Box::new(call)))
                }
                1 => bench.pass(Duration::from_millis(u64::from(choice))),
                _ if flying.is_empty() => continue,
                _ => {
                    let (id, attempt) = flying.swap_remove(usize::from(choice) % flying.len());
                    let ends = [
                        SendEnd::Complete,
                        SendEnd::NotSent,
                        SendEnd::Refused { misdirected: false },
                        SendEnd::Failed,
                        SendEnd::Broken,
                        SendEnd::Abandoned,
                    ];
                    let end = ends[usize::from(choice) % ends.len()];
                    if matches!(end, SendEnd::Failed | SendEnd::Broken) {
                        doubtful.push(id);
                    }
                    let event = SchedulerEvent::Ended { id, attempt, end };
                    bench.scheduler.handle(bench.now, event)
                }
            };
            for action in actions {
                match action {
                    SchedulerAction::Send(it) => {
                        let is_flying = flying.iter().any(|(id, _)| *id == it.id);
                        if is_flying || doubtful.contains(&it.id) || concluded.contains(&it.id) {
                            return false;
                        }
                        flying.push((it.id, it.attempt));
                    }
                    SchedulerAction::Conclude(it) => {
                        let is_flying = flying.iter().any(|(id, _)| *id == it.id);
                        if is_flying || concluded.contains(&it.id) {
                            return false;
                        }
                        concluded.push(it.id);
                    }
                    SchedulerAction::Judged(_) | SchedulerAction::Checked(_) => {}
                }
            }
        }
        true
    }
}
