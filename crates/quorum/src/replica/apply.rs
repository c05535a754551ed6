//! Applying what is committed, and compacting the log.

use std::sync::Arc;

use crate::machine::Machine;
use crate::members::Members;
use crate::message::{Entry, Payload};
use crate::record::Snapshot;
use crate::replica::{Done, Replica};

impl<M: Machine> Replica<M> {
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied = entry.index;
            self.apply(&entry);
        }
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        if self.applied - covered >= self.settings.compact_entries {
            self.compact();
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let index = entry.index;
        let done = match &entry.payload {
            Payload::Noop => None,
            Payload::Command(command) => {
                let output = self.machine.apply(index, command);
                Some(Done::Applied { index, output })
            }
            Payload::Members(_) => Some(Done::Changed(index)),
        };
        self.end_proposals(index, entry.term, done);
        let removed = self.is_leader() && !self.members.votes(self.disk);
        if removed && self.members_index == index {
            self.follow(self.state.term, None);
        }
    }

    fn compact(&mut self) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            members: self.members_at(index),
            state: self.machine.snapshot().into(),
        });
        let records = self.image(&snapshot);
        self.output.restart(records);
        self.snapshot = Some(snapshot);
        let keep = self.settings.keep_entries;
        self.log.compact(index.saturating_sub(keep));
    }

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
