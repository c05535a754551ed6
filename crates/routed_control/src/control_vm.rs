//! One control VM: its tables and what may be asked of them.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use catalog::Catalog;
use control::Group;
use discovery::{ControlRow, EntryRow, News, Roster, RosterSettings, Row, ServerRow, StandIns};
use peers::{Identity, Links, accept};
use quorum::{FileDisk, OpenMembership};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};
use world::{Error, Kind, MachineName, Place, Rank, Ranked, Result};

use crate::cache::Cache;
use crate::courier::{CATALOG_GROUP, PeerCourier};
use crate::feed::{Ask, Give, Reader};
use crate::follow;
use crate::serve::HubServer;
use crate::settings::{Settings, name_of};

/// Longest wait of a reader for something new; also how often readers
/// announce themselves. Four of these fit into the silence of a machine.
const FEED_WAIT: Duration = Duration::from_millis(500);

/// Pause in which changes for control VMs gather before they are sent.
const GATHER: Duration = Duration::from_millis(100);

/// Time after a start in which not every backend server may have announced
/// itself yet: two announcements of 1.5 s and their way.
const SETTLE: Duration = Duration::from_secs(4);

/// Time between two writes of the known servers.
const SAVE_EVERY: Duration = Duration::from_secs(1);

/// Time between two looks for rows that fell silent.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Silence after which a replica of the catalog loses its vote, milliseconds:
/// beyond any outage that a machine comes back from by itself.
const RETIRE_MS: u64 = 12_000;

/// One control VM.
pub struct Hub {
    /// Its settings.
    pub settings: Settings,
    /// Its replica of the catalog.
    pub catalog: Arc<Group<Catalog, PeerCourier>>,
    pub(crate) links: OnceLock<Arc<Links<HubServer>>>,
    name: MachineName,
    roster: Ranked<Roster>,
    /// Number of the newest row, for readers that wait.
    touched: watch::Sender<u64>,
    /// Number of the newest change for entry VMs, for readers that wait.
    changed: watch::Sender<u64>,
    boot: u64,
    sequence: AtomicU64,
    started_at: Instant,
}

