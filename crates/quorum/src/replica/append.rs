//! Replication on the follower: entries and snapshots received from a leader.

use std::sync::Arc;

use tokio::time::Instant;

use crate::log::Log;
use crate::message::{Append, AppendReply, Body, DiskId, Entry, Install, Payload, Peer};
use crate::record::{Record, Snapshot};
use crate::replica::Replica;
use crate::state_machine::StateMachine;

impl<M: StateMachine> Replica<M> {
    pub(super) fn on_append(&mut self, from: &Peer, append: Append, now: Instant) {
        self.on_leader_contact(from.disk, now);
        let round = append.round;
        if let Some(index) = self.conflict_index(&append) {
            let fits = false;
            return self.reply_to_leader(from, AppendReply { round, fits, index }, now);
        }
        let mut index = append.prev_index;
        for entry in append.entries {
            index = entry.index;
            self.append_from_leader(entry);
        }
        self.commit = self.commit.max(append.commit.min(index));
        let fits = true;
        self.reply_to_leader(from, AppendReply { round, fits, index }, now);
    }

    pub(super) fn on_install(&mut self, from: &Peer, install: Install, now: Instant) {
        self.on_leader_contact(from.disk, now);
        if install.snapshot.index > self.commit && !self.install(install.snapshot) {
            return;
        }
        let reply = AppendReply {
            round: install.round,
            fits: true,
            index: self.commit,
        };
        self.reply_to_leader(from, reply, now);
    }

    /// Records that replace all earlier ones: the snapshot, the persistent state
    /// and the entries after the snapshot.
    pub(super) fn snapshot_records(&self, snapshot: &Arc<Snapshot>) -> Vec<Record> {
        let mut records = vec![
            Record::Snapshot(Arc::clone(snapshot)),
            Record::State(self.state),
        ];
        let tail = self
            .log
            .entries_from(snapshot.index + 1, usize::MAX, usize::MAX);
        records.extend(tail.into_iter().map(Record::Append));
        records
    }

    /// Follows the sender as leader and restarts the election timeout.
    fn on_leader_contact(&mut self, from: DiskId, now: Instant) {
        self.become_follower(self.state.term, Some(from));
        self.leader_contact_at = Some(now);
        self.reset_election_timer(now);
    }

    fn reply_to_leader(&mut self, to: &Peer, reply: AppendReply, now: Instant) {
        let envelope = self.reply(to, Body::AppendReply(reply));
        self.send_durable(envelope, now);
    }

    /// If the entries don't follow this log, returns the index after which the
    /// leader should retry. The leader thereby skips all entries of the conflicting term
    /// at once.
    fn conflict_index(&self, append: &Append) -> Option<u64> {
        let prev = append.prev_index;
        if prev > self.log.last_index() {
            return Some(self.log.last_index());
        }
        if prev <= self.commit || self.log.term_at(prev) == Some(append.prev_term) {
            return None;
        }
        let retry_after = self.log.first_index_of_term(prev) - 1;
        Some(retry_after.max(self.commit))
    }

    /// Appends an entry unless the log has it already. A conflicting entry and
    /// all after it are truncated first.
    fn append_from_leader(&mut self, entry: Entry) {
        if entry.index <= self.commit {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        let changes_members = matches!(entry.payload, Payload::Members(_));
        self.output.record(Record::Append(entry.clone()));
        self.log.push(entry);
        if changes_members {
            self.refresh_members();
        }
    }

    /// Removes the entries from `index` on, also from the disk.
    fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.output.record(Record::Truncate(index));
        self.output.cap_durable_index(index - 1);
        if self.members_index >= index {
            self.refresh_members();
        }
    }

    /// Replaces the log by a snapshot, and the state machine unless it is further;
    /// false if the state machine can't restore it.
    fn install(&mut self, snapshot: Arc<Snapshot>) -> bool {
        let index = snapshot.index;
        if index > self.applied {
            if let Err(error) = self.state_machine.restore(&snapshot.state) {
                log::error!("can't restore the snapshot at index {index}: {error}");
                return false;
            }
            self.applied = index;
            self.applied_bytes = 0;
        }
        if self.log.term_at(index) == Some(snapshot.term) {
            self.log.compact(index);
        } else {
            self.log = Log::new(index, snapshot.term);
            self.output.cap_durable_index(index);
        }
        let records = self.snapshot_records(&snapshot);
        self.output.replace_records(records);
        self.snapshot = Some(snapshot);
        self.commit = index;
        self.refresh_members();
        self.end_unknown_proposals(index);
        true
    }
}
