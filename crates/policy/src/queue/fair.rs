//! Weighted fair queueing between the customers of one tier.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::RequestId;

use super::QueuedRequest;

/// Queues of one tier, one per customer.
///
/// The next request comes from the customer with the smallest start tag; dequeuing it increases the
/// tag by the inverse of the customer's weight. The start tag of a customer that was idle is at
/// least the current virtual time, so that idle time earns no credit (start-time fair queueing:
/// Goyal, Vin and Cheng, 1996).
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    customers: BTreeMap<CustomerId, CustomerQueue>,
    virtual_time: f64,
    len: usize,
}

#[derive(Debug)]
struct CustomerQueue {
    requests: VecDeque<QueuedRequest>,
    weight: f64,
    start_tag: f64,
}

impl FairQueue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Adds a request to the end of its customer's queue, or to the front if `front` is set, for a
    /// request that was dequeued before: its customer is not charged again for it.
    pub(super) fn push(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        queued: QueuedRequest,
        front: bool,
    ) {
        let virtual_time = self.virtual_time;
        let queue = self.customers.entry(customer.clone()).or_insert_with(|| CustomerQueue {
            requests: VecDeque::new(),
            weight: 1.0,
            start_tag: virtual_time,
        });
        queue.weight = f64::from(weight.max(1));
        if front {
            queue.start_tag -= 1.0 / queue.weight;
        }
        if queue.requests.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        if front {
            queue.requests.push_front(queued);
        } else {
            queue.requests.push_back(queued);
        }
        self.len += 1;
    }

    /// Returns the next request in fair order.
    pub(super) fn peek(&self) -> Option<QueuedRequest> {
        let (_, queue) = self.next_customer()?;
        queue.requests.front().copied()
    }

    /// Returns the request that is or becomes overdue first. Classes of a tier differ in when that
    /// is, so that it may stand behind others.
    pub(super) fn first_overdue(&self) -> Option<QueuedRequest> {
        self.iter().min_by_key(|it| it.promote_at).copied()
    }

    /// Removes a request, and advances the virtual time and the start tag of its customer.
    pub(super) fn dequeue(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (customer, index) = self.find(id)?;
        let queue = self.customers.get_mut(&customer)?;
        let queued = queue.requests.remove(index)?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += 1.0 / queue.weight;
        self.len -= 1;
        self.remove_idle_customers();
        Some(queued)
    }

    /// Removes a request without advancing the virtual time or the start tag.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (customer, index) = self.find(id)?;
        let queued = self.customers.get_mut(&customer)?.requests.remove(index)?;
        self.len -= 1;
        Some(queued)
    }

    /// Returns the last request of the customer with the longest queue.
    pub(super) fn eviction_candidate(&self) -> Option<QueuedRequest> {
        let longest = self.customers.values().max_by_key(|it| it.requests.len())?;
        longest.requests.back().copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.customers.values().flat_map(|it| it.requests.iter())
    }

    fn next_customer(&self) -> Option<(&CustomerId, &CustomerQueue)> {
        let queued = self.customers.iter().filter(|(_, it)| !it.requests.is_empty());
        queued.min_by(|(_, a), (_, b)| a.start_tag.total_cmp(&b.start_tag))
    }

    fn find(&self, id: RequestId) -> Option<(CustomerId, usize)> {
        self.customers.iter().find_map(|(customer, queue)| {
            let index = queue.requests.iter().position(|it| it.id == id)?;
            Some((customer.clone(), index))
        })
    }

    /// Removes idle customers whose start tag is not ahead of the virtual time.
    ///
    /// A new queue for such a customer would start with the same tag.
    fn remove_idle_customers(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, it| !it.requests.is_empty() || it.start_tag > virtual_time);
    }
}
