//! One replica of a group: the protocol, without sockets, files or threads.
//!
//! The driver calls [`Replica::receive`], [`Replica::tick`],
//! [`Replica::propose`] and [`Replica::read`]. It stores the records of
//! [`Replica::take_batch`] and confirms them with [`Replica::stored`]. After
//! each call it sends the messages of [`Replica::take_messages`] and delivers
//! the results of [`Replica::take_outcomes`].

mod append;
mod apply;
mod election;
mod join;
mod leader;
mod membership;
mod output;
mod status;
mod waiters;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use world::{Error, ErrorKind, MachineName, Result};

use crate::log::Log;
use crate::members::Members;
use crate::message::{Body, DiskId, Envelope, Payload};
use crate::record::{HardState, Snapshot, Stored};
use crate::settings::Settings;
use crate::state_machine::StateMachine;

use leader::Leader;
use output::Output;
pub use output::{Batch, Done, Outcome, Ticket};
pub use status::{ElectionState, MemberStatus, ReplicaStatus};
use waiters::Waiters;

/// Maximum number of entries in one `Append` message.
pub const APPEND_MAX_ENTRIES: usize = 256;

/// Total length of the commands, in bytes, after which no further entry is
/// added to an `Append` message.
pub const APPEND_MAX_BYTES: usize = 1 << 20;

/// Maximum length of a command in bytes.
pub const COMMAND_MAX_BYTES: usize = 8 << 20;

/// Maximum number of proposals and reads that wait for an outcome at one replica.
pub const WAITERS_MAX: usize = 10_000;

/// A member counts as caught up if it lacks at most this many committed entries.
pub const CAUGHT_UP_LAG_ENTRIES: u64 = 64;

/// First election timeout after a start, as a factor of the minimum election
/// timeout. It is below the minimum so that the first pre-vote opens the links to the
/// other voters early, which takes four round trips of 110 ms between regions: if a
/// candidate's requests had to wait for that, the other replicas would become
/// candidates in the meantime.
const FIRST_ELECTION_FACTOR: f64 = 0.7;

/// Added to [`FIRST_ELECTION_FACTOR`] for each voter before this one in the
/// order of disks. It is twice the network delay between regions, so that the
/// pre-vote request of the earlier voter arrives before this replica's timeout.
const FIRST_ELECTION_STEP: f64 = 0.12;

/// State of the election, with the disks that have granted their vote to this
/// replica.
#[derive(Debug)]
enum Election {
    Follower,
    PreCandidate(BTreeSet<DiskId>),
    Candidate(BTreeSet<DiskId>),
    Leader(Leader),
}

/// The protocol state, log and state machine of one replica of a group.
#[derive(Debug)]
pub struct Replica<M: StateMachine> {
    settings: Settings,
    disk: DiskId,
    state_machine: M,
    state: HardState,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    /// Latest members in the log, whether committed or not.
    members: Members,
    /// Index of the entry or snapshot that set `members`.
    members_index: u64,
    /// Commit index.
    commit: u64,
    /// Index of the last entry that the state machine has applied.
    applied: u64,
    /// Length of the commands applied since the last snapshot, in bytes.
    applied_bytes: usize,
    election: Election,
    leader: Option<DiskId>,
    /// When the last message from a leader arrived.
    leader_contact_at: Option<Instant>,
    /// When the election timeout expires.
    election_at: Instant,
    next_hello_at: Instant,
    /// Disks that may be initial members, including this one; kept by the
    /// bootstrap machine.
    bootstrap_consents: BTreeMap<MachineName, DiskId>,
    rng: StdRng,
    waiters: Waiters,
    output: Output<M::Output>,
}

