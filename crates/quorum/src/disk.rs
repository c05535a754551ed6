//! Durable storage of a replica, as a trait.

use world::Result;

use crate::record::{Record, Stored};

/// Durable storage of one replica's records.
pub trait Disk {
    /// Reads the stored records; on a new disk, generates its identity.
    ///
    /// # Errors
    /// [`world::ErrorKind::Damaged`] when the records can't be read, are corrupt, or are in
    /// use by another process.
    fn load(&mut self) -> Result<Stored>;

    /// Writes a batch of records and returns once they are durable. A crash
    /// during the write keeps either the whole batch or none of it.
    ///
    /// # Errors
    /// [`world::ErrorKind::Damaged`] when the records may not be durable. The content of
    /// the disk is then unknown: the replica must acknowledge nothing, and the disk
    /// accepts no batch, until [`Disk::recover`] succeeds.
    fn store(&mut self, records: &[Record]) -> Result<()>;

    /// Reads back the content after a failed write, and makes all of it durable. The
    /// failed batch may be part of it.
    ///
    /// # Errors
    /// [`world::ErrorKind::Damaged`] when the content can't be read or written, or is
    /// that of another disk.
    fn recover(&mut self) -> Result<Stored>;
}
