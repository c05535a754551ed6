//! A small in-memory network of replicas with faults, for tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod check;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quorum::{Batch, DiskId, Envelope, Machine, Replica, ReplicaStatus, Settings, Stored, Ticket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use world::{Error, Kind, MachineName, Result};

/// Length of one step of the simulated time.
pub const STEP: Duration = Duration::from_millis(5);

/// Keeps every command in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal(pub Vec<(u64, u64)>);

impl Machine for Journal {
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
        self.0 = rows.map_err(|e| Error::new(Kind::Damaged, e.to_string()))?;
        Ok(())
    }
}

/// A replica with its disk. Dropping the replica is a crash.
pub struct Node {
    pub name: MachineName,
    pub replica: Option<Replica<Journal>>,
    pub disk: Stored,
    pub frozen: bool,
    storing: Option<(Instant, Batch)>,
    pub syncs: usize,
    /// Crash when this many syncs were begun; whether that last one is durable.
    pub crash_at_sync: Option<(usize, bool)>,
    inbox: Vec<Envelope>,
    /// Commands that were compared with those of the other replicas.
    checked: usize,
}

/// What a client has heard of its command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    Waiting,
    Accepted,
    NotAccepted,
    Unknown,
}

pub struct Read {
    pub acked_before: Vec<u64>,
}

pub struct Sim {
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub rng: StdRng,
    queue: Vec<(Instant, Envelope)>,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub duplicate: f64,
    pub delay_ms: u64,
    pub sync_ms: u64,
    pub leaders: BTreeMap<u64, DiskId>,
    pub applied: BTreeMap<u64, u64>,
    pub commands: BTreeMap<u64, Heard>,
    waiting: BTreeMap<(DiskId, Ticket), u64>,
    reads: BTreeMap<(DiskId, Ticket), Read>,
    pub reads_done: usize,
    settings: fn(Settings) -> Settings,
    starts: u64,
}

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
            cut: BTreeSet::new(),
            loss: 0.0,
            duplicate: 0.0,
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
        };
        for at in 0..count {
            let disk = Stored::new(DiskId(sim.rng.random()));
            sim.nodes.push(Node {
                name: name(at),
                replica: None,
                disk,
                frozen: false,
                storing: None,
                syncs: 0,
                crash_at_sync: None,
                inbox: Vec::new(),
                checked: 0,
            });
        }
        for at in 0..count {
            sim.start(at);
        }
        sim
    }

    pub fn start(&mut self, at: usize) {
        self.starts += 1;
        let names = self.nodes.iter().map(|n| n.name.clone()).collect();
        let settings = Settings::new(self.nodes[at].name.clone(), names, self.starts);
        let settings = (self.settings)(settings);
        let disk = self.nodes[at].disk.clone();
        let replica = Replica::new(settings, disk, Journal::default(), self.now);
        self.nodes[at].replica = Some(replica.expect("restore"));
        self.nodes[at].checked = 0;
    }

    /// Ends the process; a batch under way is durable or lost as a whole.
    pub fn crash(&mut self, at: usize) {
        let kept = self.rng.random_bool(0.5);
        self.crash_with(at, kept);
    }

    pub fn crash_with(&mut self, at: usize, kept: bool) {
        let node = &mut self.nodes[at];
        node.replica = None;
        node.frozen = false;
        node.inbox.clear();
        if let Some((_, batch)) = node.storing.take().filter(|_| kept) {
            batch.records.into_iter().for_each(|r| node.disk.replay(r));
        }
    }

    /// The machine comes back with an empty disk.
    pub fn lose_disk(&mut self, at: usize) {
        self.crash_with(at, false);
        self.nodes[at].disk = Stored::new(DiskId(self.rng.random()));
        self.start(at);
    }

    pub fn cut_off(&mut self, at: usize) {
        for other in 0..self.nodes.len() {
            self.cut.insert((at, other));
            self.cut.insert((other, at));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| {
            let replica = self.nodes[*at].replica.as_ref();
            !self.nodes[*at].frozen && replica.is_some_and(Replica::is_leader)
        };
        let term = |at: &usize| self.status(*at).map_or(0, |s| s.term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    pub fn status(&self, at: usize) -> Option<ReplicaStatus> {
        let replica = self.nodes[at].replica.as_ref()?;
        Some(replica.status(self.now))
    }

    pub fn journal(&self, at: usize) -> &Journal {
        self.nodes[at].replica.as_ref().expect("running").machine()
    }

    /// Proposes the next command at a replica.
    pub fn propose(&mut self, at: usize) -> Result<u64> {
        let number = self.commands.len() as u64 + 1;
        let node = &mut self.nodes[at];
        let Some(replica) = node.replica.as_mut().filter(|_| !node.frozen) else {
            return Err(Error::new(Kind::Unreachable, "not running"));
        };
        let result = replica.propose(&number.to_le_bytes(), self.now);
        let disk = replica.disk();
        let heard = match &result {
            Ok(_) => Heard::Waiting,
            Err(_) => Heard::NotAccepted,
        };
        self.commands.insert(number, heard);
        let ticket = result?;
        self.waiting.insert((disk, ticket), number);
        self.carry(at);
        Ok(number)
    }

    pub fn read(&mut self, at: usize) -> Result<()> {
        let node = &mut self.nodes[at];
        let Some(replica) = node.replica.as_mut().filter(|_| !node.frozen) else {
            return Err(Error::new(Kind::Unreachable, "not running"));
        };
        let ticket = replica.read(self.now)?;
        let disk = replica.disk();
        let acked_before = self.accepted();
        self.reads.insert((disk, ticket), Read { acked_before });
        self.carry(at);
        Ok(())
    }

    pub fn accepted(&self) -> Vec<u64> {
        let rows = self.commands.iter();
        rows.filter(|(_, h)| **h == Heard::Accepted)
            .map(|(n, _)| *n)
            .collect()
    }

    /// Runs until `done` holds; panics when it doesn't within `limit_ms`.
    pub fn until(&mut self, what: &str, limit_ms: u64, done: impl Fn(&Self) -> bool) {
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

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.nodes.len() {
            self.finish_sync(at);
            let now = self.now;
            let node = &mut self.nodes[at];
            if node.frozen {
                continue;
            }
            if let Some(replica) = node.replica.as_mut() {
                for envelope in std::mem::take(&mut node.inbox) {
                    replica.receive(envelope, now);
                }
                replica.tick(now);
            }
            self.carry(at);
        }
        self.check();
    }

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

    /// Carries away what a replica hands out.
    fn carry(&mut self, at: usize) {
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
            node.syncs += 1;
            let sync = self.rng.random_range(1..=self.sync_ms);
            let due = self.now + Duration::from_millis(sync);
            node.storing = Some((due, batch));
        }
        for envelope in messages {
            self.post(at, &envelope);
        }
        for outcome in outcomes {
            self.hear(at, disk, outcome);
        }
        let crash = self.nodes[at].crash_at_sync;
        if let Some((syncs, kept)) = crash
            && self.nodes[at].syncs >= syncs
        {
            self.nodes[at].crash_at_sync = None;
            self.crash_with(at, kept);
        }
    }

    fn post(&mut self, from: usize, envelope: &Envelope) {
        let to = self.nodes.iter().position(|n| n.name == envelope.to_name);
        let to = to.expect("a known machine");
        if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicate));
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.delay_ms);
            let due = self.now + Duration::from_millis(delay);
            self.queue.push((due, envelope.clone()));
        }
    }
}
