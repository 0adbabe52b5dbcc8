//! Messages and rows since 4be04b687788008f6b425cb4a2b5989f1cb51a68.

use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_coordination::feed::Changes;
use cranberryvalve_coordination::feed::FeedDelta;
use cranberryvalve_coordination::feed::Row;
use cranberryvalve_coordination::feed::RowChange;
use cranberryvalve_coordination::feed::Snapshot;
use cranberryvalve_coordination::lease::LeaseRow;
use cranberryvalve_coordination::ledger::LedgerRow;
use cranberryvalve_coordination::ledger::RecordedResponse;
use cranberryvalve_coordination::limits::LimitDemand;
use cranberryvalve_coordination::limits::LimitShare;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::membership::MemberUpdate;
use cranberryvalve_coordination::orders::FencedOrder;
use cranberryvalve_coordination::orders::lease_key;
use cranberryvalve_coordination::orders::serialize_completed_orders;
use cranberryvalve_coordination::orders::weight_permit_key;
use cranberryvalve_coordination::peer::FeedReport;
use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::plan::ClassEffect;
use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::Difference;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Hazard;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::Intent;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::quarantine::CrashReport;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_coordination::store::StoreError;
use cranberryvalve_coordination::transfer::Part;
use cranberryvalve_coordination::transfer::PartRequest;
use cranberryvalve_coordination::transfer::TransferId;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::Departure;
use cranberryvalve_core::Digest;
use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::ModelAction;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::PressureEntry;
use cranberryvalve_core::RateLimitNotice;
use cranberryvalve_core::RequestFingerprint;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::TierBacklog;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::UpstreamStart;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::CustomerKeys;
use cranberryvalve_core::table::EngineSpec;
use cranberryvalve_core::table::PoolSpec;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::TableDelta;
use cranberryvalve_core::table::WeightedPool;

use super::Sample;
use super::sent;
use super::stored;
use super::text;

/// Configuration with each field set.
const CONFIG: &str = r#"
profile = "goodput"
[[class]]
id = "chat"
tier = 1
first_token_target_ms = 1400
token_interval_target_ms = 38
queue_limit_ms = 29000
promote_after_ms = 9000
silence_limit_ms = 2900
answer_limit_ms = 290000
[[upstream]]
id = "engine-1"
address = "10.4.0.7:9000"
kind = "engine"
pools = ["engines"]
failure_domain = "lyttelton"
slots = 12
checks_fencing = true
drained = true
[[upstream.order]]
action = "load"
subject = "base"
[[upstream]]
id = "service-1"
address = "[fd00::7]:9000"
kind = "service"
pools = ["berths"]
failure_domain = "akaroa"
[[customer]]
id = "tasman"
key_sha256 = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
classes = ["chat"]
weight = 3
requests_per_s = 2.5
max_in_flight = 40
[[route]]
path_prefix = "/berths"
pool = "berths"
class = "chat"
idempotent = true
"#;

/// Returns the sender of the messages.
pub(crate) fn sender() -> PeerAddress {
    PeerAddress {
        vm: "front-chc-a-1".into(),
        address: ([10, 1, 0, 40], 7_340).into(),
        failure_domain: "chc-a".into(),
    }
}

fn member(number: u16, state: MemberState) -> MemberUpdate {
    let member = PeerAddress {
        vm: format!("front-chc-b-{number}").into(),
        address: ([0xfd00, 0, 0, 0, 0, 0, 0, number], 7_341).into(),
        failure_domain: "chc-b".into(),
    };
    MemberUpdate { member, incarnation: 1_764_900_000_123 + u64::from(number), state }
}

fn position(version: u64) -> StorePosition {
    StorePosition { era: 3, version }
}

/// Returns messages that cover each variant, and each variant of what they hold.
pub(crate) fn messages() -> Vec<Sample> {
    let mut all = gossip();
    all.extend(directory());
    all.extend(coordination());
    all
}

