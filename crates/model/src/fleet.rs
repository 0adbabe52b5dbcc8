//! The simulated deployment of VMs and engines.

use std::time::Duration;

/// How requests are assigned to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Each VM runs the scheduler; VMs exchange their load and decode paces.
    Coordinated,
    /// Each VM runs the scheduler and knows only its own requests.
    Uncoordinated,
    /// Each VM sends a request at once to the engine with the fewest of its own requests in flight;
    /// engines serve in order of arrival.
    Baseline,
}

impl PlacementPolicy {
    /// Returns the name to show in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Coordinated => "scheduler",
            Self::Uncoordinated => "scheduler, VMs alone",
            Self::Baseline => "plain: fewest of its own",
        }
    }
}

/// VMs and engines of a deployment, spread evenly over failure domains.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Number of VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Factors on the step time: engine `n` has `slowdowns[n % len]`; 1 is the usual speed and
    /// larger values are slower.
    pub slowdowns: Vec<f64>,
    /// Memory of each engine for running requests and cached prefixes, in tokens.
    pub memory_tokens: u64,
    /// Whether engines can fetch prefixes from each other's caches.
    pub has_remote_cache_fetch: bool,
    /// Whether engines report how long work takes at the moment, so that the scheduler counts what it
    /// learns of each one.
    pub reports_work_time: bool,
    /// Engine crashes during the run.
    pub crashes: Vec<Crash>,
}

/// A crash of an engine and the downtime that follows.
#[derive(Debug, Clone, PartialEq)]
pub struct Crash {
    /// Index of the engine that crashes.
    pub engine: usize,
    /// Time of the crash since the start of the run.
    pub at: Duration,
    /// Time from the crash until the engine accepts requests again.
    pub downtime: Duration,
}

impl Fleet {
    /// Returns a fleet of 8 VMs and 12 engines in three failure domains.
    pub fn small() -> Self {
        Self {
            vms: 8,
            engines: 12,
            failure_domains: 3,
            slowdowns: vec![1.0],
            memory_tokens: 245_000,
            has_remote_cache_fetch: true,
            reports_work_time: false,
            crashes: Vec::new(),
        }
    }

    /// Returns a fleet of 80 VMs and 90 engines in three failure domains.
    pub fn large() -> Self {
        Self { vms: 80, engines: 90, ..Self::small() }
    }

    /// Sets the factors on the step times of the engines; larger values are slower.
    #[must_use]
    pub fn slowdowns(mut self, slowdowns: &[f64]) -> Self {
        self.slowdowns = slowdowns.to_vec();
        self
    }

    /// Lets engines report how long work takes at the moment.
    #[must_use]
    pub const fn reporting_work_time(mut self) -> Self {
        self.reports_work_time = true;
        self
    }

    /// Stops engines from fetching prefixes from each other's caches.
    #[must_use]
    pub fn without_remote_cache_fetch(mut self) -> Self {
        self.has_remote_cache_fetch = false;
        self
    }

    /// Adds a crash of `engine` at `at` with the given downtime.
    #[must_use]
    pub fn crash(mut self, engine: usize, at: Duration, downtime: Duration) -> Self {
        self.crashes.push(Crash { engine, at, downtime });
        self
    }
}