impl<M: StateMachine> Replica<M> {
    /// Creates a replica from the content of its disk.
    ///
    /// # Errors
    /// The error of the state machine if it can't restore the stored snapshot.
    pub fn new(
        settings: Settings,
        stored: Stored,
        mut state_machine: M,
        now: Instant,
    ) -> Result<Self> {
        if let Some(snapshot) = &stored.snapshot {
            state_machine.restore(&snapshot.state)?;
        }
        let rng = StdRng::seed_from_u64(settings.seed ^ stored.disk.0);
        let mut replica = Self {
            settings,
            disk: stored.disk,
            state_machine,
            state: HardState::default(),
            output: Output::new(0),
            log: Log::default(),
            snapshot: None,
            members: Members::default(),
            members_index: 0,
            commit: 0,
            applied: 0,
            applied_bytes: 0,
            election: Election::Follower,
            leader: None,
            leader_contact_at: None,
            election_at: now,
            next_hello_at: now,
            bootstrap_consents: BTreeMap::new(),
            rng,
            waiters: Waiters::default(),
        };
        replica.recover(stored, now);
        Ok(replica)
    }

    /// Continues with the content of the disk, as after a restart: entries, terms and
    /// votes that are not on the disk are forgotten, and so are the proposals and reads
    /// in progress. The state machine keeps what it has applied, which is committed.
    pub fn recover(&mut self, stored: Stored, now: Instant) {
        let base = stored
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.index, s.term));
        self.log = Log::new(base.0, base.1);
        for entry in stored.entries {
            self.log.push(entry);
        }
        self.output = Output::new(self.log.last_index());
        self.waiters = Waiters::default();
        self.state = stored.state;
        self.snapshot = stored.snapshot;
        // The entries after the snapshot may differ from the committed ones.
        self.commit = base.0;
        self.applied = self.applied.max(base.0);
        self.applied_bytes = 0;
        self.election = Election::Follower;
        self.leader = None;
        self.leader_contact_at = None;
        self.refresh_members();
        self.election_at = now + self.first_election_timeout();
        if self.members.has_majority(|disk| disk == self.disk) {
            self.election_at = now;
        }
    }

    /// Election timeout after a start. It increases with the position among the
    /// voters, so that after a stop of the whole group they start their elections
    /// one after the other. It may be below the usual minimum, since the other
    /// replicas refuse the pre-vote as long as there is a leader.
    fn first_election_timeout(&self) -> Duration {
        let before = self.members.voters().take_while(|disk| *disk < self.disk);
        let before = f64::from(u32::try_from(before.count()).unwrap_or(u32::MAX));
        let factor = FIRST_ELECTION_FACTOR + FIRST_ELECTION_STEP * before;
        self.settings.timing.min_election_timeout().mul_f64(factor)
    }

    /// Checks all timers: steps down without contact to a majority, expires proposals and
    /// reads, sends `Hello` messages and heartbeats, starts elections.
    pub fn tick(&mut self, now: Instant) {
        self.check_quorum(now);
        self.expire_waiters(now);
        if self.has_empty_log() {
            self.send_hellos(now);
        } else if matches!(self.election, Election::Leader(_)) {
            self.send_heartbeats(now);
        } else if now >= self.election_at {
            self.start_pre_vote(now);
            if self.settings.open_membership.is_some() {
                self.send_hellos(now);
            }
        }
        self.advance(now);
    }

    /// Processes a message from another replica.
    pub fn receive(&mut self, envelope: Envelope, now: Instant) {
        self.check_quorum(now);
        self.step(envelope, now);
        self.advance(now);
    }

    /// Proposes a command. Its outcome is returned later by
    /// [`Replica::take_outcomes`] with the same ticket.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`], [`ErrorKind::TooLarge`] or [`ErrorKind::Overloaded`]; in each
    /// case the command was not appended to the log.
    pub fn propose(&mut self, command: &[u8], now: Instant) -> Result<Ticket> {
        self.check_quorum(now);
        if command.len() > COMMAND_MAX_BYTES {
            let text = format!("command of {} bytes", command.len());
            return Err(Error::new(ErrorKind::TooLarge, text));
        }
        self.ensure_accepting()?;
        let ticket = self.append_own(Payload::Command(command.into()), now);
        self.advance(now);
        Ok(ticket)
    }

    /// Starts a linearizable read. Its outcome is returned later by
    /// [`Replica::take_outcomes`] with the same ticket, once this replica is
    /// confirmed to have been leader after this call and the state machine has
    /// applied all entries committed before it.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`] or [`ErrorKind::Overloaded`].
    pub fn read(&mut self, now: Instant) -> Result<Ticket> {
        self.check_quorum(now);
        self.ensure_accepting()?;
        let ticket = self.start_read(now);
        self.advance(now);
        Ok(ticket)
    }

    /// The state machine, with all entries up to [`Replica::applied`].
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// Machine of the leader, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<&MachineName> {
        let member = self.members.get(self.leader?)?;
        Some(&member.name)
    }

    /// Whether this replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.election, Election::Leader(_))
    }

    /// Highest term that this replica has observed.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.state.term
    }

    /// Index of the last entry that the state machine has applied.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Identity of this replica's disk.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Whether the log is empty, as it is until this disk is part of a group.
    #[must_use]
    pub fn has_empty_log(&self) -> bool {
        self.log.last_index() == 0
    }

    /// Fails if this replica can't accept proposals and reads.
    fn ensure_accepting(&self) -> Result<()> {
        if !self.is_leader() {
            return Err(self.not_leader());
        }
        if self.waiters.len() >= WAITERS_MAX {
            return Err(Error::new(ErrorKind::Overloaded, "too many proposals wait"));
        }
        Ok(())
    }

    fn not_leader(&self) -> Error {
        let text = match self.leader() {
            Some(name) => format!("{name} leads"),
            None => "no leader is known".into(),
        };
        Error::new(ErrorKind::NotLeader, text)
    }

    /// Processes a message, without the work that [`Replica::advance`] does.
    fn step(&mut self, envelope: Envelope, now: Instant) {
        if envelope.to.is_some_and(|disk| disk != self.disk) {
            return;
        }
        match envelope.body {
            Body::Hello => return self.on_hello(&envelope, now),
            Body::BootstrapConsent => return self.on_bootstrap_consent(&envelope, now),
            _ => {}
        }
        if !self.match_or_join_group(&envelope) {
            return;
        }
        if envelope.term > self.state.term {
            // A candidate that has lost contact must not depose a working leader.
            if matches!(envelope.body, Body::Vote(_)) && self.has_recent_leader(now) {
                return;
            }
            self.become_follower(envelope.term, None);
        }
        if envelope.term < self.state.term {
            return self.reject_old_term(&envelope);
        }
        let Envelope { from, body, .. } = envelope;
        match body {
            Body::Hello | Body::BootstrapConsent => {}
            Body::PreVote(request) => self.on_pre_vote(&from, request, now),
            Body::PreVoteReply(reply) => self.on_pre_vote_reply(from.disk, reply, now),
            Body::Vote(request) => self.on_vote(&from, request, now),
            Body::VoteReply(reply) => self.on_vote_reply(from.disk, reply, now),
            Body::Append(append) => self.on_append(&from, append, now),
            Body::Install(install) => self.on_install(&from, install, now),
            Body::AppendReply(reply) => self.on_append_reply(from.disk, reply, now),
        }
    }

    /// Advances the commit index, applies committed entries, confirms reads, and
    /// starts changes of members that are due.
    fn advance(&mut self, now: Instant) {
        self.advance_commit();
        self.apply_committed();
        self.confirm_reads();
        self.change_members(now);
    }

    /// Sets `members` from the log, or from the snapshot if no entry in memory
    /// changes them.
    fn refresh_members(&mut self) {
        if let Some((index, members)) = self.log.members() {
            self.members_index = index;
            self.members = members.clone();
        } else if let Some(snapshot) = &self.snapshot {
            self.members_index = snapshot.index;
            self.members = snapshot.members.clone();
        } else {
            self.members_index = 0;
            self.members = Members::default();
        }
    }
}
