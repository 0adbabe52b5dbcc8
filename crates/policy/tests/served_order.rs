//! The order of service against a naive version that is obviously right.

#[path = "support/bench.rs"]
mod bench;

use std::collections::BTreeMap;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::bench::Bench;

/// Seed and size of the generated values.
const SEED: u64 = 20_261_204;
const SIZE: usize = 100;

const CLASSES: [(&str, Tier); 3] = [("tide-check", 0), ("commentary", 1), ("replan", 3)];
const CUSTOMERS: [(&str, f64); 3] = [("agency", 1.0), ("heavy", 3.0), ("tasman", 1.0)];

/// One request: class and customer.
type Arrival = (u8, u8);

/// A plain list of requests, searched from end to end for the next one.
#[derive(Default)]
struct Naive {
    waiting: Vec<(RequestId, Tier, usize)>,
    virtual_times: BTreeMap<Tier, f64>,
    start_tags: BTreeMap<(Tier, usize), f64>,
    in_flight: BTreeMap<RequestId, Tier>,
    served: Vec<RequestId>,
}

impl Naive {
    fn arrive(&mut self, id: RequestId, tier: Tier, customer: usize) {
        let is_idle = !self.waiting.iter().any(|it| (it.1, it.2) == (tier, customer));
        let now = self.virtual_times.get(&tier).copied().unwrap_or(0.0);
        let tag = self.start_tags.entry((tier, customer)).or_insert(now);
        if is_idle {
            *tag = tag.max(now);
        }
        self.waiting.push((id, tier, customer));
    }

    /// Serves for as long as fewer than one request of the same or a higher tier is in flight.
    fn serve(&mut self) {
        while self.serve_one().is_some() {}
    }

    fn complete(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
        self.serve();
    }

    fn serve_one(&mut self) -> Option<()> {
        let tier = self.waiting.iter().map(|it| it.1).min()?;
        if self.in_flight.values().any(|it| *it <= tier) {
            return None;
        }
        let of_tier = self.waiting.iter().filter(|it| it.1 == tier);
        let mut customers: Vec<usize> = of_tier.map(|it| it.2).collect();
        customers.sort_unstable();
        let tag = |it: &usize| self.start_tags[&(tier, *it)];
        let customer = customers.into_iter().min_by(|a, b| tag(a).total_cmp(&tag(b)))?;
        let index = self.waiting.iter().position(|it| (it.1, it.2) == (tier, customer))?;
        let tag = self.start_tags.get_mut(&(tier, customer))?;
        let now = self.virtual_times.entry(tier).or_insert(0.0);
        *now = now.max(*tag);
        *tag += 1.0 / CUSTOMERS[customer].1;
        let (id, ..) = self.waiting.remove(index);
        self.in_flight.insert(id, tier);
        self.served.push(id);
        Some(())
    }
}

fn complete_first(bench: &mut Bench, naive: &mut Naive) {
    let first = bench.in_flight()[0].id;
    bench.complete(first);
    naive.complete(first);
}

#[test]
fn matches_the_naive_version() {
    fn property(arrivals: Vec<(Arrival, bool)>) -> bool {
        let mut bench = Bench::new(1, 1);
        let mut naive = Naive::default();
        for (number, ((class, customer), complete)) in arrivals.into_iter().enumerate() {
            let id = number as RequestId + 1;
            let (class, tier) = CLASSES[class as usize % 3];
            let customer = customer as usize % 3;
            bench.arrive_from(id, class, CUSTOMERS[customer].0);
            naive.arrive(id, tier, customer);
            naive.serve();
            if complete {
                complete_first(&mut bench, &mut naive);
            }
        }
        while !bench.in_flight().is_empty() {
            complete_first(&mut bench, &mut naive);
        }
        let served: Vec<RequestId> = bench.orders().iter().map(|it| it.id).collect();
        served == naive.served
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(Arrival, bool)>) -> bool);
}

#[test]
fn weights_share_a_tier() {
    let mut bench = Bench::new(1, 1);
    for id in 1..=400 {
        bench.arrive_from(id * 2, "commentary", "tasman");
        bench.arrive_from(id * 2 + 1, "commentary", "heavy");
    }
    for _ in 0..200 {
        let first = bench.in_flight()[0].id;
        bench.complete(first);
    }
    let heavy = bench.orders().iter().filter(|it| it.id % 2 == 1).count();
    assert!((148..=152).contains(&heavy), "{heavy} of 200 turns for a weight of 3 to 1");
}
