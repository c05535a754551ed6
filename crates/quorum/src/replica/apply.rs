//! Applies committed entries to the state machine, and compacts the log.

use std::sync::Arc;

use crate::members::Members;
use crate::message::{Entry, Payload};
use crate::record::Snapshot;
use crate::replica::{Done, Replica};
use crate::state_machine::StateMachine;

impl<M: StateMachine> Replica<M> {
    /// Applies all committed entries, and compacts the log when enough have been
    /// applied since the last snapshot.
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            self.apply(&entry);
        }
        if self.applied > self.commit {
            // After a failed write the log may still lack what was applied before, or
            // hold other entries in its place.
            return;
        }
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        if self.applied - covered >= self.settings.compact_entries
            || self.applied_bytes >= self.settings.compact_bytes
        {
            self.compact();
        }
    }

    /// Applies one entry and ends the proposal that waits for it. A leader that
    /// this entry removes from the group becomes a follower.
    fn apply(&mut self, entry: &Entry) {
        let index = entry.index;
        self.applied_bytes += entry.payload.len_bytes();
        let done = match &entry.payload {
            Payload::Noop => None,
            Payload::Command(command) => {
                let output = self.state_machine.apply(index, command);
                Some(Done::Applied { index, output })
            }
            Payload::Members(_) => Some(Done::Changed(index)),
        };
        self.resolve_proposals(index, entry.term, done);
        let removed = self.is_leader() && !self.members.is_voter(self.disk);
        if removed && self.members_index == index {
            self.become_follower(self.state.term, None);
        }
    }

    /// Takes a snapshot at the last applied index, and removes earlier entries
    /// from the log except those kept for lagging replicas.
    fn compact(&mut self) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            members: self.members_at(index),
            state: self.state_machine.snapshot().into(),
        });
        let records = self.snapshot_records(&snapshot);
        self.output.replace_records(records);
        self.snapshot = Some(snapshot);
        self.applied_bytes = 0;
        let keep_bytes = self.settings.compact_bytes / 2;
        let tail = self
            .log
            .tail_start(index, self.settings.keep_entries, keep_bytes);
        self.log.compact(tail);
    }

    /// Members of the group at `index`, which is committed.
    fn members_at(&self, index: u64) -> Members {
        if self.members_index <= index {
            return self.members.clone();
        }
        if let Some(members) = self.log.members_at(index) {
            return members.clone();
        }
        let stored = self.snapshot.as_ref();
        stored.map(|s| s.members.clone()).unwrap_or_default()
    }
}
