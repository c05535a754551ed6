//! The platform: machines with settings files on loopback addresses. It starts their
//! processes, ends those that use more memory than their machine has, and starts again
//! what has ended.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// The zones of a small deployment, each with its region.
pub const ZONES: [(&str, &str); 3] = [
    ("zapad-a", "zapad"),
    ("stred-a", "stred"),
    ("vychod-a", "vychod"),
];

/// Memory of a machine, MB, by role; the figures of the small deployments.
const CONTROL_MEMORY_MB: u64 = 256;
const ENTRY_MEMORY_MB: u64 = 260;

/// Position of the first control VM that replaces another, in its zone.
const FIRST_SUCCESSOR: usize = 4;

/// Position of the first entry VM in its zone.
const FIRST_ENTRY: usize = 8;

/// Positions in a zone.
const MACHINES_MAX: usize = 10;

/// Delay after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const PROGRAM: &str = "target/release/waxwing-platform";

pub struct Machine {
    pub name: String,
    role: &'static str,
    zone: usize,
    ip: Ipv4Addr,
    child: Option<Child>,
    ended_at: Option<Instant>,
    /// How often its process has ended other than by the end of the run.
    pub ends: u32,
    pub peak_mb: u64,
}

pub struct Platform {
    pub machines: Mutex<Vec<Machine>>,
    pub port: u16,
    dir: PathBuf,
    record: Arc<Record>,
    stopped: AtomicBool,
}

impl Platform {
    /// Starts so many control VMs and entry VMs in each zone.
    pub fn start(
        dir: &Path,
        record: &Arc<Record>,
        controls: usize,
        entries: usize,
    ) -> std::io::Result<Arc<Self>> {
        let mut machines = Vec::new();
        let (net, port) = free_net()?;
        for at in 0..controls {
            for (zone, (name, _)) in ZONES.iter().enumerate() {
                let name = format!("core-{name}-{}", at + 1);
                machines.push(Machine::new("control", zone, ip(net, zone, at), name));
            }
        }
        for at in 0..entries {
            for (zone, (name, _)) in ZONES.iter().enumerate() {
                let name = format!("front-{name}-{}", at + 1);
                machines.push(Machine::new(
                    "entry",
                    zone,
                    ip(net, zone, FIRST_ENTRY + at),
                    name,
                ));
            }
        }
        let platform = Arc::new(Self {
            machines: Mutex::new(machines),
            port,
            dir: dir.to_owned(),
            record: Arc::clone(record),
            stopped: AtomicBool::new(false),
        });
        let mut machines = platform.machines.lock().unwrap();
        let seeds = seeds_of(&machines, port);
        for machine in machines.iter_mut() {
            platform.launch(machine, &seeds, true)?;
        }
        drop(machines);
        let supervised = Arc::clone(&platform);
        thread::spawn(move || supervised.supervise());
        Ok(platform)
    }

    /// Addresses of the control VMs for operators and backend servers.
    pub fn controls(&self) -> Vec<SocketAddr> {
        controls_of(&self.machines.lock().unwrap(), self.port)
    }

    /// Addresses of the directory of each control VM.
    pub fn directories(&self) -> Vec<SocketAddr> {
        let offset = |addr: SocketAddr| SocketAddr::new(addr.ip(), self.port + 6);
        self.controls().into_iter().map(offset).collect()
    }

    /// An unused loopback address for a backend server.
    pub fn server_ip(&self, at: usize) -> Ipv4Addr {
        let machines = self.machines.lock().unwrap();
        let [a, b, _, _] = machines[0].ip.octets();
        Ipv4Addr::new(a, b, 100, u8::try_from(at + 1).expect("few servers"))
    }

