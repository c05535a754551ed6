//! Writes the settings, lists and keys of a site to files.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde_json::{Value, json};
use world::{KeyDigest, Place};

use super::plan::SitePlan;

/// The deployment's secret, shared by all processes of a site.
pub const SECRET: &str = "rig-secret";

/// Key of the operator.
pub const OPERATOR_KEY: &str = "rig-operator-key";

/// Plans: name, priority, and requests per second for each service.
const PLANS: [(&str, u8, u32); 3] = [
    ("gold", 200, 20_000),
    ("silver", 100, 20_000),
    ("tin", 10, 20_000),
];

/// Returns the key of a plan's customer; each plan has one customer.
#[must_use]
pub fn key_of(plan: &str) -> String {
    format!("rig-key-{plan}")
}

/// Returns the keys of all customers, in descending priority of their plans.
#[must_use]
pub fn keys() -> Vec<String> {
    PLANS.iter().map(|(plan, ..)| key_of(plan)).collect()
}

/// Paths of the list files and key files of a site.
#[derive(Clone, Debug)]
pub struct Files {
    /// List of customers.
    pub customers: PathBuf,
    /// List of services, plans and operators.
    pub plans: PathBuf,
    /// Key of the operator.
    pub operator_key: PathBuf,
    /// Keys of the customers, one per line.
    pub customer_keys: PathBuf,
}

impl Files {
    /// Writes the list files and key files of a site.
    ///
    /// # Errors
    /// When a file can't be written.
    pub fn new(dir: &Path, plan: &SitePlan) -> anyhow::Result<Self> {
        let files = Self {
            customers: dir.join("customers.jsonc"),
            plans: dir.join("plans.jsonc"),
            operator_key: dir.join("operator.key"),
            customer_keys: dir.join("customer.keys"),
        };
        write(&files.customers, &customers().to_string())?;
        write(&files.plans, &plans(plan).to_string())?;
        write(&files.operator_key, OPERATOR_KEY)?;
        write(&files.customer_keys, &keys().join("\n"))?;
        Ok(files)
    }
}

/// Addresses by which the processes of a site find each other.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    /// Name and link address of each control VM.
    pub controls: Vec<(String, SocketAddr)>,
    /// Link addresses of entry VMs.
    pub seeds: Vec<SocketAddr>,
}

/// Writes the settings of one VM and returns the path of the file.
///
/// # Errors
/// When the file can't be written.
pub fn write_settings(
    dir: &Path,
    plan: &SitePlan,
    name: &str,
    place: &Place,
    role: &str,
    contacts: &Contacts,
) -> anyhow::Result<PathBuf> {
    let controls = contacts.controls.iter();
    let controls: Vec<_> = controls
        .map(|(name, link)| json!({ "name": name, "link": link }))
        .collect();
    let mut settings = json!({
        "name": name,
        "place": place,
        "roles": [role],
        "workers": 2,
        "secret": SECRET,
        "control": controls,
        "seeds": contacts.seeds,
        "operator_key_sha256": [KeyDigest::of(OPERATOR_KEY)],
        "zones": plan.zones(),
        "lookup_ttl_ms": plan.lookup_ttl_ms,
        "lease_ms": plan.lease_ms,
        "shutdown_ms": plan.shutdown_ms,
        "log": { "level": "info" },
    });
    if role == "control" {
        settings["control_listen"] = json!({ "desk": LOOPBACK, "link": LOOPBACK });
        settings["data_dir"] = json!(dir.join(format!("{name}.data")));
    } else {
        settings["listen"] = json!({ "front": LOOPBACK, "desk": LOOPBACK, "link": LOOPBACK });
        for (field, value) in &plan.settings {
            settings[field] = value.clone();
        }
    }
    let path = dir.join(format!("{name}.jsonc"));
    write(&path, &format!("{settings:#}"))?;
    Ok(path)
}

const LOOPBACK: &str = "127.0.0.1:0";

fn customers() -> Value {
    let customer = |(plan, _, _): &(&str, u8, u32)| {
        json!({
            "name": format!("customer-{plan}"),
            "plan": plan,
            "key_sha256": [KeyDigest::of(&key_of(plan))],
        })
    };
    json!({ "customers": PLANS.iter().map(customer).collect::<Vec<_>>() })
}

fn plans(site: &SitePlan) -> Value {
    let services: Vec<_> = site.fleets.iter().map(|f| &f.service).collect();
    let plan = |(name, priority, rate_per_s): &(&str, u8, u32)| {
        let use_of = |service: &&world::Service| {
            json!({
                "service": service.name,
                "rate_per_s": rate_per_s,
                "burst": rate_per_s,
                "in_flight": IN_FLIGHT,
            })
        };
        let uses: Vec<_> = services.iter().map(use_of).collect();
        json!({ "name": name, "priority": priority, "uses": uses })
    };
    json!({
        "services": services,
        "plans": PLANS.iter().map(plan).collect::<Vec<_>>(),
        "operators": [{ "name": "rig", "key_sha256": KeyDigest::of(OPERATOR_KEY) }],
    })
}

/// Maximum number of requests of one customer that run or wait at an entry VM.
const IN_FLIGHT: u32 = 10_000;

fn write(path: &Path, text: &str) -> anyhow::Result<()> {
    fs::write(path, text).with_context(|| format!("could not write {}", path.display()))
}
