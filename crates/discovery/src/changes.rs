//! What a reader of the registry gets: the rows after its cursor, in pieces of bounded
//! size.

use std::collections::BTreeMap;
use std::ops::Bound;

use postcard::experimental::serialized_size;
use tokio::time::Instant;
use world::MachineName;

use crate::record::{Origin, Record};
use crate::registry::Registry;
use crate::row::{Key, Update};

/// Rows of the registry after a reader's cursor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The rows, in their order.
    pub updates: Vec<Update>,
    /// Cursor of a reader that has merged them.
    pub cursor: u64,
    /// Whether the registry has rows after `cursor`.
    pub more: bool,
}

impl Registry {
    /// Returns the rows announced here after `cursor` that are not lost, and those from
    /// the control VMs in `relayed`, for another control VM: at least one row, and further
    /// ones up to about `bytes_max` bytes.
    #[must_use]
    pub fn announced_since(
        &self,
        cursor: u64,
        relayed: &[MachineName],
        bytes_max: usize,
        now: Instant,
    ) -> Changes {
        let passed_on = |record: &Record| match &record.origin {
            _ if record.lost => false,
            Origin::Here => true,
            Origin::ControlVm(name) => relayed.contains(name),
            Origin::Cache => false,
        };
        let announced = self.records_after(&self.by_announcement, cursor);
        let announced = announced.filter(|(_, record)| passed_on(record));
        self.piece(announced, bytes_max, now)
    }

    /// Returns the rows that changed after `cursor`, including lost ones, for entry VMs: at
    /// least one row, and further ones up to about `bytes_max` bytes.
    #[must_use]
    pub fn changed_since(&self, cursor: u64, bytes_max: usize, now: Instant) -> Changes {
        let changed = self.records_after(&self.by_change, cursor);
        self.piece(changed, bytes_max, now)
    }

    fn piece<'a>(
        &self,
        records: impl Iterator<Item = (u64, &'a Record)>,
        bytes_max: usize,
        now: Instant,
    ) -> Changes {
        let mut changes = Changes {
            updates: Vec::new(),
            cursor: self.clock,
            more: false,
        };
        let (mut bytes, mut last) = (0_usize, 0);
        for (clock, record) in records {
            let update = record.to_update(now);
            bytes = bytes.saturating_add(serialized_size(&update).unwrap_or(bytes_max));
            if bytes > bytes_max && !changes.updates.is_empty() {
                (changes.cursor, changes.more) = (last, true);
                break;
            }
            changes.updates.push(update);
            last = clock;
        }
        changes
    }

    /// Returns the records of an index that come after `cursor`, in order, each with its
    /// value of the logical clock.
    fn records_after<'a>(
        &'a self,
        index: &'a BTreeMap<u64, Key>,
        cursor: u64,
    ) -> impl Iterator<Item = (u64, &'a Record)> {
        let keys = index.range((Bound::Excluded(cursor), Bound::Unbounded));
        keys.filter_map(|(clock, key)| Some((*clock, self.rows.get(key)?)))
    }
}
