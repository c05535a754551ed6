//! The operator: builds changes of the configuration and sends them to any control VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// A second without a response makes the operator turn to another node; for a large body
/// it waits longer.
const SMALL_BODY_BYTES: usize = 64 * 1024;

pub struct Operator {
    controls: Vec<SocketAddr>,
    next: usize,
    record: Arc<Record>,
}

impl Operator {
    pub fn new(controls: Vec<SocketAddr>, record: &Arc<Record>) -> Self {
        Self {
            controls,
            next: 0,
            record: Arc::clone(record),
        }
    }

    /// Takes over the present list of control VMs.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.controls = controls;
    }

    /// Reads back for so long, or until an answer has the item.
    pub fn read_back(&mut self, item: &str, time: Duration) -> bool {
        let start = Instant::now();
        let mut answers = 0;
        while start.elapsed() < time {
            if let Some(text) = self.read() {
                answers += 1;
                if text.contains(item) {
                    let text = "operator: read back: the newest acknowledged version is there";
                    self.record.line(text);
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.line(&format!(
            "operator: read back for {} s: {answers} answers, none with the newest \
             acknowledged version",
            time.as_secs()
        ));
        false
    }

    /// Sends a change until it is acknowledged; returns whether it was within `patience`.
    pub fn change(&mut self, what: &str, body: &str, patience: Duration) -> bool {
        let start = Instant::now();
        let timeout = if body.len() > SMALL_BODY_BYTES { 3 } else { 1 };
        let mut pause = Duration::from_millis(50);
        let mut failures = 0;
        loop {
            let addr = self.controls[self.next % self.controls.len()];
            self.next += 1;
            let sent = http::call(
                addr,
                "POST",
                "/config/patch",
                body.as_bytes(),
                Duration::from_secs(timeout),
            );
            let outcome = match sent {
                Ok((status, _)) => status.to_string(),
                Err(error) => error.to_string(),
            };
            if outcome == "200" {
                self.record
                    .line(&format!("operator: {what}: acknowledged by {addr}"));
                return true;
            }
            failures += 1;
            if failures <= 3 {
                self.record
                    .line(&format!("operator: {what}: {addr}: {outcome}"));
            }
            if outcome.starts_with('4') || start.elapsed() > patience {
                self.record
                    .line(&format!("operator: {what}: not acknowledged"));
                return false;
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
    }

    /// Reads the configuration from one node.
    fn read(&mut self) -> Option<String> {
        let addr = self.controls[self.next % self.controls.len()];
        self.next += 1;
        match http::call(addr, "GET", "/config/get", &[], Duration::from_secs(3)) {
            Ok((200, body)) => String::from_utf8(body).ok(),
            Ok((status, _)) => {
                self.record
                    .line(&format!("operator: /config/get: {addr}: {status}"));
                None
            }
            Err(error) => {
                self.record
                    .line(&format!("operator: /config/get: {addr}: {error}"));
                None
            }
        }
    }
}

/// A service, as an item of the configuration.
pub fn service(name: &str, version: usize) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":390,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":17.0,\
         \"version\":\"r{version}\"}}"
    )
}

/// A route, as an item of the configuration. Its services share its requests alike.
pub fn route(name: &str, kind: &str, services: &[&str], timeout_ms: u32, version: usize) -> String {
    let backend = |service: &&str| format!("{{\"service\":\"{service}\",\"weight\":50}}");
    let backends: Vec<String> = services.iter().map(backend).collect();
    let backends = backends.join(",");
    format!(
        "{{\"name\":\"{name}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":2,\
         \"weighted_backends\":[{backends}],\"attempts\":2,\"sticky\":true,\
         \"allowed_regions\":[],\"version\":\"r{version}\"}}"
    )
}

/// A change that sets these items.
pub fn patch(services: &[String], limits: Option<&str>, host: &str, routes: &[String]) -> String {
    let limits = limits.map_or(String::new(), |limits| format!("\"limits\":{limits},"));
    format!(
        "{{\"upsert\":{{\"services\":[{}],{limits}\"hosts\":[{{\"host\":\"{host}\",\
         \"paths\":[{}]}}]}},\"remove\":{{\"routes\":[]}}}}",
        services.join(","),
        routes.join(",")
    )
}
