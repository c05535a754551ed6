//! Shared state of an entry VM of a routed site.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use affinity::AffinityBalancer;
use arc_swap::ArcSwap;
use catalog::{Piece, Table};
use discovery::{EntryRow, Row};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use world::{LockRank, RankedMutex, Result, Route, Secret};

use crate::catalog_copy::{CatalogCopy, Merged};
use crate::crashes::Crashes;
use crate::dialect::{Dialect, RequestHead};
use crate::findings::Findings;
use crate::large::MeanSize;
use crate::memory::BodyMemory;
use crate::metrics::Metrics;
use crate::pace::Pacer;
use crate::pool::Pool;
use crate::request_log::{Outcome, RequestLog};
use crate::shutdown::Shutdown;

/// Time for which routes count as up to date after a control VM confirmed them:
/// changes must be in effect after 2 s, and control VMs may lag behind each
/// other by half a second.
const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);

/// Number of link measurements, one every half second, in the moving mean: fewer
/// than the four made during the 2 s for which clients cache a lookup.
const BUSY_MEAN_SAMPLES: u64 = 3;

/// Settings of an entry VM of a routed site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listen address for clients.
    pub front: SocketAddr,
    /// Addresses of control VMs to contact first.
    pub seeds: Vec<IpAddr>,
    /// Port of every control VM for links between the system's processes.
    pub link_port: u16,
    /// Rate of this machine's network link in each direction, bytes a second.
    pub link_bytes_per_s: f64,
    /// Memory for the bodies of requests and responses that this entry VM holds, bytes.
    pub body_memory_bytes: usize,
    /// Shared secret that authenticates the processes of the deployment.
    pub secret: Secret,
    /// Settings of the balancer.
    pub balancer: affinity::Settings,
}

/// State that all connections of an entry VM share.
pub struct State<D: Dialect> {
    /// Settings with which this entry VM was started.
    pub settings: Settings,
    /// Encoding of request and response heads.
    pub dialect: D,
    /// Routes in effect, with the services and limits that belong to them.
    pub routes: ArcSwap<Table>,
    /// Local copy of the catalog, which the control VMs replicate: routes, services,
    /// limits, evacuations and departures of servers.
    pub catalog: RankedMutex<CatalogCopy>,
    /// When a control VM last confirmed that the catalog is up to date.
    confirmed_at: RankedMutex<Option<Instant>>,
    /// Balancer over the backend servers.
    pub balancer: RankedMutex<AffinityBalancer>,
    /// Requests that crash backend servers.
    pub crashes: Crashes,
    /// Findings of this entry VM and of others.
    pub findings: Findings,
    /// Idle connections.
    pub pool: Arc<Pool>,
    /// Memory for the bodies that this entry VM holds.
    pub memory: Arc<BodyMemory>,
    /// Pacing of bytes received over this machine's link.
    pub pace_in: Arc<Pacer>,
    /// Pacing of bytes sent over this machine's link.
    pub pace_out: Arc<Pacer>,
    /// Mean size of large responses.
    pub large_size: MeanSize,
    /// Moving mean of the used share of the link, percent.
    busy_percent: AtomicU32,
    /// Counters and histograms.
    pub stats: Metrics,
    pub(crate) request_log: RequestLog,
    /// Times of the planned stop, once it has begun.
    shutdown: watch::Sender<Option<Shutdown>>,
    /// Random number that tells this process from earlier ones; sent as `born_ms`.
    incarnation: u64,
    sequence: AtomicU64,
}

impl<D: Dialect> State<D> {
    /// State of an entry VM without a configuration.
    ///
    /// # Errors
    /// When the metrics can't be registered.
    pub fn new(settings: Settings, dialect: D) -> prometheus::Result<Self> {
        Ok(Self {
            dialect,
            routes: ArcSwap::default(),
            catalog: RankedMutex::new(LockRank::Config, CatalogCopy::default()),
            balancer: RankedMutex::new(
                LockRank::Affinity,
                AffinityBalancer::new(settings.balancer.clone(), Instant::now()),
            ),
            confirmed_at: RankedMutex::new(LockRank::Members, None),
            crashes: Crashes::default(),
            findings: Findings::default(),
            pool: Arc::default(),
            memory: Arc::new(BodyMemory::new(settings.body_memory_bytes)),
            pace_in: Arc::new(Pacer::new(settings.link_bytes_per_s)),
            large_size: MeanSize::default(),
            busy_percent: AtomicU32::new(0),
            pace_out: Arc::new(Pacer::new(settings.link_bytes_per_s)),
            stats: Metrics::new()?,
            request_log: RequestLog::default(),
            shutdown: watch::Sender::new(None),
            incarnation: rand::random::<u64>().max(1),
            sequence: AtomicU64::new(1),
            settings,
        })
    }

