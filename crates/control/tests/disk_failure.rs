//! A running replica whose disk refuses writes for a while.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use bytes::Bytes;
use control::{Group, ReplicationTransport};
use quorum::{Disk, DiskId, Record, Settings, StateMachine, Stored, Timing};
use tokio::time::{sleep, timeout};
use world::{Error, ErrorKind, MachineName, Result};

/// Time in which the group must accept commands again.
const LIMIT: Duration = Duration::from_secs(10);

const TIMING: Timing = Timing {
    heartbeat_ms: 20,
    election_ms: 150,
    proposal_ms: 500,
    ..Timing::DEFAULT
};

/// Number of applied commands.
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
        let bytes = bytes.try_into();
        self.0 = bytes.map(u64::from_le_bytes).map_err(|_| full())?;
        Ok(())
    }
}

/// Disk in memory that refuses to write while it is full.
struct FullDisk {
    stored: Stored,
    is_full: Arc<AtomicBool>,
    has_failed: bool,
}

fn full() -> Error {
    Error::new(ErrorKind::Damaged, "No space left on device")
}

impl Disk for FullDisk {
    fn load(&mut self) -> Result<Stored> {
        Ok(self.stored.clone())
    }

    fn store(&mut self, records: &[Record]) -> Result<()> {
        self.has_failed |= self.is_full.load(Ordering::Relaxed);
        if self.has_failed {
            return Err(full());
        }
        for record in records {
            self.stored.replay(record.clone());
        }
        Ok(())
    }

    fn recover(&mut self) -> Result<Stored> {
        if self.is_full.load(Ordering::Relaxed) {
            return Err(full());
        }
        self.has_failed = false;
        Ok(self.stored.clone())
    }
}

type Replicas = Arc<OnceLock<Vec<(MachineName, Weak<Group<Counter, Loopback>>)>>>;

/// Passes messages on to the other replicas of this process.
#[derive(Clone)]
struct Loopback(Replicas);

impl ReplicationTransport for Loopback {
    fn send(&self, to: &MachineName, payload: Bytes) {
        let replicas = self.0.get().into_iter().flatten();
        let group = replicas
            .filter(|(name, _)| name == to)
            .find_map(|(_, group)| group.upgrade());
        if let Some(group) = group {
            tokio::spawn(async move { group.receive(&payload) });
        }
    }
}

struct Machine {
    group: Arc<Group<Counter, Loopback>>,
    is_full: Arc<AtomicBool>,
}

fn start(count: u64) -> Vec<Machine> {
    let name = |at: u64| MachineName::new(&format!("c{at}")).expect("name");
    let names: Vec<MachineName> = (0..count).map(name).collect();
    let replicas = Replicas::default();
    let machines: Vec<Machine> = (0..count)
        .map(|at| {
            let is_full = Arc::<AtomicBool>::default();
            let disk = FullDisk {
                stored: Stored::new(DiskId(at + 1)),
                is_full: Arc::clone(&is_full),
                has_failed: false,
            };
            let settings = Settings::new(name(at), names.clone(), at).with_timing(TIMING);
            let transport = Loopback(Arc::clone(&replicas));
            let group = Group::start(settings, disk, Counter::default(), transport);
            let group = group.expect("starts");
            Machine { group, is_full }
        })
        .collect();
    let groups = machines.iter().map(|m| Arc::downgrade(&m.group));
    let _ = replicas.set(names.into_iter().zip(groups).collect());
    machines
}

/// Proposes a command at every machine until one accepts it; returns the number of
/// commands applied so far.
async fn propose(machines: &[Machine]) -> u64 {
    loop {
        for machine in machines {
            if let Ok(applied) = machine.group.propose(b"change").await {
                return applied;
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a replica that stays stopped after its disk was full for a while: with
/// each machine whose disk was full in turn, the group had one voter less.
#[tokio::test]
async fn a_group_outlives_disks_that_are_full_in_turn() {
    let machines = start(3);
    timeout(LIMIT, propose(&machines)).await.expect("accepted");
    for machine in &machines {
        machine.is_full.store(true, Ordering::Relaxed);
        let failed = async {
            while machine.group.failed().is_none() {
                propose(&machines).await;
            }
        };
        timeout(LIMIT, failed)
            .await
            .expect("fails and others accept");
        assert!(!machine.group.is_leader() && !machine.group.is_current());
        machine.is_full.store(false, Ordering::Relaxed);
    }
    let before = timeout(LIMIT, propose(&machines)).await.expect("accepted");
    let recovered = async {
        while !machines
            .iter()
            .all(|m| m.group.read_local(|c| c.0) >= before)
        {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LIMIT, recovered).await.expect("all go on");
    assert!(machines.iter().all(|m| m.group.failed().is_none()));
}

/// Guards against a replica that acknowledges a command which its full disk has lost.
#[tokio::test]
async fn a_failed_write_is_not_acknowledged() {
    let machines = start(1);
    let [machine] = machines.as_slice() else {
        unreachable!("one machine");
    };
    assert_eq!(
        timeout(LIMIT, propose(&machines)).await.expect("accepted"),
        1
    );
    machine.is_full.store(true, Ordering::Relaxed);
    machine.group.propose(b"lost").await.expect_err("full");
    machine
        .group
        .read(|_| ())
        .await
        .expect_err("no read of an unknown disk");
    machine.is_full.store(false, Ordering::Relaxed);
    assert_eq!(
        timeout(LIMIT, propose(&machines)).await.expect("accepted"),
        2
    );
}
