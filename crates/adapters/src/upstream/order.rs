//! Orders to engines.

use std::net::SocketAddr;
use std::time::Duration;

use cranberryvalve_coordination::orders::FencedOrder;
use serde::Deserialize;
use ureq::http::Request;

use super::call;
use super::call::CallError;
use super::connection::CancelHandle;
use super::connection::Timeouts;

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carried it out.
    CarriedOut,
    /// The engine did not carry it out.
    Refused,
    /// The engine may have carried it out.
    InDoubt,
}

/// Sends an order; it is given up after `life`.
pub fn send_order(address: SocketAddr, order: &FencedOrder, life: Duration) -> OrderResult {
    let Ok(body) = serde_json::to_vec(order) else { return OrderResult::Refused };
    let request = Request::builder()
        .method("POST")
        .uri("/orders")
        .header("content-type", "application/json")
        .body(body);
    let Ok(request) = request else { return OrderResult::Refused };
    match call(address, request, Timeouts::new(life, life), &CancelHandle::new()) {
        Ok(answer) if answer.status == 200 => OrderResult::CarriedOut,
        Ok(answer) if (400..500).contains(&answer.status) => OrderResult::Refused,
        Err(CallError::NotSent | CallError::Refused { .. }) => OrderResult::Refused,
        Ok(_) | Err(_) => OrderResult::InDoubt,
    }
}

#[derive(Deserialize)]
struct CarriedOut {
    orders: Vec<FencedOrder>,
}

/// Whether the engine carried out `order` at its place; none when the engine does not tell.
pub fn carries_order(address: SocketAddr, order: &FencedOrder, life: Duration) -> Option<bool> {
    let request = Request::builder().method("GET").uri("/orders").body(Vec::new()).ok()?;
    let answer = call(address, request, Timeouts::new(life, life), &CancelHandle::new()).ok()?;
    let carried: CarriedOut = serde_json::from_slice(&answer.body).ok()?;
    Some(carried.orders.iter().any(|it| it.place == order.place && it.order == order.order))
}