impl Hub {
    /// Opens the disk, starts the replica, and listens to other processes.
    ///
    /// # Errors
    /// When the disk can't be opened or the address can't be bound.
    pub async fn start(settings: Settings) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.listen()).await?;
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
        let courier = PeerCourier::new(settings.link_port);
        let catalog = Group::start(replica, disk, Catalog::default(), courier.clone())?;
        let identity = Identity::new(name.clone(), settings.secret.clone());
        let hub = Arc::new(Self {
            catalog,
            links: OnceLock::new(),
            name,
            roster: Ranked::new(Rank::Roster, Roster::new(RosterSettings::default())),
            touched: watch::Sender::new(0),
            changed: watch::Sender::new(0),
            boot: rand::random::<u64>().max(1),
            sequence: AtomicU64::new(1),
            started_at: Instant::now(),
            settings,
        });
        let server = Arc::new(HubServer::new(Arc::clone(&hub)));
        let links = Arc::new(Links::new(identity.clone(), Arc::clone(&server)));
        let _ = hub.links.set(Arc::clone(&links));
        courier.connect(links);
        hub.recall();
        tokio::spawn(accept(listener, identity, server));
        tokio::spawn(Arc::clone(&hub).save_on());
        tokio::spawn(Arc::clone(&hub).sweep_on());
        tokio::spawn(follow::run(Arc::clone(&hub)));
        Ok(hub)
    }

    /// Name of this machine.
    #[must_use]
    pub fn name(&self) -> &MachineName {
        &self.name
    }

    /// This machine as it announces itself.
    #[must_use]
    pub fn me(&self) -> Row {
        Row::Control(ControlRow {
            name: self.name.clone(),
            link: self.settings.link(),
            place: self.settings.place.clone(),
            born_ms: self.boot,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        })
    }

    /// Takes in rows that were announced here or came from another hub.
    pub fn merge(&self, news: impl IntoIterator<Item = News>) {
        let now = Instant::now();
        let mut roster = self.roster.lock();
        let mut any = false;
        for News { row, age_ms, .. } in news {
            any |= roster.merge(row, age_ms, now);
        }
        if any {
            self.publish(&roster);
        }
    }

    fn publish(&self, roster: &Roster) {
        self.touched.send_replace(roster.clock());
        let last_change = roster.last_change();
        self.changed.send_if_modified(|changed| {
            let grew = *changed != last_change;
            *changed = last_change;
            grew
        });
    }

    /// Takes in the announcement of a backend server.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] when it names a place or service that is not
    /// known; [`Kind::NotLeader`] when this machine is cut off from the other
    /// control VMs, so that the server should announce itself elsewhere;
    /// as [`Hub::leave`] for a server that leaves.
    pub async fn announce(&self, row: ServerRow) -> Result<()> {
        self.check(&row)?;
        let (name, born_ms, draining) = (row.name.clone(), row.born_ms, row.draining);
        let news = News {
            row: Row::Server(row),
            age_ms: 0,
            lost: false,
        };
        self.merge([news]);
        if draining {
            return self.leave(name, born_ms).await;
        }
        if self.catalog.is_current() || self.started_at.elapsed() < SETTLE {
            return Ok(());
        }
        let text = "no leader of the catalog is heard of here";
        Err(Error::new(Kind::NoQuorum, text))
    }

    fn check(&self, row: &ServerRow) -> Result<()> {
        if !self.settings.domains.contains_key(&row.place.domain) {
            let text = format!("no failure domain {}", row.place.domain);
            return Err(Error::new(Kind::BadRequest, text));
        }
        if row.slots == 0 {
            return Err(Error::new(Kind::BadRequest, "a server without slots"));
        }
        Ok(())
    }

    /// Start of a server as it is known here.
    #[must_use]
    pub fn born_ms(&self, server: &world::ServerName) -> Option<u64> {
        self.roster.lock().server(server).map(|row| row.born_ms)
    }

    /// Addresses that a caller at `place` should use.
    #[must_use]
    pub fn entries_near(&self, place: &Place) -> Vec<SocketAddr> {
        let now = Instant::now();
        let bound = self.catalog.look(Catalog::binds_to_regions);
        let from = if bound {
            StandIns::Region
        } else {
            StandIns::Anywhere
        };
        let roster = self.roster.lock();
        let near = roster.entries_near(place, from, rand::random(), now);
        near.into_iter().map(|row: &EntryRow| row.front).collect()
    }

    /// Control VMs that are known, with the seeds.
    #[must_use]
    pub fn controls(&self) -> Vec<IpAddr> {
        let mut ips: Vec<IpAddr> = self.settings.seeds.clone();
        let roster = self.roster.lock();
        ips.extend(roster.controls().map(|row| row.link.ip()));
        drop(roster);
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

    /// Answers a reader of the feed, waiting a little for something new.
    pub async fn feed(&self, ask: Ask) -> Give {
        let Ask {
            reader,
            me,
            boot,
            cursor,
            catalog_index,
        } = ask;
        let news = News {
            row: me,
            age_ms: 0,
            lost: false,
        };
        self.merge([news]);
        let cursor = if boot == self.boot { cursor } else { 0 };
        let wait_until = Instant::now() + FEED_WAIT;
        match reader {
            Reader::Entry => self.await_change(cursor, catalog_index, wait_until).await,
            Reader::Control => self.await_row(cursor, wait_until).await,
        }
        self.give(reader, cursor, catalog_index)
    }

    async fn await_change(&self, cursor: u64, catalog_index: u64, until: Instant) {
        let mut changed = self.changed.subscribe();
        let mut applied = self.catalog.applied();
        loop {
            let behind = *changed.borrow_and_update() > cursor;
            applied.borrow_and_update();
            if behind || self.catalog.look(Catalog::index) > catalog_index {
                return;
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = applied.changed() => {}
                () = sleep_until(until) => return,
            }
        }
    }

    async fn await_row(&self, cursor: u64, until: Instant) {
        sleep_until(Instant::now() + GATHER).await;
        let mut touched = self.touched.subscribe();
        let newer = touched.wait_for(|clock| *clock > cursor);
        // Nothing new in time is an answer as well.
        let _ = timeout_at(until, newer).await;
    }

    fn give(&self, reader: Reader, cursor: u64, catalog_index: u64) -> Give {
        let now = Instant::now();
        let (news, next) = {
            let roster = self.roster.lock();
            let news = match reader {
                Reader::Entry => roster.changed_since(cursor, now),
                Reader::Control => roster.touched_since(cursor, now),
            };
            (news, roster.clock())
        };
        let (catalog, index) = match reader {
            Reader::Entry => self
                .catalog
                .look(|catalog| (catalog.since_without_source(catalog_index), catalog.index())),
            Reader::Control => (Vec::new(), 0),
        };
        Give {
            boot: self.boot,
            cursor: next,
            whole: cursor == 0,
            current: self.catalog.is_current(),
            settled: self.started_at.elapsed() >= SETTLE,
            catalog_index: index,
            catalog,
            news,
        }
    }

    fn cache(&self) -> Cache {
        Cache::new(&self.settings.data_dir)
    }

    /// Takes in the servers that were known before a restart.
    fn recall(&self) {
        let servers = match self.cache().load() {
            Ok(servers) => servers,
            Err(error) => {
                log::info!(target: "hub", error:% = error; "no servers are known from before");
                return;
            }
        };
        log::info!(target: "hub", servers = servers.len(); "servers known from before");
        self.merge(servers.into_iter().map(|row| News {
            row: Row::Server(row),
            age_ms: 0,
            lost: false,
        }));
    }

    async fn save_on(self: Arc<Self>) {
        let mut saved = 0;
        loop {
            tokio::time::sleep(SAVE_EVERY).await;
            let (change, servers) = {
                let roster = self.roster.lock();
                (roster.last_change(), roster.servers())
            };
            if change == saved || self.started_at.elapsed() < SETTLE {
                continue;
            }
            saved = change;
            let cache = self.cache();
            let saving = tokio::task::spawn_blocking(move || cache.save(&servers));
            match saving.await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::warn!(target: "hub", error:? = error; "servers not saved"),
                Err(error) => log::warn!(target: "hub", error:% = error; "servers not saved"),
            }
        }
    }

    async fn sweep_on(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            let news = News {
                row: self.me(),
                age_ms: 0,
                lost: false,
            };
            self.merge([news]);
            let mut roster = self.roster.lock();
            if roster.sweep(Instant::now()) {
                self.publish(&roster);
            }
        }
    }
}
