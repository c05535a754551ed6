//! A site on loopback: control VMs, entry VMs and stand-in backend servers as
//! separate processes.

mod backend;
mod client;
mod files;
mod plan;

use std::mem;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, ensure};
use tempfile::TempDir;
use tokio::process::Command;
use waxwingctl::control::{Status, status};
use world::Place;

pub use backend::Backend;
pub use client::{Call, Client, Reply};
use files::Contacts;
pub use files::{Files, OPERATOR_KEY, key_of, keys};
pub use plan::{Fleet, Plan, RegionPlan, service};

use crate::process::{Process, path_of, wait_until};
use crate::relay::Relay;

/// Seconds that a change may take to be in force everywhere.
const APPLY_WAIT_S: &str = "10";

/// A control VM.
#[derive(Debug)]
pub struct Control {
    /// The process.
    pub process: Process,
    /// Address for operators.
    pub desk_addr: SocketAddr,
}

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    /// The process.
    pub process: Process,
    /// Where it stands.
    pub place: Place,
    /// Address for callers' requests.
    pub front_addr: SocketAddr,
    /// Address for look-ups, announcements and operators.
    pub desk_addr: SocketAddr,
}

/// What the operators' tool said.
#[derive(Clone, Debug)]
pub struct Said {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

/// A running site; every process is killed when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// What it consists of.
    pub plan: Plan,
    /// Lists and keys.
    pub files: Files,
    /// Control VMs.
    pub controls: Vec<Control>,
    /// Relays before the links of the control VMs, in the same order.
    pub control_relays: Vec<Relay>,
    /// Entry VMs.
    pub entries: Vec<Vm>,
    /// Stand-in backend servers.
    pub backends: Vec<Backend>,
    contacts: Contacts,
    dir: TempDir,
}

