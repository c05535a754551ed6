//! Case: a few clients of a zone upload large bodies at the same moment, beside bookings.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Connection};
use crate::operator::{self, Operator};
use crate::platform::{Platform, ZONES};
use crate::record::Record;
use crate::server::Server;

/// `limits` of the first call, as on the protocol's page.
const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"version\":\"r7\"}";

/// Size of an uploaded body, within `max_body_bytes`.
const UPLOAD_BYTES: usize = 64_000_000;

/// Rate of one upload: 100 Mbit/s, so that all together take less than half of the entry
/// VM's link of 1,000 Mbit/s.
const UPLOAD_BYTES_PER_S: usize = 12_500_000;

/// Clients of the zone that upload a body each.
const UPLOADERS: usize = 4;

/// Clients of the zone that book, each with one request at a time.
const BOOKERS: usize = 10;

/// Zone of all clients. It has one entry VM.
const ZONE: usize = 2;

/// Time a booking takes.
const WORK: Duration = Duration::from_millis(600);

/// Deadline of a booking, and its route's timeout.
const BOOKING_MS: u32 = 4_000;

/// Deadline of an upload, and its route's timeout.
const UPLOAD_MS: u32 = 20_000;

/// Bookings may be cut off three times.
const CUT_MAX: usize = 3;

struct Clients {
    directories: Vec<SocketAddr>,
    record: Arc<Record>,
    ids: AtomicUsize,
    stopped: AtomicBool,
    /// Ids of bookings whose connection ended without an answer.
    cut: std::sync::Mutex<Vec<String>>,
}

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> std::io::Result<Verdict> {
    let platform = Platform::start(dir, record, 1, 1)?;
    let verdict = play(&platform, record, trouble);
    platform.stop();
    for machine in platform.machines.lock().unwrap().iter() {
        let (name, ends, peak_mb) = (&machine.name, machine.ends, machine.peak_mb);
        record.line(&format!("{name}: ended {ends} times, at most {peak_mb} MB"));
    }
    verdict
}

