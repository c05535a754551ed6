//! Histories of configuration changes through five control processes under
//! drawn faults are linearizable.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tempfile::TempDir;
use testbed::process::{Process, get, wait_until};
use testbed::relay::{Mode, Relay};
use testbed::versions::{Asked, Operation, is_linearizable};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use waxwingctl::control::Control;
use waxwingctl::failure::Sort;
use world::{Action, Change, ChangeId, Config, Drain, KeyDigest, RegionName};

const OPERATOR_KEY: &str = "operator";

/// Operators that change and read at once.
const OPERATORS: usize = 4;

/// Operations of each operator in one round.
const OPERATIONS: usize = 6;

/// Longest wait of an operator for one answer.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

struct Controls {
    processes: Vec<Process>,
    relays: Vec<Relay>,
    dir: TempDir,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    Kill,
    KillLeader,
    FreezeLeader,
    CutLeader,
    HoldLeader,
    LoseDisk,
}

const FAULTS: [Fault; 7] = [
    Fault::Nothing,
    Fault::Kill,
    Fault::KillLeader,
    Fault::FreezeLeader,
    Fault::CutLeader,
    Fault::HoldLeader,
    Fault::LoseDisk,
];

impl Controls {
    async fn start(count: usize) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let mut relays = Vec::new();
        for _ in 0..count {
            relays.push(Relay::start().await.unwrap());
        }
        let mut controls = Self {
            processes: Vec::new(),
            relays,
            dir,
        };
        for at in 0..count {
            let process = controls.start_one(at).await;
            controls.processes.push(process);
        }
        controls.repaired().await;
        controls
    }

    async fn start_one(&self, at: usize) -> Process {
        let settings = self.settings(at);
        let name = name(at);
        let process = Process::start("waxwingd", &name, [settings], self.dir.path());
        let process = process.await.unwrap();
        self.relays[at].set_target(process.addr("control_link").unwrap());
        process
    }

    fn settings(&self, at: usize) -> PathBuf {
        let rows = self.relays.iter().enumerate();
        let control: Vec<Value> = rows
            .map(|(at, relay)| json!({ "name": name(at), "link": relay.addr }))
            .collect();
        let settings = json!({
            "name": name(at),
            "place": { "region": "r", "domain": "d" },
            "roles": ["control"],
            "secret": "secret",
            "control_listen": { "desk": "127.0.0.1:0", "link": "127.0.0.1:0" },
            "data_dir": data_dir(self.dir.path(), at),
            "control": control,
            "operator_key_sha256": [KeyDigest::of(OPERATOR_KEY)],
            "zones": { "regions": [{ "name": "r", "domains": [{ "name": "d" }] }], "links": [] },
        });
        let path = self.dir.path().join(format!("{}.json", name(at)));
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    fn desks(&self) -> Vec<SocketAddr> {
        let desk = |p: &Process| p.addr("control_desk").unwrap();
        self.processes.iter().map(desk).collect()
    }

    /// Replicas that say that they lead, with the state of the group there.
    async fn leaders(&self) -> Vec<(usize, Value)> {
        let mut leaders = Vec::new();
        for (at, desk) in self.desks().into_iter().enumerate() {
            let status = timeout(ANSWER_WAIT, get::<Value>(desk, "/v1/status")).await;
            let Ok(Ok(status)) = status else { continue };
            let group = status["groups"][0].clone();
            if group["leader"] == json!(name(at)) {
                leaders.push((at, group));
            }
        }
        leaders
    }

    async fn leader(&self) -> usize {
        let one = || async { self.leaders().await.first().map(|(at, _)| *at) };
        wait_until("one leads", one).await.unwrap()
    }

    async fn repaired(&self) {
        let all = || async {
            let leaders = self.leaders().await;
            let repaired = leaders.iter().any(|(_, g)| g["repaired"] == json!(true));
            repaired.then_some(())
        };
        wait_until("all replicas are repaired", all).await.unwrap();
    }

    /// Strikes, waits, and lets go.
    async fn strike(&mut self, fault: Fault, at: usize, length: Duration) {
        let leader = self.leader().await;
        match fault {
            Fault::Nothing => sleep(length).await,
            Fault::Kill => self.restart(at, length, false).await,
            Fault::KillLeader => self.restart(leader, length, false).await,
            Fault::LoseDisk => self.restart(at, length, true).await,
            Fault::FreezeLeader => {
                self.processes[leader].freeze().unwrap();
                sleep(length).await;
                self.processes[leader].thaw().unwrap();
            }
            Fault::CutLeader => self.link(leader, Mode::Cut, length).await,
            Fault::HoldLeader => self.link(leader, Mode::Freeze, length).await,
        }
    }

    async fn restart(&mut self, at: usize, length: Duration, loses_disk: bool) {
        self.processes[at].kill().await.unwrap();
        if loses_disk {
            std::fs::remove_dir_all(data_dir(self.dir.path(), at)).unwrap();
        }
        sleep(length).await;
        self.processes[at] = self.start_one(at).await;
    }

    async fn link(&self, at: usize, mode: Mode, length: Duration) {
        self.relays[at].set_mode(mode);
        sleep(length).await;
        self.relays[at].set_mode(Mode::Pass);
    }
}

