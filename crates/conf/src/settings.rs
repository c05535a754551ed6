//! Parser of the settings file of an entry VM or control VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use admission::{CreditSettings, QueueSettings};
use balancer::{
    BudgetSettings, ConnectionTrustSettings, FleetSettings, HedgeSettings, PoisonSettings, Policy,
};
use serde::{Deserialize, Serialize};
use world::{KeyDigest, Link, MachineName, Place, Region, Secret, Zones};

use crate::fault::Faults;
use crate::fields::Fields;
use crate::parse::parse_file;

const EXPECTED_NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const EXPECTED_ADDR: &str = "an IP address and port such as \"127.0.0.1:0\"";
const EXPECTED_ADDRS: &str = "a list of IP addresses with ports";

/// Role of a VM; a VM may have both.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Responds to lookups, admits client requests and forwards them to backend servers.
    Entry,
    /// Stores the configuration and the ledger on disk.
    Control,
}

/// Addresses of the entry role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryAddrs {
    /// Address that accepts client requests.
    pub front: SocketAddr,
    /// Address of the HTTP API for lookups, announcements and operators.
    pub desk: SocketAddr,
    /// Address that accepts connections of the system's other processes.
    pub link: SocketAddr,
}

/// Addresses of the control role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlAddrs {
    /// Address of the HTTP API for operators.
    pub desk: SocketAddr,
    /// Address that accepts connections of the system's other processes.
    pub link: SocketAddr,
}

/// Name and address of a control VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaAddr {
    /// Name of the control VM.
    pub name: MachineName,
    /// Address of the VM that accepts connections of the system's other processes.
    pub link: SocketAddr,
}

/// Log levels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Level of all targets that are not in `targets`.
    pub level: String,
    /// Level by log target.
    pub targets: BTreeMap<String, String>,
}

/// Settings of an entry VM or control VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique in the site.
    pub name: MachineName,
    /// Region and failure domain of the VM.
    pub place: Place,
    /// Roles of the VM.
    pub roles: Vec<Role>,
    /// Number of worker threads.
    pub workers: usize,
    /// Secret shared by all processes of the deployment.
    pub secret: Secret,
    /// Addresses that the entry role listens on; with port 0 the operating system chooses
    /// a free port.
    pub listen: Option<EntryAddrs>,
    /// Addresses that the control role listens on; with port 0 the operating system chooses
    /// a free port.
    pub control_listen: Option<ControlAddrs>,
    /// Addresses at which other processes reach the entry role; by default those of `listen`.
    pub advertise: Option<EntryAddrs>,
    /// Folder for persistent state; required for the control role.
    pub data_dir: Option<PathBuf>,
    /// Control VMs, which replicate the configuration and the ledger.
    pub control: Vec<ReplicaAddr>,
    /// Link addresses of some entry VMs, from which this VM learns of the others.
    pub seeds: Vec<SocketAddr>,
    /// Digests of operator keys that are valid in addition to those in the lists, so that an
    /// operator can make the first change.
    pub operator_key_sha256: Vec<KeyDigest>,
    /// Regions and network links of the site.
    pub zones: Zones,
    /// Time that clients may cache a lookup's response, in milliseconds.
    pub lookup_ttl_ms: u64,
    /// Duration in milliseconds of a backend server's lease, and of an entry VM's ownership of
    /// backend servers without a refresh of its view of the membership.
    pub lease_ms: u64,
    /// Maximum time that a shutdown waits for requests in flight, in milliseconds.
    pub shutdown_ms: u64,
    /// Client blocks file; without it, clients are distributed by hash.
    pub blocks: Option<PathBuf>,
    /// Settings of admission, queueing and load balancing.
    pub policy: PolicySettings,
    /// Log levels.
    pub log: LogSettings,
}

/// Settings of admission, queueing and load balancing. Each mechanism can be set to a simple
/// baseline, to measure its effect by comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Whether a backend server gets requests only from the entry VM that owns it. If false,
    /// every entry VM of the failure domain sends requests to the server as if it had all the
    /// server's slots to itself.
    pub one_owner: bool,
    /// Policy for choosing among the backend servers with a free slot.
    pub choice: Policy,
    /// Settings of the table of backend servers.
    pub fleet: FleetSettings,
    /// Hedges: parallel second attempts when a response is late.
    pub hedge: HedgeSettings,
    /// Budget of retries after failed attempts.
    pub retry: BudgetSettings,
    /// Conditions under which a pooled connection is trusted to be alive and is reused.
    pub trust: ConnectionTrustSettings,
    /// Handling of requests that crash backend servers.
    pub poison: PoisonSettings,
    /// Queues of requests that wait for a slot.
    pub queue: QueueSettings,
    /// Credits, which entry VMs grant each other for forwarded requests.
    pub credits: CreditSettings,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            choice: Policy::default(),
            fleet: FleetSettings::default(),
            hedge: HedgeSettings::default(),
            retry: BudgetSettings::default(),
            trust: ConnectionTrustSettings::default(),
            poison: PoisonSettings::default(),
            queue: QueueSettings::default(),
            credits: CreditSettings::default(),
            one_owner: true,
        }
    }
}

/// Parses and checks a settings file; `file` is its name in messages.
///
/// # Errors
/// All mistakes in the file.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Faults> {
    parse_file(file, text, settings)
}

