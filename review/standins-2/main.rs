//! Stand-ins for the second review: an operator, upstreams and clients that follow the
//! users' pages, and the platform's part of starting, stopping and killing processes.
//! One binary, standard library only. Arguments: the case and the file for the record.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

/// Processes that this run has started and that may still run; ended also after a panic.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time of a run; after it all processes are ended and the case counts as not run.
const RUN_MAX: Duration = Duration::from_secs(115);

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to one process, by its id.
fn send_signal(pid: u32, name: &str) {
    let signal = match name {
        "KILL" => 9,
        "CONT" => 18,
        "STOP" => 19,
        _ => return,
    };
    // Only processes that this run has started are named here.
    unsafe {
        kill(pid as i32, signal);
    }
}

/// Ends this run as one that could not be done.
fn abort(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    let started = STARTED.lock().map(|list| list.clone()).unwrap_or_default();
    for pid in started {
        send_signal(pid, "KILL");
    }
    std::process::exit(2);
}

/// Zones and their regions, as in the users' deployments.
pub const ZONES: [(&str, &str); 6] = [
    ("north-a", "north"),
    ("south-a", "south"),
    ("mid-a", "mid"),
    ("north-b", "north"),
    ("south-b", "south"),
    ("mid-b", "mid"),
];

pub const HOST: &str = "review.example";
pub const GRACE_S: f64 = 6.0;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: what was sent, answered and run, with times since its start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record");
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} {text}", at as f64 / 1_000.0);
    }
}

/// An answer as a caller sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one head; returns it with the bytes that follow it.
pub fn read_head(stream: &mut TcpStream) -> io::Result<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut buf = [0u8; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Ok((String::from_utf8_lossy(&bytes).into_owned(), rest));
        }
        let n = stream.read(&mut buf)?;
        if n == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
        }
        bytes.extend_from_slice(&buf[..n]);
    }
}

pub fn parse_headers(head: &str) -> HashMap<String, String> {
    let lines = head.split("\r\n").skip(1);
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned())).collect()
}

/// Reads a body by its length or in chunks.
pub fn read_body(stream: &mut TcpStream, headers: &HashMap<String, String>, mut bytes: Vec<u8>) -> io::Result<Vec<u8>> {
    let mut buf = [0u8; 16_384];
    let mut more = |bytes: &mut Vec<u8>| -> io::Result<()> {
        let n = stream.read(&mut buf)?;
        if n == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
        }
        bytes.extend_from_slice(&buf[..n]);
        Ok(())
    };
    if headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(at) = bytes.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                more(&mut bytes)?;
            };
            let size = String::from_utf8_lossy(&bytes[..line]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk"))?;
            while bytes.len() < line + 2 + size + 2 {
                more(&mut bytes)?;
            }
            body.extend_from_slice(&bytes[line + 2..line + 2 + size]);
            bytes.drain(..line + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let len: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while bytes.len() < len {
        more(&mut bytes)?;
    }
    bytes.truncate(len);
    Ok(bytes)
}

/// Sends one request on a connection and reads its answer.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> io::Result<Answer> {
    stream.write_all(request)?;
    let (head, rest) = read_head(stream)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let headers = parse_headers(&head);
    let body = read_body(stream, &headers, rest)?;
    Ok(Answer { status, headers, body })
}

pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// One call on a new connection.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> io::Result<Answer> {
    let mut stream = connect(addr, timeout)?;
    exchange(&mut stream, &call_bytes(addr, method, path, body))
}

pub fn call_bytes(addr: SocketAddr, method: &str, path: &str, body: &str) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\n");
    if method == "POST" {
        head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    (head + body).into_bytes()
}

/// Kills a process, waits for its end and forgets it.
fn forget(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|pid| *pid != child.id());
}

/// A machine of the system.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: IpAddr,
    pub zone: usize,
    pub process: Mutex<Option<Child>>,
}

/// A small deployment on loopback addresses.
pub struct Site {
    pub record: Arc<Record>,
    pub dir: PathBuf,
    pub program: PathBuf,
    pub port: u16,
    pub net: u8,
    pub controls: Vec<Machine>,
    pub entries: Vec<Machine>,
    pub tolerated: usize,
    /// Whether relays stand in front of the control VMs' ports for links.
    pub relayed: bool,
    pub upstreams: Mutex<Vec<Arc<Upstream>>>,
    pub next_id: AtomicU64,
}

