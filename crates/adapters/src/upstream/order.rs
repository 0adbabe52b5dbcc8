//! Fenced orders to engines.

use std::net::SocketAddr;
use std::time::Duration;

use cranberryvalve_coordination::orders::FencedOrder;
use serde::Deserialize;
use ureq::http::Request;

use super::call;
use super::call::CallError;
use super::connection::CancelHandle;
use super::connection::Timeouts;

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carried it out.
    CarriedOut,
    /// The engine did not carry it out: nothing was sent, or it attested that.
    Refused,
    /// The engine may have carried it out.
    InDoubt,
}

/// Sends an order; `timeout` limits the wait for the response and each later read.
pub fn send_order(address: SocketAddr, order: &FencedOrder, timeout: Duration) -> OrderOutcome {
    let Ok(body) = serde_json::to_vec(order) else { return OrderOutcome::Refused };
    let request = Request::builder()
        .method("POST")
        .uri("/orders")
        .header("content-type", "application/json")
        .body(body);
    let Ok(request) = request else { return OrderOutcome::Refused };
    match call(address, request, Timeouts::new(timeout, timeout), &CancelHandle::new()) {
        Ok(response) if response.status == 200 => OrderOutcome::CarriedOut,
        Err(CallError::NotSent | CallError::Refused { .. }) => OrderOutcome::Refused,
        Ok(_) | Err(_) => OrderOutcome::InDoubt,
    }
}

#[derive(Deserialize)]
struct CarriedOutOrders {
    orders: Vec<FencedOrder>,
}

/// Returns whether the engine reports that it carried out `order` at the same position.
///
/// Returns `None` if the engine does not report its orders within `timeout`.
pub fn has_carried_out(
    address: SocketAddr,
    order: &FencedOrder,
    timeout: Duration,
) -> Option<bool> {
    let request = Request::builder().method("GET").uri("/orders").body(Vec::new()).ok()?;
    let response =
        call(address, request, Timeouts::new(timeout, timeout), &CancelHandle::new()).ok()?;
    let list: CarriedOutOrders = serde_json::from_slice(&response.body).ok()?;
    Some(list.orders.iter().any(|it| it.position == order.position && it.order == order.order))
}
