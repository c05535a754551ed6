//! Admission to the backend servers that this VM owns: plan limits, queues, and the
//! assignment of slots.
//!
//! Lock order: first shares, then limits or queues, then credits, then the table of
//! backend servers. Poison marks are locked alone.

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
    BackendServer, Class, Config, Contract, Error, LockRank, MachineName, RankedMutex, RegionName,
    Service, ServiceName,
};

use crate::credits::{Credits, Slots};
use crate::shares::PlanShares;
use crate::slot::Slot;

/// This VM's share of each plan limit until the VMs have exchanged their demand.
const INITIAL_SHARE: f64 = 1.0;

/// Maximum number of queued requests that others may overtake in one dequeue.
const SKIPPED_MAX: usize = 8;

/// Sends a slot, or the refusal, to a queued request.
type SlotSender = oneshot::Sender<Result<Slot, Error>>;

/// Payload of a queue entry: the work, and the channel that receives its slot.
struct QueuedRequest {
    work: Work,
    reply: SlotSender,
}

/// Plan limits, queues, credits and backend servers of one entry VM.
pub struct AdmissionControl {
    policy: PolicySettings,
    limits: RankedMutex<Limits>,
    queues: RankedMutex<HashMap<ServiceName, Queue<QueuedRequest>>>,
    credits: RankedMutex<Credits>,
    fleet: SharedFleet,
    poison: RankedMutex<Poison>,
    shares: RankedMutex<PlanShares>,
    /// Notified when other entry VMs must receive new poison marks at once.
    new_marks: Notify,
}

impl AdmissionControl {
    /// Creates the tables of a VM in `region`, without backend servers; `seed` must differ
    /// between starts.
    #[must_use]
    pub fn new(now: Instant, policy: PolicySettings, region: RegionName, seed: u64) -> Self {
        let fleet = Fleet::new(policy.fleet.clone(), policy.choice, seed);
        Self {
            limits: RankedMutex::new(LockRank::Queues, Limits::new(INITIAL_SHARE)),
            queues: RankedMutex::new(LockRank::Queues, HashMap::new()),
            credits: RankedMutex::new(
                LockRank::Credits,
                Credits::new(now, region, policy.credits, seed),
            ),
            fleet: SharedFleet::new(fleet),
            shares: RankedMutex::new(LockRank::Members, PlanShares::new(now)),
            new_marks: Notify::new(),
            poison: RankedMutex::new(LockRank::Poison, Poison::new(policy.poison)),
            policy,
        }
    }

    /// Policy settings of this VM.
    #[must_use]
    pub fn policy(&self) -> &PolicySettings {
        &self.policy
    }

    /// The backend servers.
    #[must_use]
    pub fn fleet(&self) -> &SharedFleet {
        &self.fleet
    }

    /// Credits that this VM has granted and those it holds.
    #[must_use]
    pub fn credits(&self) -> &RankedMutex<Credits> {
        &self.credits
    }

    /// Admits a request under its plan limit and counts it until the result is dropped.
    ///
    /// # Errors
    /// [`world::ErrorKind::OverPlan`].
    pub fn admit_request(
        self: &Arc<Self>,
        now: Instant,
        contract: &Contract,
    ) -> Result<Admitted, Error> {
        let permit = self.limits.lock().admit(now, contract)?;
        Ok(Admitted {
            admission: Arc::clone(self),
            permit: Some(permit),
        })
    }

    /// Records the demand observed since the last call and updates this VM's share of
    /// each plan limit. Returns the demand to report to the other VMs.
    pub fn report_demand(&self, now: Instant, vm_count: u32) -> Vec<ObservedDemand> {
        let observed = self.limits.lock().take_demand(now);
        let mut shares = self.shares.lock();
        let reported = shares.record_own(now, observed, vm_count);
        let mut limits = self.limits.lock();
        for (customer, service, share) in shares.rows(now) {
            limits.set_share(now, customer.as_str(), service.as_str(), share);
        }
        reported
    }

    /// Records the demand that another VM reported.
    pub fn record_peer_demand(&self, now: Instant, vm: &MachineName, observed: &[ObservedDemand]) {
        self.shares.lock().record_peer(now, vm, observed);
    }

