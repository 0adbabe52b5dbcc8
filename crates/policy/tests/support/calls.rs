//! A scheduler that is fed single calls.

#![allow(dead_code, reason = "each test file uses only a part of it")]

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::TierBacklog;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::table::Authentication;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::EngineSpec;
use cranberryvalve_core::table::PoolSpec;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::WeightedPool;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::PromptPart;
use cranberryvalve_policy::scheduler::RetryLimits;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::UpstreamRecord;

pub(crate) const ENGINES: &str = "engines";
pub(crate) const SERVICES: &str = "plain";
pub(crate) const TARGET: Duration = Duration::from_millis(1_000);

pub(crate) struct Harness {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Instant,
    pub(crate) next_id: u64,
}

/// Immediate result of an event for a call.
#[derive(Debug, PartialEq)]
pub(crate) enum CallState {
    Sent(String),
    Concluded(ConclusionReason),
    Queued,
}

impl Harness {
    pub(crate) fn new(upstreams: Vec<UpstreamRecord>) -> Self {
        let settings = SchedulerSettings {
            failure_domain: Some("near".into()),
            retry_limits: RetryLimits { ratio: 0.2, burst: 56.0 },
        };
        let mut scheduler = Scheduler::new(settings);
        scheduler.set_table(Arc::new(table()));
        let now = Instant::now();
        scheduler.handle(now, SchedulerEvent::DirectoryChanged(upstreams));
        Self { scheduler, now, next_id: 0 }
    }

    pub(crate) fn submit(
        &mut self,
        kind: CallKind,
        pool: &str,
        tier: u8,
        prompt: Option<Prompt>,
    ) -> CallState {
        self.next_id += 1;
        let call = call(self.next_id, self.now, kind, pool, tier, prompt);
        let actions = self.scheduler.handle(self.now, SchedulerEvent::Arrived(Box::new(call)));
        call_state(&actions)
    }

    pub(crate) fn end(&mut self, id: u64, attempt: u32, end: AttemptEnd) -> CallState {
        let event = SchedulerEvent::AttemptEnded { id, attempt, end };
        call_state(&self.scheduler.handle(self.now, event))
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<SchedulerAction> {
        self.now += time;
        self.scheduler.handle(self.now, SchedulerEvent::Tick)
    }

    /// Reports that other VMs have a backlog of `prefill_ms` in tier 2 at `upstream`.
    pub(crate) fn report_other_vms_backlog(&mut self, upstream: &str, prefill_ms: u16) {
        let backlog = vec![TierBacklog { tier: 2, prefill_ms }];
        let load = UpstreamLoad { upstream: upstream.into(), in_flight: 3, backlog };
        self.scheduler.handle(self.now, SchedulerEvent::CoordinatorLoads(vec![load]));
    }
}

pub(crate) fn table() -> RoutingTable {
    let engine = EngineSpec { slots: 8, memory_tokens: 200_000 };
    let pools = vec![
        PoolSpec { id: ENGINES.into(), max_connections: 100, engine: Some(engine) },
        PoolSpec { id: SERVICES.into(), max_connections: 100, engine: None },
    ];
    RoutingTable::new(1, Vec::new(), pools, Authentication::Anonymous, CallerLimits::default())
}

pub(crate) fn call_state(actions: &[SchedulerAction]) -> CallState {
    let found = actions.iter().find_map(|it| match it {
        SchedulerAction::Send(it) => Some(CallState::Sent(it.upstream.id.to_string())),
        SchedulerAction::Conclude(it) => Some(CallState::Concluded(it.reason)),
        _ => None,
    });
    found.unwrap_or(CallState::Queued)
}

pub(crate) fn call(
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
        timeout: 8 * TARGET,
        latency_target: TARGET,
        event_gap_target: None,
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
        max_attempts: 2,
        body_bytes: 1_000,
        software_version: None,
    }
}

pub(crate) fn upstream(id: &str, pool: &str, failure_domain: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        pool: pool.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: failure_domain.into(),
        slots: 8,
        is_leaving: false,
        incarnation: 1,
        software_version: "v1".into(),
    }
}

pub(crate) fn prompt(tokens: u32, shared: u64) -> Option<Prompt> {
    let parts = vec![
        PromptPart { id: shared, tokens: tokens / 2 },
        PromptPart { id: shared + 1_000, tokens: tokens - tokens / 2 },
    ];
    Some(Prompt { input_tokens: tokens, output_tokens: 100, parts })
}

pub(crate) fn two_services() -> Vec<UpstreamRecord> {
    vec![upstream("p-near", SERVICES, "near"), upstream("p-far", SERVICES, "far")]
}
