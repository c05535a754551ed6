//! A small site of real processes: control VMs, two entry VMs, and a stand-in
//! backend server in the test's own process. Unlike `testbed::site`, each entry VM
//! has its own ways to the control VMs, so that one can be cut off alone.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde_json::{Value, json};
use tempfile::TempDir;
use testbed::process::{Process, get, wait_until};
use testbed::relay::{Mode, Relay};
use testbed::server::{Behaviour, Options, Server};
use tokio::time::Instant;
use waxwingctl::http::{Failure, send};
use world::{DomainName, KeyDigest, Place, RegionName, Secret, ServerName, ServiceName};

const SECRET: &str = "between processes";
const OPERATOR_KEY: &str = "operator";
const CUSTOMER_KEY: &str = "customer";
/// Key of a customer whose plan admits one request at a time.
pub const SMALL_KEY: &str = "small customer";
const CALL_WAIT: Duration = Duration::from_secs(10);

pub struct Site {
    pub controls: Vec<Process>,
    /// Before the link of each control VM, for the other control VMs.
    pub control_relays: Vec<Relay>,
    pub entries: Vec<Process>,
    /// Before the link of each control VM, for each entry VM.
    pub relays: Vec<Vec<Relay>>,
    pub server: Server,
    /// Moments before and after the start of the backend server's clock.
    pub server_started: (Instant, Instant),
    /// Dropped last, so that the logs of a failed test can be shown.
    pub dir: TempDir,
}

fn digest(key: &str) -> Value {
    json!(KeyDigest::of(key))
}

fn zones() -> Value {
    json!({"regions": [{"name": "zapad", "domains": [{"name": "a"}]}]})
}

fn place() -> Place {
    let region = RegionName::new("zapad").unwrap();
    Place::new(region, DomainName::new("a").unwrap())
}

async fn start(dir: &Path, name: &str, settings: &Value) -> Process {
    let path = dir.join(format!("{name}.json"));
    std::fs::write(&path, settings.to_string()).unwrap();
    Process::start("waxwingd", name, [path], dir).await.unwrap()
}

fn settings(name: &str, role: &str) -> Value {
    json!({
        "name": name,
        "place": place(),
        "roles": [role],
        "secret": SECRET,
        "zones": zones(),
        "lease_ms": 3_000,
        "log": {"level": "info", "targets": {"entry": "debug"}},
    })
}

fn lists() -> Value {
    json!({
        "services": [{"name": "objednavky", "class": "short", "idempotent": false, "deadline_ms": 5_000}],
        "plans": [
            {"name": "dispatch", "priority": 9, "uses": [
                {"service": "objednavky", "rate_per_s": 1_000, "burst": 1_000, "in_flight": 100}
            ]},
            {"name": "small", "priority": 1, "uses": [
                {"service": "objednavky", "rate_per_s": 1_000, "burst": 1_000, "in_flight": 1}
            ]},
        ],
        "customers": [
            {"name": "brana", "plan": "dispatch", "key_sha256": [digest(CUSTOMER_KEY)]},
            {"name": "kiosk", "plan": "small", "key_sha256": [digest(SMALL_KEY)]},
        ],
    })
}

/// What came back from a send.
#[derive(Clone, Debug)]
pub struct Told {
    /// `fresh`, `stored`, the code of an error kind, or why nothing came.
    pub what: String,
    /// Whether it says that the work ran.
    pub ran: String,
    /// Id of the entry VM's request, empty when nothing came.
    pub request: String,
    /// Id of the request whose run gave the answer.
    pub run: Option<String>,
}

