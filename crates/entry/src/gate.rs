//! The gate before the backend servers that this VM owns: who gets which slot, and when.
//!
//! Lock order within the gate: shares, limits or queues, then credits, then the fleet.

mod marks;

use std::collections::HashMap;
use std::sync::Arc;

use admission::limit::ObservedDemand;
use admission::queue::{late_error, shed_error};
use admission::{CreditId, Grant, Limits, PlanPermit, Queue, Waiting};
use balancer::{Fleet, NoSlot, Outcome, Permit, Poison, SharedFleet, Work};
use conf::PolicySettings;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout_at};
use world::{
    BackendServer, Class, Config, Contract, Error, MachineName, Rank, Ranked, RegionName, Service,
    ServiceName,
};

use crate::credits::{Credits, Slots};
use crate::shares::PlanShares;
use crate::slot::Slot;

/// Share of each plan limit that this VM starts with.
const WHOLE_SHARE: f64 = 1.0;

/// Choosy pieces of work that others may pass by at once.
const PASSED_BY_MAX: usize = 8;

/// How work that waits is told.
type Reply = oneshot::Sender<Result<Slot, Error>>;

/// What waits for a slot.
struct Waiter {
    work: Work,
    reply: Reply,
}

/// Plan limits, queues, credits and backend servers of one entry VM.
pub struct Gate {
    policy: PolicySettings,
    limits: Ranked<Limits>,
    queues: Ranked<HashMap<ServiceName, Queue<Waiter>>>,
    credits: Ranked<Credits>,
    fleet: SharedFleet,
    poison: Ranked<Poison>,
    shares: Ranked<PlanShares>,
    news: Notify,
}

impl Gate {
    /// A gate with no backend servers at a VM of `region`; `seed` differs with
    /// each start.
    #[must_use]
    pub fn new(now: Instant, policy: PolicySettings, region: RegionName, seed: u64) -> Self {
        let fleet = Fleet::new(policy.fleet.clone(), policy.choice, seed);
        Self {
            limits: Ranked::new(Rank::Queues, Limits::new(WHOLE_SHARE)),
            queues: Ranked::new(Rank::Queues, HashMap::new()),
            credits: Ranked::new(
                Rank::Credits,
                Credits::new(now, region, policy.credits, seed),
            ),
            fleet: SharedFleet::new(fleet),
            shares: Ranked::new(Rank::Members, PlanShares::new(now)),
            news: Notify::new(),
            poison: Ranked::new(Rank::Poison, Poison::new(policy.poison)),
            policy,
        }
    }

    /// Settings of the decisions.
    #[must_use]
    pub fn policy(&self) -> &PolicySettings {
        &self.policy
    }

    /// The backend servers.
    #[must_use]
    pub fn fleet(&self) -> &SharedFleet {
        &self.fleet
    }

    /// The credits issued and held.
    #[must_use]
    pub fn credits(&self) -> &Ranked<Credits> {
        &self.credits
    }

    /// Counts a request under its contract.
    ///
    /// # Errors
    /// [`world::Kind::OverPlan`].
    pub fn pass(self: &Arc<Self>, now: Instant, contract: &Contract) -> Result<Admitted, Error> {
        let pass = self.limits.lock().admit(now, contract)?;
        Ok(Admitted {
            gate: Arc::clone(self),
            pass: Some(pass),
        })
    }

    /// Takes in the demand seen since the last call, sets this VM's share of
    /// each plan limit, and gives what to report to the other VMs.
    pub fn report_demand(&self, now: Instant, vm_count: u32) -> Vec<ObservedDemand> {
        let seen = self.limits.lock().take_demand(now);
        let mut shares = self.shares.lock();
        let reported = shares.report_own(now, seen, vm_count);
        let mut limits = self.limits.lock();
        for (customer, service, share) in shares.rows(now) {
            limits.set_share(now, customer.as_str(), service.as_str(), share);
        }
        reported
    }

