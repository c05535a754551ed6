//! Histories of configuration changes at three control VMs are linearizable while random
//! faults occur: no accepted change is lost and no read returns an old version.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tempfile::TempDir;
use testbed::process::{Process, get, wait_until};
use testbed::relay::{Mode, Relay};
use testbed::versions::{Operation, Outcome, is_linearizable};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use waxwingctl::control::ControlClient;
use waxwingctl::failure::FailureKind;
use world::{Action, Change, ChangeId, Config, Drain, KeyDigest, RegionName};

const OPERATOR_KEY: &str = "operator";

/// Number of operators that change and read the configuration concurrently.
const OPERATORS: usize = 4;

/// Number of calls of each operator in one round.
const OPERATIONS: usize = 6;

/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

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
    ResetLeaderLinks,
    HoldLeaderLinks,
    LoseDisk,
}

const FAULTS: [Fault; 7] = [
    Fault::Nothing,
    Fault::Kill,
    Fault::KillLeader,
    Fault::FreezeLeader,
    Fault::ResetLeaderLinks,
    Fault::HoldLeaderLinks,
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
        for index in 0..count {
            let process = controls.start_control(index).await;
            controls.processes.push(process);
        }
        controls.wait_repaired().await;
        controls
    }

    async fn start_control(&self, index: usize) -> Process {
        let settings = self.settings(index);
        let name = name(index);
        let process = Process::start("waxwingd", &name, [settings], self.dir.path());
        let process = process.await.unwrap();
        self.relays[index].set_target(process.addr("control_link").unwrap());
        process
    }

    fn settings(&self, index: usize) -> PathBuf {
        let rows = self.relays.iter().enumerate();
        let control: Vec<Value> = rows
            .map(|(index, relay)| json!({ "name": name(index), "link": relay.addr }))
            .collect();
        let settings = json!({
            "name": name(index),
            "place": { "region": "r", "domain": "d" },
            "roles": ["control"],
            "secret": "secret",
            "control_listen": { "desk": "127.0.0.1:0", "link": "127.0.0.1:0" },
            "data_dir": data_dir(self.dir.path(), index),
            "control": control,
            "operator_key_sha256": [KeyDigest::of(OPERATOR_KEY)],
            "zones": { "regions": [{ "name": "r", "domains": [{ "name": "d" }] }], "links": [] },
        });
        let path = self.dir.path().join(format!("{}.json", name(index)));
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    fn api_addrs(&self) -> Vec<SocketAddr> {
        let api = |p: &Process| p.addr("control_desk").unwrap();
        self.processes.iter().map(api).collect()
    }

    /// Returns the indexes of the control VMs that report themselves as leader, with the
    /// state of the replica group that they report.
    async fn leaders(&self) -> Vec<(usize, Value)> {
        let mut leaders = Vec::new();
        for (index, api) in self.api_addrs().into_iter().enumerate() {
            let status = timeout(CALL_TIMEOUT, get::<Value>(api, "/v1/status")).await;
            let Ok(Ok(status)) = status else { continue };
            let group = status["groups"][0].clone();
            if group["leader"] == json!(name(index)) {
                leaders.push((index, group));
            }
        }
        leaders
    }

    async fn leader(&self) -> usize {
        let first = || async { self.leaders().await.first().map(|(index, _)| *index) };
        wait_until("a control VM leads", first).await.unwrap()
    }

    /// Waits until the leader reports that all replicas are repaired.
    async fn wait_repaired(&self) {
        let all = || async {
            let leaders = self.leaders().await;
            let repaired = leaders.iter().any(|(_, g)| g["repaired"] == json!(true));
            repaired.then_some(())
        };
        wait_until("all replicas are repaired", all).await.unwrap();
    }

    /// Injects a fault and ends it after `duration`; `index` is the control VM for faults
    /// that don't name the leader.
    async fn inject(&mut self, fault: Fault, index: usize, duration: Duration) {
        let leader = self.leader().await;
        match fault {
            Fault::Nothing => sleep(duration).await,
            Fault::Kill => self.restart(index, duration, false).await,
            Fault::KillLeader => self.restart(leader, duration, false).await,
            Fault::LoseDisk => self.restart(index, duration, true).await,
            Fault::FreezeLeader => {
                self.processes[leader].freeze().unwrap();
                sleep(duration).await;
                self.processes[leader].thaw().unwrap();
            }
            Fault::ResetLeaderLinks => self.set_mode_for(leader, Mode::Reset, duration).await,
            Fault::HoldLeaderLinks => self.set_mode_for(leader, Mode::HoldAll, duration).await,
        }
    }

    async fn restart(&mut self, index: usize, duration: Duration, loses_disk: bool) {
        self.processes[index].kill().await.unwrap();
        if loses_disk {
            std::fs::remove_dir_all(data_dir(self.dir.path(), index)).unwrap();
        }
        sleep(duration).await;
        self.processes[index] = self.start_control(index).await;
    }

    async fn set_mode_for(&self, index: usize, mode: Mode, duration: Duration) {
        self.relays[index].set_mode(mode);
        sleep(duration).await;
        self.relays[index].set_mode(Mode::Pass);
    }
}

fn name(index: usize) -> String {
    format!("control-{}", index + 1)
}

