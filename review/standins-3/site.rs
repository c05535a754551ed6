//! A small deployment on loopback: control VMs and entry VMs of the project as separate
//! processes, started with the commands of `deploy/system.toml`.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const PROGRAM: &str = "target/release/waxwing-platform";

/// Zones and their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("south-a", "south"),
    ("west-a", "west"),
];

/// `heartbeat_ms` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `memory_mb` of a machine, by which the platform ends a process that uses more.
pub const MEMORY_MB: u64 = 260;

/// Operators and servers go on to another control VM after a second without a response.
pub const PATIENCE: Duration = Duration::from_secs(1);

pub struct Site {
    record: Arc<Record>,
    dir: PathBuf,
    net: u8,
    port: u16,
    processes: Vec<Child>,
    entries: Vec<u32>,
}

impl Site {
    /// Starts a control VM in each zone, and an entry VM in each of the first
    /// `entries` zones.
    pub fn start(record: &Arc<Record>, entries: usize) -> io::Result<Self> {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("waxwing-review-{id}"));
        fs::create_dir_all(&dir)?;
        let mut site = Self {
            record: Arc::clone(record),
            dir,
            net: u8::try_from(id % 200).expect("below 200") + 20,
            port: 0,
            processes: Vec::new(),
            entries: Vec::new(),
        };
        site.port = site.free_ports(entries)?;
        for at in 0..ZONES.len() {
            site.launch("control", at)?;
        }
        for at in 0..entries {
            site.launch("entry", at)?;
        }
        Ok(site)
    }

    /// First of four ports that are free at all addresses in use.
    fn free_ports(&self, entries: usize) -> io::Result<u16> {
        let ips = (0..ZONES.len()).map(|at| self.ip(1, at));
        let ips: Vec<IpAddr> = ips.chain((0..entries).map(|at| self.ip(2, at))).collect();
        (21_000..30_000)
            .step_by(10)
            .find(|port| {
                let addrs = ips
                    .iter()
                    .flat_map(|ip| (0..4).map(|n| SocketAddr::new(*ip, port + n)));
                addrs
                    .into_iter()
                    .all(|addr| TcpListener::bind(addr).is_ok())
            })
            .ok_or_else(|| io::Error::other("no free ports"))
    }

    fn ip(&self, group: u8, at: usize) -> IpAddr {
        let host = u8::try_from(at + 1).expect("few");
        IpAddr::V4(Ipv4Addr::new(127, self.net, group, host))
    }

    /// Loopback address for a stand-in server.
    pub fn server_ip(&self, at: usize) -> IpAddr {
        self.ip(3, at)
    }

    /// Where operators and servers reach a control VM.
    pub fn control(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(1, at), self.port + 2)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..ZONES.len()).map(|at| self.control(at)).collect()
    }

    /// Where clients reach an entry VM.
    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, at), self.port + 2)
    }

    fn launch(&mut self, role: &str, at: usize) -> io::Result<()> {
        let is_control = role == "control";
        let ip = self.ip(if is_control { 1 } else { 2 }, at);
        let (zone, region) = ZONES[at];
        let (first, third) = (self.port, self.port + 3);
        let node = format!("{role}-{zone}");
        let service = SocketAddr::new(ip, self.port + 2);
        let data = self.dir.join(format!("{node}.disk"));
        let (listen, data_dir) = if is_control {
            fs::create_dir_all(&data)?;
            let listen = format!(r#"{{"control":"{service}","directory":"{ip}:{third}"}}"#);
            (listen, format!("{:?}", data.display().to_string()))
        } else {
            let listen = format!(r#"{{"front":"{service}","ready":"{ip}:{third}"}}"#);
            (listen, "null".to_owned())
        };
        let zones = ZONES.map(|(zone, region)| format!(r#""{zone}":"{region}""#));
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|a| format!(r#""{a}""#))
            .collect();
        let settings = format!(
            r#"{{"node":"{node}","role":"{role}","ip":"{ip}","zone":"{zone}","region":"{region}",
"zones":{{{}}},"listen":{listen},"internal_ports":[{first},{}],"seeds":[{}],"bootstrap":true,
"in_tolerance":false,"limits":{{"cpu_share":0.3,"cores":1,"memory_mb":{MEMORY_MB},"max_fds":4100,
"link_mbps":1000.0,"disk_mb":256}},"data_dir":{data_dir},"discovery":"registration",
"entry":"directory","heartbeat_ms":1500,
"fault_tolerance":{{"machines":1,"zones":1,"regions":1}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":4000,"ack_ms":5000,
"catch_up_s":4,"drain_ms":2500,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2500,
"rollback_slack_ms":250,"skew_max_ms":6000,"retry_budget_ratio":0.2,"budget_window_s":10,
"retry_budget_slack":62,"cold_factor":1.5,"cold_slack":5,"evacuate_ms":5000,"recover_s":15,
"ttl_max_s":5,"max_shift_ratio":0.15}},"config_mode":"parts"}}"#,
            zones.join(","),
            first + 1,
            seeds.join(",")
        );
        let path = self.dir.join(format!("{node}.json"));
        fs::write(&path, settings)?;
        let log = File::create(self.dir.join(format!("{node}.log")))?;
        let mut command = Command::new(PROGRAM);
        command.arg(role).env("WAXWINGCHUTE_SETTINGS", &path);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = command.spawn()?;
        self.record
            .line(&format!("started {node}, process {}", child.id()));
        if !is_control {
            self.entries.push(child.id());
        }
        self.processes.push(child);
        Ok(())
    }

    /// Memory that the process of an entry VM uses, in units of 1,024 x 1,024 bytes; 0 once
    /// it has ended.
    pub fn memory_mb(&self, entry: usize) -> u64 {
        let path = format!("/proc/{}/status", self.entries[entry]);
        let status = fs::read_to_string(path).unwrap_or_default();
        let used = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let used = used.and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse().ok());
        used.unwrap_or(0) / 1_024
    }

    /// Ends the process of an entry VM, as the platform does with one that uses too much
    /// memory.
    pub fn end_entry(&mut self, entry: usize) {
        let id = self.entries[entry];
        if let Some(process) = self.processes.iter_mut().find(|process| process.id() == id) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends an order of the operator until a control VM gives a clear answer; returns its
    /// status.
    pub fn order(&self, first: usize, path: &str, body: &str) -> io::Result<u16> {
        let until = Instant::now() + Duration::from_secs(20);
        let controls = self.controls();
        for at in first.. {
            let addr = controls[at % controls.len()];
            let sent = http::call(
                addr,
                &format!("POST {path}"),
                &json(),
                body.as_bytes(),
                PATIENCE,
            );
            let status = sent.map_or(0, |response| response.status());
            self.record
                .line(&format!("operator: POST {path} to {addr}: {status}"));
            if status == 200 || (400..500).contains(&status) && status != 408 && status != 429 {
                return Ok(status);
            }
            if Instant::now() > until {
                break;
            }
            sleep(Duration::from_millis(200));
        }
        Err(io::Error::other(format!("no clear answer to {path}")))
    }

    /// Reads the configuration back.
    pub fn config(&self) -> io::Result<String> {
        for _ in 0..20 {
            let read = http::call(self.control(2), "GET /config/get", &[], b"", PATIENCE);
            if let Ok(response) = read
                && response.status() == 200
            {
                return Ok(String::from_utf8_lossy(&response.body).into_owned());
            }
            sleep(Duration::from_millis(200));
        }
        Err(io::Error::other("the configuration could not be read"))
    }
}

pub fn json() -> [(&'static str, String); 1] {
    [("Content-Type", "application/json".to_owned())]
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}
