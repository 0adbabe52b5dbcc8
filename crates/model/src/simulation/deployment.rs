//! The simulated VMs, engines and routes.

use std::sync::Arc;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinator_of;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::Authentication;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::EngineSpec;
use cranberryvalve_core::table::PoolSpec;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::WeightedPool;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::POOL;
use crate::baseline::BaselinePlacement;
use crate::engine::SLOTS;
use crate::fleet::Fleet;
use crate::fleet::PlacementPolicy;
use crate::load::Traffic;
use crate::vm::Vm;

pub(super) fn vm_name(number: usize) -> VmId {
    format!("vm-{number}").into()
}

pub(super) fn domain_name(fleet: &Fleet, number: usize) -> Arc<str> {
    format!("domain-{}", number % fleet.failure_domains).into()
}

pub(super) fn engine_name(number: usize) -> UpstreamId {
    format!("engine-{number}").into()
}

/// Returns the index of the engine with this name.
pub(super) fn engine_index_of(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

/// Returns the directory records of the engines; the port of an address is the engine's index.
pub(super) fn records(fleet: &Fleet) -> Vec<UpstreamRecord> {
    let record = |number: usize| UpstreamRecord {
        id: engine_name(number),
        pool: POOL.into(),
        address: ([127, 0, 0, 1], number as u16).into(),
        failure_domain: domain_name(fleet, number),
        slots: SLOTS as u32,
        is_leaving: false,
        incarnation: 1,
        software_version: "v1".into(),
    };
    (0..fleet.engines).map(record).collect()
}

/// Returns the number of the VM that coordinates the load of an engine, one of its failure domain.
pub(super) fn load_coordinator(fleet: &Fleet, record: &UpstreamRecord, names: &[VmId]) -> usize {
    let local = names.iter().enumerate();
    let local = local.filter(|(number, _)| domain_name(fleet, *number) == record.failure_domain);
    let local: Vec<VmId> = local.map(|(_, name)| name.clone()).collect();
    let coordinator = coordinator_of(&record.id, &local);
    names.iter().position(|it| Some(it) == coordinator).unwrap_or(0)
}

pub(super) fn route(traffic: &Traffic) -> RouteRule {
    RouteRule {
        id: traffic.name.into(),
        host: "model.example".into(),
        prefix: "/".into(),
        kind: CallKind::Stream,
        timeout: traffic.deadline,
        latency_target: traffic.first_event_target,
        event_gap_target: Some(traffic.event_gap_target),
        priority: traffic.tier,
        max_attempts: 2,
        is_public: true,
        pools: vec![WeightedPool { pool: POOL.into(), weight: 1 }],
    }
}

pub(super) fn table(fleet: &Fleet, routes: &[Arc<RouteRule>]) -> RoutingTable {
    let engine = EngineSpec { slots: SLOTS as u32, memory_tokens: fleet.memory_tokens };
    let pool = PoolSpec { id: POOL.into(), max_connections: 4_000, engine: Some(engine) };
    let routes = routes.iter().map(|it| (**it).clone()).collect();
    RoutingTable::new(1, routes, vec![pool], Authentication::Anonymous, CallerLimits::default())
}

pub(super) fn vm(
    fleet: &Fleet,
    policy: PlacementPolicy,
    number: usize,
    table: &Arc<RoutingTable>,
    records: &[UpstreamRecord],
    start: Instant,
) -> Vm {
    if policy == PlacementPolicy::Baseline {
        return Vm::Baseline(BaselinePlacement::new(fleet.engines, number));
    }
    let settings = SchedulerSettings {
        failure_domain: Some(domain_name(fleet, number)),
        ..SchedulerSettings::default()
    };
    let mut scheduler = Scheduler::new(settings);
    scheduler.set_table(table.clone());
    scheduler.handle(start, SchedulerEvent::DirectoryChanged(records.to_vec()));
    scheduler.handle(start, SchedulerEvent::VmCountChanged(fleet.vms as u32));
    Vm::Scheduler(Box::new(scheduler))
}
