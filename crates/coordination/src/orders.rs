//! Orders to engines, from a confirmed configuration.
//!
//! Each engine's declared orders are a sequence. What was carried out is noted on the row of the
//! engine's lease, so that any VM can go on where another one stopped. [`remaining`] tells what is
//! left; an order in doubt is settled by reading the engine's state back before anything else is
//! sent.

use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::FencingToken;
use serde::Deserialize;
use serde::Serialize;

use crate::store::RowKey;

/// Longest life of an order: it is answered, or its sender gives up, within this time.
pub const ORDER_LIFE: Duration = Duration::from_secs(3);

/// Loads from the weight store at the same time, over all VMs.
pub const WEIGHT_PERMITS: u32 = 2;

/// Key of the lease for orders to `upstream`.
pub fn lease_key(upstream: &str) -> RowKey {
    format!("orders/{upstream}").into()
}

/// Key of one of the permits for the weight store.
pub fn permit_key(number: u32) -> RowKey {
    format!("permits/weights-{number}").into()
}

/// An order as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing token of the sender's lease.
    pub fencing: FencingToken,
    /// Place of the order in the engine's sequence.
    pub place: usize,
    /// The order.
    pub order: EngineOrder,
}

/// The declared orders that are left after `done`.
///
/// When the declaration has changed an order that was carried out, the sequence is taken up from
/// the first difference.
///
/// ```
/// use cranberryvalve_coordination::orders::remaining;
/// use cranberryvalve_core::EngineOrder;
/// use cranberryvalve_core::ModelAction;
///
/// let load = |subject: &str| EngineOrder { action: ModelAction::Load, subject: subject.into() };
/// let declared = [load("base"), load("adapter")];
/// assert_eq!(remaining(&declared, &[load("base")]), (1, &declared[1..]));
/// assert_eq!(remaining(&declared, &[load("other")]), (0, &declared[..]));
/// ```
pub fn remaining<'a>(
    declared: &'a [EngineOrder],
    done: &[EngineOrder],
) -> (usize, &'a [EngineOrder]) {
    let common = declared.iter().zip(done).take_while(|(a, b)| a == b).count();
    (common, &declared[common..])
}

/// Reads the orders carried out from a lease's notes; none were when there are no notes.
pub fn done_from_notes(notes: &str) -> Vec<EngineOrder> {
    serde_json::from_str(notes).unwrap_or_default()
}

/// Writes the orders carried out as notes.
pub fn notes_of_done(done: &[EngineOrder]) -> Arc<str> {
    serde_json::to_string(done).unwrap_or_default().into()
}