fn settings(top: &mut Fields<'_>) -> Option<Settings> {
    let name = top.required("name", EXPECTED_NAME);
    let place = top.required_object("place", place);
    let roles: Option<Vec<Role>> = top.required("roles", "a list of \"entry\" and \"control\"");
    let workers = top.number_in_range("workers", 2, 1, 256);
    let secret = top.required("secret", "the deployment's secret, a text");
    let listen = top.optional_object("listen", addrs);
    let control_listen = top.optional_object("control_listen", control_addrs);
    let advertise = top.optional_object("advertise", addrs);
    let data_dir = top.optional("data_dir", "a folder's path");
    let control = top.object_list("control", replica);
    let seeds = top.optional("seeds", EXPECTED_ADDRS);
    let operators = top.optional("operator_key_sha256", "a list of SHA-256 digests");
    let zones = top.required_object("zones", |fields| Some(zones(fields)));
    let lookup_ttl_ms = top.number_in_range("lookup_ttl_ms", 2_000, 100, 600_000);
    let lease_ms = top.number_in_range("lease_ms", 3_000, 300, 60_000);
    let shutdown_ms = top.number_in_range("shutdown_ms", 30_000, 100, 3_600_000);
    let blocks = top.optional("blocks", "a file's path");
    let policy = top.optional_object("policy", |fields| Some(policy(fields)));
    let log = top.optional_object("log", |fields| Some(log_settings(fields)));
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
        log: log.unwrap_or_else(default_log_settings),
    })
}

fn check_roles(roles: &[Role], top: &mut Fields<'_>) {
    if roles.is_empty() {
        top.report("roles", "expected at least one role".into());
    }
    if roles.contains(&Role::Control) && !top.has("data_dir") {
        top.report(
            "data_dir",
            "missing; the control role needs a folder".into(),
        );
    }
    if roles.contains(&Role::Control) && !top.has("control_listen") {
        top.report(
            "control_listen",
            "missing; the control role needs desk and link".into(),
        );
    }
    if roles.contains(&Role::Entry) && !top.has("listen") {
        top.report(
            "listen",
            "missing; the entry role needs front, desk and link".into(),
        );
    }
}

fn check_zones(zones: Option<&Zones>, place: Option<&Place>, top: &mut Fields<'_>) {
    let Some(zones) = zones else { return };
    if let Err(error) = zones.check() {
        top.report("zones", error.detail);
    }
    let Some(place) = place else { return };
    if !zones.has(place) {
        let text = format!(
            "zones have no failure domain {}/{}",
            place.region, place.domain
        );
        top.report("place", text);
    }
}

fn place(fields: &mut Fields<'_>) -> Option<Place> {
    let region = fields.required("region", EXPECTED_NAME);
    let domain = fields.required("domain", EXPECTED_NAME);
    Some(Place::new(region?, domain?))
}

fn addrs(fields: &mut Fields<'_>) -> Option<EntryAddrs> {
    let front = fields.required("front", EXPECTED_ADDR);
    let desk = fields.required("desk", EXPECTED_ADDR);
    let link = fields.required("link", EXPECTED_ADDR);
    Some(EntryAddrs {
        front: front?,
        desk: desk?,
        link: link?,
    })
}

fn control_addrs(fields: &mut Fields<'_>) -> Option<ControlAddrs> {
    let desk = fields.required("desk", EXPECTED_ADDR);
    let link = fields.required("link", EXPECTED_ADDR);
    Some(ControlAddrs {
        desk: desk?,
        link: link?,
    })
}

fn replica(fields: &mut Fields<'_>) -> Option<ReplicaAddr> {
    let name = fields.required("name", EXPECTED_NAME);
    let link = fields.required("link", EXPECTED_ADDR);
    Some(ReplicaAddr {
        name: name?,
        link: link?,
    })
}

fn zones(fields: &mut Fields<'_>) -> Zones {
    let regions = fields.object_list("regions", |region| {
        let name = region.required("name", EXPECTED_NAME);
        let domains = region.required("domains", "a list of objects with a name");
        Some(Region {
            name: name?,
            domains: domains?,
        })
    });
    let links = fields.object_list("links", |link| {
        let from = link.required("from", "a region's name");
        let to = link.required("to", "a region's name");
        let rate_bits_per_s = link.required("rate_bits_per_s", "bits a second");
        let latency_us = link.required("latency_us", "microseconds");
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
    let choice = fields.optional(
        "choice",
        "\"least_cost\", \"two_choices\" or \"round_robin\"",
    );
    let one_owner = fields.optional("one_owner", "true or false");
    let fleet = fields.optional("fleet", "settings of the table of backend servers");
    let hedge = fields.optional("hedge", "settings of hedging");
    let retry = fields.optional("retry", "settings of a budget");
    let trust = fields.optional("trust", "settings of trust in connections");
    let poison = fields.optional("poison", "settings for requests that crash servers");
    let queue = fields.optional("queue", "settings of queues");
    let credits = fields.optional("credits", "settings of credits");
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
    let mut log = default_log_settings();
    let level = fields.optional("level", "a level: error, warn, info, debug or trace");
    let targets = fields.optional("targets", "an object from target to level");
    log.level = level.unwrap_or(log.level);
    log.targets = targets.unwrap_or_default();
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    let is_unknown = |level: &str| !levels.contains(&level);
    if is_unknown(&log.level) {
        fields.report("level", format!("expected one of {}", levels.join(", ")));
    }
    if log.targets.values().any(|level| is_unknown(level)) {
        fields.report("targets", format!("expected one of {}", levels.join(", ")));
    }
    log
}

fn default_log_settings() -> LogSettings {
    LogSettings {
        level: "info".into(),
        targets: BTreeMap::new(),
    }
}
