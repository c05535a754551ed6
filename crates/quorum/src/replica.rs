//! One replica of a group: the decisions, without sockets, files or threads.
//!
//! The caller feeds it with [`Replica::receive`], [`Replica::tick`],
//! [`Replica::propose`] and [`Replica::read`], stores what
//! [`Replica::take_batch`] hands out, reports that with [`Replica::stored`],
//! and carries away messages and outcomes.

mod append;
mod apply;
mod election;
mod join;
mod leader;
mod output;
mod status;
mod waiters;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use world::{Error, Kind, MachineName, Result};

use crate::log::Log;
use crate::machine::Machine;
use crate::members::Members;
use crate::message::{Body, DiskId, Envelope, Payload};
use crate::record::{HardState, Snapshot, Stored};
use crate::settings::Settings;

use leader::Leader;
use output::Output;
pub use output::{Batch, Done, Outcome, Ticket};
pub use status::{MemberStatus, ReplicaStatus, Standing};
use waiters::Waiters;

/// Most entries in one message.
pub const APPEND_MAX_ENTRIES: usize = 256;

/// Bytes of commands after which a message takes no more entries.
pub const APPEND_MAX_BYTES: usize = 1 << 20;

/// Longest command in bytes.
pub const COMMAND_MAX_BYTES: usize = 8 << 20;

/// Most proposals and reads that may wait at one replica.
pub const WAITERS_MAX: usize = 10_000;

/// A learner this many entries behind, or fewer, counts as caught up.
pub const NEAR_ENTRIES: u64 = 64;

/// First election timeout after a start, relative to the usual one. Links
/// between regions open in four round trips of 110 ms, and a candidate whose
/// requests wait for that meets all the others.
const FIRST_ELECTION: f64 = 0.7;

/// Added to that for each voter before this one in the order of disks: twice
/// the way between regions, so that the one before is heard of first.
const ELECTION_STEP: f64 = 0.12;

#[derive(Debug)]
enum Part {
    Follower,
    PreCandidate(BTreeSet<DiskId>),
    Candidate(BTreeSet<DiskId>),
    Leader(Leader),
}

/// One replica.
#[derive(Debug)]
pub struct Replica<M: Machine> {
    settings: Settings,
    disk: DiskId,
    machine: M,
    state: HardState,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    members: Members,
    members_index: u64,
    commit: u64,
    applied: u64,
    part: Part,
    leader: Option<DiskId>,
    leader_heard_at: Option<Instant>,
    election_at: Instant,
    hello_at: Instant,
    pledged: BTreeMap<MachineName, DiskId>,
    rng: StdRng,
    waiters: Waiters,
    output: Output<M::Output>,
}

