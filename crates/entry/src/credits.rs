//! Credits at an entry VM: leave for work to go to another VM's backend servers.
//!
//! Each backend server has one owner, and only its owner hands it work. An
//! owner promises spare slots to other entry VMs as credits. Work leaves this
//! VM only on a credit, so no sum of independent decisions overloads a region.

use std::collections::HashMap;

use admission::credit::{Claim, CreditId, CreditSettings, Grant, Issuer};
use admission::holder::{Holder, PendingRequest};
use tokio::time::Instant;
use world::unit::ms;
use world::{Error, MachineName, RegionName, ServiceName};

/// Time for which a VM without slots of a service is not asked again, milliseconds.
const NO_SLOTS_MEMORY_MS: u64 = 5_000;

/// Time for which a VM whose slots are all taken is not asked again, milliseconds.
const ALL_TAKEN_MEMORY_MS: u64 = 20;

/// How far the holder of a credit is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reach {
    /// In the same region: it may have every spare slot.
    Near,
    /// In another region: it may have a share, which opens slowly.
    Far,
}

/// Work that entered on a credit.
#[derive(Debug)]
#[must_use = "the slot stays in use until the entrant is released"]
pub struct Entrant {
    service: ServiceName,
    reach: Reach,
    claim: Claim,
}

/// Slots of one service at their owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    /// All slots of serving servers.
    pub all: u32,
    /// Those that run no work.
    pub free: u32,
}

#[derive(Debug)]
struct Issuers {
    near: Issuer,
    far: Issuer,
}

#[derive(Debug, Default)]
struct Remote {
    holder: Holder,
    quiet_until: Option<Instant>,
}

/// Credits that this VM issued and holds.
#[derive(Debug)]
pub struct Credits {
    region: RegionName,
    near: CreditSettings,
    far: CreditSettings,
    epoch: u64,
    started_at: Instant,
    issuers: HashMap<ServiceName, Issuers>,
    remotes: HashMap<(MachineName, ServiceName), Remote>,
}

impl Credits {
    /// No credits at a VM of `region` that has just started; `epoch` differs
    /// with each start.
    #[must_use]
    pub fn new(now: Instant, region: RegionName, far: CreditSettings, epoch: u64) -> Self {
        let near = CreditSettings {
            foreign_share: 1.0,
            ramp_ms: 1,
            ..far
        };
        Self {
            region,
            near,
            far,
            epoch,
            started_at: now,
            issuers: HashMap::new(),
            remotes: HashMap::new(),
        }
    }

    /// Grants credits to `holder` in `region`: at most `wanted`, and no more
    /// than the spare slots that are promised to nobody.
    pub fn grant(
        &mut self,
        now: Instant,
        service: &ServiceName,
        holder: &MachineName,
        region: &str,
        wanted: u32,
        slots: Slots,
    ) -> Option<Grant> {
        let reach = self.reach(region);
        let issuers = self.issuers(service);
        let (issuer, other) = match reach {
            Reach::Near => (&mut issuers.near, &mut issuers.far),
            Reach::Far => (&mut issuers.far, &mut issuers.near),
        };
        let spare = slots.free.saturating_sub(other.reserved(now));
        issuer.grant(now, holder, wanted, slots.all, spare)
    }

    /// Slots that are promised to others; local work leaves them free.
    pub fn promised(&mut self, now: Instant, service: &ServiceName) -> u32 {
        let Some(issuers) = self.issuers.get_mut(service) else {
            return 0;
        };
        issuers.near.reserved(now) + issuers.far.reserved(now)
    }

    /// Lets work in on a credit of this VM.
    ///
    /// # Errors
    /// [`world::Kind::Overloaded`] when the credit no longer holds; nothing ran.
    pub fn claim(
        &mut self,
        now: Instant,
        service: &ServiceName,
        region: &str,
        id: CreditId,
    ) -> Result<Entrant, Error> {
        let reach = self.reach(region);
        let issuers = self.issuers(service);
        let claim = match reach {
            Reach::Near => issuers.near.claim(now, id)?,
            Reach::Far => issuers.far.claim(now, id)?,
        };
        let service = service.clone();
        Ok(Entrant {
            service,
            reach,
            claim,
        })
    }

    /// Work that entered has ended.
    pub fn release(&mut self, entrant: Entrant) {
        let Some(issuers) = self.issuers.get_mut(&entrant.service) else {
            return;
        };
        match entrant.reach {
            Reach::Near => issuers.near.release(entrant.claim),
            Reach::Far => issuers.far.release(entrant.claim),
        }
    }

    /// Whether `owner` may be asked for credits now.
    #[must_use]
    pub fn may_ask(&self, now: Instant, owner: &MachineName, service: &ServiceName) -> bool {
        let remote = self.remotes.get(&(owner.clone(), service.clone()));
        let quiet_until = remote.and_then(|r| r.quiet_until);
        quiet_until.is_none_or(|until| until <= now)
    }

    /// Takes in an owner's answer; `None`: it granted nothing and has `slots` slots.
    pub fn answered(
        &mut self,
        now: Instant,
        owner: &MachineName,
        service: &ServiceName,
        ask: PendingRequest,
        answer: (Option<Grant>, u32),
    ) {
        let remote = self.remote(owner, service);
        let (grant, slots) = answer;
        if let Some(grant) = grant {
            remote.holder.granted(ask, &grant);
            remote.quiet_until = None;
            return;
        }
        let memory_ms = match slots {
            0 => NO_SLOTS_MEMORY_MS,
            _ => ALL_TAKEN_MEMORY_MS,
        };
        remote.quiet_until = Some(now + ms(memory_ms));
    }

    /// Spends a credit of `owner`.
    pub fn spend(
        &mut self,
        now: Instant,
        owner: &MachineName,
        service: &ServiceName,
    ) -> Option<CreditId> {
        let holder = &mut self.remote(owner, service).holder;
        let (id, _bytes) = holder.spend(now, ms(0))?;
        Some(id)
    }

    fn reach(&self, region: &str) -> Reach {
        if region == self.region.as_str() {
            Reach::Near
        } else {
            Reach::Far
        }
    }

    fn issuers(&mut self, service: &ServiceName) -> &mut Issuers {
        let (near, far, epoch) = (self.near, self.far, self.epoch);
        let now = self.started_at;
        self.issuers
            .entry(service.clone())
            .or_insert_with(|| Issuers {
                near: Issuer::new(now, near, epoch),
                far: Issuer::new(now, far, epoch),
            })
    }

    fn remote(&mut self, owner: &MachineName, service: &ServiceName) -> &mut Remote {
        let key = (owner.clone(), service.clone());
        self.remotes.entry(key).or_default()
    }
}
