//! The plain way to place requests, for comparison.

use cranberryvalve_core::RequestId;

/// Sends each request to the engine with the fewest of this VM's requests, at once.
#[derive(Debug)]
pub(crate) struct PlainPlacement {
    /// Requests of this VM at each engine.
    in_flight: Vec<Vec<RequestId>>,
    /// Engine that is asked first, so that equal ones take turns.
    next: usize,
}

impl PlainPlacement {
    pub(crate) fn new(engines: usize, first: usize) -> Self {
        Self { in_flight: vec![Vec::new(); engines], next: first }
    }

    /// Chooses an engine.
    pub(crate) fn place(&mut self, id: RequestId) -> usize {
        let count = self.in_flight.len();
        let order = (0..count).map(|it| (self.next + it) % count);
        let engine = order.min_by_key(|it| self.in_flight[*it].len()).unwrap_or(0);
        self.next = (engine + 1) % count;
        self.in_flight[engine].push(id);
        engine
    }

    /// Notes that a request ended.
    pub(crate) fn ended(&mut self, id: RequestId) {
        self.in_flight.iter_mut().for_each(|it| it.retain(|other| *other != id));
    }
}