impl Site {
    /// Lays out a deployment; starts nothing.
    pub fn new(record: Arc<Record>, controls: usize, entries: usize, tolerated: usize) -> Self {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-2-{pid}"));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("folder");
        let program = std::env::current_dir().expect("cwd").join("target/release/waxwing-platform");
        // A network and a range of ports in which all addresses are free.
        let mut seed = pid as u64 ^ SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let (net, port) = loop {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let net = 20 + ((seed >> 33) % 200) as u8;
            let port = 20_000 + 10 * ((seed >> 41) % 1_000) as u16;
            let free = |group: u8, host: u8, p: u16| TcpListener::bind((Ipv4Addr::new(127, net, group, host), p)).is_ok();
            let all = (1..=8u8).all(|h| (0..6).all(|p| free(1, h, port + p) && free(2, h, port + p)));
            if all {
                break (net, port);
            }
        };
        let machine = |role: &'static str, group: u8, at: usize| {
            let (zone, _) = ZONES[at % ZONES.len()];
            let class = if role == "control" { "core" } else { "front" };
            Machine {
                name: format!("{class}-{zone}-{}", at / ZONES.len() + 1),
                role,
                ip: IpAddr::V4(Ipv4Addr::new(127, net, group, at as u8 + 1)),
                zone: at % ZONES.len(),
                process: Mutex::new(None),
            }
        };
        Self {
            record,
            dir,
            program,
            port,
            net,
            controls: (0..controls).map(|at| machine("control", 1, at)).collect(),
            entries: (0..entries).map(|at| machine("entry", 2, at)).collect(),
            tolerated,
            relayed: false,
            upstreams: Mutex::new(Vec::new()),
            next_id: AtomicU64::new(1),
        }
    }

    /// Puts a relay in front of each control VM's port for links, which delays all bytes by
    /// `one_way` in either direction, as a network between regions does.
    pub fn delay_links(&mut self, one_way: Duration) {
        self.relayed = true;
        for machine in &self.controls {
            let listener = TcpListener::bind(self.at(machine, 0)).expect("relay");
            let target = self.at(machine, 5);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    thread::spawn(move || relay(stream, target, one_way));
                }
            });
        }
    }

    pub fn at(&self, machine: &Machine, offset: u16) -> SocketAddr {
        SocketAddr::new(machine.ip, self.port + offset)
    }

    pub fn control_addr(&self, at: usize) -> SocketAddr {
        self.at(&self.controls[at], 2)
    }

    pub fn front_addr(&self, at: usize) -> SocketAddr {
        self.at(&self.entries[at], 2)
    }

    /// Settings as DEPLOY.md lays them out; the deploy file's template takes them as JSON.
    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let (zone, region) = ZONES[machine.zone];
        let zones: Vec<String> = ZONES.iter().map(|(z, r)| format!("\"{z}\":\"{r}\"")).collect();
        let seeds: Vec<String> = self.controls.iter().take(3).map(|c| format!("\"{}\"", self.at(c, 2))).collect();
        let control = machine.role == "control";
        let listen = if control {
            format!("\"control\":\"{}\",\"directory\":\"{}\"", self.at(machine, 2), self.at(machine, 3))
        } else {
            format!("\"front\":\"{}\",\"ready\":\"{}\"", self.at(machine, 2), self.at(machine, 3))
        };
        let serves = if control { "\"control\",\"directory\"" } else { "\"front\"" };
        let class = if control { "core" } else { "front" };
        let (data_dir, disk, cpu, memory) = if control {
            (format!("\"{}\"", self.data_dir(machine).display()), 256, 0.3, 256)
        } else {
            ("null".into(), 0, 0.2, 260)
        };
        let relayed = if control && self.relayed {
            format!("\"link_listen_port\":{},", self.port + 5)
        } else {
            String::new()
        };
        format!(
            "{{{relayed}\"node\":\"{}\",\"role\":\"{}\",\"machine_class\":\"{class}\",\"serves\":[{serves}],\"ip\":\"{}\",\
             \"zone\":\"{zone}\",\"region\":\"{region}\",\"zones\":{{{}}},\"listen\":{{{listen}}},\
             \"internal_ports\":[{},{}],\"seeds\":[{}],\"bootstrap\":{bootstrap},\"in_tolerance\":{control},\
             \"limits\":{{\"cpu_share\":{cpu},\"cores\":1,\"memory_mb\":{memory},\"max_fds\":4096,\"link_mbps\":1000.0,\"disk_mb\":{disk}}},\
             \"data_dir\":{data_dir},\"discovery\":\"registration\",\"entry\":\"directory\",\"heartbeat_ms\":1500,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\"],\
             \"fault_tolerance\":{{\"machines\":{},\"zones\":1,\"regions\":1}},\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":4000,\"ack_ms\":5000,\"catch_up_s\":4,\
             \"drain_ms\":2500,\"grace_s\":{GRACE_S},\"loss_slack_ms\":200,\"config_apply_ms\":2500,\"rollback_slack_ms\":250,\
             \"skew_max_ms\":6000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"retry_budget_slack\":62,\
             \"cold_factor\":1.5,\"cold_slack\":5,\"evacuate_ms\":5000,\"recover_s\":15,\"ttl_max_s\":5,\"max_shift_ratio\":0.15}},\
             \"config_mode\":\"parts\"}}",
            machine.name, machine.role, machine.ip, zones.join(","), self.port, self.port + 1, seeds.join(","), self.tolerated,
        )
    }

    pub fn data_dir(&self, machine: &Machine) -> PathBuf {
        self.dir.join(format!("{}.disk", machine.name))
    }

    /// Writes the settings of a machine and starts its process with the deploy file's command.
    pub fn launch(&self, machine: &Machine, bootstrap: bool) {
        let path = self.dir.join(format!("{}.json", machine.name));
        fs::write(&path, self.settings(machine, bootstrap)).expect("settings");
        if machine.role == "control" {
            fs::create_dir_all(self.data_dir(machine)).expect("data folder");
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{}.log", machine.name))).expect("log");
        let child = Command::new(&self.program)
            .arg(machine.role)
            .env("WAXWINGCHUTE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("program");
        self.record.line(&format!("platform: started {} pid {} bootstrap {bootstrap}", machine.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        *machine.process.lock().unwrap() = Some(child);
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: &Machine, name: &str) {
        let guard = machine.process.lock().unwrap();
        let Some(child) = guard.as_ref() else { return };
        self.record.line(&format!("platform: {name} to {}", machine.name));
        send_signal(child.id(), name);
    }

    /// Kills the processes of machines at once and waits for their ends.
    pub fn kill(&self, machines: &[&Machine]) {
        let taken = machines.iter().filter_map(|m| m.process.lock().unwrap().take());
        let mut children: Vec<Child> = taken.collect();
        for child in &mut children {
            let _ = child.kill();
        }
        for machine in machines {
            self.record.line(&format!("platform: SIGKILL to {}", machine.name));
        }
        for child in &mut children {
            forget(child);
        }
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self, machine: &Machine) {
        self.record.line(&format!("platform: the disk of {} is lost", machine.name));
        let _ = fs::remove_dir_all(self.data_dir(machine));
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&self, machine: &Machine) -> bool {
        let mut guard = machine.process.lock().unwrap();
        guard.as_mut().is_some_and(|child| child.try_wait().ok().flatten().is_some())
    }

    /// Ends all processes.
    pub fn end(&self) {
        for upstream in self.upstreams.lock().unwrap().iter() {
            upstream.stopped.store(true, Ordering::Relaxed);
        }
        for machine in self.controls.iter().chain(&self.entries) {
            if let Some(mut child) = machine.process.lock().unwrap().take() {
                forget(&mut child);
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }

    /// Sends an order as the pages tell: to one node after the other, with a longer pause
    /// each time, until it gets a clear answer or `limit` has passed.
    pub fn order(&self, first: usize, method: &str, path: &str, body: &str, limit: Duration) -> Option<Answer> {
        let begun = Instant::now();
        let mut pause = 100;
        let mut at = first;
        while begun.elapsed() < limit {
            let node = at % self.controls.len();
            let answer = call(self.control_addr(node), method, path, body, ms(1_000));
            let text = match &answer {
                Ok(a) => format!("{}", a.status),
                Err(e) => format!("none ({:?})", e.kind()),
            };
            self.record.line(&format!("operator: {method} {path} to {} -> {text}", self.controls[node].name));
            match answer {
                Ok(a) if a.status < 300 || [400, 409, 412, 413, 422].contains(&a.status) => return Some(a),
                _ => {}
            }
            thread::sleep(ms(pause));
            pause = (pause * 3 / 2).min(1_000);
            at += 1;
        }
        None
    }

    /// The first configuration: services `find`, `pay` and `fetch` with a route each.
    pub fn first_config(&self) -> String {
        let service = |name: &str| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
                     \"warmup_s\":3.0,\"cold_per_s\":3.5,\"version\":\"r1\"}}")
        };
        let routes = [route("find", "safe", "find", 1), route("pay", "unsafe", "pay", 1), route("fetch", "download", "fetch", 1)];
        format!(
            "{{\"upsert\":{{\"services\":[{},{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"version\":\"r1\"}},\
             \"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}},\"remove\":{{\"routes\":[]}}}}",
            service("find"), service("pay"), service("fetch"), routes.join(",")
        )
    }

    /// Starts an upstream.
    pub fn upstream(self: &Arc<Self>, service: &'static str, zone: usize, work_ms: u64) -> Arc<Upstream> {
        let mut list = self.upstreams.lock().unwrap();
        let at = list.len();
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.net, 3, at as u8 + 1));
        let listener = TcpListener::bind((ip, 0)).expect("upstream");
        let upstream = Arc::new(Upstream {
            id: format!("i-{at:03}"),
            service,
            zone,
            addr: listener.local_addr().expect("address"),
            born_ms: unix_ms(),
            work_ms: AtomicU64::new(work_ms),
            running: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            runs: Mutex::new(BTreeMap::new()),
        });
        list.push(Arc::clone(&upstream));
        let (site, up) = (Arc::clone(self), Arc::clone(&upstream));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (site, up) = (Arc::clone(&site), Arc::clone(&up));
                thread::spawn(move || {
                    let _ = up.serve(stream, &site.record);
                });
            }
        });
        let (site, up) = (Arc::clone(self), Arc::clone(&upstream));
        thread::spawn(move || up.heartbeats(&site));
        upstream
    }
}

