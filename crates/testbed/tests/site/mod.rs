//! A small site of real processes for the booking tests: control VMs, two entry VMs,
//! and a stand-in backend server in the test's own process.
//!
//! Unlike in `testbed::site`, each entry VM has its own relays to the control VMs, so
//! that a test can cut off one entry VM alone.
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
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A running site; dropping it kills every process.
pub struct Site {
    /// Control VMs.
    pub controls: Vec<Process>,
    /// Relays to the link of each control VM, for the other control VMs.
    pub control_relays: Vec<Relay>,
    /// Entry VMs.
    pub entries: Vec<Process>,
    /// For each entry VM, its relays to the link of each control VM.
    pub relays: Vec<Vec<Relay>>,
    /// The only backend server, which runs in the test's process.
    pub server: Server,
    /// Times before and after the start of the backend server, between which its clock
    /// started.
    pub server_started: (Instant, Instant),
    /// Last field, so that it is dropped after the processes, which print their logs when
    /// a test fails.
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

/// Result of a request, as the client sees it.
#[derive(Clone, Debug)]
pub struct BookingResult {
    /// `fresh`, `stored`, the code of an error kind, or the reason why no response was
    /// received.
    pub outcome: String,
    /// Whether the request ran: `ran`, `not run`, `unknown`, or empty.
    pub ran: String,
    /// Id that the entry VM gave the request; empty without a response.
    pub request: String,
    /// Id of the request whose run produced the response.
    pub run: Option<String>,
}

impl Site {
    /// Starts the site and waits until its lists are accepted and both entry VMs run
    /// operations.
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
            let own_relays = start_relays(controls).await;
            let seeds = links(&entries);
            entries.push(start_entry(dir.path(), name, &own_relays, &seeds).await);
            relays.push(own_relays);
        }
        let api_addrs = entries.iter().map(|e| e.addr("desk").unwrap()).collect();
        let service = ServiceName::new("objednavky").unwrap();
        let options = Options::new(ServerName::new("b1").unwrap(), service, place())
            .with_slots(32, 400)
            .with_api_addrs(api_addrs, Secret::new(SECRET));
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
            site.point_relays(control);
        }
        let is_configured = || async { site.apply_lists().await.then_some(()) };
        wait_until("lists are accepted", is_configured)
            .await
            .unwrap();
        site.wait_ready().await;
        site
    }

    /// Sets the target of a control VM's relays to its current link address.
    fn point_relays(&self, control: usize) {
        let link = self.controls[control].addr("control_link").unwrap();
        self.control_relays[control].set_target(link);
        for own_relays in &self.relays {
            own_relays[control].set_target(link);
        }
    }

    /// Applies the lists at the first control VM; returns whether they were accepted.
    async fn apply_lists(&self) -> bool {
        let change = json!({"id": "first", "base_version": 0, "action": {"lists": lists()}});
        let request = Request::post("/v1/changes")
            .header("x-waxwing-key", OPERATOR_KEY)
            .header("content-type", "application/json")
            .body(Full::from(change.to_string()))
            .unwrap();
        let api = self.controls[0].addr("control_desk").unwrap();
        let response = send(api, request, REQUEST_TIMEOUT).await;
        response.is_ok_and(|a| a.status().is_success())
    }

    /// Sets the mode of the relays between one entry VM and every control VM.
    pub fn set_mode(&self, entry: usize, mode: Mode) {
        for relay in &self.relays[entry] {
            relay.set_mode(mode);
        }
    }

    /// Delays the bytes that the control VMs send to one entry VM.
    pub fn delay_responses(&self, entry: usize, delay: Duration) {
        for relay in &self.relays[entry] {
            relay.set_delay(Duration::ZERO, delay);
        }
    }

    /// Returns the index of the control VM that leads the ledger, as reported by the first
    /// control VM that knows a leader.
    pub async fn ledger_leader(&self) -> Option<usize> {
        for control in &self.controls {
            let api = control.addr("control_desk").unwrap();
            let status: Option<Value> = get(api, "/v1/status").await.ok();
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

    /// Waits until each entry VM has run an operation.
    pub async fn wait_ready(&self) {
        for entry in 0..self.entries.len() {
            let poll = || async {
                let key = format!("ready-{entry}-{}", self.server.runs().len());
                let result = self.book(entry, &key, "", 5_000).await;
                (result.outcome == "fresh").then_some(())
            };
            wait_until("an entry VM runs a booking", poll)
                .await
                .unwrap();
        }
    }

    /// Sends a booking, an operation of the service `objednavky`, through an entry VM; `query`
    /// is appended to the path.
    pub async fn book(
        &self,
        entry: usize,
        key: &str,
        query: &str,
        deadline_ms: u64,
    ) -> BookingResult {
        let front = self.entries[entry].addr("front").unwrap();
        book(front, key, query, deadline_ms).await
    }

    /// Sends a read, which doesn't need the ledger, through an entry VM.
    pub async fn read(&self, entry: usize) -> BookingResult {
        let request = Request::get("/objednavky/slots")
            .header("x-waxwing-key", CUSTOMER_KEY)
            .body(Full::default())
            .unwrap();
        let front = self.entries[entry].addr("front").unwrap();
        booking_result(send(front, request, REQUEST_TIMEOUT).await)
    }

    /// Kills an entry VM and starts it again.
    pub async fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].kill().await.unwrap();
        let name = self.entries[entry].name.clone();
        let seeds = links(&self.entries);
        self.entries[entry] =
            start_entry(self.dir.path(), &name, &self.relays[entry], &seeds).await;
    }

    /// Kills a control VM and starts it again with the data on its disk.
    pub async fn restart_control(&mut self, control: usize) {
        self.controls[control].kill().await.unwrap();
        let started = start_control(self.dir.path(), control, &self.control_relays).await;
        self.controls[control] = started;
        self.point_relays(control);
    }

    /// Returns the size of the ledger's log at the first control VM.
    pub fn ledger_bytes(&self) -> u64 {
        let path = self.dir.path().join("c1.data/ledger/log");
        std::fs::metadata(path).map_or(0, |m| m.len())
    }

    /// Returns the number of runs of one idempotency key.
    pub fn runs(&self, key: &str) -> usize {
        let runs = self.server.runs();
        runs.iter().filter(|run| run.key == key).count()
    }

    /// Sets the behaviour of the backend server.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
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

