//! A test site on loopback: control VMs, entry VMs and stand-in backend servers, each
//! as a process, and a relay through which other processes reach the link port of each
//! control VM.

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
pub use client::{Client, ClientRequest, ClientResponse};
use files::Contacts;
pub use files::{Files, OPERATOR_KEY, key_of, keys};
pub use plan::{Fleet, RegionPlan, SitePlan, service};

use crate::process::{Process, binary_path, wait_until};
use crate::relay::Relay;

/// Maximum time until a change is in effect everywhere, seconds.
const APPLY_WAIT_S: &str = "10";

/// A running control VM.
#[derive(Debug)]
pub struct Control {
    /// Process of `waxwingd` with the control role.
    pub process: Process,
    /// Address of the control API.
    pub api_addr: SocketAddr,
}

/// A running entry VM.
#[derive(Debug)]
pub struct Entry {
    /// Process of `waxwingd` with the entry role.
    pub process: Process,
    /// Failure domain of the VM.
    pub place: Place,
    /// Address for clients' requests.
    pub front_addr: SocketAddr,
    /// Address of the entry API, for lookups, announcements and operators.
    pub api_addr: SocketAddr,
}

/// Result of a run of `waxwingctl`.
#[derive(Clone, Debug)]
pub struct CtlOutput {
    /// Exit code.
    pub exit_code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// A running site; dropping it kills every process.
#[derive(Debug)]
pub struct Site {
    /// Layout of the site.
    pub plan: SitePlan,
    /// List files and key files.
    pub files: Files,
    /// Running control VMs.
    pub controls: Vec<Control>,
    /// Relays to the link ports of the control VMs, in the same order.
    pub control_relays: Vec<Relay>,
    /// Running entry VMs.
    pub entries: Vec<Entry>,
    /// Running stand-in backend servers.
    pub backends: Vec<Backend>,
    contacts: Contacts,
    dir: TempDir,
}

impl Site {
    /// Starts a site and waits until its lists are in effect at every entry VM, all
    /// machines are known, and every backend server has an owner.
    ///
    /// # Errors
    /// When a process doesn't start or the site doesn't become ready.
    pub async fn start(plan: SitePlan) -> anyhow::Result<Self> {
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
        site.wait_ready().await?;
        Ok(site)
    }

    /// Returns the folder with settings, logs and data.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the API addresses of the entry VMs.
    #[must_use]
    pub fn api_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|vm| vm.api_addr).collect()
    }

    /// Runs `waxwingctl` with `--control` and `--entry` for each VM, and with `--key-file`
    /// for every subcommand but `status`.
    ///
    /// # Errors
    /// When `waxwingctl` isn't built or doesn't start.
    pub async fn ctl(&self, args: &[&str]) -> anyhow::Result<CtlOutput> {
        let mut command = Command::new(binary_path("waxwingctl")?);
        command.args(args).kill_on_drop(true);
        for vm in &self.controls {
            command.arg(format!("--control={}", vm.api_addr));
        }
        for api in self.api_addrs() {
            command.arg(format!("--entry={api}"));
        }
        if args.first() != Some(&"status") {
            command.arg("--key-file").arg(&self.files.operator_key);
        }
        let output = command.output().await.context("could not run waxwingctl")?;
        Ok(CtlOutput {
            exit_code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Applies the lists of the site's files and waits until they are in effect.
    ///
    /// # Errors
    /// When the lists are refused or aren't in effect everywhere within 10 s.
    pub async fn apply(&self) -> anyhow::Result<()> {
        let customers = self.files.customers.to_string_lossy();
        let plans = self.files.plans.to_string_lossy();
        let args = ["apply", &customers, &plans, "--wait", APPLY_WAIT_S];
        let output = self.ctl(&args).await?;
        ensure!(
            output.exit_code == 0,
            "lists were not applied: {}",
            output.stderr
        );
        Ok(())
    }

    /// Fetches the status of one entry VM; `None` when the VM doesn't respond.
    pub async fn status(&self, entry: usize) -> Option<Status> {
        status(self.entries[entry].api_addr).await.ok()
    }

    /// Returns the backend servers of one service.
    pub fn fleet<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Backend> {
        let is_of_service = move |b: &&Backend| b.service.as_str() == service;
        self.backends.iter().filter(is_of_service)
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
                api_addr: process.addr("control_desk")?,
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

    /// Starts an entry VM whose seeds are the site's entry VMs; it isn't added to
    /// [`Site::entries`].
    ///
    /// # Errors
    /// When the process doesn't start.
    pub async fn start_entry(&self, name: &str, place: &Place) -> anyhow::Result<Entry> {
        let process = self.start_vm(name, place, "entry").await?;
        Ok(Entry {
            front_addr: process.addr("front")?,
            api_addr: process.addr("desk")?,
            place: place.clone(),
            process,
        })
    }

    /// Removes the machines of a region from the site and returns them; dropping them
    /// kills their processes.
    pub fn take_region(&mut self, region: &str) -> (Vec<Entry>, Vec<Backend>) {
        let is_in_region = |place: &Place| place.region.as_str() == region;
        let (lost_entries, entries) = mem::take(&mut self.entries)
            .into_iter()
            .partition(|vm| is_in_region(&vm.place));
        let (lost_backends, backends) = mem::take(&mut self.backends)
            .into_iter()
            .partition(|backend| is_in_region(&backend.place));
        self.entries = entries;
        self.backends = backends;
        (lost_entries, lost_backends)
    }

    /// Starts new machines in a region after [`Site::take_region`].
    ///
    /// # Errors
    /// When a process doesn't start or the site doesn't become ready.
    pub async fn restart_region(&mut self, region: &str) -> anyhow::Result<()> {
        for place in self.plan.places()? {
            if place.region.as_str() == region {
                self.start_entries_at(&place).await?;
                self.start_backends_at(&place).await?;
            }
        }
        self.wait_ready().await
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
        let local = self.entries.iter().filter(|vm| vm.place == *place);
        let api_addrs: Vec<_> = local.map(|vm| vm.api_addr).collect();
        for fleet in &self.plan.fleets {
            for number in 1..=fleet.per_domain {
                let dir = self.dir.path();
                let backend = Backend::start(fleet, number, place, &api_addrs, None, dir);
                self.backends.push(backend.await?);
            }
        }
        Ok(())
    }

    /// Waits until each entry VM knows all entry VMs and the backend servers of its failure
    /// domain, and each backend server has one owner.
    async fn wait_ready(&self) -> anyhow::Result<()> {
        for (index, vm) in self.entries.iter().enumerate() {
            let local = self.backends.iter().filter(|b| b.place == vm.place);
            let (servers, entries) = (local.count(), self.entries.len());
            let knows_all = || async {
                let status = self.status(index).await?;
                let is_known = status.servers.len() == servers && status.entries.len() == entries;
                is_known.then_some(())
            };
            wait_until("entry VM knows all machines", knows_all).await?;
        }
        let all_owned = || async {
            let mut owned = 0;
            for index in 0..self.entries.len() {
                owned += self.status(index).await?.owned.len();
            }
            (owned == self.backends.len()).then_some(())
        };
        wait_until("each backend server has one owner", all_owned).await
    }
}
