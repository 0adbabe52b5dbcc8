//! Positions in the history of the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// Number of times that the store was restored from a copy.
pub type StoreEra = u64;

/// A state of the store.
///
/// A store that is restored from a copy goes back to an older version and assigns the following
/// versions again, so a version identifies a state only together with the era.
///
/// ```
/// use cranberryvalve_core::StorePosition;
///
/// let before = StorePosition { era: 1, version: 90 };
/// let restored = StorePosition { era: 2, version: 70 };
/// assert!(before < restored);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StorePosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Version of the store within its era.
    pub version: u64,
}