/// Passes the bytes of one connection on, each `one_way` later than they came.
fn relay(near: TcpStream, target: SocketAddr, one_way: Duration) {
    let Ok(far) = TcpStream::connect_timeout(&target, ms(1_000)) else {
        return;
    };
    let _ = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
    let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    thread::spawn(move || pass_on(near, far, one_way));
    pass_on(far_2, near_2, one_way);
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, queue) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        for (due, bytes) in queue {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
    let mut buf = [0u8; 65_536];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || sender.send((Instant::now() + one_way, buf[..n].to_vec())).is_err() {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
}

/// A route at the path `/name/`.
pub fn route(name: &str, kind: &str, service: &str, version: u64) -> String {
    format!("{{\"name\":\"r-{name}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":2000,\"target_latency_ms\":400,\
             \"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"sticky\":true,\"allowed_regions\":[],\"version\":\"r{version}\"}}")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A sound upstream.
pub struct Upstream {
    pub id: String,
    pub service: &'static str,
    pub zone: usize,
    pub addr: SocketAddr,
    pub born_ms: u64,
    pub work_ms: AtomicU64,
    pub running: AtomicUsize,
    pub stopped: AtomicBool,
    /// Requests that it began to work on, with their times.
    pub runs: Mutex<BTreeMap<String, Vec<u64>>>,
}

impl Upstream {
    fn heartbeats(&self, site: &Site) {
        let mut sequence = 0;
        let mut node = self.zone;
        while !self.stopped.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"capacity\":8}},\
                 \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"cold_remaining_ms\":0}}}}",
                self.addr, self.born_ms, self.service, ZONES[self.zone].0
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            for _ in 0..site.controls.len() {
                let at = site.control_addr(node % site.controls.len());
                let acked = call(at, "POST", &path, &body, ms(1_000)).is_ok_and(|a| a.status < 300);
                if acked {
                    break;
                }
                node += 1;
            }
            thread::sleep(ms(1_500));
        }
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        loop {
            let (head, rest) = read_head(&mut stream)?;
            let headers = parse_headers(&head);
            let _body = read_body(&mut stream, &headers, rest)?;
            if self.stopped.load(Ordering::Relaxed) {
                return Ok(());
            }
            let path = head.split(' ').nth(1).unwrap_or("").to_owned();
            let load = |running: usize| format!("Waxwingchute-Server-Load: {running},0,8\r\n");
            if path == "/health" {
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nWaxwingchute-Instance-Id: {}\r\n{}\r\n", self.id, load(0));
                stream.write_all(text.as_bytes())?;
                continue;
            }
            let id = headers.get("waxwingchute-request-id").cloned().unwrap_or_default();
            let expected = headers.get("waxwingchute-expect-instance");
            if expected.is_some_and(|e| *e != self.id) {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nWaxwingchute-Not-Executed: 1\r\nWaxwingchute-Request-Id: {id}\r\n\r\n");
                stream.write_all(text.as_bytes())?;
                continue;
            }
            let at = record.now_ms();
            self.runs.lock().unwrap().entry(id.clone()).or_default().push(at);
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            record.line(&format!("upstream {} ({}, {}): runs {id} {path}", self.id, self.service, ZONES[self.zone].0));
            thread::sleep(ms(self.work_ms.load(Ordering::Relaxed)));
            self.running.fetch_sub(1, Ordering::Relaxed);
            let body = format!("{} answers {id}", self.id);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nWaxwingchute-Request-Id: {id}\r\nWaxwingchute-Response-Seal: s.{id}\r\nKeep-Alive: timeout=10\r\n{}\r\n{body}",
                body.len(), load(running)
            );
            stream.write_all(text.as_bytes())?;
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().expect("a case");
    let record = Arc::new(Record::new(Path::new(&args.next().expect("a record"))));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.line(&format!("case {case}, trouble {trouble}"));
    thread::spawn(|| {
        thread::sleep(RUN_MAX);
        abort("it took too long");
    });
    let worker = Arc::clone(&record);
    let code = thread::spawn(move || cases::run(&case, &worker, trouble)).join();
    let code = code.unwrap_or_else(|_| abort("a panic"));
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
