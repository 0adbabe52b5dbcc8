//! For how long a VM has known the era of the store.
//!
//! After a restoration, rows that were acknowledged shortly before it may be missing. Whoever finds
//! no row cannot tell whether there was one. It can only wait until the missing row would not matter
//! any more: a lease would have expired, or a call would not be repeated any more. That time counts
//! from the moment at which this VM first saw the era, which is later than the restoration. A store
//! that was never restored (era 0) lacks nothing.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::era::EraWatch;
//!
//! let (now, window) = (Instant::now(), Duration::from_secs(60));
//! let mut watch = EraWatch::default();
//! watch.observe(now, 0);
//! assert_eq!(watch.settled_era(now, window), Some(0));
//! assert!(watch.observe(now, 1));
//! assert_eq!(watch.settled_era(now, window), None);
//! assert_eq!(watch.settled_era(now + window, window), Some(1));
//! ```

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::StoreEra;

/// Era of a store that was never restored.
pub const UNRESTORED: StoreEra = 0;

/// The latest era of the store that this VM has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraWatch(Option<SeenEra>);

#[derive(Debug, Clone, Copy)]
struct SeenEra {
    era: StoreEra,
    since: Instant,
}

impl EraWatch {
    /// Records the era of a reply. Returns `true` if the store was restored since an earlier reply.
    pub fn observe(&mut self, now: Instant, era: StoreEra) -> bool {
        if self.0.is_some_and(|it| it.era >= era) {
            return false;
        }
        let is_restored = self.0.is_some();
        self.0 = Some(SeenEra { era, since: now });
        is_restored
    }

    /// Returns the latest era, or `None` before the first reply.
    pub fn era(&self) -> Option<StoreEra> {
        self.0.map(|it| it.era)
    }

    /// Returns the latest era if this VM has known it for at least `window`, or if nothing can be
    /// missing in it.
    pub fn settled_era(&self, now: Instant, window: Duration) -> Option<StoreEra> {
        let seen = self.0?;
        let is_settled =
            seen.era == UNRESTORED || now.saturating_duration_since(seen.since) >= window;
        is_settled.then_some(seen.era)
    }
}