fn play(platform: &Platform, record: &Arc<Record>, trouble: bool) -> std::io::Result<Verdict> {
    let mut operator = Operator::new(platform.controls(), record);
    let services = [
        operator::service("objednavky", 7),
        operator::service("podklady", 7),
    ];
    let routes = [
        operator::route("booking", "unsafe", &["objednavky"], BOOKING_MS, 7),
        operator::route("upload", "unsafe", &["podklady"], UPLOAD_MS, 7),
    ];
    let first = operator::patch(&services, Some(LIMITS), "brana.example", &routes);
    if !operator.change("first call", &first, Duration::from_secs(20)) {
        return Err(std::io::Error::other("the first call was not accepted"));
    }
    let mut servers = Vec::new();
    for zone in 0..ZONES.len() {
        for service in ["objednavky", "podklady"] {
            let id = format!("i-{service}-{zone}");
            let ip = platform.server_ip(servers.len());
            let what = (id.as_str(), service, zone);
            servers.push(Server::start(what, ip, WORK, platform.controls(), record)?);
        }
    }
    let clients = Arc::new(Clients {
        directories: platform.directories(),
        record: Arc::clone(record),
        ids: AtomicUsize::new(1),
        stopped: AtomicBool::new(false),
        cut: std::sync::Mutex::default(),
    });
    // Entry VMs know all others, and the core is stable.
    thread::sleep(Duration::from_secs(8));
    let bookers: Vec<_> = (0..BOOKERS)
        .map(|_| {
            let clients = Arc::clone(&clients);
            thread::spawn(move || clients.book())
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let uploads: Vec<_> = (0..UPLOADERS)
        .map(|_| {
            let clients = Arc::clone(&clients);
            let upload = thread::spawn(move || clients.upload());
            if trouble {
                return Some(upload);
            }
            let _ = upload.join();
            None
        })
        .collect();
    for upload in uploads.into_iter().flatten() {
        let _ = upload.join();
    }
    thread::sleep(Duration::from_secs(4));
    clients.stopped.store(true, Ordering::Relaxed);
    for booker in bookers {
        let _ = booker.join();
    }
    let cut = clients.cut.lock().unwrap();
    let ran = |id: &&String| servers.iter().any(|s| s.ran.lock().unwrap().contains(*id));
    let cut_and_ran = cut.iter().filter(ran).count();
    record.line(&format!(
        "{} bookings ended with a closed connection and no answer, {cut_and_ran} of them had \
         been passed on and ran; more than {CUT_MAX} break the rule",
        cut.len()
    ));
    if servers[4].ran.lock().unwrap().is_empty() {
        return Err(std::io::Error::other("no booking ran in the zone"));
    }
    Ok(if cut_and_ran > CUT_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

impl Clients {
    /// Asks the directory for the entry VMs of the zone.
    fn resolve(&self) -> Option<SocketAddr> {
        let (zone, region) = ZONES[ZONE];
        let path = format!("/resolve?name=brana.example&region={region}&zone={zone}");
        for addr in &self.directories {
            let Ok((200, body)) = http::call(*addr, "GET", &path, &[], Duration::from_secs(1))
            else {
                continue;
            };
            let text = String::from_utf8_lossy(&body).into_owned();
            let first = text.split('"').find_map(|part| part.parse().ok());
            if first.is_some() {
                return first;
            }
        }
        None
    }

    fn next_id(&self, what: &str) -> String {
        format!("{what}-{:05}", self.ids.fetch_add(1, Ordering::Relaxed))
    }

    fn headers(id: &str, deadline_ms: u32) -> [(&'static str, String); 3] {
        [
            ("Host", "brana.example".to_owned()),
            ("Waxwingchute-Request-Id", id.to_owned()),
            ("Waxwingchute-Deadline-Ms", deadline_ms.to_string()),
        ]
    }

    /// Books again and again, over a connection that is kept as long as it lasts.
    fn book(&self) {
        let timeout = Duration::from_millis(BOOKING_MS.into());
        let mut kept = None;
        while !self.stopped.load(Ordering::Relaxed) {
            if kept.is_none() {
                let opened = self.resolve().map(|addr| Connection::open(addr, timeout));
                let Some(Ok(connection)) = opened else {
                    thread::sleep(Duration::from_millis(300));
                    continue;
                };
                kept = Some(connection);
            }
            let Some(connection) = &mut kept else {
                continue;
            };
            let id = self.next_id("booking");
            let headers = Self::headers(&id, BOOKING_MS);
            self.record.line(&format!("client: sends {id}"));
            match connection.call("POST", "/booking/b", &headers, &[b'b'; 1_200]) {
                Ok((head, _)) => {
                    self.record
                        .line(&format!("client: {id}: {}", head.status()));
                    if head.closes() {
                        kept = None;
                    }
                }
                Err(error) => {
                    self.record
                        .line(&format!("client: {id}: no answer: {error}"));
                    if error.kind() != ErrorKind::WouldBlock {
                        self.cut.lock().unwrap().push(id);
                    }
                    kept = None;
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
    }

    /// Uploads one body. The client does not send it again: it may have run.
    fn upload(&self) {
        let start = Instant::now();
        let body = vec![b'u'; UPLOAD_BYTES];
        let timeout = Duration::from_millis(UPLOAD_MS.into());
        let id = self.next_id("upload");
        let headers = Self::headers(&id, UPLOAD_MS);
        self.record
            .line(&format!("client: sends {id} with {UPLOAD_BYTES} bytes"));
        let sent = self
            .resolve()
            .ok_or(ErrorKind::NotFound.into())
            .and_then(|addr| Connection::open(addr, timeout))
            .and_then(|mut connection| {
                connection.bytes_per_s = UPLOAD_BYTES_PER_S;
                connection.call("POST", "/upload/u", &headers, &body)
            });
        let took = start.elapsed().as_secs_f64();
        match sent {
            Ok((head, _)) => self
                .record
                .line(&format!("client: {id}: {} in {took:.2} s", head.status())),
            Err(error) => self
                .record
                .line(&format!("client: {id}: no answer: {error}")),
        }
    }
}
