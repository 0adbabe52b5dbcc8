//! Fingerprints of requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Length of a fingerprint in bytes. At this length nobody finds two requests with the same one.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies a request by its content: equal requests of one customer have equal fingerprints,
/// whatever their request identifiers are.
///
/// ```
/// use cranberryvalve_core::RequestFingerprint;
///
/// let first = RequestFingerprint::new(["harbour", "POST", "/book/"], b"berth 4");
/// assert_eq!(first, RequestFingerprint::new(["harbour", "POST", "/book/"], b"berth 4"));
/// assert_ne!(first, RequestFingerprint::new(["harbour", "POST", "/book"], b"/berth 4"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request with these fields, such as its customer, method and
    /// target, and this body.
    pub fn new<const N: usize>(fields: [&str; N], body: &[u8]) -> Self {
        Self::of_segments(fields, [body])
    }

    /// Like [`Self::new`], of a body in several parts.
    pub fn of_segments<'a, const N: usize>(
        fields: [&str; N],
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        body.into_iter().for_each(|it| hash.update(it));
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
