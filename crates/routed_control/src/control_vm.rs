//! One control VM of a routed site: its replica of the catalog, its registry of
//! servers and machines, and the operations on them.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use catalog::Catalog;
use control::Group;
use discovery::{
    ControlRow, EntryRow, Origin, Registry, RegistrySettings, Row, ServerRow, SubstituteScope,
    Update,
};
use peers::{Identity, Links, accept};
use quorum::{FileDisk, OpenMembership};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};
use world::{Error, ErrorKind, LockRank, MachineName, Place, RankedMutex, Result};

use crate::cache::{Cache, CachedRows};
use crate::feed::{self, FeedRequest, FeedResponse, Reader};
use crate::feed_reader;
use crate::replication_transport::{CATALOG_GROUP, PeerTransport};
use crate::serve::MessageHandler;
use crate::settings::{Settings, name_of};
use crate::whole::WholeResponses;

/// Longest time that a feed request waits for a change, and so the interval at which
/// readers announce themselves. Four of these fit into
/// [`RegistrySettings::machine_timeout_ms`].
const FEED_WAIT: Duration = Duration::from_millis(500);

/// Least delay of a response to a reader with a cursor, in which changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Time after a start in which some backend servers may not have announced
/// themselves yet: two announcement intervals of 1.5 s and the network delay.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time between two writes of the server cache.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps of the registry for silent servers and machines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a replica of the catalog loses its vote, milliseconds: longer
/// than any outage that a machine recovers from by itself.
const RETIRE_MS: u64 = 12_000;

/// State and operations of this process as a control VM.
pub struct ControlVm {
    /// Fixed after the start.
    pub settings: Settings,
    /// This machine's replica of the catalog.
    pub catalog: Arc<Group<Catalog, PeerTransport>>,
    pub(crate) links: OnceLock<Arc<Links<MessageHandler>>>,
    name: MachineName,
    registry: RankedMutex<Registry>,
    /// Registry version of the newest row; waiting control VMs watch it.
    newest_row: watch::Sender<u64>,
    /// Version of the registry's newest change that matters to entry VMs, which watch it.
    newest_change: watch::Sender<u64>,
    /// Responses to entry VMs without a cursor.
    whole: WholeResponses,
    /// Random id of this start.
    boot: u64,
    sequence: AtomicU64,
    started_at: Instant,
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
            whole: WholeResponses::default(),
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
        ips.extend(
            members
                .iter()
                .filter_map(|m| crate::settings::ip_of(&m.name)),
        );
        ips.sort();
        ips.dedup();
        ips.retain(|ip| *ip != self.settings.ip);
        ips
    }

    /// Handles a feed request. Waits up to 500 ms for a change. Returns the encoded
    /// response.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the response can't be encoded.
    pub async fn feed(&self, request: FeedRequest) -> Result<Bytes> {
        let FeedRequest {
            reader,
            me,
            boot,
            cursor,
            catalog_index,
            findings,
            relayed,
        } = request;
        let news = Update {
            row: me,
            age_ms: 0,
            lost: false,
        };
        let findings = findings.into_iter().filter(|f| f.row.is_finding());
        match &news.row {
            // The reader itself answers all others, so its row is not passed on.
            Row::Control(row) => {
                let origin = Origin::ControlVm(row.name.clone());
                self.merge_from(&origin, std::iter::once(news));
            }
            _ => self.merge(std::iter::once(news).chain(findings)),
        }
        let cursor = if boot == self.boot { cursor } else { 0 };
        let wait_until = Instant::now() + FEED_WAIT;
        match reader {
            Reader::Entry => self.await_change(cursor, catalog_index, wait_until).await,
            Reader::Control => self.await_row(cursor, wait_until).await,
        }
        let whole = cursor == 0 && reader == Reader::Entry;
        let now = Instant::now();
        if whole && let Some(payload) = self.whole.get(catalog_index, now) {
            return Ok(payload);
        }
        let payload = feed::encode(&self.response(reader, cursor, catalog_index, &relayed))?;
        if whole {
            self.whole.keep(&payload, catalog_index, now);
        }
        Ok(payload)
    }

    /// Waits for a change of the registry or of the catalog that matters to entry VMs.
    async fn await_change(&self, cursor: u64, catalog_index: u64, until: Instant) {
        if cursor > 0 {
            // Readers come back at different times, so that a change does not wake all.
            let batch = BATCH_DELAY.mul_f64(1.0 + rand::random::<f64>());
            sleep_until(Instant::now() + batch).await;
        }
        let mut changed = self.newest_change.subscribe();
        let mut applied = self.catalog.applied();
        loop {
            let behind = *changed.borrow_and_update() > cursor;
            applied.borrow_and_update();
            if behind || self.catalog.read_local(Catalog::index) > catalog_index {
                return;
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = applied.changed() => {}
                () = sleep_until(until) => return,
            }
        }
    }

    /// Waits for any new row of the registry.
    async fn await_row(&self, cursor: u64, until: Instant) {
        sleep_until(Instant::now() + BATCH_DELAY).await;
        let mut newest_row = self.newest_row.subscribe();
        let newer = newest_row.wait_for(|clock| *clock > cursor);
        // After the wait a response without changes is sent.
        let _ = timeout_at(until, newer).await;
    }

    fn response(
        &self,
        reader: Reader,
        cursor: u64,
        catalog_index: u64,
        relayed: &[MachineName],
    ) -> FeedResponse {
        let now = Instant::now();
        let (news, next) = {
            let registry = self.registry.lock();
            let news = match reader {
                Reader::Entry => registry.changed_since(cursor, now),
                Reader::Control => registry.announced_since(cursor, relayed, now),
            };
            (news, registry.clock())
        };
        let (findings, news) = news.into_iter().partition(|news| news.row.is_finding());
        let (catalog, index) = match reader {
            Reader::Entry => self.catalog.read_local(|catalog| {
                (catalog.since_without_source(catalog_index), catalog.index())
            }),
            Reader::Control => (Vec::new(), 0),
        };
        FeedResponse {
            boot: self.boot,
            cursor: next,
            whole: cursor == 0,
            current: self.catalog.is_current(),
            settled: self.started_at.elapsed() >= SETTLE_TIME,
            catalog_index: index,
            catalog,
            news,
            findings,
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
            saved = change;
            let cache = self.cache();
            let saving = tokio::task::spawn_blocking(move || cache.save(&rows));
            match saving.await {
                Ok(Ok(())) => {}
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
