//! Message authentication with a secret that all VMs share.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Length of a message authentication code (HMAC-SHA-256), in bytes.
pub const MAC_BYTES: usize = 32;

/// Key that authenticates data exchanged between VMs, either directly or through callers.
#[derive(Clone)]
pub struct SharedKey(Hmac<Sha256>);

impl SharedKey {
    /// Creates a key from a secret of any length.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length"))
    }

    /// Returns the message authentication code of `bytes`.
    pub fn mac(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut hmac = self.0.clone();
        hmac.update(bytes);
        hmac.finalize().into_bytes().into()
    }

    /// Returns whether `mac` is the authentication code of `bytes`, comparing in constant time.
    pub fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        let mut hmac = self.0.clone();
        hmac.update(bytes);
        hmac.verify_slice(mac).is_ok()
    }
}
