//! State shared by all workers of an entry VM.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use balancer::Work;
use conf::PolicySettings;
use peers::owner::Ownership;
use tokio::sync::watch;
use tokio::time::Instant;
use world::{
    BackendServer, Config, ContractBook, EntryVm, Error, ErrorKind, LockRank, RankedMutex, Secret,
    ServerName,
};

use crate::cross_vm::{CreditRequester, FORWARD_PURPOSE};
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::newer_version::NewerVersion;
use crate::operations::Operations;
use crate::pool::Pool;
use crate::retry::Budgets;
use crate::site::Site;
use crate::traffic::Traffic;

/// The configuration in effect and its index.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub config: Config,
    /// Its lists, indexed.
    pub book: ContractBook,
}

/// Time limits from the settings, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time for which clients may cache a lookup response.
    pub lookup_ttl_ms: u64,
    /// Duration of a backend server's lease.
    pub lease_ms: u64,
    /// Longest wait of a shutdown for work in flight.
    pub shutdown_ms: u64,
}

/// Shared tables of an entry VM.
pub struct State {
    /// Name, place and addresses of this VM.
    pub me: EntryVm,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Time limits from the settings.
    pub times: Times,
    /// Members, lookup tables and owners.
    pub site: Site,
    /// Counters of arriving requests.
    pub traffic: Traffic,
    /// Newest configuration version reported by peers.
    pub newer_version: NewerVersion,
    /// Plan limits, queues, credits and backend servers.
    pub gate: Arc<Gate>,
    /// Connections to backend servers and other entry VMs.
    pub pool: Pool,
    /// Budgets for retries and hedges.
    pub budgets: Budgets,
    /// Metrics.
    pub metrics: Metrics,
    /// Proof of the secret, as hex, for requests forwarded to another entry VM.
    pub forward_proof: String,
    credit_requester: OnceLock<CreditRequester>,
    operations: OnceLock<Arc<Operations>>,
    in_force: RankedMutex<Arc<InForce>>,
    version: watch::Sender<u64>,
}

impl State {
    /// Creates the tables of this VM, without a configuration.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the metrics clash.
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
            newer_version: NewerVersion::default(),
            gate: Arc::new(gate),
            pool: Pool::new(policy.trust),
            budgets: Budgets::new(policy.hedge, policy.retry),
            metrics: Metrics::new()?,
            forward_proof: secret.proof(FORWARD_PURPOSE).to_hex(),
            credit_requester: OnceLock::new(),
            operations: OnceLock::new(),
            in_force: RankedMutex::new(LockRank::Config, Arc::default()),
            version: watch::Sender::new(0),
            me,
            secret,
            times,
        })
    }

    /// Sets the credit requester, once, at startup.
    pub fn set_credit_requester(&self, credit_requester: CreditRequester) {
        let _ = self.credit_requester.set(credit_requester);
    }

    /// Requests credits from other entry VMs; `None` when credits are disabled.
    #[must_use]
    pub fn credit_requester(&self) -> Option<&CreditRequester> {
        self.credit_requester.get()
    }

    /// Sets the runner of non-idempotent operations, once, at startup.
    pub fn set_operations(&self, operations: Arc<Operations>) {
        let _ = self.operations.set(operations);
    }

    /// The runner of non-idempotent operations.
    ///
    /// # Errors
    /// [`ErrorKind::LedgerUnread`] during startup.
    pub fn operations(&self) -> Result<&Arc<Operations>, Error> {
        let starting = || Error::new(ErrorKind::LedgerUnread, "this entry VM is starting");
        self.operations.get().ok_or_else(starting)
    }

    /// Time without a response after which a pooled connection counts as unresponsive.
    #[must_use]
    pub fn silence_timeout(&self, service: &str, work: &Work) -> Duration {
        let fleet = self.gate.fleet().table().lock();
        let typical = fleet.latency_s(service, work.class);
        drop(fleet);
        self.pool
            .silence_timeout(Duration::from_secs_f64(typical.unwrap_or_default()))
    }

    /// The configuration in effect.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.in_force.lock())
    }

    /// Version of the configuration in effect.
    #[must_use]
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Time from which this VM owns a backend server; `None` if it doesn't own it.
    #[must_use]
    pub fn owned_from(&self, now: Instant, server: &ServerName) -> Option<Instant> {
        if !self.gate.policy().one_owner {
            return Some(now);
        }
        match self.site.server_ownership(now, server) {
            Ownership::Owner => Some(now),
            Ownership::OwnerFrom(from) => Some(from),
            Ownership::OwnedBy(_) | Ownership::Lapsed => None,
        }
    }

    /// Records in the fleet whether this VM owns `server`.
    pub fn update_ownership(&self, now: Instant, server: &BackendServer) {
        let from = self.owned_from(now, &server.name);
        let mut fleet = self.gate.fleet().table().lock();
        fleet.set_owned(&server.service, &server.name, from);
    }

    /// Calls [`Self::update_ownership`] for every backend server with a valid lease.
    pub fn update_all_ownership(&self, now: Instant) {
        let servers = self.gate.fleet().table().lock().live(now);
        for server in &servers {
            self.update_ownership(now, server);
        }
    }

    /// Applies a configuration if it is newer than the one in effect; returns whether
    /// it was.
    pub fn apply_config(&self, config: Config) -> bool {
        let book = ContractBook::new(&config.lists);
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
