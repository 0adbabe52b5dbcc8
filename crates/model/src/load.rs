//! The load that callers offer.

use std::time::Duration;

/// Requests of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Traffic {
    /// Name of the kind, which is also the id of its route.
    pub name: &'static str,
    /// Mean arrival rate over all VMs, in requests per second.
    pub requests_per_s: f64,
    /// Priority tier; 0 is the most urgent.
    pub tier: u8,
    /// Maximum time to the first event of a response that is on time.
    pub first_event_target: Duration,
    /// Maximum time between two events of a response that is on time.
    pub event_gap_target: Duration,
    /// Time after which callers disconnect.
    pub deadline: Duration,
    /// Mean number of prompt tokens that no other request shares.
    pub mean_unique_tokens: f64,
    /// Prompt parts shared between requests, from the first in the prompt, which most requests
    /// share.
    pub shared_parts: Vec<SharedPart>,
    /// Mean number of events in a response.
    pub mean_events: f64,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
}

/// A prompt part that several requests share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedPart {
    /// Length of the part in tokens.
    pub tokens: u32,
    /// Number of variants of the part, of which each request has one.
    pub variants: u64,
}

/// The load of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Traffic of each kind of request.
    pub traffic: Vec<Traffic>,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Share of each kind's requests that have the same shared prefix, from 0 to 1; the others draw
    /// their shared parts at random.
    pub hot_prefix_share: f64,
    /// Bursts during the run.
    pub bursts: Vec<Burst>,
}

/// A period with a higher arrival rate of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// Name of the kind of request.
    pub kind: &'static str,
    /// Factor on the arrival rate.
    pub factor: f64,
    /// Start of the burst since the start of the run.
    pub at: Duration,
    /// Length of the burst.
    pub duration: Duration,
}

impl Load {
    /// Returns a load of long drafts, questions and long streams that is well within the capacity
    /// of 12 engines.
    pub fn moderate() -> Self {
        Self {
            traffic: vec![draft(16.0), question(12.0), stream(16.0)],
            duration: Duration::from_secs(20),
            hot_prefix_share: 0.0,
            bursts: Vec::new(),
        }
    }

    /// Multiplies the arrival rate of every kind by `factor`.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        self.traffic.iter_mut().for_each(|it| it.requests_per_s *= factor);
        self
    }

    /// Gives this share of each kind's requests, from 0 to 1, the same shared prefix.
    #[must_use]
    pub const fn hot_prefix(mut self, share: f64) -> Self {
        self.hot_prefix_share = share;
        self
    }

    /// Adds a burst of one kind, which multiplies its arrival rate by `factor`.
    #[must_use]
    pub fn burst(
        mut self,
        kind: &'static str,
        factor: f64,
        at: Duration,
        duration: Duration,
    ) -> Self {
        self.bursts.push(Burst { kind, factor, at, duration });
        self
    }

    /// Returns the factor on the arrival rate of `kind` at `at`.
    pub(crate) fn rate_factor(&self, kind: &str, at: Duration) -> f64 {
        let active = self.bursts.iter().filter(|it| it.kind == kind);
        let active = active.filter(|it| at >= it.at && at < it.at + it.duration);
        active.map(|it| it.factor).product()
    }
}

fn draft(requests_per_s: f64) -> Traffic {
    Traffic {
        name: "draft",
        requests_per_s,
        tier: 2,
        first_event_target: Duration::from_millis(1_500),
        event_gap_target: Duration::from_millis(600),
        deadline: Duration::from_secs(5),
        mean_unique_tokens: 2_900.0,
        shared_parts: vec![
            SharedPart { tokens: 2_500, variants: 4 },
            SharedPart { tokens: 3_800, variants: 150 },
        ],
        mean_events: 13.0,
        body_bytes: 18_000,
    }
}

fn question(requests_per_s: f64) -> Traffic {
    Traffic {
        name: "question",
        requests_per_s,
        tier: 1,
        first_event_target: Duration::from_millis(500),
        event_gap_target: Duration::from_millis(250),
        deadline: Duration::from_secs(3),
        mean_unique_tokens: 1_800.0,
        shared_parts: vec![
            SharedPart { tokens: 340, variants: 40 },
            SharedPart { tokens: 230, variants: 100 },
        ],
        mean_events: 6.0,
        body_bytes: 4_700,
    }
}

fn stream(requests_per_s: f64) -> Traffic {
    Traffic {
        name: "stream",
        requests_per_s,
        tier: 0,
        first_event_target: Duration::from_millis(250),
        event_gap_target: Duration::from_millis(150),
        deadline: Duration::from_secs(15),
        mean_unique_tokens: 540.0,
        shared_parts: vec![
            SharedPart { tokens: 100, variants: 40 },
            SharedPart { tokens: 70, variants: 130 },
        ],
        mean_events: 70.0,
        body_bytes: 1_400,
    }
}
