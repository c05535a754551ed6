//! Simulation of a group in one process: simulated time, network and disks, with
//! faults. The seed determines all random choices.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

mod check;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quorum::{
    Batch, DiskId, Envelope, Replica, ReplicaStatus, Settings, StateMachine, Stored, Ticket,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use world::{Error, ErrorKind, MachineName, Result};

/// Simulated time that passes in one step.
pub const STEP: Duration = Duration::from_millis(5);

/// State machine that records the index and number of every command in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal(pub Vec<(u64, u64)>);

impl StateMachine for Journal {
    type Output = usize;

    fn apply(&mut self, index: u64, command: &[u8]) -> usize {
        let number = u64::from_le_bytes(command.try_into().expect("eight bytes"));
        self.0.push((index, number));
        self.0.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(&self.0).expect("snapshot")
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        let rows = serde_json::from_slice(bytes);
        self.0 = rows.map_err(|e| Error::new(ErrorKind::Damaged, e.to_string()))?;
        Ok(())
    }
}

/// Whether a disk takes writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiskState {
    Works,
    /// Refuses the next write.
    Full,
    /// A write has failed, and the disk has not been read back.
    Failed,
}

/// A machine of the simulation: a replica and its disk.
pub struct Node {
    pub name: MachineName,
    /// `None` after a crash.
    pub replica: Option<Replica<Journal>>,
    pub disk: Stored,
    /// A frozen replica does nothing, but its messages queue up.
    pub frozen: bool,
    /// Gone for good.
    pub removed: bool,
    pub disk_state: DiskState,
    /// Batch that is being stored, and when it is durable.
    storing: Option<(Instant, Batch)>,
    /// Number of syncs started so far.
    pub syncs: usize,
    /// Crash after this many syncs were started, and whether the last one is durable.
    pub crash_at_sync: Option<(usize, bool)>,
    inbox: Vec<Envelope>,
    /// Number of commands already compared with those of the other replicas.
    checked: usize,
}

impl Node {
    /// Whether the replica, if it runs, takes part in the group.
    pub fn takes_steps(&self) -> bool {
        !self.frozen && self.disk_state != DiskState::Failed
    }
}

/// Outcome of a command, as far as its client knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientOutcome {
    Waiting,
    Accepted,
    NotAccepted,
    Unknown,
}

/// A read in progress.
pub struct Read {
    /// Commands accepted before the read; it must observe all of them.
    pub accepted_before: Vec<u64>,
}

pub struct Sim {
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub rng: StdRng,
    /// Messages in transit, with the time of their arrival.
    queue: Vec<(Instant, Envelope)>,
    /// Pairs of sender and receiver between which messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Probability that a message arrives twice.
    pub duplicate_rate: f64,
    /// Maximum network delay.
    pub delay_ms: u64,
    /// Maximum duration of a sync.
    pub sync_ms: u64,
    /// Leader by term.
    pub leaders: BTreeMap<u64, DiskId>,
    /// Number of the applied command by index.
    pub applied: BTreeMap<u64, u64>,
    /// Outcome by number of the command.
    pub commands: BTreeMap<u64, ClientOutcome>,
    /// Numbers of the commands that wait for an outcome.
    waiting: BTreeMap<(DiskId, Ticket), u64>,
    reads: BTreeMap<(DiskId, Ticket), Read>,
    pub reads_done: usize,
    /// Adjusts the settings of each replica.
    settings: fn(Settings) -> Settings,
    /// Number of starts of any replica; the seed of the latest.
    starts: u64,
    /// Whether replicas that start may bootstrap the group.
    pub may_bootstrap: bool,
}

/// Name of the machine with this position: c1, c2 and so on.
pub fn name(at: usize) -> MachineName {
    MachineName::new(&format!("c{}", at + 1)).expect("name")
}

