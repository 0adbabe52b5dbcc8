//! Orders to engines, one holder at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::upstream::OrderResult;
use cranberryvalve_adapters::upstream::carries_order;
use cranberryvalve_adapters::upstream::send_order;
use cranberryvalve_coordination::home::home_of;
use cranberryvalve_coordination::lease::LEASE_LIFE;
use cranberryvalve_coordination::lease::LEASE_MARGIN;
use cranberryvalve_coordination::lease::Lease;
use cranberryvalve_coordination::lease::LeaseRow;
use cranberryvalve_coordination::lease::LeaseSeeker;
use cranberryvalve_coordination::lease::LeaseStep;
use cranberryvalve_coordination::orders::FencedOrder;
use cranberryvalve_coordination::orders::ORDER_LIFE;
use cranberryvalve_coordination::orders::WEIGHT_PERMITS;
use cranberryvalve_coordination::orders::done_from_notes;
use cranberryvalve_coordination::orders::lease_key;
use cranberryvalve_coordination::orders::notes_of_done;
use cranberryvalve_coordination::orders::permit_key;
use cranberryvalve_coordination::orders::remaining;
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

/// Pause between two looks at what is left to order.
const INTERVAL: Duration = Duration::from_millis(500);

/// Seekers of the leases that this VM wants, and what is known to be done.
#[derive(Default)]
struct Desk {
    seekers: BTreeMap<RowKey, LeaseSeeker>,
    done_at: BTreeMap<UpstreamId, ConfigVersion>,
}

/// Carries out the orders of the engines whose home this VM is, again and again.
pub(super) fn run(node: &Arc<Node>) {
    let mut desk = Desk::default();
    loop {
        thread::sleep(INTERVAL);
        let version = node.replica().version();
        let config = node.dispatcher.config();
        let alive = node.membership().alive_names();
        for upstream in config.upstreams.iter().filter(|it| !it.orders.is_empty()) {
            let is_home = home_of(&upstream.id, &alive) == Some(&node.settings.vm);
            let is_done = desk.done_at.get(&upstream.id) == Some(&version);
            if is_home && !is_done && desk.serve(node, upstream) {
                desk.done_at.insert(upstream.id.clone(), version);
            }
        }
    }
}

impl Desk {
    /// Works on one engine's orders; true when nothing is left.
    fn serve(&mut self, node: &Node, upstream: &UpstreamSpec) -> bool {
        let key = lease_key(&upstream.id);
        let Ok(row) = node.store.read(&key) else { return false };
        let row = row.and_then(|it| LeaseRow::from_bytes(&it.value)).unwrap_or_default();
        if remaining(&upstream.orders, &done_from_notes(&row.notes)).1.is_empty() {
            return true;
        }
        let is_takeover = row.holder.is_some();
        let Some(mut lease) = self.take(node, &key) else { return false };
        if is_takeover && !upstream.checks_fencing {
            // An order of the former holder may still be under way.
            thread::sleep(ORDER_LIFE);
        }
        loop {
            match self.order_next(node, upstream, lease) {
                Progress::Done(next) => lease = next,
                Progress::Finished(last) => {
                    execute(&node.store, &last.release());
                    return true;
                }
                Progress::Stopped(last) => {
                    execute(&node.store, &last.release());
                    return false;
                }
                Progress::InDoubt => return false,
            }
        }
    }

    /// Carries out the next order under `lease`.
    fn order_next(&mut self, node: &Node, upstream: &UpstreamSpec, lease: Lease) -> Progress {
        let mut done = done_from_notes(lease.notes());
        let (place, left) = remaining(&upstream.orders, &done);
        let Some(order) = left.first() else { return Progress::Finished(lease) };
        done.truncate(place);
        let permit = match self.permit(node, order) {
            Permit::Unneeded => None,
            Permit::Held(permit) => Some(permit),
            Permit::NotHad => return Progress::Stopped(lease),
        };
        let progress = self.send(node, upstream, lease, done, order);
        if let Some(permit) = permit {
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
    ) -> Progress {
        let fenced =
            FencedOrder { fencing: lease.fencing(), place: done.len(), order: order.clone() };
        // A former holder's answer may be lost: the engine itself knows what it carried out.
        let is_carried = match carries_order(upstream.address, &fenced, ORDER_LIFE) {
            Some(is_carried) => is_carried,
            None => return Progress::Stopped(lease),
        };
        if !is_carried {
            if !lease.may_act(Instant::now(), ORDER_LIFE) {
                return Progress::Stopped(lease);
            }
            match send_order(upstream.address, &fenced, ORDER_LIFE) {
                OrderResult::CarriedOut => {}
                OrderResult::Refused => {
                    warn!(node.log, "engine refused an order"; "upstream" => &*upstream.id,
                        "fencing" => fenced.fencing);
                    return Progress::Stopped(lease);
                }
                OrderResult::InDoubt => return Progress::InDoubt,
            }
        }
        info!(node.log, "order carried out"; "upstream" => &*upstream.id, "place" => done.len(),
            "subject" => &*order.subject, "fencing" => fenced.fencing);
        done.push(order.clone());
        let notes = notes_of_done(&done);
        let issued_at = Instant::now();
        let reply = execute(&node.store, &lease.renew(notes.clone()));
        match lease.on_renewed(issued_at, notes, &reply) {
            Some(lease) => Progress::Done(lease),
            None => Progress::InDoubt,
        }
    }

    /// Takes a permit for the weight store, when the order needs one.
    fn permit(&mut self, node: &Node, order: &EngineOrder) -> Permit {
        if order.action != ModelAction::Load {
            return Permit::Unneeded;
        }
        let first = rand::random::<u32>() % WEIGHT_PERMITS;
        let numbers = (0..WEIGHT_PERMITS).map(|it| (first + it) % WEIGHT_PERMITS);
        for number in numbers {
            if let Some(permit) = self.take(node, &permit_key(number)) {
                return Permit::Held(permit);
            }
        }
        Permit::NotHad
    }

    /// Tries once to take a lease. The seeker is kept, since it has to see a row unchanged for a
    /// while before it may take it over.
    fn take(&mut self, node: &Node, key: &RowKey) -> Option<Lease> {
        let new_seeker = || {
            let token = format!("{}-{:032x}", node.settings.vm, rand::random::<u128>());
            LeaseSeeker::new(key.clone(), token.into())
        };
        let seeker = self.seekers.entry(key.clone()).or_insert_with(new_seeker);
        let mut command = seeker.start();
        let until = Instant::now() + LEASE_LIFE - LEASE_MARGIN;
        while Instant::now() < until {
            let reply = execute(&node.store, &command);
            match seeker.on_reply(Instant::now(), reply) {
                LeaseStep::Command(next) => command = next,
                LeaseStep::Held(lease) => {
                    self.seekers.remove(key);
                    return Some(lease);
                }
                LeaseStep::Wait(_) | LeaseStep::Failed(_) => return None,
            }
        }
        None
    }
}

/// What came of one order.
enum Progress {
    /// It is carried out and noted.
    Done(Lease),
    /// Nothing is left.
    Finished(Lease),
    /// It was not sent, or was refused.
    Stopped(Lease),
    /// It may have been carried out, or the lease may be lost; it lapses by itself.
    InDoubt,
}

/// Whether a load may use the weight store.
enum Permit {
    Unneeded,
    Held(Lease),
    NotHad,
}
