//! The cranberryvalve daemon. The same program runs on every VM.

mod attempt_control;
mod control;
mod dispatcher;
mod lifecycle;
mod live_calls;
mod node;
mod operator;
mod request_log;
mod request_metrics;
mod service;
mod settings;
mod store_breaker;

use std::process::ExitCode;
use std::sync::Arc;

use cranberryvalve_adapters::telemetry;
use slog::error;
use slog::info;

use crate::lifecycle::ProcessSignals;
use crate::node::BUILD;
use crate::node::Node;
use crate::settings::Settings;

fn main() -> ExitCode {
    let settings = match Settings::load() {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(report) => return settings::print_error(&report),
    };
    let (log, _guard) = telemetry::logger(&settings.vm, BUILD, settings.log_level);
    match run(settings, log.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            error!(log, "stopped by an error"; "error" => format!("{report:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings, log: slog::Logger) -> eyre::Result<()> {
    let signals = ProcessSignals::install()?;
    let node = Arc::new(Node::new(settings, log)?);
    let callers = service::start(&node)?;
    let _operator_address = operator::start(&node)?;
    control::start(&node)?;
    info!(node.log, "started";
        "caller_address" => callers.address().to_string(),
        "operator_address" => node.settings.operator_address.to_string(),
        "peer_address" => node.settings.peer_address.to_string());
    signals.wait_for_stop(&node.log);
    lifecycle::stop_gracefully(&node, &callers);
    info!(node.log, "stopped");
    Ok(())
}