fn gossip() -> Vec<Sample> {
    let from = sender;
    let members = vec![
        member(1, MemberState::Alive),
        member(2, MemberState::Dead),
        member(300, MemberState::Left),
    ];
    let pressure = PressureEntry { pool: "engines".into(), tier: 2, age_ms: 70_000 };
    let loads = vec![UpstreamLoad {
        upstream: "engine-1".into(),
        in_flight: 700,
        backlog: vec![
            TierBacklog { tier: 0, prefill_ms: 130 },
            TierBacklog { tier: 3, prefill_ms: 65_535 },
        ],
    }];
    let heartbeat = Heartbeat {
        from: from(),
        incarnation: 1_764_900_000_123,
        sequence: 301,
        acknowledged: 299,
        config_version: 77,
        config_fresh: true,
        pressure: PressureDigest { entries: vec![pressure] },
        members: members.clone(),
    };
    let paces = vec![UpstreamPace { upstream: 0xdead_beef, step: 211 }];
    vec![
        sent("heartbeat", PeerMessage::Heartbeat(heartbeat)),
        sent("document-request", PeerMessage::DocumentRequest { from: from(), version: 77 }),
        sent(
            "document",
            PeerMessage::Document { from: from(), body: b"{\"version\":77}".to_vec() },
        ),
        sent("members", PeerMessage::Members { from: from(), members }),
        sent("load-report", PeerMessage::LoadReport { from: from(), loads: loads.clone() }),
        sent(
            "load-request",
            PeerMessage::LoadRequest {
                from: from(),
                request_id: 1_000_000_007,
                upstreams: vec!["engine-1".into(), "engine-2".into()],
            },
        ),
        sent(
            "load-response",
            PeerMessage::LoadResponse { from: from(), request_id: 1_000_000_007, loads },
        ),
        sent("paces", PeerMessage::Paces { from: from(), paces }),
    ]
}

fn directory() -> Vec<Sample> {
    let from = sender;
    let row = Row { key: "engine-1".into(), value: vec![0, 127, 128, 255] };
    let changes = Changes {
        changes: vec![RowChange::Put(row.clone()), RowChange::Removed("engine-2".into())],
        position: position(901),
    };
    let report = |delta| {
        let report = FeedReport {
            reaches_source: true,
            position: Some(position(901)),
            recovered_ms: Some(1_500),
            delta,
        };
        PeerMessage::FeedReport { from: from(), report }
    };
    let confirmation =
        FeedReport { reaches_source: false, position: None, recovered_ms: None, delta: None };
    let id = TransferId { version: 77, base: Some(76), checksum: 0x0123_4567_89ab_cdef };
    let first = PartRequest { version: 77, base: None, id: None, offset: 0 };
    let next = PartRequest { version: 77, base: Some(76), id: Some(id), offset: 65_536 };
    let part = Part { id, total_bytes: 70_000, offset: 65_536, bytes: vec![1, 2, 3, 255] };
    let whole = TransferId { version: 77, base: None, checksum: 1 };
    let whole = Part { id: whole, total_bytes: 1, offset: 0, bytes: vec![9] };
    let base = position(900);
    vec![
        sent(
            "feed-report-changes",
            report(Some(FeedDelta::Changes { base, changes: changes.clone() })),
        ),
        sent("feed-report-difference", report(Some(FeedDelta::Difference { base, changes }))),
        sent(
            "feed-report-snapshot",
            report(Some(FeedDelta::Snapshot(Snapshot { rows: vec![row], position: base }))),
        ),
        sent("feed-report-empty", PeerMessage::FeedReport { from: from(), report: confirmation }),
        sent(
            "feed-request",
            PeerMessage::FeedRequest { from: from(), position: Some(position(900)) },
        ),
        sent("feed-request-first", PeerMessage::FeedRequest { from: from(), position: None }),
        sent("table-request-first", PeerMessage::TableRequest { from: from(), request: first }),
        sent("table-request-next", PeerMessage::TableRequest { from: from(), request: next }),
        sent("table-part", PeerMessage::TablePart { from: from(), part }),
        sent("table-part-whole", PeerMessage::TablePart { from: from(), part: whole }),
    ]
}

