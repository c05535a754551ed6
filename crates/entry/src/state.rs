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

use crate::admission_control::AdmissionControl;
use crate::cross_vm::{CreditRequester, FORWARD_PURPOSE};
use crate::metrics::Metrics;
use crate::newer_version::NewerVersion;
use crate::operations::OperationRunner;
use crate::pool::Pool;
use crate::retry::Budgets;
use crate::site::Site;
use crate::traffic::Traffic;

/// The configuration in effect and its index.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// Lists of customers and plans, and active drains.
    pub config: Config,
    /// Index of the lists, to look up contracts.
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
    pub admission: Arc<AdmissionControl>,
    /// Connections to backend servers and other entry VMs.
    pub pool: Pool,
    /// Budgets for retries and hedges.
    pub budgets: Budgets,
    /// Prometheus metrics of this VM.
    pub metrics: Metrics,
    /// Proof of the secret, as hex, for requests forwarded to another entry VM.
    pub forward_proof: String,
    credit_requester: OnceLock<CreditRequester>,
    operation_runner: OnceLock<Arc<OperationRunner>>,
    active_config: RankedMutex<Arc<ActiveConfig>>,
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
        let admission =
            AdmissionControl::new(Instant::now(), policy.clone(), region, rand::random());
        Ok(Self {
            site,
            traffic: Traffic::new(Instant::now()),
            newer_version: NewerVersion::default(),
            admission: Arc::new(admission),
            pool: Pool::new(policy.trust),
            budgets: Budgets::new(policy.hedge, policy.retry),
            metrics: Metrics::new()?,
            forward_proof: secret.proof(FORWARD_PURPOSE).to_hex(),
            credit_requester: OnceLock::new(),
            operation_runner: OnceLock::new(),
            active_config: RankedMutex::new(LockRank::Config, Arc::default()),
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
    pub fn set_operation_runner(&self, operation_runner: Arc<OperationRunner>) {
        let _ = self.operation_runner.set(operation_runner);
    }

    /// The runner of non-idempotent operations.
    ///
    /// # Errors
    /// [`ErrorKind::LedgerUnread`] during startup.
    pub fn operation_runner(&self) -> Result<&Arc<OperationRunner>, Error> {
        let starting = || Error::new(ErrorKind::LedgerUnread, "this entry VM is starting");
        self.operation_runner.get().ok_or_else(starting)
    }

    /// Time without a response after which a pooled connection counts as unresponsive.
    #[must_use]
    pub fn unresponsive_after(&self, service: &str, work: &Work) -> Duration {
        let fleet = self.admission.fleet().table().lock();
        let typical = fleet.latency_s(service, work.class);
        drop(fleet);
        self.pool
            .unresponsive_after(Duration::from_secs_f64(typical.unwrap_or_default()))
    }

    /// The configuration in effect.
    #[must_use]
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.active_config.lock())
    }

    /// Version of the configuration in effect.
    #[must_use]
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Time from which this VM owns a backend server; `None` if it doesn't own it.
    #[must_use]
    pub fn owned_from(&self, now: Instant, server: &ServerName) -> Option<Instant> {
        if !self.admission.policy().one_owner {
            return Some(now);
        }
        match self.site.server_ownership(now, server) {
            Ownership::Owner => Some(now),
            Ownership::OwnerFrom(from) => Some(from),
            Ownership::OwnedBy(_) | Ownership::Lapsed => None,
        }
    }

    /// Records in the table of backend servers whether this VM owns `server`.
    pub fn update_ownership(&self, now: Instant, server: &BackendServer) {
        let from = self.owned_from(now, &server.name);
        let mut fleet = self.admission.fleet().table().lock();
        fleet.set_owned(&server.service, &server.name, from);
    }

    /// Calls [`Self::update_ownership`] for every backend server with a valid lease.
    pub fn update_all_ownership(&self, now: Instant) {
        let servers = self.admission.fleet().table().lock().live(now);
        for server in &servers {
            self.update_ownership(now, server);
        }
    }

    /// Applies a configuration if it is newer than the one in effect; returns whether
    /// it was applied.
    pub fn apply_config(&self, config: Config) -> bool {
        let book = ContractBook::new(&config.lists);
        let mut active_config = self.active_config.lock();
        let version = config.version;
        if version <= active_config.config.version {
            return false;
        }
        self.admission.apply_drains(&config);
        *active_config = Arc::new(ActiveConfig { config, book });
        self.version.send_replace(version);
        true
    }
}
