//! The secret that all VMs share.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Length of an authentication code in bytes.
pub const CODE_BYTES: usize = 32;

/// A key for authenticating what VMs exchange, directly or through callers.
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

    /// The authentication code of `bytes`.
    pub fn code(&self, bytes: &[u8]) -> [u8; CODE_BYTES] {
        let mut mac = self.0.clone();
        mac.update(bytes);
        mac.finalize().into_bytes().into()
    }

    /// Whether `code` is the authentication code of `bytes`, compared in constant time.
    pub fn verifies(&self, bytes: &[u8], code: &[u8]) -> bool {
        let mut mac = self.0.clone();
        mac.update(bytes);
        mac.verify_slice(code).is_ok()
    }
}