    /// Takes in another VM's demand.
    pub fn heard_demand(&self, now: Instant, vm: &MachineName, seen: &[ObservedDemand]) {
        self.shares.lock().report(now, vm, seen);
    }

    /// Grants or renews a backend server's lease; this VM owns it from `owned_from` on.
    pub fn announce(
        self: &Arc<Self>,
        now: Instant,
        server: &BackendServer,
        owned_from: Option<Instant>,
        config: &Config,
    ) {
        let crashes = {
            let mut fleet = self.fleet.table().lock();
            fleet.announce(now, server);
            fleet.set_owned(&server.service, &server.name, owned_from);
            fleet.apply_drains(config);
            fleet.expire(now);
            fleet.take_crashes()
        };
        self.blame(now, &crashes);
        self.wake(&server.service);
    }

    /// Takes over the drains of a configuration.
    pub fn apply_drains(&self, config: &Config) {
        self.fleet.table().lock().apply_drains(config);
    }

    /// A slot, if there is one and nobody waits for it.
    ///
    /// # Errors
    /// Why there is none.
    pub fn try_slot(
        self: &Arc<Self>,
        now: Instant,
        service: &ServiceName,
        work: &Work,
    ) -> Result<Slot, NoSlot> {
        let queues = self.queues.lock();
        if queues.get(service).is_some_and(|queue| !queue.is_empty()) {
            return Err(NoSlot::Busy);
        }
        let permit = self.take(now, service, work)?;
        drop(queues);
        Ok(self.slot(service, permit))
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// [`world::Kind::DeadlineWaiting`] or [`world::Kind::Overloaded`].
    pub async fn wait(
        self: &Arc<Self>,
        contract: &Contract,
        work: Work,
        deadline: Instant,
    ) -> Result<Slot, Error> {
        let service = &contract.service.name;
        let (reply, slot) = oneshot::channel();
        let waiting = Waiting {
            customer: contract.customer.clone(),
            priority: contract.priority,
            class: work.class,
            since: Instant::now(),
            deadline,
            payload: Waiter { work, reply },
        };
        if let Some(shed) = self.push(service, waiting) {
            let _ = shed.payload.reply.send(Err(shed_error()));
        }
        self.wake(service);
        match timeout_at(deadline, slot).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(_)) | Err(_) => Err(late_error()),
        }
    }

    /// A slot for work that arrives on a credit of this VM.
    ///
    /// # Errors
    /// [`world::Kind::Overloaded`] when the credit no longer holds, or as [`NoSlot`].
    pub fn enter(
        self: &Arc<Self>,
        now: Instant,
        service: &ServiceName,
        region: &str,
        credit: CreditId,
        work: &Work,
    ) -> Result<Slot, Error> {
        let mut credits = self.credits.lock();
        let entrant = credits.claim(now, service, region, credit)?;
        match self.fleet.acquire(now, service, work) {
            Ok(permit) => {
                drop(credits);
                Ok(self.slot(service, permit).with_entrant(entrant))
            }
            Err(none) => {
                credits.release(entrant);
                Err(none.into())
            }
        }
    }

    /// Grants credits for spare slots; gives also how many slots there are.
    pub fn grant(
        &self,
        now: Instant,
        service: &ServiceName,
        holder: &MachineName,
        region: &str,
        wanted: u32,
    ) -> (Option<Grant>, u32) {
        let mut credits = self.credits.lock();
        let slots = self.slots(now, service);
        let grant = credits.grant(now, service, holder, region, wanted, slots);
        (grant, slots.all)
    }

    /// Whether work of the service would get a slot now, before nobody else.
    #[must_use]
    pub fn has_room(&self, service: &Service) -> bool {
        let is_idle = self.waiting(&service.name) == 0;
        is_idle && self.fits(Instant::now(), &service.name, service.class)
    }

    /// Work that waits for a service.
    #[must_use]
    pub fn waiting(&self, service: &ServiceName) -> usize {
        self.queues.lock().get(service).map_or(0, Queue::len)
    }

    /// Hands free slots to work that waits.
    pub fn wake(self: &Arc<Self>, service: &ServiceName) {
        while let Some((reply, permit)) = self.next(service) {
            let slot = self.slot(service, permit);
            if let Err(Ok(slot)) = reply.send(Ok(slot)) {
                // Its caller has gone; the loop hands the slot to the next.
                slot.give_back();
            }
        }
    }

    /// Hands free slots to work of every service: slots also come free with time.
    pub fn wake_all(self: &Arc<Self>) {
        let services: Vec<ServiceName> = {
            let mut queues = self.queues.lock();
            queues.retain(|_, queue| !queue.is_empty());
            queues.keys().cloned().collect()
        };
        for service in &services {
            self.wake(service);
        }
    }

    /// Takes back a slot with the outcome of its work.
    pub(crate) fn done(
        &self,
        permit: Permit,
        fingerprint: Option<balancer::Fingerprint>,
        outcome: Outcome,
    ) {
        let now = Instant::now();
        permit.done(now, outcome);
        let crashes = self.fleet.table().lock().take_crashes();
        self.blame(now, &crashes);
        if let Some(fingerprint) = fingerprint.filter(|_| outcome == Outcome::Answered) {
            self.poison.lock().clear_suspect(now, fingerprint);
        }
    }

    fn slot(self: &Arc<Self>, service: &ServiceName, permit: Permit) -> Slot {
        Slot::new(Arc::clone(self), service.clone(), permit)
    }

    fn slots(&self, now: Instant, service: &ServiceName) -> Slots {
        let (all, taken) = self.fleet.table().lock().slots(now, service.as_str());
        Slots {
            all,
            free: all.saturating_sub(taken),
        }
    }

    /// Takes a slot that is promised to nobody.
    fn take(&self, now: Instant, service: &ServiceName, work: &Work) -> Result<Permit, NoSlot> {
        let mut credits = self.credits.lock();
        let promised = credits.promised(now, service);
        if promised > 0 && self.slots(now, service).free <= promised {
            return Err(NoSlot::Busy);
        }
        self.fleet.acquire(now, service, work)
    }

    fn fits(&self, now: Instant, service: &ServiceName, class: Class) -> bool {
        let promised = self.credits.lock().promised(now, service);
        if promised > 0 && self.slots(now, service).free <= promised {
            return false;
        }
        self.fleet
            .table()
            .lock()
            .has_free_slot(now, service.as_str(), class)
    }

    fn push(&self, service: &ServiceName, waiting: Waiting<Waiter>) -> Option<Waiting<Waiter>> {
        let mut queues = self.queues.lock();
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| Queue::new(self.policy.queue));
        queue.remove(|w| w.payload.reply.is_closed());
        queue.push(waiting)
    }

    /// The next piece of work that gets a slot.
    ///
    /// Work that is choosy, as it runs alone or keeps off some servers, may
    /// find none where others do; it keeps its place and lets them pass.
    fn next(&self, service: &ServiceName) -> Option<(Reply, Permit)> {
        let now = Instant::now();
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(service)?;
        let mut passed_by = Vec::new();
        let mut found = None;
        while passed_by.len() < PASSED_BY_MAX {
            let Some(waiting) = queue.pop(now, |class| self.fits(now, service, class)) else {
                break;
            };
            if waiting.payload.reply.is_closed() || now >= waiting.deadline {
                continue;
            }
            if let Ok(permit) = self.take(now, service, &waiting.payload.work) {
                found = Some((waiting.payload.reply, permit));
                break;
            }
            passed_by.push(waiting);
        }
        for waiting in passed_by.into_iter().rev() {
            queue.requeue(waiting);
        }
        found
    }
}

/// A request that counts under its contract until it is dropped.
pub struct Admitted {
    gate: Arc<Gate>,
    pass: Option<PlanPermit>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(pass) = self.pass.take() {
            self.gate.limits.lock().release(pass);
        }
    }
}