impl Sim {
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_settings(count, seed, |s| s)
    }

    pub fn with_settings(count: usize, seed: u64, settings: fn(Settings) -> Settings) -> Self {
        let mut sim = Self {
            nodes: Vec::new(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            queue: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_ms: 10,
            sync_ms: 5,
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            commands: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            reads_done: 0,
            settings,
            starts: 0,
            may_bootstrap: true,
        };
        for _ in 0..count {
            sim.add_node();
        }
        for at in 0..count {
            sim.start(at);
        }
        sim
    }

    /// Adds a machine with a new disk, which doesn't run yet; returns its position.
    fn add_node(&mut self) -> usize {
        let at = self.nodes.len();
        let disk = Stored::new(DiskId(self.rng.random()));
        self.nodes.push(Node {
            name: name(at),
            replica: None,
            disk,
            frozen: false,
            removed: false,
            disk_state: DiskState::Works,
            storing: None,
            syncs: 0,
            crash_at_sync: None,
            inbox: Vec::new(),
            checked: 0,
        });
        at
    }

    /// Starts a machine with another name and a new disk in place of one that is gone;
    /// returns its position.
    pub fn start_successor(&mut self, of: usize) -> usize {
        self.nodes[of].removed = true;
        let at = self.add_node();
        self.start(at);
        at
    }

    /// Starts a replica on its disk.
    pub fn start(&mut self, at: usize) {
        self.starts += 1;
        let names = self.nodes.iter().map(|n| n.name.clone()).collect();
        let settings = Settings::new(self.nodes[at].name.clone(), names, self.starts);
        let mut settings = (self.settings)(settings);
        settings.may_bootstrap &= self.may_bootstrap;
        let disk = self.nodes[at].disk.clone();
        let replica = Replica::new(settings, disk, Journal::default(), self.now);
        self.nodes[at].replica = Some(replica.expect("restore"));
        self.nodes[at].checked = 0;
    }

    /// Crashes a replica. The batch being stored is at random durable or lost.
    pub fn crash(&mut self, at: usize) {
        let durable = self.rng.random_bool(0.5);
        self.crash_with(at, durable);
    }

    /// Crashes a replica. `durable` decides whether the batch being stored is kept.
    pub fn crash_with(&mut self, at: usize, durable: bool) {
        let node = &mut self.nodes[at];
        node.replica = None;
        node.frozen = false;
        if node.disk_state == DiskState::Failed {
            node.disk_state = DiskState::Full;
        }
        node.inbox.clear();
        if let Some((_, batch)) = node.storing.take().filter(|_| durable) {
            batch.records.into_iter().for_each(|r| node.disk.replay(r));
        }
    }

    /// Crashes a replica and starts it again on a new disk.
    pub fn lose_disk(&mut self, at: usize) {
        self.crash_with(at, false);
        self.nodes[at].disk = Stored::new(DiskId(self.rng.random()));
        self.start(at);
    }

    /// Lets a disk refuse its next write.
    pub fn fill_disk(&mut self, at: usize) {
        let state = &mut self.nodes[at].disk_state;
        if *state == DiskState::Works {
            *state = DiskState::Full;
        }
    }

    /// Lets a disk that was full take writes again. Its replica goes on from what it
    /// holds.
    pub fn empty_disk(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        node.inbox.clear();
        let before = std::mem::replace(&mut node.disk_state, DiskState::Works);
        if before == DiskState::Failed
            && let Some(replica) = &mut node.replica
        {
            replica.recover(node.disk.clone(), now);
        }
    }

    /// Blocks all links of a machine.
    pub fn isolate(&mut self, at: usize) {
        for other in 0..self.nodes.len() {
            self.blocked_links.insert((at, other));
            self.blocked_links.insert((other, at));
        }
    }

    /// Position of the leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| {
            let replica = self.nodes[*at].replica.as_ref();
            self.nodes[*at].takes_steps() && replica.is_some_and(Replica::is_leader)
        };
        let term = |at: &usize| self.status(*at).map_or(0, |s| s.term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    pub fn status(&self, at: usize) -> Option<ReplicaStatus> {
        let replica = self.nodes[at].replica.as_ref()?;
        Some(replica.status(self.now))
    }

    pub fn journal(&self, at: usize) -> &Journal {
        self.nodes[at]
            .replica
            .as_ref()
            .expect("running")
            .state_machine()
    }

    /// Proposes the next command at a replica.
    pub fn propose(&mut self, at: usize) -> Result<u64> {
        let number = self.commands.len() as u64 + 1;
        let node = &mut self.nodes[at];
        let Some(replica) = node
            .replica
            .as_mut()
            .filter(|_| !node.frozen && node.disk_state != DiskState::Failed)
        else {
            return Err(Error::new(ErrorKind::Unreachable, "not running"));
        };
        let result = replica.propose(&number.to_le_bytes(), self.now);
        let disk = replica.disk();
        let client_outcome = match &result {
            Ok(_) => ClientOutcome::Waiting,
            Err(_) => ClientOutcome::NotAccepted,
        };
        self.commands.insert(number, client_outcome);
        let ticket = result?;
        self.waiting.insert((disk, ticket), number);
        self.process_output(at);
        Ok(number)
    }

    /// Starts a read at a replica.
    pub fn read(&mut self, at: usize) -> Result<()> {
        let node = &mut self.nodes[at];
        let Some(replica) = node
            .replica
            .as_mut()
            .filter(|_| !node.frozen && node.disk_state != DiskState::Failed)
        else {
            return Err(Error::new(ErrorKind::Unreachable, "not running"));
        };
        let ticket = replica.read(self.now)?;
        let disk = replica.disk();
        let accepted_before = self.accepted();
        self.reads.insert((disk, ticket), Read { accepted_before });
        self.process_output(at);
        Ok(())
    }

    /// Numbers of the accepted commands.
    pub fn accepted(&self) -> Vec<u64> {
        let rows = self.commands.iter();
        rows.filter(|(_, outcome)| **outcome == ClientOutcome::Accepted)
            .map(|(n, _)| *n)
            .collect()
    }

    /// Runs until `done` holds; panics if it doesn't within `limit_ms` of simulated
    /// time.
    pub fn run_until(&mut self, what: &str, limit_ms: u64, done: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_millis(limit_ms);
        while !done(self) {
            assert!(self.now < end, "not within {limit_ms} ms: {what}");
            self.step();
        }
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulated time by [`STEP`] and checks the group.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.nodes.len() {
            self.finish_sync(at);
            let now = self.now;
            let node = &mut self.nodes[at];
            if !node.takes_steps() {
                continue;
            }
            if let Some(replica) = node.replica.as_mut() {
                for envelope in std::mem::take(&mut node.inbox) {
                    replica.receive(envelope, now);
                }
                replica.tick(now);
            }
            self.process_output(at);
        }
        self.check();
    }

    /// Moves the messages that have arrived to the inboxes of running replicas.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.queue = later;
        for (_, envelope) in due {
            let is_target = |n: &&mut Node| n.name == envelope.to_name;
            let Some(node) = self.nodes.iter_mut().find(is_target) else {
                continue;
            };
            if node.replica.is_some() {
                node.inbox.push(envelope);
            }
        }
    }

    /// Makes the batch durable whose sync has ended, also on a frozen machine's disk.
    fn finish_sync(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some((_, batch)) = node.storing.take_if(|(due, _)| *due <= now) else {
            return;
        };
        let seq = batch.seq;
        batch.records.into_iter().for_each(|r| node.disk.replay(r));
        if let Some(replica) = &mut node.replica {
            replica.stored(seq, now);
        }
    }

    /// Processes the outputs of a replica: starts to store a batch, sends messages
    /// and records outcomes. Then crashes it if `crash_at_sync` is reached.
    fn process_output(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let disk = replica.disk();
        let messages = replica.take_messages();
        let outcomes = replica.take_outcomes();
        if node.storing.is_none()
            && let Some(batch) = replica.take_batch()
        {
            if node.disk_state == DiskState::Full {
                node.disk_state = DiskState::Failed;
                return;
            }
            node.syncs += 1;
            let sync = self.rng.random_range(1..=self.sync_ms);
            let due = self.now + Duration::from_millis(sync);
            node.storing = Some((due, batch));
        }
        for envelope in messages {
            self.send_message(at, &envelope);
        }
        for outcome in outcomes {
            self.record_outcome(at, disk, outcome);
        }
        let crash = self.nodes[at].crash_at_sync;
        if let Some((syncs, durable)) = crash
            && self.nodes[at].syncs >= syncs
        {
            self.nodes[at].crash_at_sync = None;
            self.crash_with(at, durable);
        }
    }

    /// Puts a message in transit, unless it is lost.
    fn send_message(&mut self, from: usize, envelope: &Envelope) {
        let to = self.nodes.iter().position(|n| n.name == envelope.to_name);
        let to = to.expect("a known machine");
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicate_rate));
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.delay_ms);
            let due = self.now + Duration::from_millis(delay);
            self.queue.push((due, envelope.clone()));
        }
    }
}
