//! Sends orders to engines.
//!
//! A lease in the store ensures that one VM at a time sends orders to an engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::upstream::OrderOutcome;
use cranberryvalve_adapters::upstream::has_carried_out;
use cranberryvalve_adapters::upstream::send_order;
use cranberryvalve_coordination::home::coordinator_of;
use cranberryvalve_coordination::lease::CLOCK_DRIFT_MARGIN;
use cranberryvalve_coordination::lease::LEASE_DURATION;
use cranberryvalve_coordination::lease::Lease;
use cranberryvalve_coordination::lease::LeaseAcquisition;
use cranberryvalve_coordination::lease::LeaseRow;
use cranberryvalve_coordination::lease::LeaseStep;
use cranberryvalve_coordination::orders::FencedOrder;
use cranberryvalve_coordination::orders::MAX_CONCURRENT_WEIGHT_LOADS;
use cranberryvalve_coordination::orders::ORDER_TIMEOUT;
use cranberryvalve_coordination::orders::lease_key;
use cranberryvalve_coordination::orders::parse_completed_orders;
use cranberryvalve_coordination::orders::remaining_orders;
use cranberryvalve_coordination::orders::serialize_completed_orders;
use cranberryvalve_coordination::orders::weight_permit_key;
use cranberryvalve_coordination::store::RowKey;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::execute;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::ModelAction;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamSpec;
use slog::info;
use slog::warn;

use crate::node::Node;

/// Interval between checks for orders that are not carried out yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Sends the orders of the engines that this VM is responsible for.
#[derive(Default)]
struct OrderSender {
    /// Attempts to acquire leases, by the key of the lease.
    acquisitions: BTreeMap<RowKey, LeaseAcquisition>,
    /// Configuration version at which all orders of an engine were carried out.
    done_at: BTreeMap<UpstreamId, ConfigVersion>,
}

/// Periodically sends the remaining orders of the engines that this VM is responsible for.
pub(super) fn run(node: &Arc<Node>) {
    let mut sender = OrderSender::default();
    loop {
        thread::sleep(CHECK_INTERVAL);
        let version = node.replica().version();
        let config = node.dispatcher.config();
        let alive = node.membership().alive_names();
        for upstream in config.upstreams.iter().filter(|it| !it.orders.is_empty()) {
            let is_coordinator = coordinator_of(&upstream.id, &alive) == Some(&node.settings.vm);
            let is_done = sender.done_at.get(&upstream.id) == Some(&version);
            if is_coordinator && !is_done && sender.send_open_orders(node, upstream) {
                sender.done_at.insert(upstream.id.clone(), version);
            }
        }
    }
}

impl OrderSender {
    /// Sends the remaining orders of one engine; returns `true` if none is left.
    fn send_open_orders(&mut self, node: &Node, upstream: &UpstreamSpec) -> bool {
        let key = lease_key(&upstream.id);
        let Ok(snapshot) = node.store.read(&key) else { return false };
        let row = snapshot.row.and_then(|it| LeaseRow::from_bytes(&it.value)).unwrap_or_default();
        if remaining_orders(&upstream.orders, &parse_completed_orders(&row.notes)).1.is_empty() {
            return true;
        }
        let is_takeover = row.holder.is_some();
        let Some(mut lease) = self.try_acquire(node, &key) else { return false };
        if is_takeover && !upstream.checks_fencing {
            // An order sent by the previous holder may still be in flight.
            thread::sleep(ORDER_TIMEOUT);
        }
        loop {
            match self.send_next(node, upstream, lease) {
                SendProgress::CarriedOut(next) => lease = next,
                SendProgress::Finished(last) => {
                    execute(&node.store, &last.release());
                    return true;
                }
                SendProgress::Stopped(last) => {
                    execute(&node.store, &last.release());
                    return false;
                }
                SendProgress::InDoubt => return false,
            }
        }
    }

    /// Sends the next order while holding `lease`.
    fn send_next(&mut self, node: &Node, upstream: &UpstreamSpec, lease: Lease) -> SendProgress {
        let mut done = parse_completed_orders(lease.notes());
        let (position, left) = remaining_orders(&upstream.orders, &done);
        let Some(order) = left.first() else { return SendProgress::Finished(lease) };
        done.truncate(position);
        let permit = match self.acquire_permit(node, order) {
            Permit::NotNeeded => None,
            Permit::Held(permit) => Some(permit),
            Permit::Unavailable => return SendProgress::Stopped(lease),
        };
        let progress = self.send(node, upstream, lease, done, order);
        // A load in doubt may go on for as long as the permit is valid.
        let is_in_doubt = matches!(progress, SendProgress::InDoubt);
        if let Some(permit) = permit.filter(|_| !is_in_doubt) {
            execute(&node.store, &permit.release());
        }
        progress
    }

