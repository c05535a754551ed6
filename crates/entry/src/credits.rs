//! Credits of an entry VM: permits to send work to another VM's backend servers.
//!
//! Each backend server has one owner, and only the owner sends it work. An owner grants
//! its spare slots to other entry VMs as credits. A VM forwards work only on a credit,
//! so that independent decisions can't add up to overload a region.

use std::collections::HashMap;

use admission::credit::{Claim, CreditId, CreditSettings, Grant, Issuer};
use admission::holder::{Holder, PendingRequest};
use tokio::time::Instant;
use world::unit::ms;
use world::{Error, MachineName, RegionName, ServiceName};

/// Backoff before the next credit request to a VM that has no slots of a service.
const NO_SLOTS_BACKOFF_MS: u64 = 5_000;

/// Backoff before the next credit request to a VM whose slots are all in use.
const ALL_TAKEN_BACKOFF_MS: u64 = 20;

/// Whether the holder of a credit is in the owner's region.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HolderRegion {
    /// The same region: every spare slot may be granted.
    Same,
    /// Another region: a share of the slots may be granted, which ramps up slowly.
    Other,
}

/// Work that runs on a credit of this VM.
#[derive(Debug)]
#[must_use = "the slot stays in use until the claim is released"]
pub struct CreditedWork {
    service: ServiceName,
    holder_region: HolderRegion,
    claim: Claim,
}

/// Slots of one service at the VM that owns its servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    /// All slots of the servers that accept work.
    pub all: u32,
    /// Slots without work.
    pub free: u32,
}

#[derive(Debug)]
struct Issuers {
    same_region: Issuer,
    other_region: Issuer,
}

#[derive(Debug, Default)]
struct OwnerCredits {
    holder: Holder,
    no_requests_until: Option<Instant>,
}

/// Credits that this VM has granted, and those it holds of other VMs.
#[derive(Debug)]
pub struct Credits {
    region: RegionName,
    same_region: CreditSettings,
    other_region: CreditSettings,
    epoch: u64,
    started_at: Instant,
    issuers: HashMap<ServiceName, Issuers>,
    owners: HashMap<(MachineName, ServiceName), OwnerCredits>,
}

impl Credits {
    /// An empty table for a VM of `region`; `epoch` must differ between starts.
    #[must_use]
    pub fn new(now: Instant, region: RegionName, other_region: CreditSettings, epoch: u64) -> Self {
        // Holders in the same region may use all spare slots at once.
        let same_region = CreditSettings {
            foreign_share: 1.0,
            ramp_ms: 1,
            ..other_region
        };
        Self {
            region,
            same_region,
            other_region,
            epoch,
            started_at: now,
            issuers: HashMap::new(),
            owners: HashMap::new(),
        }
    }

    /// Grants credits to `holder` in `region`: at most `wanted`, and at most the free
    /// slots that are not reserved for other holders.
    pub fn grant(
        &mut self,
        now: Instant,
        service: &ServiceName,
        holder: &MachineName,
        region: &str,
        wanted: u32,
        slots: Slots,
    ) -> Option<Grant> {
        let holder_region = self.holder_region(region);
        let issuers = self.issuers(service);
        let (issuer, other) = match holder_region {
            HolderRegion::Same => (&mut issuers.same_region, &mut issuers.other_region),
            HolderRegion::Other => (&mut issuers.other_region, &mut issuers.same_region),
        };
        let spare = slots.free.saturating_sub(other.reserved(now));
        issuer.grant(now, holder, wanted, slots.all, spare)
    }

    /// Slots reserved by granted credits; local work must not use them.
    pub fn reserved_slots(&mut self, now: Instant, service: &ServiceName) -> u32 {
        let Some(issuers) = self.issuers.get_mut(service) else {
            return 0;
        };
        issuers.same_region.reserved(now) + issuers.other_region.reserved(now)
    }

    /// Claims a slot for work that arrives on a credit of this VM.
    ///
    /// # Errors
    /// [`world::ErrorKind::Overloaded`] when the credit is no longer valid; nothing ran.
    pub fn claim(
        &mut self,
        now: Instant,
        service: &ServiceName,
        region: &str,
        id: CreditId,
    ) -> Result<CreditedWork, Error> {
        let holder_region = self.holder_region(region);
        let issuers = self.issuers(service);
        let claim = match holder_region {
            HolderRegion::Same => issuers.same_region.claim(now, id)?,
            HolderRegion::Other => issuers.other_region.claim(now, id)?,
        };
        let service = service.clone();
        Ok(CreditedWork {
            service,
            holder_region,
            claim,
        })
    }

    /// Releases the claim of work that has ended.
    pub fn release(&mut self, credited: CreditedWork) {
        let Some(issuers) = self.issuers.get_mut(&credited.service) else {
            return;
        };
        match credited.holder_region {
            HolderRegion::Same => issuers.same_region.release(credited.claim),
            HolderRegion::Other => issuers.other_region.release(credited.claim),
        }
    }

    /// Whether `owner` may be sent a credit request now.
    #[must_use]
    pub fn may_request(&self, now: Instant, owner: &MachineName, service: &ServiceName) -> bool {
        let owner_credits = self.owners.get(&(owner.clone(), service.clone()));
        let no_requests_until = owner_credits.and_then(|r| r.no_requests_until);
        no_requests_until.is_none_or(|until| until <= now)
    }

    /// Records an owner's response: the grant, if any, and the owner's number of slots.
    pub fn record_response(
        &mut self,
        now: Instant,
        owner: &MachineName,
        service: &ServiceName,
        request: PendingRequest,
        response: (Option<Grant>, u32),
    ) {
        let owner_credits = self.owner_credits(owner, service);
        let (grant, slots) = response;
        if let Some(grant) = grant {
            owner_credits.holder.granted(request, &grant);
            owner_credits.no_requests_until = None;
            return;
        }
        let backoff_ms = match slots {
            0 => NO_SLOTS_BACKOFF_MS,
            _ => ALL_TAKEN_BACKOFF_MS,
        };
        owner_credits.no_requests_until = Some(now + ms(backoff_ms));
    }

    /// Spends a credit of `owner`, if this VM holds one.
    pub fn spend(
        &mut self,
        now: Instant,
        owner: &MachineName,
        service: &ServiceName,
    ) -> Option<CreditId> {
        let holder = &mut self.owner_credits(owner, service).holder;
        let (id, _bytes) = holder.spend(now, ms(0))?;
        Some(id)
    }

    fn holder_region(&self, region: &str) -> HolderRegion {
        if region == self.region.as_str() {
            HolderRegion::Same
        } else {
            HolderRegion::Other
        }
    }

    fn issuers(&mut self, service: &ServiceName) -> &mut Issuers {
        let (same_region, other_region, epoch) = (self.same_region, self.other_region, self.epoch);
        let now = self.started_at;
        self.issuers
            .entry(service.clone())
            .or_insert_with(|| Issuers {
                same_region: Issuer::new(now, same_region, epoch),
                other_region: Issuer::new(now, other_region, epoch),
            })
    }

    fn owner_credits(&mut self, owner: &MachineName, service: &ServiceName) -> &mut OwnerCredits {
        let key = (owner.clone(), service.clone());
        self.owners.entry(key).or_default()
    }
}
