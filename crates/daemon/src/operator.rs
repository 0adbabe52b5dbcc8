//! HTTP service for operators: plans, confirmations, history, state and metrics.

mod confirm;
mod dump;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use cranberryvalve_coordination::plan::Intent;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::Digest;
use cranberryvalve_core::OperatorId;
use cranberryvalve_core::PlanId;
use eyre::Result;
use eyre::eyre;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Node;

/// Number of threads that serve operators.
const THREADS: usize = 4;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Maximum number of versions in a history response.
const MAX_HISTORY: usize = 50;

/// Starts the server for operators and returns the address it listens at.
pub(crate) fn start(node: &Arc<Node>) -> Result<SocketAddr> {
    let address = node.settings.operator_address;
    let handler = node.clone();
    let server = Server::new(address, move |request| respond(&handler, request))
        .map_err(|error| eyre!("cannot listen for operators at {address}: {error}"))?;
    let server = server.pool_size(THREADS);
    let bound = server.server_addr();
    thread::Builder::new().name("operators".to_owned()).spawn(move || server.run())?;
    Ok(bound)
}

/// An error response to an operator.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct OperatorProblem {
    #[serde(skip)]
    status: u16,
    error: String,
}

impl OperatorProblem {
    fn new(status: u16, error: impl Into<String>) -> Self {
        Self { status, error: error.into() }
    }
}

#[derive(Deserialize)]
struct PlanRequest {
    operator: OperatorId,
    intent: Intent,
}

/// A version of the configuration in the history.
#[derive(Serialize)]
struct HistoryEntry {
    version: u64,
    plan: PlanId,
    operator: OperatorId,
    confirmed_unix_s: u64,
}

impl From<&ConfigDocument> for HistoryEntry {
    fn from(document: &ConfigDocument) -> Self {
        Self {
            version: document.version,
            plan: document.plan.clone(),
            operator: document.operator.clone(),
            confirmed_unix_s: document.confirmed_unix_s,
        }
    }
}

fn respond(node: &Node, request: &Request) -> Response {
    let result = check_token(node, request).and_then(|()| route(node, request));
    result.unwrap_or_else(|problem| Response::json(&problem).with_status_code(problem.status))
}

fn route(node: &Node, request: &Request) -> Result<Response, OperatorProblem> {
    match (request.method(), request.url().as_str()) {
        ("POST", "/plan") => make_plan(node, &parse_body(request)?),
        ("POST", "/confirm") => confirm::serve(node, &parse_body(request)?),
        ("GET", "/config") => Ok(Response::json(&*current_document(node))),
        ("GET", "/history") => history(node),
        ("GET", "/dump") => Ok(Response::json(&dump::collect(node))),
        ("GET", "/metrics") => Ok(Response::text(node.metrics.render())),
        (method, path) => Err(OperatorProblem::new(404, format!("there is no `{method} {path}`"))),
    }
}

fn check_token(node: &Node, request: &Request) -> Result<(), OperatorProblem> {
    let token = request.header("authorization").and_then(|it| it.strip_prefix("Bearer "));
    // Comparing digests keeps the response time from revealing how much of the token is correct.
    let token_digest = token.map(|it| Digest::of(it.as_bytes()));
    if token_digest == Some(Digest::of(node.settings.operator_token.as_bytes())) {
        return Ok(());
    }
    Err(OperatorProblem::new(401, "an `Authorization: Bearer <operator token>` header is needed"))
}

fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, OperatorProblem> {
    let data = request.data().ok_or_else(|| OperatorProblem::new(400, "a body is needed"))?;
    let limited = std::io::Read::take(data, MAX_BODY_BYTES);
    serde_json::from_reader(limited)
        .map_err(|error| OperatorProblem::new(400, format!("the body is not accepted: {error}")))
}

fn current_document(node: &Node) -> Arc<ConfigDocument> {
    let document = node.replica().document().cloned();
    document.unwrap_or_else(|| Arc::new(ConfigDocument::initial()))
}

fn make_plan(node: &Node, request: &PlanRequest) -> Result<Response, OperatorProblem> {
    let base = current_document(node);
    let config = request.intent.apply(&base.config).map_err(|issues| {
        let lines: Vec<String> = issues.iter().map(ToString::to_string).collect();
        OperatorProblem::new(422, lines.join("\n"))
    })?;
    let id = format!("plan-{:016x}", rand::random::<u64>());
    let plan = Plan::new(id.into(), request.operator.clone(), &base, Arc::new(config))
        .with_unreachable_vms(&node.membership().dead_names());
    Ok(Response::json(&plan))
}

fn history(node: &Node) -> Result<Response, OperatorProblem> {
    let mut document = current_document(node);
    let mut entries = Vec::new();
    while document.version > 0 && entries.len() < MAX_HISTORY {
        entries.push(HistoryEntry::from(&*document));
        let Some(previous) = document.previous.clone() else { break };
        let fetched = node.store.fetch_object(&body_key(&previous));
        let body = fetched
            .map_err(|error| OperatorProblem::new(503, error.to_string()))?
            .ok_or_else(|| OperatorProblem::new(502, "an earlier version is missing"))?;
        let parsed = ConfigDocument::from_bytes(&body)
            .map_err(|error| OperatorProblem::new(502, error.to_string()))?;
        document = Arc::new(parsed);
    }
    Ok(Response::json(&entries))
}
