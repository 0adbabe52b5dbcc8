//! Compares the dispatch order with a simple reference implementation.

#[path = "support/harness.rs"]
mod harness;

use std::collections::BTreeMap;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::harness::RouterHarness;

/// Seed of the generated values.
const SEED: u64 = 20_261_204;
/// Size of the generated values.
const SIZE: usize = 100;

const CLASSES: [(&str, Tier); 3] = [("tide-check", 0), ("commentary", 1), ("replan", 3)];
const CUSTOMERS: [(&str, f64); 3] = [("agency", 1.0), ("heavy", 3.0), ("tasman", 1.0)];

/// Class and customer of one request, as numbers that are reduced modulo 3.
type Arrival = (u8, u8);

/// Reference implementation: a list of requests that is searched in full for the next one.
#[derive(Default)]
struct Reference {
    queued: Vec<(RequestId, Tier, usize)>,
    virtual_times: BTreeMap<Tier, f64>,
    start_tags: BTreeMap<(Tier, usize), f64>,
    in_flight: BTreeMap<RequestId, Tier>,
    dispatched: Vec<RequestId>,
}

impl Reference {
    fn arrive(&mut self, id: RequestId, tier: Tier, customer: usize) {
        let is_idle = !self.queued.iter().any(|it| (it.1, it.2) == (tier, customer));
        let virtual_time = self.virtual_times.get(&tier).copied().unwrap_or(0.0);
        let tag = self.start_tags.entry((tier, customer)).or_insert(virtual_time);
        if is_idle {
            *tag = tag.max(virtual_time);
        }
        self.queued.push((id, tier, customer));
    }

    /// Dispatches requests while no request of the same or a higher tier is in flight.
    fn dispatch(&mut self) {
        while self.dispatch_one().is_some() {}
    }

    fn complete(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
        self.dispatch();
    }

    fn dispatch_one(&mut self) -> Option<()> {
        let tier = self.queued.iter().map(|it| it.1).min()?;
        if self.in_flight.values().any(|it| *it <= tier) {
            return None;
        }
        let of_tier = self.queued.iter().filter(|it| it.1 == tier);
        let mut customers: Vec<usize> = of_tier.map(|it| it.2).collect();
        customers.sort_unstable();
        let tag = |it: &usize| self.start_tags[&(tier, *it)];
        let customer = customers.into_iter().min_by(|a, b| tag(a).total_cmp(&tag(b)))?;
        let index = self.queued.iter().position(|it| (it.1, it.2) == (tier, customer))?;
        let tag = self.start_tags.get_mut(&(tier, customer))?;
        let virtual_time = self.virtual_times.entry(tier).or_insert(0.0);
        *virtual_time = virtual_time.max(*tag);
        *tag += 1.0 / CUSTOMERS[customer].1;
        let (id, ..) = self.queued.remove(index);
        self.in_flight.insert(id, tier);
        self.dispatched.push(id);
        Some(())
    }
}

fn complete_first(harness: &mut RouterHarness, reference: &mut Reference) {
    let first = harness.in_flight()[0].id;
    harness.complete(first);
    reference.complete(first);
}

#[test]
fn order_matches_the_reference() {
    fn property(arrivals: Vec<(Arrival, bool)>) -> bool {
        let mut harness = RouterHarness::new(1, 1);
        let mut reference = Reference::default();
        for (index, ((class, customer), complete)) in arrivals.into_iter().enumerate() {
            let id = index as RequestId + 1;
            let (class, tier) = CLASSES[class as usize % 3];
            let customer = customer as usize % 3;
            harness.arrive_from(id, class, CUSTOMERS[customer].0);
            reference.arrive(id, tier, customer);
            reference.dispatch();
            if complete {
                complete_first(&mut harness, &mut reference);
            }
        }
        while !harness.in_flight().is_empty() {
            complete_first(&mut harness, &mut reference);
        }
        let dispatched: Vec<RequestId> = harness.sent().iter().map(|it| it.id).collect();
        dispatched == reference.dispatched
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(Arrival, bool)>) -> bool);
}

#[test]
fn customers_share_a_tier_by_weight() {
    let mut harness = RouterHarness::new(1, 1);
    for id in 1..=400 {
        harness.arrive_from(id * 2, "commentary", "tasman");
        harness.arrive_from(id * 2 + 1, "commentary", "heavy");
    }
    for _ in 0..200 {
        let first = harness.in_flight()[0].id;
        harness.complete(first);
    }
    let heavy = harness.sent().iter().filter(|it| it.id % 2 == 1).count();
    assert!((148..=152).contains(&heavy), "{heavy} of 200 requests at a weight of 3 to 1");
}
