//! Confirmation of a plan.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::telemetry::unix_ms;
use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::ConfirmStep;
use cranberryvalve_coordination::plan::Confirmation;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_coordination::store::execute;
use cranberryvalve_core::Digest;
use rouille::Response;
use serde::Deserialize;
use slog::info;

use super::OperatorProblem;
use super::current;
use crate::control::handle_replica;
use crate::node::Node;

/// Pause before an operation on the store is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

#[derive(Deserialize)]
pub(super) struct ConfirmRequest {
    plan: Plan,
    #[serde(default)]
    acknowledged: Vec<Arc<str>>,
}

/// Confirms a plan and answers what became of it.
pub(super) fn serve(node: &Node, request: &ConfirmRequest) -> Result<Response, OperatorProblem> {
    check(node, request)?;
    let outcome = run(node, &request.plan);
    info!(node.log, "plan confirmed"; "plan" => &*request.plan.id,
        "operator" => &*request.plan.operator, "outcome" => format!("{outcome:?}"));
    let status = match outcome {
        ConfirmOutcome::Applied { .. } => 200,
        ConfirmOutcome::Stale { .. } => 409,
        ConfirmOutcome::NotApplied { .. } => 503,
        ConfirmOutcome::Unknown => 504,
    };
    Ok(Response::json(&outcome).with_status_code(status))
}

/// Checks that the plan is unchanged and its hazards are acknowledged.
///
/// A plan for another version than the present one is not judged here: the store decides.
fn check(node: &Node, request: &ConfirmRequest) -> Result<(), OperatorProblem> {
    let plan = &request.plan;
    let issues = plan.config.validate();
    if let Some(issue) = issues.first() {
        return Err(OperatorProblem::new(422, issue.to_string()));
    }
    let base = current(node);
    let is_present = base.version == plan.base_version && Digest::of(&base.to_bytes()) == plan.base;
    if !is_present {
        return Ok(());
    }
    let fresh = Plan::new(plan.id.clone(), plan.operator.clone(), &base, plan.config.clone())
        .unreachable(&node.membership().dead_names());
    if !fresh.changes_the_same(plan) {
        return Err(OperatorProblem::new(422, "the plan was altered; make a new one"));
    }
    let missing = fresh.unacknowledged(&request.acknowledged);
    if missing.is_empty() {
        return Ok(());
    }
    let message = format!("hazards are not acknowledged: {}", missing.join(", "));
    Err(OperatorProblem::new(428, message))
}

fn run(node: &Node, plan: &Plan) -> ConfirmOutcome {
    let (mut confirmation, mut command) = Confirmation::new(plan, unix_ms() / 1_000);
    loop {
        let reply = execute(&node.store, &command);
        let failed = matches!(reply, cranberryvalve_coordination::store::StoreReply::Failed(_));
        match confirmation.on_reply(reply) {
            ConfirmStep::Command(next) => command = next,
            ConfirmStep::Done(outcome) => {
                if confirmation.wrote_document() {
                    let document = Arc::new(confirmation.document().clone());
                    handle_replica(node, ReplicaEvent::Document(document));
                }
                return outcome;
            }
        }
        if failed {
            thread::sleep(RETRY_PAUSE);
        }
    }
}