fn coordination() -> Vec<Sample> {
    let from = sender;
    let demands = vec![LimitDemand {
        customer: "tasman".into(),
        requests_per_s: 2.5,
        in_flight: 300,
        refused: 2,
    }];
    let share = |requests_per_s, in_flight| LimitShare {
        customer: "tasman".into(),
        requests_per_s,
        in_flight,
        report_every_ms: 1_000,
    };
    let shares = vec![share(Some(0.75), Some(130)), share(None, None)];
    let departures = vec![Departure { upstream: "engine-1".into(), incarnation: 12 }];
    let request = |limit_per_s| PermitRequest {
        upstream: "engine-1".into(),
        incarnation: 12,
        notice: RateLimitNotice { limit_per_s, age: Duration::from_millis(1_250) },
    };
    let verdict = |verdict| PeerMessage::PermitVerdict {
        from: from(),
        upstream: "engine-1".into(),
        incarnation: 12,
        verdict,
    };
    let start = UpstreamStart { upstream: "engine-1".into(), incarnation: 12 };
    let suspects = vec![
        SuspectUpdate {
            key: SuspectKey::PromptPart { pool: "engines".into(), part: 0xfeed },
            position: 300,
            crashes: vec![CrashReport { start, age_ms: 1_200 }],
            response_age_ms: Some(70_000),
            trials: 2,
            trial_age_ms: Some(900),
        },
        SuspectUpdate {
            key: SuspectKey::Request(RequestFingerprint::new(["tasman", "POST"], b"berth 4")),
            position: 0,
            crashes: Vec::new(),
            response_age_ms: None,
            trials: 0,
            trial_age_ms: None,
        },
    ];
    vec![
        sent("limit-report", PeerMessage::LimitReport { from: from(), demands }),
        sent("limit-shares", PeerMessage::LimitShares { from: from(), shares }),
        sent("departures", PeerMessage::Departures { from: from(), departures }),
        sent(
            "permit-request",
            PeerMessage::PermitRequest { from: from(), request: request(Some(12.5)) },
        ),
        sent(
            "permit-request-lifted",
            PeerMessage::PermitRequest { from: from(), request: request(None) },
        ),
        sent("permit-granted", verdict(PermitVerdict::Granted(Duration::from_millis(200)))),
        sent("permit-not-before", verdict(PermitVerdict::NotBefore(Duration::new(1, 999)))),
        sent("permit-lifted", verdict(PermitVerdict::Lifted)),
        sent("suspects", PeerMessage::Suspects { from: from(), suspects }),
    ]
}

/// Returns routing tables as VMs send them to each other.
pub(crate) fn tables() -> Vec<Sample> {
    let route = |id: &str, kind, event_gap_target| RouteRule {
        id: id.into(),
        host: "api.example".into(),
        prefix: format!("/{id}").into(),
        kind,
        timeout: Duration::from_secs(30),
        latency_target: Duration::from_millis(1_500),
        event_gap_target,
        priority: 3,
        max_attempts: 4,
        is_public: id == "berths",
        pools: vec![WeightedPool { pool: "engines".into(), weight: 90 }],
    };
    let routes = vec![
        route("berths", CallKind::Idempotent, None),
        route("bookings", CallKind::NonIdempotent, None),
        route("tides", CallKind::Stream, Some(Duration::from_millis(39))),
        route("chat", CallKind::ResumableStream, Some(Duration::from_millis(39))),
    ];
    let pools = vec![
        PoolSpec {
            id: "engines".into(),
            max_connections: 300,
            engine: Some(EngineSpec { slots: 12, memory_tokens: 400_000 }),
        },
        PoolSpec { id: "services".into(), max_connections: 8, engine: None },
    ];
    let customers = vec![
        CustomerKeys { id: "tasman".into(), api_keys: vec!["k1".into()], priority: Some(2) },
        CustomerKeys { id: "weka".into(), api_keys: Vec::new(), priority: None },
    ];
    let limits = CallerLimits {
        max_head_bytes: 16_000,
        max_body_bytes: 4_000_000,
        head_timeout: Duration::from_secs(5),
        idle_timeout: Duration::new(30, 1),
    };
    let table = |version, routes| {
        let customers = customers.clone().into();
        RoutingTable::new(version, routes, pools.clone(), customers, limits.clone())
    };
    let base = table(76, routes[..3].to_vec());
    let next = table(77, routes);
    vec![
        sent("table-whole", TableDelta::between(None, &base)),
        sent("table-difference", TableDelta::between(Some(&base), &next)),
    ]
}

