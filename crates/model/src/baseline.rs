//! Baseline placement that the scheduler is compared with.

use cranberryvalve_core::RequestId;

/// Sends each request at once to the engine with the fewest of this VM's requests in flight.
#[derive(Debug)]
pub(crate) struct BaselinePlacement {
    /// In-flight requests of this VM at each engine.
    in_flight: Vec<Vec<RequestId>>,
    /// Index of the engine considered first, which rotates so that ties are spread over engines.
    next: usize,
}

impl BaselinePlacement {
    pub(crate) fn new(engines: usize, first: usize) -> Self {
        Self { in_flight: vec![Vec::new(); engines], next: first }
    }

    /// Assigns a request to an engine and returns the engine's index.
    pub(crate) fn place(&mut self, id: RequestId) -> usize {
        let count = self.in_flight.len();
        let order = (0..count).map(|it| (self.next + it) % count);
        let engine = order.min_by_key(|it| self.in_flight[*it].len()).unwrap_or(0);
        self.next = (engine + 1) % count;
        self.in_flight[engine].push(id);
        engine
    }

    /// Removes a request that is no longer in flight.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.in_flight.iter_mut().for_each(|it| it.retain(|other| *other != id));
    }
}