impl<M: Machine> Replica<M> {
    /// A replica that goes on from what its disk holds.
    ///
    /// # Errors
    /// The machine's error when it can't restore the stored snapshot.
    pub fn new(settings: Settings, stored: Stored, mut machine: M, now: Instant) -> Result<Self> {
        let base = stored
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.index, s.term));
        if let Some(snapshot) = &stored.snapshot {
            machine.restore(&snapshot.state)?;
        }
        let mut log = Log::new(base.0, base.1);
        for entry in stored.entries {
            log.push(entry);
        }
        let rng = StdRng::seed_from_u64(settings.seed ^ stored.disk.0);
        let mut replica = Self {
            settings,
            disk: stored.disk,
            machine,
            state: stored.state,
            output: Output::new(log.last_index()),
            log,
            snapshot: stored.snapshot,
            members: Members::default(),
            members_index: 0,
            commit: base.0,
            applied: base.0,
            part: Part::Follower,
            leader: None,
            leader_heard_at: None,
            election_at: now,
            hello_at: now,
            pledged: BTreeMap::new(),
            rng,
            waiters: Waiters::default(),
        };
        replica.refresh_members();
        replica.election_at = now + replica.first_election();
        if replica.members.majority(|disk| disk == replica.disk) {
            replica.election_at = now;
        }
        Ok(replica)
    }

    /// Where a leader lives, the others refuse the pre-vote; where all were
    /// stopped together, one after the other tries.
    fn first_election(&self) -> Duration {
        let before = self.members.voters().take_while(|disk| *disk < self.disk);
        let before = f64::from(u32::try_from(before.count()).unwrap_or(u32::MAX));
        let factor = FIRST_ELECTION + ELECTION_STEP * before;
        self.settings.timing.election().mul_f64(factor)
    }

    /// Passes on the time: timeouts, heartbeats, elections.
    pub fn tick(&mut self, now: Instant) {
        self.check_quorum(now);
        self.expire(now);
        if self.is_fresh() {
            self.say_hello(now);
        } else if matches!(self.part, Part::Leader(_)) {
            self.beat(now);
        } else if now >= self.election_at {
            self.start_pre_vote(now);
            if self.settings.open.is_some() {
                self.say_hello(now);
            }
        }
        self.settle(now);
    }

    /// Takes in a message.
    pub fn receive(&mut self, envelope: Envelope, now: Instant) {
        self.check_quorum(now);
        self.step(envelope, now);
        self.settle(now);
    }

    /// Proposes a command; its outcome comes later under the ticket.
    ///
    /// # Errors
    /// The command was not accepted: [`Kind::NotLeader`], [`Kind::TooLarge`]
    /// or [`Kind::Overloaded`].
    pub fn propose(&mut self, command: &[u8], now: Instant) -> Result<Ticket> {
        self.check_quorum(now);
        if command.len() > COMMAND_MAX_BYTES {
            let text = format!("command of {} bytes", command.len());
            return Err(Error::new(Kind::TooLarge, text));
        }
        self.accepts()?;
        let ticket = self.append_own(Payload::Command(command.into()), now);
        self.settle(now);
        Ok(ticket)
    }

    /// Asks for a point in time at which this replica led and its machine had
    /// applied all that was committed; its outcome comes later under the ticket.
    ///
    /// # Errors
    /// [`Kind::NotLeader`] or [`Kind::Overloaded`].
    pub fn read(&mut self, now: Instant) -> Result<Ticket> {
        self.check_quorum(now);
        self.accepts()?;
        let ticket = self.start_read(now);
        self.settle(now);
        Ok(ticket)
    }

    /// The state machine as far as it is applied.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Machine that leads, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<&MachineName> {
        let member = self.members.get(self.leader?)?;
        Some(&member.name)
    }

    /// Whether this replica leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.part, Part::Leader(_))
    }

    /// Current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.state.term
    }

    /// Index up to which the machine has applied the log.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Identity of this replica's disk.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Whether this replica has never taken part in a group.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.log.last_index() == 0
    }

    fn accepts(&self) -> Result<()> {
        if !self.is_leader() {
            return Err(self.not_leader());
        }
        if self.waiters.len() >= WAITERS_MAX {
            return Err(Error::new(Kind::Overloaded, "too many proposals wait"));
        }
        Ok(())
    }

    fn not_leader(&self) -> Error {
        let text = match self.leader() {
            Some(name) => format!("{name} leads"),
            None => "no leader is known".into(),
        };
        Error::new(Kind::NotLeader, text)
    }

    fn step(&mut self, envelope: Envelope, now: Instant) {
        if envelope.to.is_some_and(|disk| disk != self.disk) {
            return;
        }
        match envelope.body {
            Body::Hello => return self.on_hello(&envelope, now),
            Body::Pledge => return self.on_pledge(&envelope, now),
            _ => {}
        }
        if !self.joins(&envelope) {
            return;
        }
        if envelope.term > self.state.term {
            if matches!(envelope.body, Body::Vote(_)) && self.hears_leader(now) {
                return;
            }
            self.follow(envelope.term, None);
        }
        if envelope.term < self.state.term {
            return self.refuse_old_term(&envelope);
        }
        let Envelope { from, body, .. } = envelope;
        match body {
            Body::Hello | Body::Pledge => {}
            Body::PreVote(request) => self.on_pre_vote(&from, request, now),
            Body::PreVoteReply(reply) => self.on_pre_vote_reply(from.disk, reply, now),
            Body::Vote(request) => self.on_vote(&from, request, now),
            Body::VoteReply(reply) => self.on_vote_reply(from.disk, reply, now),
            Body::Append(append) => self.on_append(&from, append, now),
            Body::Install(install) => self.on_install(&from, install, now),
            Body::AppendReply(reply) => self.on_append_reply(from.disk, reply, now),
        }
    }

    /// Advances commit index, machine and reads as far as they go.
    fn settle(&mut self, now: Instant) {
        self.advance_commit();
        self.apply_committed();
        self.confirm_reads();
        self.promote_learner(now);
        self.retire_voter(now);
    }

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