/// Returns rows and objects of the store, and what the command line exchanges with the daemon.
pub(crate) fn rows() -> Vec<Sample> {
    let request = Digest::of(b"book berth 4");
    let response = RecordedResponse {
        status: 201,
        content_type: "application/json".into(),
        body: "{\"berth\":\"4 \u{101}\"}".into(),
    };
    let token: Arc<str> = "front-1/17".into();
    let done = vec![
        EngineOrder { action: ModelAction::Load, subject: "base".into() },
        EngineOrder { action: ModelAction::Unload, subject: "old".into() },
        EngineOrder { action: ModelAction::SetRole, subject: "prefill".into() },
    ];
    let notes = serialize_completed_orders(&done);
    let config = Arc::new(Config::from_toml(CONFIG).expect("a configuration"));
    let document = ConfigDocument {
        version: 77,
        plan: "plan-9".into(),
        operator: "ana".into(),
        confirmed_unix_s: 1_764_900_000,
        previous: Some(request.clone()),
        config: config.clone(),
    };
    let held = LeaseRow {
        holder: Some(token.clone()),
        fencing: (3 << 32) + 5,
        era: 3,
        notes: notes.clone(),
    };
    let released = LeaseRow { holder: None, fencing: 5, era: 0, notes: "".into() };
    let order = FencedOrder { fencing: (3 << 32) + 5, position: 2, order: done[2].clone() };
    vec![
        stored(
            "ledger-claimed",
            LedgerRow::Claimed { token: token.clone(), request: request.clone() },
        ),
        stored("ledger-void", LedgerRow::Void { token: token.clone() }),
        stored(
            "ledger-answered",
            LedgerRow::Answered { token, request: request.clone(), response },
        ),
        stored("lease-held", held),
        stored("lease-released", released),
        stored("lease-notes", done),
        stored("fenced-order", order),
        stored("head", Head::of(&document)),
        stored("document", document),
        stored("document-initial", ConfigDocument::initial()),
        text("head-key", HEAD_KEY),
        text("document-key", &body_key(&request)),
        text("lease-key", &lease_key("engine-1")),
        text("weight-permit-key", &weight_permit_key(1)),
    ]
}

/// Returns what the command line and the daemon exchange.
pub(crate) fn operator_messages() -> Vec<Sample> {
    let config = Arc::new(Config::from_toml(CONFIG).expect("a configuration"));
    let mut plan =
        Plan::new("plan-9".into(), "ana".into(), &ConfigDocument::initial(), config.clone());
    plan.differences = vec![
        Difference::Added { what: "upstream engine-1".into() },
        Difference::Removed { what: "upstream engine-2".into() },
        Difference::Changed { what: "class chat".into(), from: "1".into(), to: "2".into() },
    ];
    plan.effects = vec![ClassEffect {
        class: "chat".into(),
        pool: "engines".into(),
        slots_before: 24,
        slots_after: 12,
    }];
    plan.hazards = vec![
        Hazard::ClassUnserved { class: "chat".into(), pool: "engines".into() },
        Hazard::DomainEmptied { failure_domain: "akaroa".into() },
        Hazard::CapacityLoss { pool: "engines".into(), loss_percent: 50 },
        Hazard::ClassRemoved { class: "batch".into() },
        Hazard::VmUnreachable { vm: "front-chc-a-1".into() },
        Hazard::CustomerRemoved { customer: "weka".into() },
    ];
    let stale = ConfirmOutcome::Stale {
        current_version: 78,
        overtaken_by: "plan-10".into(),
        operator: "bo".into(),
    };
    vec![
        stored("plan", plan),
        stored("intent-declare", Intent::Declare { config: Box::new((*config).clone()) }),
        stored("intent-drain", Intent::Drain { upstream: "engine-1".into(), drained: true }),
        stored("outcome-applied", ConfirmOutcome::Applied { version: 77 }),
        stored("outcome-stale", stale),
        stored("outcome-base-missing", ConfirmOutcome::BaseMissing { current_version: 76 }),
        stored("outcome-not-applied", ConfirmOutcome::NotApplied { error: StoreError::Rejected }),
        stored("outcome-in-doubt", ConfirmOutcome::NotApplied { error: StoreError::InDoubt }),
        stored("outcome-unknown", ConfirmOutcome::Unknown),
    ]
}
