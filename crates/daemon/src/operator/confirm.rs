//! Confirmation of plans.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::ConfirmStep;
use cranberryvalve_coordination::plan::Confirmation;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::replica::RESTORE_TIME;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_coordination::store::execute;
use cranberryvalve_core::Digest;
use rouille::Response;
use serde::Deserialize;
use slog::info;

use super::OperatorProblem;
use super::current_document;
use crate::control::handle_replica_event;
use crate::node::Node;

/// Delay before a failed store operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Body of a request to confirm a plan.
#[derive(Deserialize)]
pub(super) struct ConfirmRequest {
    plan: Plan,
    #[serde(default)]
    acknowledged: Vec<Arc<str>>,
}

/// Confirms a plan and responds with the outcome.
pub(super) fn serve(node: &Node, request: &ConfirmRequest) -> Result<Response, OperatorProblem> {
    check_plan(node, request)?;
    let outcome = confirm_plan(node, &request.plan);
    let message = match outcome {
        ConfirmOutcome::Applied { .. } => "plan applied",
        ConfirmOutcome::Unknown => "plan may be applied",
        _ => "plan not applied",
    };
    info!(node.log, "{message}"; "plan" => &*request.plan.id,
        "operator" => &*request.plan.operator, "outcome" => format!("{outcome:?}"));
    let status = match outcome {
        ConfirmOutcome::Applied { .. } => 200,
        ConfirmOutcome::Stale { .. } | ConfirmOutcome::BaseMissing { .. } => 409,
        ConfirmOutcome::NotApplied { .. } | ConfirmOutcome::Unsettled => 503,
        ConfirmOutcome::Unknown => 504,
    };
    Ok(Response::json(&outcome).with_status_code(status))
}

/// Checks that the plan is unaltered and that its hazards are acknowledged.
///
/// For a plan based on another version than the current one, only its configuration is validated;
/// the store decides whether the plan is stale.
fn check_plan(node: &Node, request: &ConfirmRequest) -> Result<(), OperatorProblem> {
    let plan = &request.plan;
    let issues = plan.config.validate();
    if let Some(issue) = issues.first() {
        return Err(OperatorProblem::new(422, issue.to_string()));
    }
    let base = current_document(node);
    let is_current = base.version == plan.base_version && Digest::of(&base.to_bytes()) == plan.base;
    if !is_current {
        return Ok(());
    }
    let expected_plan =
        Plan::new(plan.id.clone(), plan.operator.clone(), &base, plan.config.clone())
            .with_unreachable_vms(&node.membership().dead_names());
    if !expected_plan.is_equivalent(plan) {
        return Err(OperatorProblem::new(422, "the plan was altered; make a new one"));
    }
    let missing = expected_plan.unacknowledged(&request.acknowledged);
    if missing.is_empty() {
        return Ok(());
    }
    let message = format!("hazards are not acknowledged: {}", missing.join(", "));
    Err(OperatorProblem::new(428, message))
}

/// Confirms a plan. After a restoration of the store, waits once until the VMs have written a later
/// configuration again.
fn confirm_plan(node: &Node, plan: &Plan) -> ConfirmOutcome {
    let outcome = run_confirmation(node, plan);
    if outcome != ConfirmOutcome::Unsettled {
        return outcome;
    }
    thread::sleep(RESTORE_TIME);
    run_confirmation(node, plan)
}

/// Runs a confirmation until its outcome is known.
fn run_confirmation(node: &Node, plan: &Plan) -> ConfirmOutcome {
    let settled_era = node.store.eras().settled_era(Instant::now(), RESTORE_TIME);
    let (mut confirmation, mut command) =
        Confirmation::new(plan, unix_time_ms() / 1_000, settled_era);
    loop {
        let reply = execute(&node.store, &command);
        let has_failed = matches!(reply, cranberryvalve_coordination::store::StoreReply::Failed(_));
        match confirmation.on_reply(reply) {
            ConfirmStep::Command(next) => command = next,
            ConfirmStep::Done(outcome) => {
                if confirmation.is_document_active() {
                    let document = Arc::new(confirmation.document().clone());
                    handle_replica_event(node, ReplicaEvent::Document(document));
                }
                return outcome;
            }
        }
        if has_failed {
            thread::sleep(RETRY_DELAY);
        }
    }
}
