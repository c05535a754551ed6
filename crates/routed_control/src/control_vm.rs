//! One control VM of a routed site: its replica of the catalog, its registry of
//! servers and machines, and the operations on them.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use catalog::Catalog;
use control::Group;
use discovery::{
    ControlRow, EntryRow, Origin, Registry, RegistrySettings, Row, ServerRow, SubstituteScope,
    Update,
};
use peers::{Identity, Links, accept, suspension};
use quorum::{FileDisk, OpenMembership, Role};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use world::{Error, ErrorKind, LockRank, MachineName, Place, RankedMutex, Result};

use crate::cache::{Cache, CachedRows};
use crate::feed_reader;
use crate::feed_responses::Shared;
use crate::interruptions::{Interruptions, OBSERVATION_INTERVAL};
use crate::reach::Reach;
use crate::replication_transport::{CATALOG_GROUP, PeerTransport};
use crate::serve::MessageHandler;
use crate::settings::{self, Settings, name_of};

/// Time after a start in which some backend servers may not have announced
/// themselves yet: two announcement intervals of 1.5 s and the network delay.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time between two writes of the server cache.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps of the registry for silent servers and machines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a replica of the catalog may lose its vote, milliseconds. A group
/// that has lost machines must be whole again soon after their return, and a replica that
/// was only slow gets its vote back.
const RETIRE_MS: u64 = 1_500;

/// State and operations of this process as a control VM.
pub struct ControlVm {
    /// Fixed after the start.
    pub settings: Settings,
    /// This machine's replica of the catalog.
    pub catalog: Arc<Group<Catalog, PeerTransport>>,
    pub(crate) links: OnceLock<Arc<Links<MessageHandler>>>,
    name: MachineName,
    pub(crate) registry: RankedMutex<Registry>,
    /// Registry version of the newest row; waiting control VMs watch it.
    pub(crate) newest_row: watch::Sender<u64>,
    /// Version of the registry's newest change that matters to entry VMs, which watch it.
    pub(crate) newest_change: watch::Sender<u64>,
    /// Which other control VMs answer this one.
    pub(crate) reach: RankedMutex<Reach>,
    interruptions: RankedMutex<Interruptions>,
    /// Responses that several readers of the feed get.
    pub(crate) shared: Shared,
    /// Random id of this start.
    pub(crate) boot: u64,
    sequence: AtomicU64,
    pub(crate) started_at: Instant,
}