    fn send(
        &mut self,
        node: &Node,
        upstream: &UpstreamSpec,
        lease: Lease,
        mut done: Vec<EngineOrder>,
        order: &EngineOrder,
    ) -> SendProgress {
        let fenced =
            FencedOrder { fencing: lease.fencing(), position: done.len(), order: order.clone() };
        // The response to a previous holder may have been lost, so the engine is queried for what
        // it has carried out.
        let is_carried_out = match has_carried_out(upstream.address, &fenced, ORDER_TIMEOUT) {
            Some(is_carried_out) => is_carried_out,
            None => return SendProgress::Stopped(lease),
        };
        if !is_carried_out {
            if !lease.covers_action(Instant::now(), ORDER_TIMEOUT) {
                return SendProgress::Stopped(lease);
            }
            match send_order(upstream.address, &fenced, ORDER_TIMEOUT) {
                OrderOutcome::CarriedOut => {}
                OrderOutcome::Refused => {
                    warn!(node.log, "the engine refused an order"; "upstream" => &*upstream.id,
                        "fencing" => fenced.fencing);
                    return SendProgress::Stopped(lease);
                }
                OrderOutcome::InDoubt => return SendProgress::InDoubt,
            }
        }
        info!(node.log, "order carried out"; "upstream" => &*upstream.id, "place" => done.len(),
            "subject" => &*order.subject, "fencing" => fenced.fencing);
        done.push(order.clone());
        let notes = serialize_completed_orders(&done);
        let issued_at = Instant::now();
        let reply = execute(&node.store, &lease.renew(notes.clone()));
        match lease.on_renewed(issued_at, notes, &reply) {
            Some(lease) => SendProgress::CarriedOut(lease),
            None => SendProgress::InDoubt,
        }
    }

    /// Acquires a permit for the weight store if the order needs one.
    fn acquire_permit(&mut self, node: &Node, order: &EngineOrder) -> Permit {
        if order.action != ModelAction::Load {
            return Permit::NotNeeded;
        }
        let first = rand::random::<u32>() % MAX_CONCURRENT_WEIGHT_LOADS;
        let numbers =
            (0..MAX_CONCURRENT_WEIGHT_LOADS).map(|it| (first + it) % MAX_CONCURRENT_WEIGHT_LOADS);
        for number in numbers {
            if let Some(permit) = self.try_acquire(node, &weight_permit_key(number)) {
                return Permit::Held(permit);
            }
        }
        Permit::Unavailable
    }

    /// Tries once to acquire a lease.
    ///
    /// The acquisition is kept between tries, since it has to see a row unchanged for a while
    /// before it may take over the lease.
    fn try_acquire(&mut self, node: &Node, key: &RowKey) -> Option<Lease> {
        let new_acquisition = || {
            let token = format!("{}-{:032x}", node.settings.vm, rand::random::<u128>());
            LeaseAcquisition::new(key.clone(), token.into())
        };
        let acquisition = self.acquisitions.entry(key.clone()).or_insert_with(new_acquisition);
        let mut command = acquisition.start();
        let deadline = Instant::now() + LEASE_DURATION - CLOCK_DRIFT_MARGIN;
        while Instant::now() < deadline {
            let reply = execute(&node.store, &command);
            match acquisition.on_reply(Instant::now(), reply) {
                LeaseStep::Command(next) => command = next,
                LeaseStep::Held(lease) => {
                    self.acquisitions.remove(key);
                    return Some(lease);
                }
                LeaseStep::Wait(_) | LeaseStep::Failed(_) => return None,
            }
        }
        None
    }
}

/// Result of an attempt to send the next order.
enum SendProgress {
    /// The order was carried out and recorded in the lease row.
    CarriedOut(Lease),
    /// No order is left.
    Finished(Lease),
    /// The order was not sent, or the engine refused it.
    Stopped(Lease),
    /// The order may have been carried out, or the lease may be lost; the lease is left to expire.
    InDoubt,
}

/// Permit for a load order to use the weight store.
enum Permit {
    NotNeeded,
    Held(Lease),
    Unavailable,
}
