//! The durable side of a replica.

use world::Result;

use crate::record::{Record, Stored};

/// Durable storage of one replica's records.
pub trait Disk {
    /// Reads what is stored; draws an identity for a new disk.
    ///
    /// # Errors
    /// [`world::Kind::Damaged`] when the records are damaged, or when another
    /// process uses them.
    fn load(&mut self) -> Result<Stored>;

    /// Writes a batch of records. They are durable once this returns, and after
    /// a crash either all of the batch is there or none.
    ///
    /// # Errors
    /// [`world::Kind::Damaged`] when they may not be durable. The replica must
    /// then stop, since what the disk holds is unknown.
    fn store(&mut self, records: &[Record]) -> Result<()>;
}