impl ControlVm {
    /// Opens the replica's storage, starts the replica and the background tasks, and
    /// listens for other processes.
    ///
    /// # Errors
    /// When the disk can't be opened or the address can't be bound.
    pub async fn start(settings: Settings) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.listen_addr()).await?;
        let name = settings.name()?;
        let mut seeds: Vec<MachineName> = settings
            .seeds
            .iter()
            .map(|ip| name_of(*ip))
            .collect::<Result<_>>()?;
        seeds.sort();
        let open = OpenMembership {
            retire_ms: RETIRE_MS,
            tolerated_losses: settings.tolerated_losses,
        };
        let replica = quorum::Settings::new(name.clone(), seeds, rand::random())
            .with_open_membership(open, settings.bootstrap);
        let disk = FileDisk::new(&settings.data_dir.join(CATALOG_GROUP))?;
        let transport = PeerTransport::new(settings.link_port);
        let catalog = Group::start(replica, disk, Catalog::default(), transport.clone())?;
        let identity = Identity::new(name.clone(), settings.secret.clone());
        let control_vm = Arc::new(Self {
            catalog,
            links: OnceLock::new(),
            name,
            registry: RankedMutex::new(
                LockRank::Registry,
                Registry::new(RegistrySettings::default()),
            ),
            newest_row: watch::Sender::new(0),
            newest_change: watch::Sender::new(0),
            reach: RankedMutex::new(LockRank::Members, Reach::default()),
            interruptions: RankedMutex::new(
                LockRank::Members,
                Interruptions::new(suspension::boot_time()),
            ),
            shared: Shared::default(),
            boot: rand::random::<u64>().max(1),
            sequence: AtomicU64::new(1),
            started_at: Instant::now(),
            settings,
        });
        let server = Arc::new(MessageHandler::new(Arc::clone(&control_vm)));
        let links = Arc::new(Links::new(identity.clone(), Arc::clone(&server)));
        let _ = control_vm.links.set(Arc::clone(&links));
        transport.connect(links);
        control_vm.load_cached_rows();
        tokio::spawn(accept(listener, identity, server));
        tokio::spawn(Arc::clone(&control_vm).save_periodically());
        tokio::spawn(Arc::clone(&control_vm).sweep_periodically());
        tokio::spawn(feed_reader::run(Arc::clone(&control_vm)));
        tokio::spawn(Arc::clone(&control_vm).observe_periodically());
        Ok(control_vm)
    }

    /// Name of this machine.
    #[must_use]
    pub fn name(&self) -> &MachineName {
        &self.name
    }

    /// Row that announces this machine, with a new sequence number.
    #[must_use]
    pub fn own_row(&self) -> Row {
        Row::Control(ControlRow {
            name: self.name.clone(),
            link: self.settings.link_addr(),
            place: self.settings.place.clone(),
            // Random, so it may be lower than in the row of an earlier start. A registry
            // then accepts this row once the earlier one is overdue.
            born_ms: self.boot,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        })
    }

    /// Merges rows that were announced here.
    pub fn merge(&self, news: impl IntoIterator<Item = Update>) {
        self.merge_from(&Origin::Here, news);
    }

    /// Merges rows that came from `origin`.
    pub fn merge_from(&self, origin: &Origin, news: impl IntoIterator<Item = Update>) {
        let now = Instant::now();
        let mut registry = self.registry.lock();
        let mut any = false;
        for Update { row, age_ms, .. } in news {
            any |= registry.merge_from(origin.clone(), row, age_ms, now);
        }
        if any {
            self.publish(&registry);
        }
    }

    /// Wakes the feed requests that wait for a change.
    fn publish(&self, registry: &Registry) {
        self.newest_row.send_replace(registry.clock());
        let last_change = registry.last_change();
        self.newest_change.send_if_modified(|changed| {
            let grew = *changed != last_change;
            *changed = last_change;
            grew
        });
    }

    /// Processes the announcement of a backend server. A server that announces itself as
    /// draining is recorded in the catalog as leaving.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] when the failure domain is unknown or the server has no
    /// slots; [`ErrorKind::NoQuorum`] when this machine is cut off from the other control
    /// VMs, so that the server should announce itself to another one; those of
    /// [`ControlVm::leave`] for a draining server.
    pub async fn announce(&self, row: ServerRow) -> Result<()> {
        self.check(&row)?;
        let (name, born_ms, draining) = (row.name.clone(), row.born_ms, row.draining);
        let news = Update {
            row: Row::Server(row),
            age_ms: 0,
            lost: false,
        };
        self.merge([news]);
        if draining {
            return self.leave(name, born_ms).await;
        }
        if self.catalog.is_current() || self.started_at.elapsed() < SETTLE_TIME {
            return Ok(());
        }
        let text = "no leader of the catalog is heard of here";
        Err(Error::new(ErrorKind::NoQuorum, text))
    }

    fn check(&self, row: &ServerRow) -> Result<()> {
        if !self.settings.domains.contains_key(&row.place.domain) {
            let text = format!("no failure domain {}", row.place.domain);
            return Err(Error::new(ErrorKind::BadRequest, text));
        }
        if row.slots == 0 {
            return Err(Error::new(ErrorKind::BadRequest, "a server without slots"));
        }
        Ok(())
    }

    /// Start time of a known backend server, Unix milliseconds.
    #[must_use]
    pub fn born_ms(&self, server: &world::ServerName) -> Option<u64> {
        self.registry.lock().server(server).map(|row| row.born_ms)
    }

    /// Front addresses of the entry VMs that a client at `place` should use. While any
    /// route is bound to regions, only entry VMs of the place's region are returned.
    #[must_use]
    pub fn entries_near(&self, place: &Place) -> Vec<SocketAddr> {
        let now = Instant::now();
        let is_bound = self.catalog.read_local(Catalog::binds_to_regions);
        let from = if is_bound {
            SubstituteScope::Region
        } else {
            SubstituteScope::Anywhere
        };
        let registry = self.registry.lock();
        let near = registry.entries_near(place, from, rand::random(), now);
        near.into_iter().map(|row: &EntryRow| row.front).collect()
    }

    /// Addresses of all control VMs known from the seeds, the registry and the members of
    /// the catalog's replica group, without this machine.
    #[must_use]
    pub fn controls(&self) -> Vec<IpAddr> {
        let mut ips: Vec<IpAddr> = self.settings.seeds.clone();
        let registry = self.registry.lock();
        ips.extend(registry.controls().map(|row| row.link.ip()));
        drop(registry);
        let members = self.catalog.status().members;
        ips.extend(members.iter().filter_map(|m| settings::ip_of(&m.name)));
        ips.sort();
        ips.dedup();
        ips.retain(|ip| *ip != self.settings.ip);
        ips
    }

    /// Records whether another control VM answered. Returns whether that is a change.
    pub(crate) fn record_reach(&self, other: IpAddr, answered: bool) -> bool {
        let mut reach = self.reach.lock();
        reach.record(other, answered, Instant::now())
    }

    /// Looks at the clock and at the contact to other control VMs. Returns whether an order
    /// that was just read may have waited.
    pub(crate) fn observe_interruptions(&self) -> bool {
        let members = self.catalog.status().members;
        let voters = members.iter().filter(|member| member.role == Role::Voter);
        let voters: Vec<IpAddr> = voters.filter_map(|v| settings::ip_of(&v.name)).collect();
        let reach = self.reach.lock();
        let in_contact = reach.has_contact(self.settings.ip, &voters, Instant::now());
        drop(reach);
        let now = suspension::boot_time();
        self.interruptions.lock().observe(now, in_contact)
    }

    async fn observe_periodically(self: Arc<Self>) {
        let mut is_interrupted = true;
        loop {
            tokio::time::sleep(OBSERVATION_INTERVAL).await;
            let before = std::mem::replace(&mut is_interrupted, self.observe_interruptions());
            if before != is_interrupted {
                log::info!(target: "hub", is_interrupted; "orders may have waited for this control VM");
            }
        }
    }

    fn cache(&self) -> Cache {
        Cache::new(&self.settings.data_dir)
    }

    /// Loads the servers, findings and entry VMs that were known before a restart.
    fn load_cached_rows(&self) {
        let cached = match self.cache().load() {
            Ok(cached) => cached,
            Err(error) => {
                log::info!(target: "hub", error:% = error; "no cached backend servers loaded");
                return;
            }
        };
        log::info!(
            target: "hub", servers = cached.servers.len(), findings = cached.findings.len(),
            entry_vms = cached.entries.len();
            "cached backend servers and entry VMs loaded"
        );
        let servers = cached.servers.into_iter().map(Row::Server);
        let rows = servers.chain(cached.findings.into_iter().map(Row::Finding));
        let rows = rows.chain(cached.entries.into_iter().map(Row::Entry));
        let rows = rows.map(|row| Update {
            row,
            age_ms: 0,
            lost: false,
        });
        self.merge_from(&Origin::Cache, rows);
    }

    async fn save_periodically(self: Arc<Self>) {
        let mut saved = (0, 0);
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            let (change, rows) = {
                let (registry, now) = (self.registry.lock(), Instant::now());
                let rows = CachedRows {
                    servers: registry.servers(),
                    findings: registry.findings(now),
                    entries: registry.entries(now).map(|(row, _)| row.clone()).collect(),
                };
                ((registry.last_change(), registry.last_finding()), rows)
            };
            if change == saved || self.started_at.elapsed() < SETTLE_TIME {
                continue;
            }
            let cache = self.cache();
            let saving = tokio::task::spawn_blocking(move || cache.save(&rows));
            match saving.await {
                Ok(Ok(())) => saved = change,
                Ok(Err(error)) => log::warn!(target: "hub", error:? = error; "servers not saved"),
                Err(error) => log::warn!(target: "hub", error:% = error; "servers not saved"),
            }
        }
    }

    /// Refreshes this machine's own row and removes silent rows, periodically.
    async fn sweep_periodically(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let news = Update {
                row: self.own_row(),
                age_ms: 0,
                lost: false,
            };
            self.merge([news]);
            let mut registry = self.registry.lock();
            if registry.sweep(Instant::now()) {
                self.publish(&registry);
            }
        }
    }
}
