//! The leader's side of the log: rounds, replication and the commit index.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use tokio::time::Instant;
use world::unit::as_ms;

use crate::machine::Machine;
use crate::message::{Append, AppendReply, Body, DiskId, Entry, Install, Payload};
use crate::record::Record;
use crate::replica::{APPEND_MAX_BYTES, APPEND_MAX_ENTRIES, Part, Replica, Ticket};

/// Rounds whose start is remembered.
const ROUNDS_MAX: usize = 1_024;

#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) matched: u64,
    pub(super) acked_round: u64,
    pub(super) heard_at: Instant,
    pub(super) snapshot_at: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<DiskId, Progress>,
    pub(super) first_index: u64,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    beat_at: Instant,
}

impl Leader {
    fn next_round(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS_MAX {
            self.rounds.pop_front();
        }
        self.round
    }

    /// When `round` began: a reply proves nothing about later moments.
    fn began_at(&self, round: u64) -> Option<Instant> {
        let (first, _) = self.rounds.front()?;
        let at = usize::try_from(round.checked_sub(*first)?).ok()?;
        self.rounds.get(at).map(|(_, at)| *at)
    }
}

impl<M: Machine> Replica<M> {
    pub(super) fn lead(&mut self, now: Instant) {
        let mut leader = Leader {
            progress: BTreeMap::new(),
            first_index: self.log.last_index() + 1,
            round: 0,
            rounds: VecDeque::new(),
            beat_at: now + self.settings.timing.heartbeat(),
        };
        leader.next_round(now);
        self.part = Part::Leader(leader);
        self.leader = Some(self.disk);
        self.sync_progress(now);
        self.append_entry(Payload::Noop, now);
    }

    /// A leader that a majority has not answered within an election timeout
    /// leads no longer.
    pub(super) fn check_quorum(&mut self, now: Instant) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let timeout = self.settings.timing.election();
        let heard = |disk| {
            let recent = |p: &Progress| now.saturating_duration_since(p.heard_at) < timeout;
            disk == self.disk || leader.progress.get(&disk).is_some_and(recent)
        };
        if !self.members.majority(heard) {
            self.follow(self.state.term, None);
            self.put_off_election(now);
        }
    }

    pub(super) fn beat(&mut self, now: Instant) {
        let heartbeat = self.settings.timing.heartbeat();
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        if now < leader.beat_at {
            return;
        }
        leader.beat_at = now + heartbeat;
        self.open_round(now);
    }

    /// Begins a round and tells everyone.
    pub(super) fn open_round(&mut self, now: Instant) -> u64 {
        let Part::Leader(leader) = &mut self.part else {
            return 0;
        };
        let round = leader.next_round(now);
        self.replicate_all(true, now);
        round
    }

    /// Appends an entry whose outcome someone waits for.
    pub(super) fn append_own(&mut self, payload: Payload, now: Instant) -> Ticket {
        let ticket = self.output.ticket();
        let index = self.append_entry(payload, now);
        let deadline = now + self.settings.timing.proposal();
        self.waiters.add(index, self.state.term, ticket, deadline);
        ticket
    }

    pub(super) fn append_entry(&mut self, payload: Payload, now: Instant) -> u64 {
        let index = self.log.last_index() + 1;
        let changes_members = matches!(payload, Payload::Members(_));
        let term = self.state.term;
        let entry = Entry {
            index,
            term,
            payload,
        };
        self.output.record(Record::Append(entry.clone()));
        self.log.push(entry);
        if changes_members {
            self.refresh_members();
            self.sync_progress(now);
        }
        self.replicate_all(false, now);
        index
    }

    pub(super) fn on_append_reply(&mut self, from: DiskId, reply: AppendReply, now: Instant) {
        let last_index = self.log.last_index();
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        let began_at = leader.began_at(reply.round);
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if let Some(at) = began_at {
            progress.heard_at = progress.heard_at.max(at);
            progress.acked_round = progress.acked_round.max(reply.round);
        }
        if reply.fits {
            progress.matched = progress.matched.max(reply.index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_at = None;
        } else {
            progress.next = (reply.index.min(last_index) + 1).max(progress.matched + 1);
        }
        if progress.next <= last_index {
            self.replicate(from, false, now);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let matched = |disk| match leader.progress.get(&disk) {
            _ if disk == self.disk => self.output.durable_index,
            Some(progress) => progress.matched,
            None => 0,
        };
        let agreed = self.members.agreed(matched);
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.state.term) {
            self.commit = agreed;
        }
    }

    /// Last round that a majority has answered, and the first index of this term.
    pub(super) fn confirmed(&self) -> Option<(u64, u64)> {
        let Part::Leader(leader) = &self.part else {
            return None;
        };
        let acked = |disk| match leader.progress.get(&disk) {
            _ if disk == self.disk => leader.round,
            Some(progress) => progress.acked_round,
            None => 0,
        };
        Some((self.members.agreed(acked), leader.first_index))
    }

    /// Keeps one row of progress for each other member.
    fn sync_progress(&mut self, now: Instant) {
        let next = self.log.last_index() + 1;
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        let members = &self.members;
        leader
            .progress
            .retain(|disk, _| members.get(*disk).is_some());
        for (disk, _) in members.iter().filter(|(disk, _)| *disk != self.disk) {
            leader.progress.entry(disk).or_insert(Progress {
                next,
                matched: 0,
                acked_round: 0,
                heard_at: now,
                snapshot_at: None,
            });
        }
    }

    fn replicate_all(&mut self, heartbeat: bool, now: Instant) {
        let Part::Leader(leader) = &self.part else {
            return;
        };
        let disks: Vec<DiskId> = leader.progress.keys().copied().collect();
        for disk in disks {
            self.replicate(disk, heartbeat, now);
        }
    }

    /// Sends what `to` lacks; a heartbeat also when it lacks nothing.
    fn replicate(&mut self, to: DiskId, heartbeat: bool, now: Instant) {
        let Part::Leader(leader) = &mut self.part else {
            return;
        };
        let round = leader.round;
        let to_learner = !self.members.votes(to);
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let mut prev_index = progress.next - 1;
        let mut entries = Vec::new();
        if prev_index >= self.log.base_index() {
            entries = self
                .log
                .from(progress.next, APPEND_MAX_ENTRIES, APPEND_MAX_BYTES);
            progress.next += entries.len() as u64;
        } else if let Some(snapshot) = &self.snapshot {
            let retry = self.settings.timing.replace();
            let sent = |at: Instant| now.saturating_duration_since(at) < retry;
            if !progress.snapshot_at.is_some_and(sent) {
                progress.snapshot_at = Some(now);
                let snapshot = Arc::clone(snapshot);
                let install = Install {
                    round,
                    to_learner,
                    snapshot,
                };
                return self.send(to, Body::Install(install));
            }
            prev_index = self.log.base_index();
        }
        if entries.is_empty() && !heartbeat {
            return;
        }
        let append = Append {
            round,
            to_learner,
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
        };
        self.send(to, Body::Append(append));
    }

    /// Milliseconds since a round began that `disk` has answered.
    pub(super) fn heard_ms(&self, disk: DiskId, now: Instant) -> Option<u64> {
        let Part::Leader(leader) = &self.part else {
            return None;
        };
        let progress = leader.progress.get(&disk)?;
        Some(as_ms(now.saturating_duration_since(progress.heard_at)))
    }
}
