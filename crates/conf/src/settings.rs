//! Settings of one VM of the system.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use admission::{CreditSettings, QueueSettings};
use balancer::{
    BudgetSettings, FleetSettings, HedgeSettings, PoisonSettings, Policy, TrustSettings,
};
use serde::{Deserialize, Serialize};
use world::{KeyDigest, Link, MachineName, Place, Region, Secret, Zones};

use crate::fault::Faults;
use crate::fields::Fields;
use crate::source::read;

const NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const ADDR: &str = "an IP address and port such as \"127.0.0.1:0\"";
const ADDRS: &str = "a list of IP addresses with ports";

/// A role that a VM takes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Answers look-ups, admits and forwards requests.
    Entry,
    /// Keeps configuration and ledger on its disk.
    Control,
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addrs {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Look-ups, announcements and operators.
    pub desk: SocketAddr,
    /// The system's own processes.
    pub link: SocketAddr,
}

/// The addresses of one control VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlAddrs {
    /// Operators.
    pub desk: SocketAddr,
    /// The system's own processes.
    pub link: SocketAddr,
}

/// A control replica as the settings name it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaAddr {
    /// Name of the control VM.
    pub name: MachineName,
    /// Its address for the system's own processes.
    pub link: SocketAddr,
}

/// What is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Level for all targets that have none of their own.
    pub level: String,
    /// Level for each target.
    pub targets: BTreeMap<String, String>,
}

/// Settings of one VM of the system.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Where it stands.
    pub place: Place,
    /// Roles it takes.
    pub roles: Vec<Role>,
    /// Workers of the pool.
    pub workers: usize,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Addresses of the entry role; port 0: the system chooses.
    pub listen: Option<Addrs>,
    /// Addresses of the control role; port 0: the system chooses.
    pub control_listen: Option<ControlAddrs>,
    /// Addresses that others reach the entry role at; by default those it listens on.
    pub advertise: Option<Addrs>,
    /// Folder for state that survives; needed by the control role.
    pub data_dir: Option<PathBuf>,
    /// Control replicas.
    pub control: Vec<ReplicaAddr>,
    /// Link addresses of some entry VMs, to find the others by.
    pub seeds: Vec<SocketAddr>,
    /// Digests of operators' keys that hold before the lists name any.
    pub operator_key_sha256: Vec<KeyDigest>,
    /// Map of the site.
    pub zones: Zones,
    /// Time that callers may keep a look-up's answer, milliseconds.
    pub lookup_ttl_ms: u64,
    /// Length of a backend server's lease, milliseconds.
    pub lease_ms: u64,
    /// Longest time that a shutdown waits for work in flight, milliseconds.
    pub shutdown_ms: u64,
    /// File with the client blocks; without one, clients are spread by hash.
    pub blocks: Option<PathBuf>,
    /// How work is limited, queued and handed out.
    pub policy: PolicySettings,
    /// What is logged.
    pub log: LogSettings,
}

/// Settings of the decisions; each has a baseline to measure it beside.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Whether only the owner of a backend server sends work to it; off, every
    /// entry VM of the failure domain counts all its slots.
    pub one_owner: bool,
    /// How a backend server is chosen among those with a free slot.
    pub choice: Policy,
    /// The table of backend servers.
    pub fleet: FleetSettings,
    /// Second attempts for late answers.
    pub hedge: HedgeSettings,
    /// Further attempts after failures.
    pub retry: BudgetSettings,
    /// Trust in pooled connections.
    pub trust: TrustSettings,
    /// Requests that crash backend servers.
    pub poison: PoisonSettings,
    /// Work that waits for a slot.
    pub queue: QueueSettings,
    /// Credits between entry VMs.
    pub credits: CreditSettings,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            choice: Policy::default(),
            fleet: FleetSettings::default(),
            hedge: HedgeSettings::default(),
            retry: BudgetSettings::default(),
            trust: TrustSettings::default(),
            poison: PoisonSettings::default(),
            queue: QueueSettings::default(),
            credits: CreditSettings::default(),
            one_owner: true,
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Every mistake in the file.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Faults> {
    read(file, text, settings)
}

fn settings(top: &mut Fields<'_>) -> Option<Settings> {
    let name = top.need("name", NAME);
    let place = top.object("place", place);
    let roles: Option<Vec<Role>> = top.need("roles", "a list of \"entry\" and \"control\"");
    let workers = top.bounded("workers", 2, 1, 256);
    let secret = top.need("secret", "the deployment's secret, a text");
    let listen = top.may_object("listen", addrs);
    let control_listen = top.may_object("control_listen", control_addrs);
    let advertise = top.may_object("advertise", addrs);
    let data_dir = top.may("data_dir", "a folder's path");
    let control = top.list("control", replica);
    let seeds = top.may("seeds", ADDRS);
    let operators = top.may("operator_key_sha256", "a list of SHA-256 digests");
    let zones = top.object("zones", |z| Some(zones(z)));
    let lookup_ttl_ms = top.bounded("lookup_ttl_ms", 2_000, 100, 600_000);
    let lease_ms = top.bounded("lease_ms", 3_000, 300, 60_000);
    let shutdown_ms = top.bounded("shutdown_ms", 30_000, 100, 3_600_000);
    let blocks = top.may("blocks", "a file's path");
    let policy = top.may_object("policy", |p| Some(policy(p)));
    let log = top.may_object("log", |l| Some(log_settings(l)));
    if let Some(roles) = &roles {
        check_roles(roles, top);
    }
    check_zones(zones.as_ref(), place.as_ref(), top);
    Some(Settings {
        name: name?,
        place: place?,
        roles: roles?,
        workers: usize::try_from(workers).ok()?,
        secret: secret.map(|s: String| Secret::new(s))?,
        listen,
        control_listen,
        advertise,
        data_dir,
        control,
        seeds: seeds.unwrap_or_default(),
        operator_key_sha256: operators.unwrap_or_default(),
        zones: zones?,
        lookup_ttl_ms,
        lease_ms,
        shutdown_ms,
        blocks,
        policy: policy.unwrap_or_default(),
        log: log.unwrap_or_else(default_log),
    })
}

