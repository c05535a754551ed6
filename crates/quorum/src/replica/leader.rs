//! Replication on the leader: rounds, progress of the members and the commit index.
//!
//! A round starts with each heartbeat and each read. `Append` and `Install`
//! carry the number of the current round, and the response returns it. This
//! proves that its sender followed this leader after the start of that round.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use tokio::time::Instant;
use world::MachineName;
use world::unit::as_ms;

use crate::message::{Append, AppendReply, Body, DiskId, Entry, Install, Payload};
use crate::record::Record;
use crate::replica::{APPEND_MAX_BYTES, APPEND_MAX_ENTRIES, Election, Replica, Ticket};
use crate::state_machine::StateMachine;

/// Number of rounds whose start time is kept. A response to an older round
/// doesn't count as contact.
const ROUNDS_MAX: usize = 1_024;

/// Replication state of one other member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Last index that is known to be durable on the member and to match this log.
    pub(super) match_index: u64,
    /// Latest round that the member has responded to.
    pub(super) acked_round: u64,
    /// Start of that round, or when this leader began to track the member.
    pub(super) last_contact_at: Instant,
    /// When a snapshot was sent that the member has not yet acknowledged.
    pub(super) snapshot_sent_at: Option<Instant>,
}

/// Replication state that a replica keeps while it is leader.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<DiskId, Progress>,
    /// Disks that ask to be admitted, by machine, and when they last asked.
    pub(super) joining: BTreeMap<MachineName, (DiskId, Instant)>,
    /// Index of the first entry of this leader's term.
    pub(super) first_index: u64,
    /// Number of the current round.
    round: u64,
    /// Number and start of the latest rounds, in order.
    rounds: VecDeque<(u64, Instant)>,
    next_heartbeat_at: Instant,
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

    /// Start of `round`, if it is kept. A response to the round proves contact at
    /// that time, but not at any later time.
    fn started_at(&self, round: u64) -> Option<Instant> {
        let (first, _) = self.rounds.front()?;
        let at = usize::try_from(round.checked_sub(*first)?).ok()?;
        self.rounds.get(at).map(|(_, at)| *at)
    }
}

impl<M: StateMachine> Replica<M> {
    /// Becomes the leader of the current term and appends its first entry.
    pub(super) fn become_leader(&mut self, now: Instant) {
        let mut leader = Leader {
            progress: BTreeMap::new(),
            joining: BTreeMap::new(),
            first_index: self.log.last_index() + 1,
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat_at: now + self.settings.timing.heartbeat_interval(),
        };
        leader.next_round(now);
        self.election = Election::Leader(leader);
        self.leader = Some(self.disk);
        self.sync_progress(now);
        self.append_entry(Payload::Noop, now);
    }

    /// Becomes a follower if a majority has not responded to this leader within
    /// the minimum election timeout.
    pub(super) fn check_quorum(&mut self, now: Instant) {
        let Election::Leader(leader) = &self.election else {
            return;
        };
        let timeout = self.settings.timing.min_election_timeout();
        let in_contact = |disk| {
            let recent = |p: &Progress| now.saturating_duration_since(p.last_contact_at) < timeout;
            disk == self.disk || leader.progress.get(&disk).is_some_and(recent)
        };
        if !self.members.has_majority(in_contact) {
            self.become_follower(self.state.term, None);
            self.reset_election_timer(now);
        }
    }

