//! What a replica keeps on its disk.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::members::Members;
use crate::message::{DiskId, Entry};

/// Promises that must outlive a restart.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Group that the replica belongs to or is pledged to.
    pub group: Option<DiskId>,
    /// Highest term seen.
    pub term: u64,
    /// Who has the vote of this term.
    pub vote: Option<DiskId>,
}

/// State of the machine after an index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Last index that it covers.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Members at that index.
    pub members: Members,
    /// State of the machine.
    pub state: Arc<[u8]>,
}

/// One record on a disk; replayed in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Identity of the disk; the first record of each.
    Identity(DiskId),
    /// New promises.
    State(HardState),
    /// An entry after the last one.
    Append(Entry),
    /// Entries from this index on are gone.
    Truncate(u64),
    /// Everything so far is replaced by this snapshot.
    Snapshot(Arc<Snapshot>),
}

/// Content of a disk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Promises.
    pub state: HardState,
    /// Last snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// Content of a new disk.
    #[must_use]
    pub fn new(disk: DiskId) -> Self {
        Self {
            disk,
            state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Replays one record.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Identity(disk) => self.disk = disk,
            Record::State(state) => self.state = state,
            Record::Append(entry) => self.entries.push(entry),
            Record::Truncate(from) => self.entries.retain(|e| e.index < from),
            Record::Snapshot(snapshot) => {
                self.entries.clear();
                self.snapshot = Some(snapshot);
            }
        }
    }

    /// Last index on the disk.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(covered, |e| e.index)
    }
}
