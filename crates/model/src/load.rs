//! What callers ask for.

use std::time::Duration;

/// Requests of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Traffic {
    /// Name, also of the route.
    pub name: &'static str,
    /// Requests a second over all VMs.
    pub per_s: f64,
    /// Tier.
    pub tier: u8,
    /// Time to the first event that is on time.
    pub target: Duration,
    /// Pause between events that is on time.
    pub event_gap: Duration,
    /// Time that callers wait.
    pub deadline: Duration,
    /// Mean tokens that only the request has.
    pub own_tokens: f64,
    /// Parts that requests share, the most shared first.
    pub shared: Vec<SharedPart>,
    /// Mean events of the answer.
    pub events: f64,
    /// Bytes of the body.
    pub body_bytes: usize,
}

/// A part of prompts that several requests share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedPart {
    /// Tokens.
    pub tokens: u32,
    /// Different parts of this kind.
    pub variants: u64,
}

/// All traffic of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Kinds of requests.
    pub traffic: Vec<Traffic>,
    /// Length of the run.
    pub length: Duration,
    /// Share of each kind's requests that have one beginning in common, besides the usual ones.
    pub hot_share: f64,
    /// Bursts: kind, factor, from when, for how long.
    pub bursts: Vec<Burst>,
}

/// A time in which more requests of a kind come.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// Kind.
    pub name: &'static str,
    /// Times the usual rate.
    pub factor: f64,
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
}

impl Load {
    /// Long drafts, questions and long-running streams, well within what 12 engines can do.
    pub fn calm() -> Self {
        Self {
            traffic: vec![draft(16.0), question(12.0), stream(16.0)],
            length: Duration::from_secs(20),
            hot_share: 0.0,
            bursts: Vec::new(),
        }
    }

    /// The same with more of everything.
    #[must_use]
    pub fn times(mut self, factor: f64) -> Self {
        self.traffic.iter_mut().for_each(|it| it.per_s *= factor);
        self
    }

    /// Makes this share of the requests have one beginning in common.
    #[must_use]
    pub const fn hot(mut self, share: f64) -> Self {
        self.hot_share = share;
        self
    }

    /// Adds a burst of one kind.
    #[must_use]
    pub fn burst(
        mut self,
        name: &'static str,
        factor: f64,
        at: Duration,
        length: Duration,
    ) -> Self {
        self.bursts.push(Burst { name, factor, at, length });
        self
    }

    /// Times the usual rate of `name` at `at`.
    pub(crate) fn factor(&self, name: &str, at: Duration) -> f64 {
        let active = self.bursts.iter().filter(|it| it.name == name);
        let active = active.filter(|it| at >= it.at && at < it.at + it.length);
        active.map(|it| it.factor).product()
    }
}

fn draft(per_s: f64) -> Traffic {
    Traffic {
        name: "draft",
        per_s,
        tier: 2,
        target: Duration::from_millis(1_500),
        event_gap: Duration::from_millis(600),
        deadline: Duration::from_secs(5),
        own_tokens: 2_900.0,
        shared: vec![
            SharedPart { tokens: 2_500, variants: 4 },
            SharedPart { tokens: 3_800, variants: 150 },
        ],
        events: 13.0,
        body_bytes: 18_000,
    }
}

fn question(per_s: f64) -> Traffic {
    Traffic {
        name: "question",
        per_s,
        tier: 1,
        target: Duration::from_millis(500),
        event_gap: Duration::from_millis(250),
        deadline: Duration::from_secs(3),
        own_tokens: 1_800.0,
        shared: vec![
            SharedPart { tokens: 340, variants: 40 },
            SharedPart { tokens: 230, variants: 100 },
        ],
        events: 6.0,
        body_bytes: 4_700,
    }
}

fn stream(per_s: f64) -> Traffic {
    Traffic {
        name: "stream",
        per_s,
        tier: 0,
        target: Duration::from_millis(250),
        event_gap: Duration::from_millis(150),
        deadline: Duration::from_secs(15),
        own_tokens: 540.0,
        shared: vec![
            SharedPart { tokens: 100, variants: 40 },
            SharedPart { tokens: 70, variants: 130 },
        ],
        events: 70.0,
        body_bytes: 1_400,
    }
}