    /// Grants or renews a backend server's lease; this VM owns the server from
    /// `owned_from` on, or not at all if it is `None`.
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
        self.record_crashes(now, &crashes);
        self.assign_slots(&server.service);
    }

    /// Applies the drains of a configuration.
    pub fn apply_drains(&self, config: &Config) {
        self.fleet.table().lock().apply_drains(config);
    }

    /// Acquires a free slot if no request is queued for the service.
    ///
    /// # Errors
    /// [`NoSlot`], with the reason.
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
        let permit = self.acquire_unreserved(now, service, work)?;
        drop(queues);
        Ok(self.slot(service, permit))
    }

    /// Queues a request until it gets a slot or its deadline passes.
    ///
    /// # Errors
    /// [`world::ErrorKind::DeadlineWaiting`] or [`world::ErrorKind::Overloaded`].
    pub async fn wait(
        self: &Arc<Self>,
        contract: &Contract,
        work: Work,
        deadline: Instant,
    ) -> Result<Slot, Error> {
        let service = &contract.service.name;
        let (reply, slot) = oneshot::channel();
        let request = Waiting {
            customer: contract.customer.clone(),
            priority: contract.priority,
            class: work.class,
            since: Instant::now(),
            deadline,
            payload: QueuedRequest { work, reply },
        };
        if let Some(shed) = self.enqueue(service, request) {
            let _ = shed.payload.reply.send(Err(shed_error()));
        }
        self.assign_slots(service);
        match timeout_at(deadline, slot).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(_)) | Err(_) => Err(late_error()),
        }
    }

    /// Acquires a slot for work that arrives on a credit of this VM.
    ///
    /// # Errors
    /// [`world::ErrorKind::Overloaded`] when the credit is no longer valid, or the error for
    /// [`NoSlot`].
    pub fn acquire_on_credit(
        self: &Arc<Self>,
        now: Instant,
        service: &ServiceName,
        region: &str,
        credit: CreditId,
        work: &Work,
    ) -> Result<Slot, Error> {
        let mut credits = self.credits.lock();
        let credited = credits.claim(now, service, region, credit)?;
        match self.fleet.acquire(now, service, work) {
            Ok(permit) => {
                drop(credits);
                Ok(self.slot(service, permit).with_credited_work(credited))
            }
            Err(none) => {
                credits.release(credited);
                Err(none.into())
            }
        }
    }

    /// Grants credits for spare slots; returns them with the total number of slots.
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

    /// Whether a request of the service would get a slot at once: nothing is queued and
    /// an unreserved slot is free.
    #[must_use]
    pub fn has_capacity(&self, service: &Service) -> bool {
        let is_idle = self.queue_len(&service.name) == 0;
        is_idle && self.has_unreserved_slot(Instant::now(), &service.name, service.class)
    }

    /// Number of requests queued for a service.
    #[must_use]
    pub fn queue_len(&self, service: &ServiceName) -> usize {
        self.queues.lock().get(service).map_or(0, Queue::len)
    }

    /// Assigns free slots to queued requests.
    pub fn assign_slots(self: &Arc<Self>, service: &ServiceName) {
        while let Some((reply, permit)) = self.dequeue(service) {
            let slot = self.slot(service, permit);
            if let Err(Ok(slot)) = reply.send(Ok(slot)) {
                // The client has disconnected; the loop assigns the slot to the next
                // request.
                slot.return_unused();
            }
        }
    }

    /// Assigns free slots to queued requests of every service. Called periodically,
    /// since some slots become free by time alone.
    pub fn assign_all_slots(self: &Arc<Self>) {
        let services: Vec<ServiceName> = {
            let mut queues = self.queues.lock();
            queues.retain(|_, queue| !queue.is_empty());
            queues.keys().cloned().collect()
        };
        for service in &services {
            self.assign_slots(service);
        }
    }

    /// Releases a slot and records the outcome of its work. `suspect` is the fingerprint
    /// of a suspected poison request that ran alone in the slot; a response clears it.
    pub(crate) fn done(
        &self,
        permit: Permit,
        suspect: Option<balancer::Fingerprint>,
        outcome: Outcome,
    ) {
        let now = Instant::now();
        permit.done(now, outcome);
        let crashes = self.fleet.table().lock().take_crashes();
        self.record_crashes(now, &crashes);
        if let Some(fingerprint) = suspect.filter(|_| outcome == Outcome::Answered) {
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

    /// Acquires a slot that is not reserved for a credit.
    fn acquire_unreserved(
        &self,
        now: Instant,
        service: &ServiceName,
        work: &Work,
    ) -> Result<Permit, NoSlot> {
        let mut credits = self.credits.lock();
        let reserved = credits.reserved_slots(now, service);
        if reserved > 0 && self.slots(now, service).free <= reserved {
            return Err(NoSlot::Busy);
        }
        self.fleet.acquire(now, service, work)
    }

    /// Whether a slot is free that is not reserved for a credit.
    fn has_unreserved_slot(&self, now: Instant, service: &ServiceName, class: Class) -> bool {
        let reserved = self.credits.lock().reserved_slots(now, service);
        if reserved > 0 && self.slots(now, service).free <= reserved {
            return false;
        }
        self.fleet
            .table()
            .lock()
            .has_free_slot(now, service.as_str(), class)
    }

    /// Queues a request; returns the request that the full queue sheds, if any.
    fn enqueue(
        &self,
        service: &ServiceName,
        request: Waiting<QueuedRequest>,
    ) -> Option<Waiting<QueuedRequest>> {
        let mut queues = self.queues.lock();
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| Queue::new(self.policy.queue));
        queue.remove(|w| w.payload.reply.is_closed());
        queue.push(request)
    }

    /// Removes the next queued request that can get a slot.
    ///
    /// A request that must run alone, or avoids some servers, may find no slot when
    /// others do. Others overtake it then, and it keeps its position in the queue.
    fn dequeue(&self, service: &ServiceName) -> Option<(SlotSender, Permit)> {
        let now = Instant::now();
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(service)?;
        let mut skipped = Vec::new();
        let mut found = None;
        while skipped.len() < SKIPPED_MAX {
            let Some(request) =
                queue.pop(now, |class| self.has_unreserved_slot(now, service, class))
            else {
                break;
            };
            if request.payload.reply.is_closed() || now >= request.deadline {
                continue;
            }
            if let Ok(permit) = self.acquire_unreserved(now, service, &request.payload.work) {
                found = Some((request.payload.reply, permit));
                break;
            }
            skipped.push(request);
        }
        for request in skipped.into_iter().rev() {
            queue.requeue(request);
        }
        found
    }
}

/// An admitted request; it counts against its plan limit until dropped.
pub struct Admitted {
    admission: Arc<AdmissionControl>,
    permit: Option<PlanPermit>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.admission.limits.lock().release(permit);
        }
    }
}
