//! A secret that all VMs share through the platform's store.

use rand::Rng;

use super::FeedError;

/// Length of a secret that is made, in bytes.
const SECRET_BYTES: usize = 32;

/// A row that holds a secret.
pub trait SecretRow: Send + Sync + 'static {
    /// Reads the secret; none when there is none yet.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached.
    fn read(&self) -> Result<Option<Vec<u8>>, FeedError>;

    /// Writes the secret unless there is one already.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached; the secret may have been written all the same.
    fn create(&self, secret: &[u8]) -> Result<(), FeedError>;
}

/// Reads the secret, and makes one where there is none.
///
/// What counts is always what is read back, so that VMs that make one at the same time agree.
///
/// # Errors
///
/// Fails when the store cannot be reached, or does not show what was written.
pub fn read_or_create(row: &dyn SecretRow) -> Result<Vec<u8>, FeedError> {
    if let Some(secret) = row.read()? {
        return Ok(secret);
    }
    let mut secret = [0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut secret);
    row.create(&secret)?;
    row.read()?.ok_or_else(|| FeedError::Unreachable("the secret was not written".to_owned()))
}