impl Site {
    /// Starts the site and waits until its configuration is in force.
    pub async fn start(controls: usize) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let control_relays = start_relays(controls).await;
        let mut started = Vec::new();
        for number in 0..controls {
            started.push(start_control(dir.path(), number, &control_relays).await);
        }
        let mut relays = Vec::new();
        let mut entries: Vec<Process> = Vec::new();
        for name in ["e1", "e2"] {
            let own = start_relays(controls).await;
            let seeds = links(&entries);
            entries.push(start_entry(dir.path(), name, &own, &seeds).await);
            relays.push(own);
        }
        let desks = entries.iter().map(|e| e.addr("desk").unwrap()).collect();
        let service = ServiceName::new("objednavky").unwrap();
        let options = Options::new(ServerName::new("b1").unwrap(), service, place())
            .with_slots(32, 400)
            .with_desks(desks, Secret::new(SECRET));
        let before = Instant::now();
        let server = Server::start(options).await.unwrap();
        let site = Self {
            server_started: (before, Instant::now()),
            dir,
            controls: started,
            control_relays,
            entries,
            relays,
            server,
        };
        for control in 0..controls {
            site.aim(control);
        }
        let configured = || async { site.configure().await.then_some(()) };
        wait_until("lists are accepted", configured).await.unwrap();
        site.wait_ready().await;
        site
    }

    /// Points the relays at where a control VM listens now.
    fn aim(&self, control: usize) {
        let link = self.controls[control].addr("control_link").unwrap();
        self.control_relays[control].set_target(link);
        for own in &self.relays {
            own[control].set_target(link);
        }
    }

    async fn configure(&self) -> bool {
        let change = json!({"id": "first", "base_version": 0, "action": {"lists": lists()}});
        let request = Request::post("/v1/changes")
            .header("x-waxwing-key", OPERATOR_KEY)
            .header("content-type", "application/json")
            .body(Full::from(change.to_string()))
            .unwrap();
        let desk = self.controls[0].addr("control_desk").unwrap();
        let answer = send(desk, request, CALL_WAIT).await;
        answer.is_ok_and(|a| a.status().is_success())
    }

    /// Sets what happens between one entry VM and every control VM.
    pub fn set_mode(&self, entry: usize, mode: Mode) {
        for relay in &self.relays[entry] {
            relay.set_mode(mode);
        }
    }

    /// Delays what the control VMs send to one entry VM.
    pub fn delay_replies(&self, entry: usize, delay: Duration) {
        for relay in &self.relays[entry] {
            relay.set_delay(Duration::ZERO, delay);
        }
    }

    /// The control VM that leads the ledger, when one of those that answer says so.
    pub async fn ledger_leader(&self) -> Option<usize> {
        for control in &self.controls {
            let desk = control.addr("control_desk").unwrap();
            let status: Option<Value> = get(desk, "/v1/status").await.ok();
            let Some(status) = status else { continue };
            let groups = status["groups"].as_array()?;
            let ledger = groups.iter().find(|g| g["name"] == "ledger")?;
            let leads = |c: &Process| ledger["leader"] == c.name.as_str();
            if let Some(at) = self.controls.iter().position(leads) {
                return Some(at);
            }
        }
        None
    }

    /// Waits until each entry VM has run an operation of its own.
    pub async fn wait_ready(&self) {
        for entry in 0..self.entries.len() {
            let look = || async {
                let key = format!("ready-{entry}-{}", self.server.runs().len());
                let told = self.book(entry, &key, "", 5_000).await;
                (told.what == "fresh").then_some(())
            };
            wait_until("an entry VM books", look).await.unwrap();
        }
    }

    /// Sends a booking through an entry VM.
    pub async fn book(&self, entry: usize, key: &str, query: &str, deadline_ms: u64) -> Told {
        let front = self.entries[entry].addr("front").unwrap();
        book(front, key, query, deadline_ms).await
    }

    /// Sends a read, which needs no ledger, through an entry VM.
    pub async fn read(&self, entry: usize) -> Told {
        let request = Request::get("/objednavky/slots")
            .header("x-waxwing-key", CUSTOMER_KEY)
            .body(Full::default())
            .unwrap();
        let front = self.entries[entry].addr("front").unwrap();
        told(send(front, request, CALL_WAIT).await)
    }

    /// Kills an entry VM and starts it again.
    pub async fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].kill().await.unwrap();
        let name = self.entries[entry].name.clone();
        let seeds = links(&self.entries);
        self.entries[entry] =
            start_entry(self.dir.path(), &name, &self.relays[entry], &seeds).await;
    }

    /// Kills a control VM and starts it again on its disk.
    pub async fn restart_control(&mut self, control: usize) {
        self.controls[control].kill().await.unwrap();
        let started = start_control(self.dir.path(), control, &self.control_relays).await;
        self.controls[control] = started;
        self.aim(control);
    }

    /// Bytes of the first control VM's log of the ledger.
    pub fn ledger_bytes(&self) -> u64 {
        let path = self.dir.path().join("c1.data/ledger/log");
        std::fs::metadata(path).map_or(0, |m| m.len())
    }

    /// Runs of one key.
    pub fn runs(&self, key: &str) -> usize {
        let runs = self.server.runs();
        runs.iter().filter(|run| run.key == key).count()
    }

    /// Sets how the backend server behaves.
    pub fn behave(&self, behaviour: Behaviour) {
        self.server.set_behaviour(behaviour);
    }
}

