//! VMs and engines.

use std::time::Duration;

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decider {
    /// By the scheduler of each VM, whose VMs tell each other of long prompts.
    Scheduler,
    /// By the scheduler of each VM, each of which knows its own work only.
    Alone,
    /// To the engine with the fewest requests of the VM, first come, first served.
    Plain,
}

impl Decider {
    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Scheduler => "scheduler",
            Self::Alone => "scheduler, VMs alone",
            Self::Plain => "plain: fewest of its own",
        }
    }
}

/// VMs and engines of a deployment, spread evenly over failure domains.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// Failure domains.
    pub failure_domains: usize,
    /// Speed of engine `n` is `speeds[n % len]`; larger is slower.
    pub speeds: Vec<f64>,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Whether engines can fetch from each other's caches.
    pub copies_caches: bool,
    /// Engines that fail for a while: number, from when, for how long.
    pub crashes: Vec<Crash>,
}

/// An engine that is down for a while.
#[derive(Debug, Clone, PartialEq)]
pub struct Crash {
    /// Engine.
    pub engine: usize,
    /// When it crashes.
    pub at: Duration,
    /// How long it is down.
    pub down: Duration,
}

impl Fleet {
    /// Eight VMs before 12 engines in three failure domains.
    pub fn small() -> Self {
        Self {
            vms: 8,
            engines: 12,
            failure_domains: 3,
            speeds: vec![1.0],
            memory_tokens: 245_000,
            copies_caches: true,
            crashes: Vec::new(),
        }
    }

    /// Eighty VMs before 90 engines.
    pub fn large() -> Self {
        Self { vms: 80, engines: 90, ..Self::small() }
    }

    /// Sets the speeds of the engines.
    #[must_use]
    pub fn speeds(mut self, speeds: &[f64]) -> Self {
        self.speeds = speeds.to_vec();
        self
    }

    /// Makes engines that cannot fetch from each other's caches.
    #[must_use]
    pub fn separate_caches(mut self) -> Self {
        self.copies_caches = false;
        self
    }

    /// Adds a crash.
    #[must_use]
    pub fn crash(mut self, engine: usize, at: Duration, down: Duration) -> Self {
        self.crashes.push(Crash { engine, at, down });
        self
    }
}
