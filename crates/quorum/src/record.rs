//! Records that a replica stores on its disk.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::members::Members;
use crate::message::{DiskId, Entry};

/// Raft's persistent state: a replica that forgot it after a restart could
/// vote twice in one term.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Group that the replica belongs to or has consented to bootstrap.
    pub group: Option<DiskId>,
    /// Current term: the highest that the replica has observed.
    pub term: u64,
    /// Candidate that received this replica's vote in the current term.
    pub vote: Option<DiskId>,
}

/// State of the state machine after applying all entries up to an index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Members of the group at `index`.
    pub members: Members,
    /// State, as serialized by the state machine.
    pub state: Arc<[u8]>,
}

/// One record on a disk. Replaying the records in order restores the content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Identity of the disk; always the first record.
    Identity(DiskId),
    /// Replaces the persistent state.
    State(HardState),
    /// Appends an entry to the log.
    Append(Entry),
    /// Removes the entries from this index on.
    Truncate(u64),
    /// Replaces the snapshot and removes all entries; those after the snapshot follow as
    /// `Append` records.
    Snapshot(Arc<Snapshot>),
}

/// Content of a disk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Persistent state of the protocol.
    pub state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// Creates the content of a new disk.
    #[must_use]
    pub fn new(disk: DiskId) -> Self {
        Self {
            disk,
            state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Applies one record to the content.
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

    /// Records that restore this content on the disk with its identity.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let snapshot = self.snapshot.iter().cloned().map(Record::Snapshot);
        let entries = self.entries.iter().cloned().map(Record::Append);
        let state = [Record::State(self.state)];
        snapshot.chain(state).chain(entries).collect()
    }

    /// Index of the last entry that the disk holds or its snapshot covers.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(covered, |e| e.index)
    }
}
