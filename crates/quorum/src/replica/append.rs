//! The follower's side of the log: entries and snapshots of a leader.

use std::sync::Arc;

use tokio::time::Instant;

use crate::log::Log;
use crate::machine::Machine;
use crate::message::{Append, AppendReply, Body, DiskId, Entry, Install, Payload, Peer};
use crate::record::{Record, Snapshot};
use crate::replica::Replica;

impl<M: Machine> Replica<M> {
    pub(super) fn on_append(&mut self, from: &Peer, append: Append, now: Instant) {
        self.hear_leader(from.disk, now);
        let round = append.round;
        if let Some(index) = self.misfit(&append) {
            let fits = false;
            return self.answer_leader(from, AppendReply { round, fits, index }, now);
        }
        let mut index = append.prev_index;
        for entry in append.entries {
            index = entry.index;
            self.accept(entry);
        }
        self.commit = self.commit.max(append.commit.min(index));
        let fits = true;
        self.answer_leader(from, AppendReply { round, fits, index }, now);
    }

    pub(super) fn on_install(&mut self, from: &Peer, install: Install, now: Instant) {
        self.hear_leader(from.disk, now);
        if install.snapshot.index > self.commit && !self.install(install.snapshot) {
            return;
        }
        let reply = AppendReply {
            round: install.round,
            fits: true,
            index: self.commit,
        };
        self.answer_leader(from, reply, now);
    }

    /// Records that make all earlier ones void.
    pub(super) fn image(&self, snapshot: &Arc<Snapshot>) -> Vec<Record> {
        let mut records = vec![
            Record::Snapshot(Arc::clone(snapshot)),
            Record::State(self.state),
        ];
        let tail = self.log.from(snapshot.index + 1, usize::MAX, usize::MAX);
        records.extend(tail.into_iter().map(Record::Append));
        records
    }

    fn hear_leader(&mut self, from: DiskId, now: Instant) {
        self.follow(self.state.term, Some(from));
        self.leader_heard_at = Some(now);
        self.put_off_election(now);
    }

    fn answer_leader(&mut self, to: &Peer, reply: AppendReply, now: Instant) {
        let envelope = self.reply(to, Body::AppendReply(reply));
        self.send_durable(envelope, now);
    }

    /// Where the leader should go on after, when its entries don't fit.
    fn misfit(&self, append: &Append) -> Option<u64> {
        let prev = append.prev_index;
        if prev > self.log.last_index() {
            return Some(self.log.last_index());
        }
        if prev <= self.commit || self.log.term_at(prev) == Some(append.prev_term) {
            return None;
        }
        let before = self.log.first_of_term(prev) - 1;
        Some(before.max(self.commit))
    }

    fn accept(&mut self, entry: Entry) {
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

    fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.output.record(Record::Truncate(index));
        self.output.truncated(index - 1);
        if self.members_index >= index {
            self.refresh_members();
        }
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) -> bool {
        if let Err(error) = self.machine.restore(&snapshot.state) {
            log::error!("snapshot at {} can't be restored: {error}", snapshot.index);
            return false;
        }
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            self.log.compact(index);
        } else {
            self.log = Log::new(index, snapshot.term);
            self.output.truncated(index);
        }
        let records = self.image(&snapshot);
        self.output.restart(records);
        self.snapshot = Some(snapshot);
        self.commit = index;
        self.applied = index;
        self.refresh_members();
        self.leave_unknown(index);
        true
    }
}