    fn launch(
        &self,
        machine: &mut Machine,
        seeds: &[SocketAddr],
        bootstrap: bool,
    ) -> std::io::Result<()> {
        let path = self.dir.join(format!("{}.json", machine.name));
        fs::write(&path, self.settings(machine, seeds, bootstrap))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", machine.name)))?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(machine.role)
            .env_clear()
            .env("WAXWINGCHUTE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = command.spawn()?;
        let (name, role) = (&machine.name, machine.role);
        self.record
            .line(&format!("platform: starts {name} ({role})"));
        machine.child = Some(child);
        machine.ended_at = None;
        Ok(())
    }

    /// Settings as `deploy/settings.json.in` renders them.
    fn settings(&self, machine: &Machine, seeds: &[SocketAddr], bootstrap: bool) -> String {
        let (zone, region) = ZONES[machine.zone];
        let (ip, port) = (machine.ip, self.port);
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(z, r)| format!("\"{z}\":\"{r}\""))
            .collect();
        let seeds: Vec<String> = seeds.iter().map(|addr| format!("\"{addr}\"")).collect();
        let control = machine.role == "control";
        let (listen, data_dir, memory_mb) = if control {
            let dir = self.dir.join(&machine.name);
            fs::create_dir_all(&dir).expect("a data folder");
            (
                format!(
                    "\"control\":\"{ip}:{}\",\"directory\":\"{ip}:{}\"",
                    port + 4,
                    port + 6
                ),
                format!("\"{}\"", dir.display()),
                CONTROL_MEMORY_MB,
            )
        } else {
            (
                format!(
                    "\"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\"",
                    port + 4,
                    port + 6
                ),
                "null".to_owned(),
                ENTRY_MEMORY_MB,
            )
        };
        format!(
            "{{\"node\":\"{}\",\"role\":\"{}\",\"ip\":\"{ip}\",\"zone\":\"{zone}\",\
             \"region\":\"{region}\",\"zones\":{{{}}},\"listen\":{{{listen}}},\
             \"internal_ports\":[{port},{}],\"seeds\":[{}],\"bootstrap\":{bootstrap},\
             \"in_tolerance\":{control},\"limits\":{{\"cpu_share\":0.3,\"cores\":1,\
             \"memory_mb\":{memory_mb},\"max_fds\":4096,\"link_mbps\":1000.0,\"disk_mb\":256}},\
             \"data_dir\":{data_dir},\"discovery\":\"registration\",\"entry\":\"directory\",\
             \"heartbeat_ms\":1500,\"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\
             \"stable_window_ms\":4000,\"ack_ms\":5000,\"catch_up_s\":4,\"drain_ms\":2500,\
             \"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":2500,\
             \"rollback_slack_ms\":250,\"skew_max_ms\":6000,\"retry_budget_ratio\":0.2,\
             \"budget_window_s\":10,\"retry_budget_slack\":62,\"cold_factor\":1.5,\
             \"cold_slack\":5,\"evacuate_ms\":5000,\"recover_s\":15,\"ttl_max_s\":5,\
             \"max_shift_ratio\":0.15}},\"config_mode\":\"parts\"}}",
            machine.name,
            machine.role,
            zones.join(","),
            port + 3,
            seeds.join(","),
        )
    }