impl Site {
    /// Starts a site and waits until its lists are in force at every entry VM
    /// and every backend server is known.
    ///
    /// # Errors
    /// When a process doesn't start or the site doesn't become ready.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir().context("could not make a folder")?;
        let files = Files::new(dir.path(), &plan)?;
        let mut site = Self {
            plan,
            files,
            controls: Vec::new(),
            control_relays: Vec::new(),
            entries: Vec::new(),
            backends: Vec::new(),
            contacts: Contacts::default(),
            dir,
        };
        site.start_controls().await?;
        site.start_entries().await?;
        site.start_backends().await?;
        site.apply().await?;
        site.ready().await?;
        Ok(site)
    }

    /// Folder with settings, logs and data.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Desks of the entry VMs.
    #[must_use]
    pub fn desks(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|vm| vm.desk_addr).collect()
    }

    /// Runs the operators' tool; `--control`, `--entry` and `--key-file` are
    /// added where the subcommand takes them.
    ///
    /// # Errors
    /// When it isn't built.
    pub async fn ctl(&self, args: &[&str]) -> anyhow::Result<Said> {
        let mut command = Command::new(path_of("waxwingctl")?);
        command.args(args).kill_on_drop(true);
        for vm in &self.controls {
            command.arg(format!("--control={}", vm.desk_addr));
        }
        for desk in self.desks() {
            command.arg(format!("--entry={desk}"));
        }
        if args.first() != Some(&"status") {
            command.arg("--key-file").arg(&self.files.operator_key);
        }
        let output = command.output().await.context("could not run waxwingctl")?;
        Ok(Said {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Applies the lists of the site's files.
    ///
    /// # Errors
    /// When they are refused or aren't in force everywhere in time.
    pub async fn apply(&self) -> anyhow::Result<()> {
        let customers = self.files.customers.to_string_lossy();
        let plans = self.files.plans.to_string_lossy();
        let args = ["apply", &customers, &plans, "--wait", APPLY_WAIT_S];
        let said = self.ctl(&args).await?;
        ensure!(said.code == 0, "lists were not applied: {}", said.err);
        Ok(())
    }

    /// Status of one entry VM, `None` while it can't be reached.
    pub async fn status(&self, entry: usize) -> Option<Status> {
        status(self.entries[entry].desk_addr).await.ok()
    }

    /// Backend servers of one service.
    pub fn fleet<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Backend> {
        let of = move |b: &&Backend| b.service.as_str() == service;
        self.backends.iter().filter(of)
    }

    async fn start_controls(&mut self) -> anyhow::Result<()> {
        let places = self.plan.places()?;
        for number in 1..=self.plan.controls {
            let relay = Relay::start().await?;
            let name = format!("control-{number}");
            self.contacts.controls.push((name, relay.addr));
            self.control_relays.push(relay);
        }
        for number in 0..self.plan.controls {
            let name = self.contacts.controls[number].0.clone();
            let place = &places[number % places.len()];
            let process = self.start_vm(&name, place, "control").await?;
            self.control_relays[number].set_target(process.addr("control_link")?);
            self.controls.push(Control {
                desk_addr: process.addr("control_desk")?,
                process,
            });
        }
        Ok(())
    }

    async fn start_entries(&mut self) -> anyhow::Result<()> {
        for place in self.plan.places()? {
            self.start_entries_at(&place).await?;
        }
        Ok(())
    }

    async fn start_entries_at(&mut self, place: &Place) -> anyhow::Result<()> {
        for number in 1..=self.plan.entries_per_domain {
            let name = format!("entry-{}-{}-{number}", place.region, place.domain);
            let vm = self.start_entry(&name, place).await?;
            self.contacts.seeds.push(vm.process.addr("link")?);
            self.entries.push(vm);
        }
        Ok(())
    }

    /// Starts an entry VM that finds the others through those that the site
    /// started with; it isn't part of the site's own list.
    ///
    /// # Errors
    /// When the process doesn't start.
    pub async fn start_entry(&self, name: &str, place: &Place) -> anyhow::Result<Vm> {
        let process = self.start_vm(name, place, "entry").await?;
        Ok(Vm {
            front_addr: process.addr("front")?,
            desk_addr: process.addr("desk")?,
            place: place.clone(),
            process,
        })
    }

    /// Takes the machines of a region out of the site; they die when dropped.
    pub fn take_region(&mut self, region: &str) -> (Vec<Vm>, Vec<Backend>) {
        let is_there = |place: &Place| place.region.as_str() == region;
        let (lost_entries, entries) = mem::take(&mut self.entries)
            .into_iter()
            .partition(|vm| is_there(&vm.place));
        let (lost_backends, backends) = mem::take(&mut self.backends)
            .into_iter()
            .partition(|backend| is_there(&backend.place));
        self.entries = entries;
        self.backends = backends;
        (lost_entries, lost_backends)
    }

    /// Starts the machines of a region anew.
    ///
    /// # Errors
    /// When a process doesn't start or the site doesn't become ready.
    pub async fn return_region(&mut self, region: &str) -> anyhow::Result<()> {
        for place in self.plan.places()? {
            if place.region.as_str() == region {
                self.start_entries_at(&place).await?;
                self.start_backends_at(&place).await?;
            }
        }
        self.ready().await
    }

    async fn start_vm(&self, name: &str, place: &Place, role: &str) -> anyhow::Result<Process> {
        let dir = self.dir.path();
        let settings = files::write_settings(dir, &self.plan, name, place, role, &self.contacts)?;
        Process::start("waxwingd", name, [settings], dir).await
    }

    async fn start_backends(&mut self) -> anyhow::Result<()> {
        for place in self.plan.places()? {
            self.start_backends_at(&place).await?;
        }
        Ok(())
    }

    async fn start_backends_at(&mut self, place: &Place) -> anyhow::Result<()> {
        let near = self.entries.iter().filter(|vm| vm.place == *place);
        let desks: Vec<_> = near.map(|vm| vm.desk_addr).collect();
        for fleet in &self.plan.fleets {
            for number in 1..=fleet.per_domain {
                let dir = self.dir.path();
                let backend = Backend::start(fleet, number, place, &desks, None, dir);
                self.backends.push(backend.await?);
            }
        }
        Ok(())
    }

    /// Waits until each entry VM knows the others and its domain's servers.
    async fn ready(&self) -> anyhow::Result<()> {
        for (at, vm) in self.entries.iter().enumerate() {
            let near = self.backends.iter().filter(|b| b.place == vm.place);
            let (servers, entries) = (near.count(), self.entries.len());
            let knows_all = || async {
                let status = self.status(at).await?;
                let is_known = status.servers.len() == servers && status.entries.len() == entries;
                is_known.then_some(())
            };
            wait_until("entry VM knows all machines", knows_all).await?;
        }
        let all_owned = || async {
            let mut owned = 0;
            for at in 0..self.entries.len() {
                owned += self.status(at).await?.owned.len();
            }
            (owned == self.backends.len()).then_some(())
        };
        wait_until("each backend server has one owner", all_owned).await
    }
}
