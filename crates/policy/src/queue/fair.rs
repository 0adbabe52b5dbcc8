//! Weighted fairness between the customers of one tier.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::RequestId;

use super::Waiting;

/// Queues of one tier, one for each customer.
///
/// The next request comes from the customer with the smallest virtual time; serving one adds the
/// inverse of its weight. A customer that was idle starts no earlier than the present virtual
/// time, so that it cannot save up turns (start-time fair queueing: Goyal, Vin and Cheng, 1996).
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    customers: BTreeMap<CustomerId, CustomerQueue>,
    virtual_time: f64,
    len: usize,
}

#[derive(Debug)]
struct CustomerQueue {
    requests: VecDeque<Waiting>,
    weight: f64,
    start_tag: f64,
}

impl FairQueue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Appends a request, or puts one back at the front of its customer's queue.
    pub(super) fn push(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        waiting: Waiting,
        front: bool,
    ) {
        let virtual_time = self.virtual_time;
        let queue = self.customers.entry(customer.clone()).or_insert_with(|| CustomerQueue {
            requests: VecDeque::new(),
            weight: 1.0,
            start_tag: virtual_time,
        });
        if queue.requests.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.weight = f64::from(weight.max(1));
        if front {
            queue.requests.push_front(waiting);
        } else {
            queue.requests.push_back(waiting);
        }
        self.len += 1;
    }

    /// The request that is next by fairness.
    pub(super) fn peek(&self) -> Option<Waiting> {
        let (_, queue) = self.next_customer()?;
        queue.requests.front().copied()
    }

    /// The request that has waited longest.
    pub(super) fn oldest(&self) -> Option<Waiting> {
        let fronts = self.customers.values().filter_map(|it| it.requests.front());
        fronts.min_by_key(|it| it.arrived_at).copied()
    }

    /// Removes a request and charges its customer for the turn.
    pub(super) fn take(&mut self, id: RequestId) -> Option<Waiting> {
        let (customer, index) = self.locate(id)?;
        let queue = self.customers.get_mut(&customer)?;
        let waiting = queue.requests.remove(index)?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += 1.0 / queue.weight;
        self.len -= 1;
        self.forget_idle();
        Some(waiting)
    }

    /// Removes a request without charging its customer.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let (customer, index) = self.locate(id)?;
        let waiting = self.customers.get_mut(&customer)?.requests.remove(index)?;
        self.len -= 1;
        Some(waiting)
    }

    /// The youngest request of the customer with the longest queue.
    pub(super) fn eviction_candidate(&self) -> Option<Waiting> {
        let longest = self.customers.values().max_by_key(|it| it.requests.len())?;
        longest.requests.back().copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.customers.values().flat_map(|it| it.requests.iter())
    }

    fn next_customer(&self) -> Option<(&CustomerId, &CustomerQueue)> {
        let waiting = self.customers.iter().filter(|(_, it)| !it.requests.is_empty());
        waiting.min_by(|(_, a), (_, b)| a.start_tag.total_cmp(&b.start_tag))
    }

    fn locate(&self, id: RequestId) -> Option<(CustomerId, usize)> {
        self.customers.iter().find_map(|(customer, queue)| {
            let index = queue.requests.iter().position(|it| it.id == id)?;
            Some((customer.clone(), index))
        })
    }

    /// Forgets idle customers whose turns are all paid for.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, it| !it.requests.is_empty() || it.start_tag > virtual_time);
    }
}
