//! A secret that all VMs share through the platform's store.

use rand::Rng;

use super::FeedError;

/// Length of a generated secret, in bytes.
const SECRET_BYTES: usize = 32;

/// Storage of a secret.
pub trait SecretStore: Send + Sync + 'static {
    /// Reads the secret. Returns `None` if none has been written yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable.
    fn read(&self) -> Result<Option<Vec<u8>>, FeedError>;

    /// Writes the secret unless there is one already.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable. The secret may have been written nevertheless.
    fn create(&self, secret: &[u8]) -> Result<(), FeedError>;
}

/// Reads the secret, or generates and writes one if there is none.
///
/// The result is always read back from the store, so that VMs that generate a secret at the same
/// time agree on one.
///
/// # Errors
///
/// Returns an error if the store is unreachable or does not return the secret that was written.
pub fn read_or_create(store: &dyn SecretStore) -> Result<Vec<u8>, FeedError> {
    let mut secret = [0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut secret);
    read_or_write(store, &secret)
}

/// Reads the secret, or writes `secret` if there is none, as after a restoration of the store.
///
/// Returns the secret that all VMs use from now on, which another VM may have written.
///
/// # Errors
///
/// Returns an error if the store is unreachable or does not return the secret that was written.
pub fn read_or_write(store: &dyn SecretStore, secret: &[u8]) -> Result<Vec<u8>, FeedError> {
    if let Some(secret) = store.read()? {
        return Ok(secret);
    }
    store.create(secret)?;
    store.read()?.ok_or_else(|| FeedError::Failed("the secret was not stored".to_owned()))
}
