//! Measures the commit rate and latency of three replicas with `FileDisk`, that
//! of plain synced writes for comparison, and the time a replica needs to
//! recover from its log.
//!
//! Run with `cargo run --release -p quorum --example commit_rate [FOLDER]`;
//! the folder determines the disk under test. The replicas run on threads of
//! one process and exchange messages over channels, so network delays are not
//! included.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use hdrhistogram::Histogram;
use quorum::{Disk, Envelope, FileDisk, Replica, Settings, StateMachine, Ticket};
use tokio::time::Instant;
use world::unit::as_us;
use world::{MachineName, Result};

const REPLICAS: usize = 3;
const COMMAND_BYTES: usize = 256;
const SYNCS: usize = 500;
const COMMITS: usize = 3_000;
const CONCURRENCY: [usize; 3] = [1, 16, 128];
const LOG_ENTRIES: [u64; 3] = [1_000, 10_000, 100_000];
const ENTRIES_PER_BATCH: u64 = 100;
const TICK: Duration = Duration::from_millis(20);

/// Timeout after which the load is sent again, since the leader may have changed.
const LOAD_WAIT: Duration = Duration::from_secs(20);

/// State machine that only counts the commands.
#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    type Output = u64;

    fn apply(&mut self, _index: u64, _command: &[u8]) -> u64 {
        self.0 += 1;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().into()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        self.0 = bytes.try_into().map_or(0, u64::from_le_bytes);
        Ok(())
    }
}

enum Input {
    Message(Box<Envelope>),
    /// Number of concurrent proposals, and the total number to commit.
    Load(usize, usize),
    Stop,
}

struct Node {
    replica: Replica<Counter>,
    disk: FileDisk,
    peers: Vec<(MachineName, Sender<Input>)>,
    done: Sender<Histogram<u64>>,
    load: Option<Load>,
}

struct Load {
    concurrency: usize,
    left: usize,
    waiting: Vec<(Ticket, Instant)>,
    latencies_us: Histogram<u64>,
}

impl Node {
    fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Handle all inputs that have arrived, so that they share one sync.
            while let Ok(input) = inputs.try_recv() {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.handle(input);
            }
            self.replica.tick(Instant::now());
            self.store_until_idle();
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Message(envelope) => self.replica.receive(*envelope, Instant::now()),
            Input::Load(concurrency, left) if self.replica.is_leader() && self.load.is_none() => {
                let latencies_us = Histogram::new(3).expect("three digits");
                self.load = Some(Load {
                    concurrency,
                    left,
                    waiting: Vec::new(),
                    latencies_us,
                });
            }
            Input::Load(..) | Input::Stop => {}
        }
    }

    /// Stores and proposes until no more proposals complete.
    fn store_until_idle(&mut self) {
        self.store();
        while self.record_completions() {
            self.store();
        }
    }

    fn store(&mut self) {
        self.propose();
        self.send();
        while let Some(batch) = self.replica.take_batch() {
            self.disk.store(&batch.records).expect("stored");
            self.replica.stored(batch.seq, Instant::now());
            self.send();
        }
    }

    fn send(&mut self) {
        for envelope in self.replica.take_messages() {
            let to = self.peers.iter().find(|(n, _)| *n == envelope.to_name);
            if let Some((_, peer)) = to {
                let _ = peer.send(Input::Message(Box::new(envelope)));
            }
        }
    }

    fn propose(&mut self) {
        let Some(load) = &mut self.load else { return };
        while load.waiting.len() < load.concurrency.min(load.left) {
            let now = Instant::now();
            let ticket = self.replica.propose(&[7; COMMAND_BYTES], now);
            load.waiting.push((ticket.expect("leads"), now));
        }
    }

    /// Records the latencies of completed proposals, and reports the load when it is
    /// done. Returns whether any proposal completed.
    fn record_completions(&mut self) -> bool {
        let Some(load) = &mut self.load else {
            return false;
        };
        let before = load.left;
        for outcome in self.replica.take_outcomes() {
            let at = load.waiting.iter().position(|(t, _)| *t == outcome.ticket);
            let Some(at) = at else { continue };
            outcome.result.expect("committed");
            let (_, from) = load.waiting.swap_remove(at);
            load.latencies_us += as_us(from.elapsed());
            load.left -= 1;
        }
        let any = load.left < before;
        if load.left == 0
            && let Some(load) = self.load.take()
        {
            let _ = self.done.send(load.latencies_us);
        }
        any
    }
}

fn name(at: usize) -> MachineName {
    MachineName::new(&format!("c{at}")).expect("name")
}

