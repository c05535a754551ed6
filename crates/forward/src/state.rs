//! The shared tables of an entry VM.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use affinity::AffinityBalancer;
use arc_swap::ArcSwap;
use catalog::{Catalog, Table};
use discovery::{EntryRow, Row};
use tokio::time::Instant;
use world::{Rank, Ranked, Route, Secret};

use crate::dialect::{Call, Dialect};
use crate::explain::{Explain, Outcome};
use crate::large::Sizes;
use crate::pace::Pace;
use crate::pool::Pool;
use crate::stats::Stats;

/// Time for which routes count as up to date after a control VM confirmed them.
/// Changes are to be in force after 2 s, and control VMs may lag behind each
/// other by half a second.
const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);

/// Measurements of the link that make up the mean: callers keep look-ups for
/// 2 s, which is four of them.
const BUSY_MEAN_OF: u64 = 3;

/// Settings of an entry VM of a routed site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address that takes callers.
    pub front: SocketAddr,
    /// Some control VMs, known from the start.
    pub seeds: Vec<IpAddr>,
    /// Port on every control VM for the system's own processes.
    pub link_port: u16,
    /// Rate of this machine's link, each way, bytes a second.
    pub link_bytes_per_s: f64,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Settings of the choice of backend servers.
    pub spread: affinity::Settings,
}

/// The tables.
pub struct State<D: Dialect> {
    /// Settings.
    pub settings: Settings,
    /// How requests and answers are written.
    pub dialect: D,
    /// Routes in force.
    pub table: ArcSwap<Table>,
    /// The catalog as far as it is known here.
    pub catalog: Ranked<Catalog>,
    /// When a control VM last confirmed that the catalog is up to date.
    confirmed_at: Ranked<Option<Instant>>,
    /// Backend servers.
    pub spread: Ranked<AffinityBalancer>,
    /// Idle connections.
    pub pool: Pool,
    /// Bytes that come over this machine's link.
    pub pace_in: Arc<Pace>,
    /// Bytes that go over this machine's link.
    pub pace_out: Arc<Pace>,
    /// Sizes of large answers.
    pub large: Sizes,
    /// Share of the link that was used lately, percent.
    busy_percent: AtomicU32,
    /// Counters and histograms.
    pub stats: Stats,
    pub(crate) explain: Explain,
    leaving: AtomicBool,
    boot: u64,
    sequence: AtomicU64,
}

impl<D: Dialect> State<D> {
    /// Tables of an entry VM that knows nothing yet.
    ///
    /// # Errors
    /// When the counters can't be set up.
    pub fn new(settings: Settings, dialect: D) -> Result<Self, prometheus::Error> {
        Ok(Self {
            dialect,
            table: ArcSwap::default(),
            catalog: Ranked::new(Rank::Config, Catalog::default()),
            spread: Ranked::new(
                Rank::Spread,
                AffinityBalancer::new(settings.spread.clone(), Instant::now()),
            ),
            confirmed_at: Ranked::new(Rank::Members, None),
            pool: Pool::default(),
            pace_in: Arc::new(Pace::new(settings.link_bytes_per_s)),
            large: Sizes::default(),
            busy_percent: AtomicU32::new(0),
            pace_out: Arc::new(Pace::new(settings.link_bytes_per_s)),
            stats: Stats::new()?,
            explain: Explain::default(),
            leaving: AtomicBool::new(false),
            boot: rand::random::<u64>().max(1),
            sequence: AtomicU64::new(1),
            settings,
        })
    }

    /// Whether this entry VM serves callers: it knows a configuration and is
    /// not leaving.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.table.load().is_known()
    }

    /// A control VM that hears of a leader knows nothing newer.
    pub fn confirm(&self, now: Instant) {
        *self.confirmed_at.lock() = Some(now);
    }

    /// Whether the routes were up to date a moment ago, so that a route that is
    /// not among them does not exist.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let confirmed_at = *self.confirmed_at.lock();
        confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < CONFIRMED_FOR)
    }

    /// Whether this entry VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// From now on callers are told to go elsewhere.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// This entry VM as it announces itself.
    pub fn me(&self) -> Row {
        Row::Entry(EntryRow {
            name: self.settings.spread.name.clone(),
            front: self.settings.front,
            place: self.settings.spread.place.clone(),
            leaving: !self.is_ready(),
            busy_percent: self.busy_percent.load(Ordering::Relaxed),
            born_ms: self.boot,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        })
    }

    /// Measures the link: once every half second or so.
    pub fn measure_link(&self) {
        let both = [&self.pace_in, &self.pace_out].map(|pace| pace.take_busy_percent());
        let busy = both[0].max(both[1]);
        let known = u64::from(self.busy_percent.load(Ordering::Relaxed));
        let mean = (known * (BUSY_MEAN_OF - 1) + busy) / BUSY_MEAN_OF;
        let busy = u32::try_from(mean).unwrap_or(u32::MAX);
        self.busy_percent.store(busy, Ordering::Relaxed);
        self.stats.link_busy(busy);
    }

    /// Takes in rows of the catalog.
    pub fn merge_catalog(&self, rows: Vec<catalog::Row>) {
        let now = Instant::now();
        let count = rows.len();
        let mut catalog = self.catalog.lock();
        let mut routes_changed = false;
        let mut leaving = Vec::new();
        for row in rows {
            if let catalog::Fact::Leaving { server, born_ms } = &row.fact {
                leaving.push((server.clone(), *born_ms));
            } else {
                routes_changed |= catalog.merge(row);
                continue;
            }
            catalog.merge(row);
        }
        let table = routes_changed.then(|| {
            let domains = self.settings.spread.domains.keys().cloned();
            Arc::new(Table::new(&catalog, domains))
        });
        let index = catalog.index();
        log::info!(
            target: "belief", index, rows = count, leaving:? = leaving, routes_changed;
            "catalog rows taken in"
        );
        let mut spread = self.spread.lock();
        for (server, born_ms) in leaving {
            spread.mark_leaving(&server, born_ms);
        }
        if let Some(table) = table {
            spread.set_terms(table.services());
            spread.set_evacuated(table.evacuated(), now);
            self.table.store(table);
        }
    }

    /// Counts and logs how a request ended.
    pub fn explain(&self, call: &Call, route: Option<&Route>, outcome: &Outcome, at: Instant) {
        self.stats.request(route, &outcome.result, at.elapsed());
        self.explain.request(call, route, outcome, at);
    }
}
