//! HTTP endpoints for readiness, metrics and diagnostics.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::ServerLimits;
use cranberryvalve_adapters::telemetry::record_members;
use cranberryvalve_coordination::builds::MemberBuild;
use cranberryvalve_coordination::quarantine;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::memory::MemoryKind;
use cranberryvalve_policy::scheduler::SchedulerSnapshot;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;

use crate::call_log::millis;
use crate::peers::Peers;
use crate::state::Relay;
use crate::usage::UsageLedger;
use crate::usage::UsageStatus;

/// Path of the metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";

/// Path of the state dump in JSON.
const STATE_PATH: &str = "/state";

/// Maximum number of concurrent connections to one of these servers. A load balancer and a collector have
/// a few.
const MAX_CONNECTIONS: usize = 64;

/// Maximum size of the body of a request to these servers, in bytes; they use none.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Media type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Serves readiness checks: `GET path` at `address` returns 200 while the relay is ready, and 503
/// otherwise.
///
/// # Errors
///
/// Returns an error if the address is in use or not local.
pub fn serve_readiness(
    relay: &Arc<Relay>,
    address: SocketAddr,
    path: &'static str,
) -> io::Result<()> {
    start_server(address, ReadinessHandler { relay: relay.clone(), path })
}

/// Serves `/metrics` (Prometheus text format) and `/state` (JSON) at `address`.
///
/// # Errors
///
/// Returns an error if the address is in use or not local.
pub fn serve_diagnostics(
    relay: &Arc<Relay>,
    address: SocketAddr,
    metrics: PrometheusHandle,
) -> io::Result<()> {
    start_server(address, DiagnosticsHandler { relay: relay.clone(), metrics })
}

fn start_server(address: SocketAddr, handler: impl CallerHandler) -> io::Result<()> {
    // The accepting thread keeps running after the server handle is dropped.
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        ..ServerLimits::default()
    };
    CallerServer::start(address, limits, Arc::new(handler)).map(drop)
}

struct ReadinessHandler {
    relay: Arc<Relay>,
    path: &'static str,
}

impl CallerHandler for ReadinessHandler {
    fn handle(&self, request: CallerRequest, _stream: &TcpStream, responder: &mut Responder<'_>) {
        let status = match request.head.path() {
            path if path != self.path => 404,
            _ if self.relay.is_ready() => 200,
            _ => 503,
        };
        // An error means that the load balancer closed the connection.
        let _ = responder.respond(status, &[], b"");
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}

struct DiagnosticsHandler {
    relay: Arc<Relay>,
    metrics: PrometheusHandle,
}

impl CallerHandler for DiagnosticsHandler {
    fn handle(&self, request: CallerRequest, _stream: &TcpStream, responder: &mut Responder<'_>) {
        let (status, content_type, body) = match request.head.path() {
            METRICS_PATH => {
                update_gauges(&self.relay);
                (200, METRICS_CONTENT_TYPE, self.metrics.render().into_bytes())
            }
            STATE_PATH => match serde_json::to_vec_pretty(&StateDump::new(&self.relay)) {
                Ok(body) => (200, "application/json", body),
                Err(error) => (500, "text/plain", error.to_string().into_bytes()),
            },
            _ => (404, "text/plain", b"try /metrics or /state".to_vec()),
        };
        // An error means that the client closed the connection.
        let _ = responder.respond(status, &[("content-type", content_type)], &body);
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}

/// Updates the gauges with the current values.
fn update_gauges(relay: &Relay) {
    let scheduler = relay.dispatcher.snapshot();
    let peer_age_ms = scheduler.upstreams.iter().map(|it| it.peer_age_ms).max().unwrap_or(0);
    metrics::gauge!("cranberryvalve_live_calls").set(scheduler.live_calls as f64);
    metrics::gauge!("cranberryvalve_waiting_calls").set(scheduler.waiting_calls as f64);
    metrics::gauge!("cranberryvalve_caller_connections").set(relay.caller_connections() as f64);
    metrics::gauge!("cranberryvalve_kept_connections").set(relay.idle_connections.count() as f64);
    metrics::gauge!("cranberryvalve_peer_age_seconds").set(peer_age_ms as f64 / 1_000.0);
    metrics::gauge!("cranberryvalve_quarantined_keys")
        .set(relay.crash_guard.condemned().len() as f64);
    metrics::gauge!("cranberryvalve_memory_limit_bytes").set(relay.memory.limit_bytes() as f64);
    for kind in MemoryKind::ALL {
        metrics::gauge!("cranberryvalve_memory_bytes", "kind" => kind.name())
            .set(relay.memory.used_bytes(kind) as f64);
    }
    let by_protocol = relay.peers().map(Peers::members_by_protocol).unwrap_or_default();
    record_members(&by_protocol);
    if let Some(ledger) = relay.usage.ledger() {
        ledger.update_gauges();
    }
    for (source, age) in relay.source_ages() {
        metrics::gauge!("cranberryvalve_source_age_seconds", "source" => source)
            .set(age.as_secs_f64());
    }
}

/// State of a relay as served at [`STATE_PATH`].
#[derive(Debug)]
#[derive(Serialize)]
struct StateDump {
    is_ready: bool,
    is_draining: bool,
    config_version: u64,
    routes: usize,
    caller_connections: usize,
    busy_callers: usize,
    members: Vec<String>,
    member_builds: Vec<MemberBuild>,
    quarantined: Vec<QuarantinedKey>,
    /// State of usage reports; absent unless the settings name the duty.
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageStatus>,
    scheduler: SchedulerSnapshot,
}

/// What calls have in common that are refused since they crash upstreams.
#[derive(Debug)]
#[derive(Serialize)]
struct QuarantinedKey {
    key: String,
    /// Upstreams that crashed, the latest ones only.
    crashed: Vec<UpstreamId>,
    /// Time until a call is sent again as a trial.
    trial_in_ms: u64,
}

impl From<quarantine::Refusal> for QuarantinedKey {
    fn from(refusal: quarantine::Refusal) -> Self {
        Self {
            key: refusal.key.to_string(),
            crashed: refusal.crashed,
            trial_in_ms: millis(refusal.retry_after),
        }
    }
}

impl StateDump {
    fn new(relay: &Relay) -> Self {
        let table = relay.routing_table();
        Self {
            is_ready: relay.is_ready(),
            is_draining: relay.is_draining(),
            config_version: table.as_ref().map_or(0, |it| it.version()),
            routes: table.as_ref().map_or(0, |it| it.routes().len()),
            caller_connections: relay.caller_connections(),
            busy_callers: relay.active_requests(),
            members: relay.peers().map(Peers::alive_names).unwrap_or_default(),
            member_builds: relay.peers().map(Peers::member_builds).unwrap_or_default(),
            quarantined: relay.crash_guard.condemned().into_iter().map(Into::into).collect(),
            usage: relay.usage.ledger().map(UsageLedger::status),
            scheduler: relay.dispatcher.snapshot(),
        }
    }
}
