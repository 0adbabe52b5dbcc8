//! Human-readable output.

use std::fmt::Write as _;

use cranberryvalve_coordination::plan::Plan;
use serde_json::Value;

/// Formats a plan that was written to `file`.
pub(crate) fn plan(plan: &Plan, file: &str) -> String {
    let mut text = format!("{} by {}, for version {}\n", plan.id, plan.operator, plan.base_version);
    if plan.differences.is_empty() {
        text.push_str("\nNothing would change.\n");
    } else {
        text.push_str("\nChanges:\n");
        for difference in &plan.differences {
            let _ = writeln!(text, "  {difference}");
        }
    }
    let changed = plan.effects.iter().filter(|it| it.slots_before != it.slots_after);
    let mut changed = changed.peekable();
    if changed.peek().is_some() {
        text.push_str("\nSlots in service, by class:\n");
    }
    for effect in changed {
        let (class, pool) = (&effect.class, &effect.pool);
        let (before, after) = (effect.slots_before, effect.slots_after);
        let _ = writeln!(text, "  {class} in {pool}: {before} -> {after}");
    }
    if !plan.hazards.is_empty() {
        text.push_str("\nHazards, each of which has to be acknowledged:\n");
    }
    for hazard in &plan.hazards {
        let _ = writeln!(text, "  {}: {hazard}", hazard.name());
    }
    text.push_str("\nNothing has changed yet. To apply it:\n  cranberryvalve confirm ");
    text.push_str(file);
    for hazard in &plan.hazards {
        let _ = write!(text, " --acknowledge {}", hazard.name());
    }
    text.push('\n');
    text
}

/// Formats the history as a table.
pub(crate) fn history(entries: &Value) -> String {
    let mut text = String::from("version  confirmed (Unix s)  operator  plan\n");
    for entry in entries.as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "{:>7}  {:>18}  {}  {}",
            entry["version"].as_u64().unwrap_or(0),
            entry["confirmed_unix_s"].as_u64().unwrap_or(0),
            entry["operator"].as_str().unwrap_or("?"),
            entry["plan"].as_str().unwrap_or("?"),
        );
    }
    text
}

/// Formats the status of one VM as a line; `dump` is null if the VM did not respond.
pub(crate) fn status(address: &str, dump: &Value) -> String {
    if dump.is_null() {
        return format!("{address:<22} no response\n");
    }
    let state = match (dump["ready"].as_bool(), dump["draining"].as_bool()) {
        (Some(true), _) => "ready",
        (_, Some(true)) => "draining",
        _ => "not ready",
    };
    format!(
        "{address:<22} {:<12} {:<12} {state:<10} version {:<6} {:<8} members {:<4} live {:<4} build {}\n",
        dump["vm"].as_str().unwrap_or("?"),
        dump["failure_domain"].as_str().unwrap_or("?"),
        dump["config"]["version"],
        dump["config"]["freshness"].as_str().unwrap_or("?"),
        dump["members_alive"],
        dump["router"]["live_requests"],
        // A VM shows itself first.
        dump["member_builds"][0]["build"].as_str().unwrap_or("?"),
    )
}
