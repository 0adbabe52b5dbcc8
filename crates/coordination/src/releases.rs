//! The releases of a VM: those that wait for the store, and those that a restoration may lose.
//!
//! A release that is lost with a restoration of the store would leave its call claimed for good.
//! So a VM remembers its releases for some time, and carries them out again in a new era.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::releases::Releases;
//!
//! let mut releases = Releases::default();
//! assert!(releases.start_round(Instant::now(), Some(0)).is_empty());
//! assert_eq!(releases.waiting(), 0);
//! ```

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::StoreEra;

use crate::ledger::Release;

/// Maximum number of releases that wait for the store, and of those that are remembered.
const MAX_RELEASES: usize = 10_000;

/// Time for which a release is remembered. The copies from which the store is restored are some
/// seconds old.
const MEMORY: Duration = Duration::from_secs(60);

/// The releases of a VM.
#[derive(Debug, Default)]
pub struct Releases {
    waiting: Vec<Release>,
    /// Number of releases that were taken for a round that has not ended.
    in_round: usize,
    /// Releases that were carried out in `era`, oldest first.
    done: VecDeque<DoneRelease>,
    /// Latest era in which releases were carried out.
    era: Option<StoreEra>,
}

#[derive(Debug)]
struct DoneRelease {
    done_at: Instant,
    release: Release,
}

impl Releases {
    /// Adds a release that waits for the store. Returns `false` if too many wait already.
    pub fn add(&mut self, release: Release) -> bool {
        let has_room = self.waiting.len() < MAX_RELEASES;
        if has_room {
            self.waiting.push(release);
        }
        has_room
    }

    /// Returns the number of releases that wait for the store.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of releases that are not carried out: waiting or being tried.
    pub const fn unfinished(&self) -> usize {
        self.waiting.len() + self.in_round
    }

    /// Takes the releases to be carried out. `era` is the latest era of the store: if it is new,
    /// those that were carried out in earlier ones are among them.
    pub fn start_round(&mut self, now: Instant, era: Option<StoreEra>) -> Vec<Release> {
        while self.done.front().is_some_and(|it| now.duration_since(it.done_at) >= MEMORY) {
            self.done.pop_front();
        }
        if self.era.is_some() && era > self.era {
            self.waiting.extend(self.done.drain(..).map(|it| it.release.again()));
        }
        self.era = self.era.max(era);
        self.in_round = self.waiting.len();
        std::mem::take(&mut self.waiting)
    }

    /// Records the releases of a round: those that are done are remembered, the others wait.
    pub fn end_round(&mut self, now: Instant, releases: Vec<Release>) {
        self.in_round = 0;
        for release in releases {
            if release.is_done() {
                self.done.push_back(DoneRelease { done_at: now, release });
            } else {
                self.waiting.push(release);
            }
        }
        let excess = self.done.len().saturating_sub(MAX_RELEASES);
        self.done.drain(..excess);
    }
}