    fn supervise(self: Arc<Self>) {
        while !self.stopped.load(Ordering::Relaxed) {
            {
                let mut machines = self.machines.lock().unwrap();
                let seeds = seeds_of(&machines, self.port);
                for machine in machines.iter_mut() {
                    self.check(machine, &seeds);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn check(&self, machine: &mut Machine, seeds: &[SocketAddr]) {
        if let Some(at) = machine.ended_at {
            if at.elapsed() >= RESTART_DELAY && !self.stopped.load(Ordering::Relaxed) {
                if let Err(error) = self.launch(machine, seeds, false) {
                    self.record
                        .line(&format!("platform: {}: {error}", machine.name));
                }
            }
            return;
        }
        let Some(child) = &mut machine.child else {
            return;
        };
        let bound_mb = if machine.role == "control" {
            CONTROL_MEMORY_MB
        } else {
            ENTRY_MEMORY_MB
        };
        let used_mb = memory_mb(child.id());
        machine.peak_mb = machine.peak_mb.max(used_mb);
        let name = &machine.name;
        if used_mb > bound_mb {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!(
                "platform: kills {name}: it uses {used_mb} MB, memory_mb is {bound_mb}"
            ));
        } else if let Ok(Some(status)) = child.try_wait() {
            self.record
                .line(&format!("platform: {name} ended by itself: {status}"));
        } else {
            return;
        }
        machine.child = None;
        machine.ended_at = Some(Instant::now());
        machine.ends += 1;
    }

    /// Takes a control VM away for good.
    pub fn remove(&self, name: &str) {
        let mut machines = self.machines.lock().unwrap();
        let found = machines.iter().position(|machine| machine.name == name);
        let Some(mut machine) = found.map(|at| machines.remove(at)) else {
            return;
        };
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record
            .line(&format!("platform: {name} is gone for good"));
    }

    /// Starts an empty control VM at another address in the zone.
    pub fn add_control(&self, zone: usize) -> std::io::Result<()> {
        let mut machines = self.machines.lock().unwrap();
        let seeds = seeds_of(&machines, self.port);
        let [_, net, _, _] = machines[0].ip.octets();
        let in_zone = |m: &&Machine| m.role == "control" && m.zone == zone;
        let last = machines
            .iter()
            .filter(in_zone)
            .map(|m| m.ip.octets()[3])
            .max();
        let at = usize::from(last.unwrap_or(0)).max(FIRST_SUCCESSOR);
        let name = format!("core-{}-{}", ZONES[zone].0, at + 1);
        let mut machine = Machine::new("control", zone, ip(net, zone, at), name);
        self.launch(&mut machine, &seeds, false)?;
        machines.push(machine);
        Ok(())
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for machine in self.machines.lock().unwrap().iter_mut() {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            machine.ended_at = None;
        }
    }
}

impl Machine {
    fn new(role: &'static str, zone: usize, ip: Ipv4Addr, name: String) -> Self {
        Self {
            name,
            role,
            zone,
            ip,
            child: None,
            ended_at: None,
            ends: 0,
            peak_mb: 0,
        }
    }
}

/// The three seeds: the first control VMs of the operator's list.
fn seeds_of(machines: &[Machine], port: u16) -> Vec<SocketAddr> {
    let mut seeds = controls_of(machines, port);
    seeds.truncate(3);
    seeds
}

fn controls_of(machines: &[Machine], port: u16) -> Vec<SocketAddr> {
    let controls = machines.iter().filter(|m| m.role == "control");
    controls
        .map(|m| SocketAddr::new(m.ip.into(), port + 4))
        .collect()
}

fn ip(net: u8, zone: usize, at: usize) -> Ipv4Addr {
    let host = u8::try_from(at + 1).expect("few machines");
    Ipv4Addr::new(127, net, u8::try_from(zone + 1).expect("few zones"), host)
}

/// Finds a part of the loopback range where the ports of all machines are free.
fn free_net() -> std::io::Result<(u8, u16)> {
    let seed = std::process::id();
    for attempt in 0..50 {
        let net = 10 + u8::try_from((seed + attempt) % 200).expect("below 256");
        let port = 21_000 + u16::try_from((seed * 7 + attempt * 131) % 9_000).expect("in range");
        let free = |ip: Ipv4Addr| {
            [0, 1, 4, 6]
                .iter()
                .all(|offset| TcpListener::bind((ip, port + offset)).is_ok())
        };
        let mut all =
            (0..ZONES.len()).flat_map(|zone| (0..MACHINES_MAX).map(move |at| ip(net, zone, at)));
        if all.all(free) {
            return Ok((net, port));
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

/// Memory of a process that no file backs, MB.
fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}