    /// Whether this entry VM serves clients: it has a configuration and is
    /// not leaving.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routes.load().is_known()
    }

    /// Records that a control VM in contact with the leader of the catalog's replica
    /// group had no newer catalog at this time.
    pub fn confirm(&self, now: Instant) {
        *self.confirmed_at.lock() = Some(now);
    }

    /// Whether the routes were confirmed recently, so that a route missing from
    /// them does not exist.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let confirmed_at = *self.confirmed_at.lock();
        confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < CONFIRMED_FOR)
    }

    /// Whether this entry VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// Starts leaving: from now on responses close their connections, and this
    /// entry VM announces that it is leaving.
    pub fn start_leaving(&self, shutdown: Shutdown) {
        // A second signal does not postpone the end.
        self.shutdown
            .send_modify(|known| *known = known.or(Some(shutdown)));
    }

    /// Decides whether a request with this deadline is taken now. Returns the deadline,
    /// which a planned stop brings forward.
    ///
    /// # Errors
    /// Those of [`Shutdown::admit`].
    pub fn admit(&self, deadline: Instant, idempotent: bool) -> Result<Instant> {
        let shutdown = *self.shutdown.borrow();
        shutdown.map_or(Ok(deadline), |s| {
            s.admit(deadline, idempotent, Instant::now())
        })
    }

    /// Waits for the last moment of a planned stop at which a response can be sent.
    pub(crate) async fn last_response_time(&self) {
        let mut shutdown = self.shutdown.subscribe();
        let known = shutdown.wait_for(Option::is_some).await;
        let at = known.ok().and_then(|known| *known);
        match at {
            Some(shutdown) => sleep_until(shutdown.last_response_at()).await,
            None => std::future::pending().await,
        }
    }

    /// The announcement of this entry VM, with the next sequence number.
    pub fn announcement(&self) -> Row {
        Row::Entry(EntryRow {
            name: self.settings.balancer.name.clone(),
            front: self.settings.front,
            place: self.settings.balancer.place.clone(),
            leaving: !self.is_ready(),
            busy_percent: self.busy_percent(),
            born_ms: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        })
    }

    /// Adds measurements of link usage and held bodies; called about every half second.
    pub fn measure(&self) {
        let percents = [&self.pace_in, &self.pace_out].map(|pace| pace.take_busy_percent());
        let busy = percents[0].max(percents[1]);
        let known = u64::from(self.busy_percent.load(Ordering::Relaxed));
        let mean = (known * (BUSY_MEAN_SAMPLES - 1) + busy) / BUSY_MEAN_SAMPLES;
        let busy = u32::try_from(mean).unwrap_or(u32::MAX);
        self.busy_percent.store(busy, Ordering::Relaxed);
        self.stats.set_link_busy(busy);
        self.stats.set_held_bytes(self.memory.held_bytes());
    }

    /// Moving mean of the used share of the link, percent of the paced rate.
    pub fn busy_percent(&self) -> u32 {
        self.busy_percent.load(Ordering::Relaxed)
    }

    /// Merges a piece of the catalog, if any was sent, and updates the routes and the
    /// balancer. `is_complete` tells whether its sender has nothing else for this entry VM.
    pub fn merge_catalog(&self, piece: Option<Piece>, is_complete: bool) {
        let now = Instant::now();
        let count = piece.as_ref().map_or(0, |piece| piece.rows.len());
        let mut catalog = self.catalog.lock();
        let domains = self.settings.balancer.domains.keys().cloned();
        let Merged { table, leaving } = catalog.merge(piece, is_complete, domains);
        let (index, routes_changed) = (catalog.position().index, table.is_some());
        if count > 0 || routes_changed {
            log::info!(
                target: "belief", index, rows = count, is_complete, leaving:? = leaving,
                routes_changed;
                "catalog rows merged"
            );
        }
        let mut balancer = self.balancer.lock();
        for (server, born_ms) in leaving {
            balancer.mark_leaving(&server, born_ms);
        }
        if let Some(table) = table {
            balancer.set_terms(table.services());
            balancer.set_evacuated(table.evacuated(), now);
            self.routes.store(Arc::new(table));
        }
    }

    /// Counts and logs how a request ended.
    pub fn record_outcome(
        &self,
        call: &RequestHead,
        route: Option<&Route>,
        outcome: &Outcome,
        arrived_at: Instant,
    ) {
        self.stats
            .record_request(route, &outcome.result, arrived_at.elapsed());
        self.request_log
            .request_ended(call, route, outcome, arrived_at);
    }
}