async fn start_relays(count: usize) -> Vec<Relay> {
    let mut relays = Vec::new();
    for _ in 0..count {
        relays.push(Relay::start().await.unwrap());
    }
    relays
}

fn control_name(number: usize) -> String {
    format!("c{}", number + 1)
}

/// The control VMs as settings name them, through these relays.
fn replicas(relays: &[Relay]) -> Value {
    let row = |(number, relay): (usize, &Relay)| json!({"name": control_name(number), "link": relay.addr});
    relays.iter().enumerate().map(row).collect()
}

async fn start_control(dir: &Path, number: usize, relays: &[Relay]) -> Process {
    let name = control_name(number);
    let mut settings = settings(&name, "control");
    settings["control_listen"] = json!({"desk": "127.0.0.1:0", "link": "127.0.0.1:0"});
    settings["data_dir"] = json!(dir.join(format!("{name}.data")));
    settings["operator_key_sha256"] = json!([digest(OPERATOR_KEY)]);
    settings["control"] = replicas(relays);
    start(dir, &name, &settings).await
}

fn links(entries: &[Process]) -> Vec<SocketAddr> {
    entries.iter().map(|e| e.addr("link").unwrap()).collect()
}

async fn start_entry(dir: &Path, name: &str, relays: &[Relay], seeds: &[SocketAddr]) -> Process {
    let any = "127.0.0.1:0";
    let mut settings = settings(name, "entry");
    settings["listen"] = json!({"front": any, "desk": any, "link": any});
    settings["seeds"] = json!(seeds);
    settings["control"] = replicas(relays);
    start(dir, name, &settings).await
}

/// Sends a booking to the front of an entry VM.
pub async fn book(front: SocketAddr, key: &str, query: &str, deadline_ms: u64) -> Told {
    book_as(CUSTOMER_KEY, front, key, query, deadline_ms).await
}

/// Sends a booking of the customer with this key.
pub async fn book_as(
    customer: &str,
    front: SocketAddr,
    key: &str,
    query: &str,
    deadline_ms: u64,
) -> Told {
    let request = Request::post(format!("/objednavky/slots{query}"))
        .header("x-waxwing-key", customer)
        .header("idempotency-key", key)
        .header("x-waxwing-deadline-ms", deadline_ms)
        .body(Full::from("slot 7"))
        .unwrap();
    told(send(front, request, CALL_WAIT).await)
}

fn told(answer: Result<Response<Bytes>, Failure>) -> Told {
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => {
            let what = match failure {
                Failure::Unreachable(_) => "unreachable",
                Failure::Broken(_) => "broken",
                Failure::Timeout => "timeout",
            };
            return Told {
                what: what.into(),
                ran: String::new(),
                request: String::new(),
                run: None,
            };
        }
    };
    let header = |name: &str| {
        let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let error = header("x-waxwing-error");
    let what = match (error.as_str(), header("x-waxwing-stored").as_str()) {
        ("", "") => "fresh",
        ("", _) => "stored",
        (code, _) => code,
    };
    Told {
        what: what.into(),
        ran: header("x-waxwing-ran"),
        request: header("x-waxwing-request"),
        run: error
            .is_empty()
            .then(|| body["request"].as_str().unwrap_or_default().into()),
    }
}