    /// Sends a heartbeat to all members when the interval has passed.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let heartbeat = self.settings.timing.heartbeat_interval();
        let Election::Leader(leader) = &mut self.election else {
            return;
        };
        if now < leader.next_heartbeat_at {
            return;
        }
        leader.next_heartbeat_at = now + heartbeat;
        self.start_round(now);
    }

    /// Starts a round and sends a heartbeat to all members.
    pub(super) fn start_round(&mut self, now: Instant) -> u64 {
        let Election::Leader(leader) = &mut self.election else {
            return 0;
        };
        let round = leader.next_round(now);
        self.replicate_all(true, now);
        round
    }

    /// Appends an entry for a caller that waits for its outcome.
    pub(super) fn append_own(&mut self, payload: Payload, now: Instant) -> Ticket {
        let ticket = self.output.ticket();
        let index = self.append_entry(payload, now);
        let deadline = now + self.settings.timing.proposal_timeout();
        self.waiters.add(index, self.state.term, ticket, deadline);
        ticket
    }

    /// Appends an entry of the current term and starts its replication.
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
        let Election::Leader(leader) = &mut self.election else {
            return;
        };
        let started_at = leader.started_at(reply.round);
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if let Some(at) = started_at {
            progress.last_contact_at = progress.last_contact_at.max(at);
            progress.acked_round = progress.acked_round.max(reply.round);
        }
        if reply.fits {
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_sent_at = None;
        } else {
            progress.next_index = (reply.index.min(last_index) + 1).max(progress.match_index + 1);
        }
        if progress.next_index <= last_index {
            self.replicate(from, false, now);
        }
    }

    /// Advances the commit index to the last entry that is durable on a majority,
    /// if that entry is of the current term: an entry of an earlier term may still
    /// be overwritten by a later leader.
    pub(super) fn advance_commit(&mut self) {
        let Election::Leader(leader) = &self.election else {
            return;
        };
        let match_index = |disk| match leader.progress.get(&disk) {
            _ if disk == self.disk => self.output.durable_index,
            Some(progress) => progress.match_index,
            None => 0,
        };
        let majority_index = self.members.majority_value(match_index);
        if majority_index > self.commit && self.log.term_at(majority_index) == Some(self.state.term)
        {
            self.commit = majority_index;
        }
    }

    /// Returns the latest round that a majority has responded to, and the first
    /// index of this term.
    pub(super) fn confirmed_round(&self) -> Option<(u64, u64)> {
        let Election::Leader(leader) = &self.election else {
            return None;
        };
        let acked = |disk| match leader.progress.get(&disk) {
            _ if disk == self.disk => leader.round,
            Some(progress) => progress.acked_round,
            None => 0,
        };
        Some((self.members.majority_value(acked), leader.first_index))
    }

    /// Adds and removes progress entries, so that there is one for each other
    /// member.
    fn sync_progress(&mut self, now: Instant) {
        let next_index = self.log.last_index() + 1;
        let Election::Leader(leader) = &mut self.election else {
            return;
        };
        let members = &self.members;
        leader
            .progress
            .retain(|disk, _| members.get(*disk).is_some());
        for (disk, _) in members.iter().filter(|(disk, _)| *disk != self.disk) {
            leader.progress.entry(disk).or_insert(Progress {
                next_index,
                match_index: 0,
                acked_round: 0,
                last_contact_at: now,
                snapshot_sent_at: None,
            });
        }
    }

    fn replicate_all(&mut self, heartbeat: bool, now: Instant) {
        let Election::Leader(leader) = &self.election else {
            return;
        };
        let disks: Vec<DiskId> = leader.progress.keys().copied().collect();
        for disk in disks {
            self.replicate(disk, heartbeat, now);
        }
    }

    /// Sends the next entries, or the snapshot if they are compacted. Without
    /// either, sends an empty message if `heartbeat` is set.
    fn replicate(&mut self, to: DiskId, heartbeat: bool, now: Instant) {
        let Election::Leader(leader) = &mut self.election else {
            return;
        };
        let round = leader.round;
        let to_learner = !self.members.is_voter(to);
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let mut prev_index = progress.next_index - 1;
        let mut entries = Vec::new();
        if prev_index >= self.log.base_index() {
            entries =
                self.log
                    .entries_from(progress.next_index, APPEND_MAX_ENTRIES, APPEND_MAX_BYTES);
            progress.next_index += entries.len() as u64;
        } else if let Some(snapshot) = &self.snapshot {
            let retry = self.settings.timing.snapshot_retry_interval();
            let sent = |at: Instant| now.saturating_duration_since(at) < retry;
            if !progress.snapshot_sent_at.is_some_and(sent) {
                progress.snapshot_sent_at = Some(now);
                let snapshot = Arc::clone(snapshot);
                let install = Install {
                    round,
                    to_learner,
                    snapshot,
                };
                return self.send(to, Body::Install(install));
            }
            // Only heartbeats until the snapshot is acknowledged or sent again.
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

    /// Time since the start of the latest round that `disk` has responded to, in
    /// milliseconds; `None` if this replica isn't the leader or `disk` isn't
    /// another member.
    pub(super) fn last_contact_ms(&self, disk: DiskId, now: Instant) -> Option<u64> {
        let Election::Leader(leader) = &self.election else {
            return None;
        };
        let progress = leader.progress.get(&disk)?;
        Some(as_ms(
            now.saturating_duration_since(progress.last_contact_at),
        ))
    }
}
