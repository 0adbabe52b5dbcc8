//! Orders to engines, taken from a confirmed configuration.
//!
//! The configuration declares a sequence of orders for each engine. Completed orders are recorded
//! in the row of the engine's lease, so that any VM can continue where another one stopped.
//! [`remaining_orders`] returns the orders that are left. If the outcome of an order is in doubt,
//! the engine's state is read back before anything else is sent.

use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::FencingToken;
use serde::Deserialize;
use serde::Serialize;

use crate::store::RowKey;

/// Maximum duration of an order. The sender gives up if the engine does not respond within it.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of concurrent loads from the weight store across all VMs.
pub const MAX_CONCURRENT_WEIGHT_LOADS: u32 = 2;

/// Returns the key of the lease that is required to send orders to `upstream`.
pub fn lease_key(upstream: &str) -> RowKey {
    format!("orders/{upstream}").into()
}

/// Returns the key of one of the [`MAX_CONCURRENT_WEIGHT_LOADS`] permits for the weight store.
pub fn weight_permit_key(number: u32) -> RowKey {
    format!("permits/weights-{number}").into()
}

/// Order with the fencing token that lets the engine refuse outdated senders.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing token of the sender's lease.
    pub fencing: FencingToken,
    /// Zero-based position of the order in the engine's sequence.
    #[serde(rename = "place")]
    pub position: usize,
    /// Order to carry out.
    pub order: EngineOrder,
}

/// Returns the orders in `declared` that are left after `done`, and the position of the first one.
///
/// If a completed order has changed in the declaration, the sequence resumes at the first
/// difference.
///
/// ```
/// use cranberryvalve_coordination::orders::remaining_orders;
/// use cranberryvalve_core::EngineOrder;
/// use cranberryvalve_core::ModelAction;
///
/// let load = |subject: &str| EngineOrder { action: ModelAction::Load, subject: subject.into() };
/// let declared = [load("base"), load("adapter")];
/// assert_eq!(remaining_orders(&declared, &[load("base")]), (1, &declared[1..]));
/// assert_eq!(remaining_orders(&declared, &[load("other")]), (0, &declared[..]));
/// ```
pub fn remaining_orders<'a>(
    declared: &'a [EngineOrder],
    done: &[EngineOrder],
) -> (usize, &'a [EngineOrder]) {
    let common = declared.iter().zip(done).take_while(|(a, b)| a == b).count();
    (common, &declared[common..])
}

/// Parses the completed orders from the notes of a lease.
///
/// Returns an empty list if the notes are empty or cannot be parsed.
pub fn parse_completed_orders(notes: &str) -> Vec<EngineOrder> {
    serde_json::from_str(notes).unwrap_or_default()
}

/// Serializes the completed orders as the notes of a lease.
pub fn serialize_completed_orders(done: &[EngineOrder]) -> Arc<str> {
    serde_json::to_string(done).unwrap_or_default().into()
}
