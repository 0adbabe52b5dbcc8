//! SHA-256 digests of content.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// A SHA-256 digest in lowercase hexadecimal.
///
/// ```
/// use cranberryvalve_core::Digest;
///
/// assert_eq!(Digest::of(b"a"), Digest::of(b"a"));
/// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Digest(Arc<str>);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = Sha256::digest(bytes);
        let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(hex.into())
    }

    /// Returns the digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the first 8 bytes as a big-endian number, for mapping to ranges.
    ///
    /// Returns 0 if the text does not start with 16 hexadecimal digits.
    pub fn prefix_u64(&self) -> u64 {
        u64::from_str_radix(self.0.get(..16).unwrap_or("0"), 16).unwrap_or(0)
    }
}

impl From<&str> for Digest {
    fn from(hex: &str) -> Self {
        Self(hex.to_ascii_lowercase().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
