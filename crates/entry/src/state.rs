//! The tables that all workers of an entry VM share.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use balancer::Work;
use conf::PolicySettings;
use peers::owner::Ownership;
use tokio::sync::watch;
use tokio::time::Instant;
use world::{BackendServer, Book, Config, EntryVm, Error, Kind, Rank, Ranked, Secret, ServerName};

use crate::ahead::Ahead;
use crate::booking::Bookings;
use crate::crossing::{Crossing, FORWARD};
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::site::Site;
use crate::traffic::Traffic;
use crate::tries::Budgets;

/// A configuration and the book made from it.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub config: Config,
    /// Its lists, indexed.
    pub book: Book,
}

/// Limits of time that the settings give, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time that callers may keep a look-up's answer.
    pub lookup_ttl_ms: u64,
    /// Length of a backend server's lease.
    pub lease_ms: u64,
    /// Longest time that a shutdown waits for work in flight.
    pub shutdown_ms: u64,
}

/// The tables of an entry VM.
pub struct State {
    /// This machine.
    pub me: EntryVm,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Limits of time.
    pub times: Times,
    /// Members, look-ups and owners.
    pub site: Site,
    /// Counters of arrivals.
    pub traffic: Traffic,
    /// Word of a newer configuration elsewhere.
    pub ahead: Ahead,
    /// Plan limits, queues, credits and backend servers.
    pub gate: Arc<Gate>,
    /// Connections to backend servers and other entry VMs.
    pub pool: Pool,
    /// Budgets for hedges and retries.
    pub budgets: Budgets,
    /// Metrics.
    pub metrics: Metrics,
    /// Proof of the secret for work that is handed to another entry VM, as hex.
    pub forward_proof: String,
    crossing: OnceLock<Crossing>,
    bookings: OnceLock<Arc<Bookings>>,
    in_force: Ranked<Arc<InForce>>,
    version: watch::Sender<u64>,
}

impl State {
    /// Empty tables for this machine.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the metrics clash.
    pub fn new(
        me: EntryVm,
        secret: Secret,
        times: Times,
        policy: &PolicySettings,
        site: Site,
    ) -> Result<Self, Error> {
        let region = me.place.region.clone();
        let gate = Gate::new(Instant::now(), policy.clone(), region, rand::random());
        Ok(Self {
            site,
            traffic: Traffic::new(Instant::now()),
            ahead: Ahead::default(),
            gate: Arc::new(gate),
            pool: Pool::new(policy.trust),
            budgets: Budgets::new(policy.hedge, policy.retry),
            metrics: Metrics::new()?,
            forward_proof: secret.proof(FORWARD).to_hex(),
            crossing: OnceLock::new(),
            bookings: OnceLock::new(),
            in_force: Ranked::new(Rank::Config, Arc::default()),
            version: watch::Sender::new(0),
            me,
            secret,
            times,
        })
    }

    /// Sets the way to other entry VMs, once, at the start.
    pub fn set_crossing(&self, crossing: Crossing) {
        let _ = self.crossing.set(crossing);
    }

    /// The way to other entry VMs; `None` when credits are off.
    #[must_use]
    pub fn crossing(&self) -> Option<&Crossing> {
        self.crossing.get()
    }

    /// Sets what runs non-idempotent operations, once, at the start.
    pub fn set_bookings(&self, bookings: Arc<Bookings>) {
        let _ = self.bookings.set(bookings);
    }

    /// What runs non-idempotent operations.
    ///
    /// # Errors
    /// [`Kind::LedgerUnread`] while the role is starting.
    pub fn bookings(&self) -> Result<&Arc<Bookings>, Error> {
        let starting = || Error::new(Kind::LedgerUnread, "this entry VM is starting");
        self.bookings.get().ok_or_else(starting)
    }

    /// Time for which a pooled connection may be silent after a request.
    #[must_use]
    pub fn patience(&self, service: &str, work: &Work) -> Duration {
        let fleet = self.gate.fleet().table().lock();
        let typical = fleet.latency_s(service, work.class);
        drop(fleet);
        self.pool
            .patience(Duration::from_secs_f64(typical.unwrap_or_default()))
    }

    /// The configuration in force here.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.in_force.lock())
    }

    /// Version of the configuration in force here.
    #[must_use]
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// From when on this VM owns a backend server; `None`: it doesn't.
    #[must_use]
    pub fn owned_from(&self, now: Instant, server: &ServerName) -> Option<Instant> {
        if !self.gate.policy().one_owner {
            return Some(now);
        }
        match self.site.right(now, server) {
            Ownership::Owner => Some(now),
            Ownership::OwnerFrom(from) => Some(from),
            Ownership::OwnedBy(_) | Ownership::Lapsed => None,
        }
    }

    /// Tells the table of backend servers whether this VM owns `server`.
    pub fn own(&self, now: Instant, server: &BackendServer) {
        let from = self.owned_from(now, &server.name);
        let mut fleet = self.gate.fleet().table().lock();
        fleet.set_owned(&server.service, &server.name, from);
    }

    /// As [`Self::own`] for every backend server known.
    pub fn own_all(&self, now: Instant) {
        let servers = self.gate.fleet().table().lock().live(now);
        for server in &servers {
            self.own(now, server);
        }
    }

    /// Puts a configuration in force if it is newer; never goes back.
    pub fn adopt(&self, config: Config) -> bool {
        let book = Book::new(&config.lists);
        let mut in_force = self.in_force.lock();
        let version = config.version;
        if version <= in_force.config.version {
            return false;
        }
        self.gate.apply_drains(&config);
        *in_force = Arc::new(InForce { config, book });
        self.version.send_replace(version);
        true
    }
}
