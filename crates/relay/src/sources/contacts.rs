//! Addresses of a few VMs in the platform's store.

use cranberryvalve_coordination::contacts::ContactRecord;

use super::FeedError;

/// Storage of the addresses of a few VMs.
pub trait ContactStore: Send + Sync + 'static {
    /// Reads the row; an empty one if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable.
    fn read(&self) -> Result<ContactRecord, FeedError>;

    /// Writes the row if it still has the revision that the record names. Returns `false` if another
    /// VM has written it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable. The row may have been written nevertheless.
    fn write(&self, record: &ContactRecord) -> Result<bool, FeedError>;
}
