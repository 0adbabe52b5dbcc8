//! Log line and metrics of a configuration that is put in force.

use cranberryvalve_core::table::RoutingTable;
use slog::Logger;
use slog::info;

/// Logs and counts a routing table that is put in force, with who may use it.
pub(crate) fn log_activation(log: &Logger, table: &RoutingTable, source: &'static str) {
    info!(log, "configuration in force"; "source" => source, "config_version" => table.version(),
        "routes" => table.routes().len(), "requires_keys" => table.requires_keys(),
        "customers" => table.customers().len(), "keys" => table.key_count());
    metrics::gauge!("cranberryvalve_config_version").set(table.version() as f64);
    let requires_keys = if table.requires_keys() { 1.0 } else { 0.0 };
    metrics::gauge!("cranberryvalve_keys_required").set(requires_keys);
}