fn data_dir(dir: &Path, index: usize) -> PathBuf {
    dir.join(format!("{}.data", name(index)))
}

fn change(id: &str, base_version: u64) -> Change {
    Change {
        id: ChangeId::new(id).unwrap(),
        base_version,
        action: Action::Drain(Drain::Region(RegionName::new(id).unwrap())),
    }
}

/// Runs the calls of one operator, each at a random control VM.
async fn run_operator(
    api_addrs: Vec<SocketAddr>,
    id_prefix: String,
    epoch: Instant,
    seed: u64,
) -> Vec<Operation> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut base = 0;
    let mut operations = Vec::new();
    for number in 0..OPERATIONS {
        let api = api_addrs[rng.random_range(0..api_addrs.len())];
        let control = ControlClient::new(vec![api], OPERATOR_KEY);
        let from = epoch.elapsed();
        let id = format!("{id_prefix}-{number}");
        let outcome = if rng.random_bool(0.5) {
            let change = change(&id, base);
            match timeout(CALL_TIMEOUT, control.change(&change)).await {
                Ok(Ok(accepted)) => Outcome::Changed(base, accepted.version),
                Ok(Err(failure)) if failure.sort == FailureKind::Conflict => {
                    Outcome::Conflict(base)
                }
                _ => Outcome::Unknown(base),
            }
        } else {
            match timeout(CALL_TIMEOUT, control.config()).await {
                Ok(Ok(config)) => {
                    base = config.version;
                    Outcome::Read(config.version)
                }
                _ => Outcome::ReadFailed,
            }
        };
        if let Outcome::Changed(_, version) = outcome {
            base = version;
        }
        operations.push(Operation::new(outcome, from, epoch.elapsed()));
    }
    operations
}

/// Checks that no accepted change is missing: each has added one drain.
fn check_content(config: &Config) {
    assert_eq!(config.drains.len() as u64, config.version);
}

/// Returns the changes of unknown outcome that may take effect in a later round.
fn pending_changes(operations: Vec<Operation>, version: u64, epoch: Instant) -> Vec<Operation> {
    let rows = operations.into_iter().filter(|o| o.is_pending_at(version));
    rows.map(|o| Operation::new(o.outcome, epoch.elapsed(), o.to))
        .collect()
}

/// Guards the check itself: it must reject histories with stale reads, lost changes and
/// false conflicts.
#[test]
fn the_checker_finds_stale_reads_and_lost_changes() {
    let at = |outcome, ms| {
        Operation::new(
            outcome,
            Duration::from_millis(ms),
            Duration::from_millis(ms + 5),
        )
    };
    let good = [
        at(Outcome::Changed(0, 1), 0),
        at(Outcome::Read(1), 10),
        at(Outcome::Conflict(0), 20),
    ];
    let stale = [at(Outcome::Changed(0, 1), 0), at(Outcome::Read(0), 10)];
    let twice = [
        at(Outcome::Changed(0, 1), 0),
        at(Outcome::Changed(0, 1), 10),
    ];
    let false_conflict = [at(Outcome::Changed(0, 1), 0), at(Outcome::Conflict(1), 10)];
    let late = [
        at(Outcome::Unknown(0), 0),
        at(Outcome::Read(0), 10),
        at(Outcome::Read(1), 20),
    ];
    let back = [
        at(Outcome::Unknown(0), 0),
        at(Outcome::Read(1), 10),
        at(Outcome::Read(0), 20),
    ];
    let histories = [&good[..], &stale, &twice, &false_conflict, &late, &back];
    let verdicts = histories.map(is_linearizable);
    assert_eq!(verdicts, [true, false, false, false, true, false]);
}

#[tokio::test]
async fn histories_under_faults_are_linearizable() {
    let mut controls = Controls::start(3).await;
    let mut rng = StdRng::seed_from_u64(11);
    let mut pending = Vec::new();
    let mut version = 0;
    let epoch = Instant::now();
    for (round, fault) in FAULTS.into_iter().enumerate() {
        let start = epoch.elapsed();
        let mut operations = vec![Operation::new(Outcome::Start(version), start, start)];
        operations.append(&mut pending);
        let api_addrs = controls.api_addrs();
        let mut operators = JoinSet::new();
        for operator in 0..OPERATORS {
            let id_prefix = format!("r{round}-o{operator}");
            operators.spawn(run_operator(
                api_addrs.clone(),
                id_prefix,
                epoch,
                rng.random(),
            ));
        }
        let index = rng.random_range(0..3);
        let duration = Duration::from_millis(rng.random_range(800..1_600));
        controls.inject(fault, index, duration).await;
        while let Some(done) = operators.join_next().await {
            operations.extend(done.unwrap());
        }
        controls.wait_repaired().await;
        // The round ends with a read while no other call of an operator runs.
        let from = epoch.elapsed();
        let control = ControlClient::new(controls.api_addrs(), OPERATOR_KEY);
        let config = control.config().await.unwrap();
        version = config.version;
        let read = Operation::new(Outcome::Read(version), from, epoch.elapsed());
        operations.push(read);
        assert!(is_linearizable(&operations), "{fault:?}: {operations:#?}");
        check_content(&config);
        pending = pending_changes(operations, version, epoch);
    }
    assert!(version > 20, "only {version} changes were accepted");
}
