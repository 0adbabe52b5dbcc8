//! HTTP service for callers: model requests, plain services and health checks.

mod access;
mod chat;
mod claims;
mod plain;
mod problem;

use std::net::TcpStream;
use std::sync::Arc;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::ServerLimits;
use eyre::Result;
use eyre::WrapErr;
use serde::Serialize;

use crate::node::Node;
use crate::request_log::log_refusal;
use crate::service::problem::Problem;

/// Starts the server for callers.
pub(crate) fn start(node: &Arc<Node>) -> Result<CallerServer> {
    let limits = ServerLimits {
        max_connections: node.settings.max_connections,
        max_body_bytes: node.settings.max_body_bytes,
        ..ServerLimits::default()
    };
    let address = node.settings.caller_address;
    let service = Arc::new(Service { node: node.clone() });
    CallerServer::start(address, limits, service)
        .wrap_err_with(|| format!("cannot listen for callers at {address}"))
}

/// Routes the requests of callers.
struct Service {
    node: Arc<Node>,
}

impl CallerHandler for Service {
    fn handle(&self, request: CallerRequest, stream: &TcpStream, responder: &mut Responder<'_>) {
        let result = self.route(&request, stream, responder);
        if let Err(problem) = result {
            if !problem.is_logged {
                log_refusal(&self.node, &request.head, problem.status, &problem.message);
            }
            // An error means that the caller has disconnected, so it is ignored.
            let _ = problem.send(responder);
        }
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let problem = if status == 503 && self.node.is_draining() {
            Problem::stopping().for_this_request_only()
        } else {
            Problem::invalid(status, message.to_owned())
        };
        let _ = problem.send(responder);
    }
}

impl Service {
    fn route(
        &self,
        request: &CallerRequest,
        stream: &TcpStream,
        responder: &mut Responder<'_>,
    ) -> Result<(), Problem> {
        match (&*request.head.method, request.head.path()) {
            ("GET", "/healthz") => send_text(responder, 200, "ok\n"),
            ("GET", "/readyz") => self.send_readiness(responder),
            ("GET", "/v1/models") => self.send_models(request, responder),
            ("POST", "/v1/chat/completions") => chat::serve(&self.node, request, stream, responder),
            (_, "/healthz" | "/readyz" | "/v1/models") => Err(Problem::method("GET")),
            (_, "/v1/chat/completions") => Err(Problem::method("POST")),
            _ => plain::serve(&self.node, request, stream, responder),
        }
    }

    fn send_readiness(&self, responder: &mut Responder<'_>) -> Result<(), Problem> {
        if self.node.is_ready() {
            send_text(responder, 200, "ready\n")
        } else if self.node.is_draining() {
            send_text(responder, 503, "draining\n")
        } else {
            send_text(responder, 503, "no current configuration\n")
        }
    }

    fn send_models(
        &self,
        request: &CallerRequest,
        responder: &mut Responder<'_>,
    ) -> Result<(), Problem> {
        let config = self.node.dispatcher.config();
        access::customer(&config, &request.head)?;
        let data = config.models().into_iter().map(|id| ModelEntry { id, object: "model" });
        send_json(responder, &ModelList { object: "list", data: data.collect() })
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: Arc<str>,
    object: &'static str,
}

fn send_text(responder: &mut Responder<'_>, status: u16, text: &str) -> Result<(), Problem> {
    // An error means that the caller has disconnected, so it is ignored.
    let _ = responder.respond(status, &[("content-type", "text/plain")], text.as_bytes());
    Ok(())
}

fn send_json(responder: &mut Responder<'_>, value: &impl Serialize) -> Result<(), Problem> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let _ = responder.respond(200, &[("content-type", "application/json")], &body);
    Ok(())
}