fn name(at: usize) -> String {
    format!("control-{}", at + 1)
}

fn data_dir(dir: &Path, at: usize) -> PathBuf {
    dir.join(format!("{}.data", name(at)))
}

fn change(id: &str, base_version: u64) -> Change {
    Change {
        id: ChangeId::new(id).unwrap(),
        base_version,
        action: Action::Drain(Drain::Region(RegionName::new(id).unwrap())),
    }
}

/// One operator, who asks one control VM after the other.
async fn operate(desks: Vec<SocketAddr>, tag: String, epoch: Instant, seed: u64) -> Vec<Operation> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut base = 0;
    let mut operations = Vec::new();
    for number in 0..OPERATIONS {
        let desk = desks[rng.random_range(0..desks.len())];
        let control = Control::new(vec![desk], OPERATOR_KEY);
        let from = epoch.elapsed();
        let id = format!("{tag}-{number}");
        let asked = if rng.random_bool(0.5) {
            let change = change(&id, base);
            match timeout(ANSWER_WAIT, control.change(&change)).await {
                Ok(Ok(accepted)) => Asked::Changed(base, accepted.version),
                Ok(Err(failure)) if failure.sort == Sort::Conflict => Asked::Conflict(base),
                _ => Asked::Unknown(base),
            }
        } else {
            match timeout(ANSWER_WAIT, control.config()).await {
                Ok(Ok(config)) => {
                    base = config.version;
                    Asked::Read(config.version)
                }
                _ => Asked::Nothing,
            }
        };
        if let Asked::Changed(_, version) = asked {
            base = version;
        }
        operations.push(Operation::new(asked, from, epoch.elapsed()));
    }
    operations
}

/// Each accepted change added one drain, and none has gone.
fn check_content(config: &Config) {
    assert_eq!(config.drains.len() as u64, config.version);
}

/// Changes that may take effect in a later round.
fn still_open(operations: Vec<Operation>, version: u64, epoch: Instant) -> Vec<Operation> {
    let rows = operations.into_iter().filter(|o| o.is_open_at(version));
    rows.map(|o| Operation::new(o.asked, epoch.elapsed(), o.to))
        .collect()
}

#[test]
fn the_checker_finds_stale_reads_and_lost_changes() {
    let at = |asked, ms| {
        Operation::new(
            asked,
            Duration::from_millis(ms),
            Duration::from_millis(ms + 5),
        )
    };
    let good = [
        at(Asked::Changed(0, 1), 0),
        at(Asked::Read(1), 10),
        at(Asked::Conflict(0), 20),
    ];
    let stale = [at(Asked::Changed(0, 1), 0), at(Asked::Read(0), 10)];
    let twice = [at(Asked::Changed(0, 1), 0), at(Asked::Changed(0, 1), 10)];
    let false_conflict = [at(Asked::Changed(0, 1), 0), at(Asked::Conflict(1), 10)];
    let late = [
        at(Asked::Unknown(0), 0),
        at(Asked::Read(0), 10),
        at(Asked::Read(1), 20),
    ];
    let back = [
        at(Asked::Unknown(0), 0),
        at(Asked::Read(1), 10),
        at(Asked::Read(0), 20),
    ];
    let histories = [&good[..], &stale, &twice, &false_conflict, &late, &back];
    let verdicts = histories.map(is_linearizable);
    assert_eq!(verdicts, [true, false, false, false, true, false]);
}

#[tokio::test]
async fn histories_under_faults_are_linearizable() {
    let mut controls = Controls::start(3).await;
    let mut rng = StdRng::seed_from_u64(11);
    let mut open = Vec::new();
    let mut version = 0;
    let epoch = Instant::now();
    for (round, fault) in FAULTS.into_iter().enumerate() {
        let start = epoch.elapsed();
        let mut operations = vec![Operation::new(Asked::Start(version), start, start)];
        operations.append(&mut open);
        let desks = controls.desks();
        let mut operators = JoinSet::new();
        for operator in 0..OPERATORS {
            let tag = format!("r{round}-o{operator}");
            operators.spawn(operate(desks.clone(), tag, epoch, rng.random()));
        }
        let at = rng.random_range(0..3);
        let length = Duration::from_millis(rng.random_range(800..1_600));
        controls.strike(fault, at, length).await;
        while let Some(done) = operators.join_next().await {
            operations.extend(done.unwrap());
        }
        controls.repaired().await;
        // A read that is known to be alone ends the round.
        let from = epoch.elapsed();
        let control = Control::new(controls.desks(), OPERATOR_KEY);
        let config = control.config().await.unwrap();
        version = config.version;
        let read = Operation::new(Asked::Read(version), from, epoch.elapsed());
        operations.push(read);
        assert!(is_linearizable(&operations), "{fault:?}: {operations:#?}");
        check_content(&config);
        open = still_open(operations, version, epoch);
    }
    assert!(version > 20, "only {version} changes were accepted");
}