fn report(label: &str, latencies_us: &Histogram<u64>, took: Duration) {
    #[expect(clippy::cast_precision_loss, reason = "a rate for people")]
    let rate = latencies_us.len() as f64 / took.as_secs_f64();
    let at = |q| latencies_us.value_at_quantile(q);
    println!(
        "{label}: {rate:.0}/s, p50 {} us, p99 {} us",
        at(0.5),
        at(0.99)
    );
}

fn measure_syncs(folder: &Path) {
    let mut file = File::create(folder.join("plain")).expect("file");
    let mut latencies_us = Histogram::new(3).expect("three digits");
    let begin = Instant::now();
    for _ in 0..SYNCS {
        let from = Instant::now();
        file.write_all(&[7; COMMAND_BYTES]).expect("written");
        file.sync_data().expect("synced");
        latencies_us += as_us(from.elapsed());
    }
    report("plain write and sync", &latencies_us, begin.elapsed());
}

fn measure_commits(folder: &Path) {
    let names: Vec<MachineName> = (0..REPLICAS).map(name).collect();
    let (senders, receivers): (Vec<_>, Vec<_>) = (0..REPLICAS).map(|_| channel()).unzip();
    let (done, results) = channel();
    let mut threads = Vec::new();
    for (at, inputs) in receivers.into_iter().enumerate() {
        let mut disk = FileDisk::new(&folder.join(format!("c{at}"))).expect("folder");
        let stored = disk.load().expect("loaded");
        let settings = Settings::new(name(at), names.clone(), at as u64);
        let replica = Replica::new(settings, stored, Counter::default(), Instant::now());
        let node = Node {
            replica: replica.expect("new"),
            disk,
            peers: names.iter().cloned().zip(senders.clone()).collect(),
            done: done.clone(),
            load: None,
        };
        threads.push(std::thread::spawn(move || node.run(&inputs)));
    }
    // Wait for the bootstrap of the group and the first election.
    std::thread::sleep(Duration::from_secs(2));
    for concurrency in CONCURRENCY {
        // Only the leader accepts the load. If the leader changed, send it again.
        let latencies_us = loop {
            let begin = Instant::now();
            for sender in &senders {
                let _ = sender.send(Input::Load(concurrency, COMMITS));
            }
            if let Ok(latencies_us) = results.recv_timeout(LOAD_WAIT) {
                break (latencies_us, begin.elapsed());
            }
        };
        report(
            &format!("commits, {concurrency} at once"),
            &latencies_us.0,
            latencies_us.1,
        );
    }
    for sender in &senders {
        let _ = sender.send(Input::Stop);
    }
    for thread in threads {
        thread.join().expect("ended");
    }
}

/// Measures how long a group of one replica takes to load a log of this length
/// and become leader.
fn measure_recovery(folder: &Path, entries: u64) {
    let folder = folder.join(format!("recovery-{entries}"));
    let settings = || Settings::new(name(0), vec![name(0)], 1).with_compaction(u64::MAX, 0);
    {
        let mut disk = FileDisk::new(&folder).expect("folder");
        let stored = disk.load().expect("loaded");
        let replica = Replica::new(settings(), stored, Counter::default(), Instant::now());
        let mut replica = replica.expect("new");
        become_leader(&mut replica, &mut disk);
        for _ in 0..entries / ENTRIES_PER_BATCH {
            for _ in 0..ENTRIES_PER_BATCH {
                let proposed = replica.propose(&[7; COMMAND_BYTES], Instant::now());
                proposed.expect("leads");
            }
            store(&mut replica, &mut disk);
        }
    }
    let begin = Instant::now();
    let mut disk = FileDisk::new(&folder).expect("folder");
    let stored = disk.load().expect("loaded");
    let replica = Replica::new(settings(), stored, Counter::default(), Instant::now());
    let mut replica = replica.expect("new");
    become_leader(&mut replica, &mut disk);
    let took = begin.elapsed();
    assert!(replica.state_machine().0 >= entries);
    println!("recovery of {entries} entries: {} us", as_us(took));
}

/// Runs the replica until it is leader.
fn become_leader(replica: &mut Replica<Counter>, disk: &mut FileDisk) {
    while !replica.is_leader() {
        replica.tick(Instant::now());
        store(replica, disk);
    }
}

fn store(replica: &mut Replica<Counter>, disk: &mut FileDisk) {
    while let Some(batch) = replica.take_batch() {
        disk.store(&batch.records).expect("stored");
        replica.stored(batch.seq, Instant::now());
    }
    replica.take_outcomes();
}

fn main() {
    let parent = std::env::args_os().nth(1).map(PathBuf::from);
    let parent = parent.unwrap_or_else(std::env::temp_dir);
    let folder = tempfile::tempdir_in(parent).expect("folder");
    measure_syncs(folder.path());
    measure_commits(folder.path());
    for entries in LOG_ENTRIES {
        measure_recovery(folder.path(), entries);
    }
    measure_syncs(folder.path());
}