/// Returns the value of `control` in the settings, with the addresses of these relays.
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
    let any_port = "127.0.0.1:0";
    let mut settings = settings(name, "entry");
    settings["listen"] = json!({"front": any_port, "desk": any_port, "link": any_port});
    settings["seeds"] = json!(seeds);
    settings["control"] = replicas(relays);
    start(dir, name, &settings).await
}

/// Sends a booking to an entry VM's address for clients' requests.
pub async fn book(front: SocketAddr, key: &str, query: &str, deadline_ms: u64) -> BookingResult {
    book_as(CUSTOMER_KEY, front, key, query, deadline_ms).await
}

/// Sends a booking with this customer key.
pub async fn book_as(
    customer: &str,
    front: SocketAddr,
    key: &str,
    query: &str,
    deadline_ms: u64,
) -> BookingResult {
    let request = Request::post(format!("/objednavky/slots{query}"))
        .header("x-waxwing-key", customer)
        .header("idempotency-key", key)
        .header("x-waxwing-deadline-ms", deadline_ms)
        .body(Full::from("slot 7"))
        .unwrap();
    booking_result(send(front, request, REQUEST_TIMEOUT).await)
}

/// Summarizes the response to a booking, or the failure to receive one.
fn booking_result(response: Result<Response<Bytes>, Failure>) -> BookingResult {
    let response = match response {
        Ok(response) => response,
        Err(failure) => {
            let outcome = match failure {
                Failure::Unreachable(_) => "unreachable",
                Failure::Interrupted(_) => "broken",
                Failure::Timeout => "timeout",
            };
            return BookingResult {
                outcome: outcome.into(),
                ran: String::new(),
                request: String::new(),
                run: None,
            };
        }
    };
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let error = header("x-waxwing-error");
    let outcome = match (error.as_str(), header("x-waxwing-stored").as_str()) {
        ("", "") => "fresh",
        ("", _) => "stored",
        (code, _) => code,
    };
    BookingResult {
        outcome: outcome.into(),
        ran: header("x-waxwing-ran"),
        request: header("x-waxwing-request"),
        run: error
            .is_empty()
            .then(|| body["request"].as_str().unwrap_or_default().into()),
    }
}