fn check_roles(roles: &[Role], top: &mut Fields<'_>) {
    if roles.is_empty() {
        top.wrong("roles", "expected at least one role".into());
    }
    if roles.contains(&Role::Control) && !top.has("data_dir") {
        top.wrong(
            "data_dir",
            "missing; the control role needs a folder".into(),
        );
    }
    if roles.contains(&Role::Control) && !top.has("control_listen") {
        top.wrong(
            "control_listen",
            "missing; the control role needs desk and link".into(),
        );
    }
    if roles.contains(&Role::Entry) && !top.has("listen") {
        top.wrong(
            "listen",
            "missing; the entry role needs front, desk and link".into(),
        );
    }
}

fn check_zones(zones: Option<&Zones>, place: Option<&Place>, top: &mut Fields<'_>) {
    let Some(zones) = zones else { return };
    if let Err(error) = zones.check() {
        top.wrong("zones", error.detail);
    }
    let Some(place) = place else { return };
    if !zones.has(place) {
        let text = format!(
            "zones have no failure domain {}/{}",
            place.region, place.domain
        );
        top.wrong("place", text);
    }
}

fn place(fields: &mut Fields<'_>) -> Option<Place> {
    let region = fields.need("region", NAME);
    let domain = fields.need("domain", NAME);
    Some(Place::new(region?, domain?))
}

fn addrs(fields: &mut Fields<'_>) -> Option<Addrs> {
    let front = fields.need("front", ADDR);
    let desk = fields.need("desk", ADDR);
    let link = fields.need("link", ADDR);
    Some(Addrs {
        front: front?,
        desk: desk?,
        link: link?,
    })
}

fn control_addrs(fields: &mut Fields<'_>) -> Option<ControlAddrs> {
    let desk = fields.need("desk", ADDR);
    let link = fields.need("link", ADDR);
    Some(ControlAddrs {
        desk: desk?,
        link: link?,
    })
}

fn replica(fields: &mut Fields<'_>) -> Option<ReplicaAddr> {
    let name = fields.need("name", NAME);
    let link = fields.need("link", ADDR);
    Some(ReplicaAddr {
        name: name?,
        link: link?,
    })
}

fn zones(fields: &mut Fields<'_>) -> Zones {
    let regions = fields.list("regions", |region| {
        let name = region.need("name", NAME);
        let domains = region.need("domains", "a list of objects with a name");
        Some(Region {
            name: name?,
            domains: domains?,
        })
    });
    let links = fields.list("links", |link| {
        let from = link.need("from", "a region's name");
        let to = link.need("to", "a region's name");
        let rate_bits_per_s = link.need("rate_bits_per_s", "bits a second");
        let latency_us = link.need("latency_us", "microseconds");
        Some(Link {
            from: from?,
            to: to?,
            rate_bits_per_s: rate_bits_per_s?,
            latency_us: latency_us?,
        })
    });
    Zones { regions, links }
}

fn policy(fields: &mut Fields<'_>) -> PolicySettings {
    let choice = fields.may(
        "choice",
        "\"least_cost\", \"two_choices\" or \"round_robin\"",
    );
    let one_owner = fields.may("one_owner", "true or false");
    let fleet = fields.may("fleet", "settings of the table of backend servers");
    let hedge = fields.may("hedge", "settings of hedging");
    let retry = fields.may("retry", "settings of a budget");
    let trust = fields.may("trust", "settings of trust in connections");
    let poison = fields.may("poison", "settings for requests that crash servers");
    let queue = fields.may("queue", "settings of queues");
    let credits = fields.may("credits", "settings of credits");
    PolicySettings {
        one_owner: one_owner.unwrap_or(true),
        choice: choice.unwrap_or_default(),
        fleet: fleet.unwrap_or_default(),
        hedge: hedge.unwrap_or_default(),
        retry: retry.unwrap_or_default(),
        trust: trust.unwrap_or_default(),
        poison: poison.unwrap_or_default(),
        queue: queue.unwrap_or_default(),
        credits: credits.unwrap_or_default(),
    }
}

fn log_settings(fields: &mut Fields<'_>) -> LogSettings {
    let mut log = default_log();
    let level = fields.may("level", "a level: error, warn, info, debug or trace");
    let targets = fields.may("targets", "an object from target to level");
    log.level = level.unwrap_or(log.level);
    log.targets = targets.unwrap_or_default();
    let known = ["off", "error", "warn", "info", "debug", "trace"];
    let unknown = |level: &str| !known.contains(&level);
    if unknown(&log.level) {
        fields.wrong("level", format!("expected one of {}", known.join(", ")));
    }
    if log.targets.values().any(|level| unknown(level)) {
        fields.wrong("targets", format!("expected one of {}", known.join(", ")));
    }
    log
}

fn default_log() -> LogSettings {
    LogSettings {
        level: "info".into(),
        targets: BTreeMap::new(),
    }
}
