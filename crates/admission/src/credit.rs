//! Credits, issuing side: permission for requests from other regions to use
//! this region's slots.
//!
//! A credit is one slot that the region reserves for one holder until a request
//! claims the credit or it expires. Reserved and claimed slots together never
//! exceed the share of slots that the region offers to others.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Error, ErrorKind, MachineName};

/// Settings of an [`Issuer`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CreditSettings {
    /// Whether credits are required; false is the baseline for comparison.
    pub enabled: bool,
    /// Lifetime of a credit, milliseconds.
    pub ttl_ms: u64,
    /// Largest share of the slots that requests of other regions may use.
    pub foreign_share: f64,
    /// Time over which that share grows from 0 after a drain, a cold start or a
    /// network partition, milliseconds.
    pub ramp_ms: u64,
    /// Largest number of credits in one grant.
    pub grant_max: u32,
    /// Bytes of response that one credit allows over the link.
    pub bytes: u64,
}

impl Default for CreditSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            ttl_ms: 1_000,
            foreign_share: 0.5,
            ramp_ms: 10_000,
            grant_max: 16,
            bytes: 65_536,
        }
    }
}

/// Identifies a credit of an issuer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CreditId {
    /// Number that differs for each incarnation of the issuer.
    pub epoch: u64,
    /// Number of the credit within the epoch.
    pub number: u64,
}

/// Credits granted by one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// First credit; the others have the following numbers.
    pub first: CreditId,
    /// Number of credits.
    pub count: u32,
    /// Lifetime of the credits, milliseconds. The holder counts it from before
    /// it sent the request.
    pub ttl_ms: u64,
    /// Bytes of response that each credit allows.
    pub bytes: u64,
}

/// A slot that a request uses on a credit, until it is released.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "the slot stays in use until the claim is released"]
pub struct Claim {
    holder: MachineName,
    number: u64,
}

/// A credit that was granted and not claimed.
#[derive(Clone, Debug)]
struct Reservation {
    holder: MachineName,
    until: Instant,
}

/// Issues credits for the slots of one service in one region.
#[derive(Debug)]
pub struct Issuer {
    settings: CreditSettings,
    epoch: u64,
    next: u64,
    /// When all credits of earlier epochs have expired.
    starts_at: Instant,
    /// When the share for other regions began to grow.
    ramp_from: Instant,
    reserved: BTreeMap<u64, Reservation>,
    claimed: BTreeSet<(MachineName, u64)>,
}

impl Issuer {
    /// Creates an issuer that starts now. It grants nothing until all credits of
    /// earlier epochs have expired, then raises the share for other regions over
    /// [`CreditSettings::ramp_ms`].
    #[must_use]
    pub fn new(now: Instant, settings: CreditSettings, epoch: u64) -> Self {
        let starts_at = now + ms(settings.ttl_ms);
        Self {
            settings,
            epoch,
            next: 0,
            starts_at,
            ramp_from: starts_at,
            reserved: BTreeMap::new(),
            claimed: BTreeSet::new(),
        }
    }

    /// Resets the share for other regions to 0 and raises it again: after a drain,
    /// a cold start or the end of a network partition.
    pub fn restart_ramp(&mut self, now: Instant) {
        self.ramp_from = self.ramp_from.max(now);
    }

    /// Returns the number of slots that are reserved for or used by requests of
    /// other regions.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        u32::try_from(self.reserved.len() + self.claimed.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of reserved slots, which local requests must leave free.
    #[must_use]
    pub fn reserved(&mut self, now: Instant) -> u32 {
        self.expire(now);
        u32::try_from(self.reserved.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many of the region's `slots` requests of other regions may use.
    #[must_use]
    pub fn cap(&self, now: Instant, slots: u32) -> u32 {
        let ramp = ms(self.settings.ramp_ms.max(1));
        let elapsed = now.saturating_duration_since(self.ramp_from);
        let elapsed_share = elapsed.div_duration_f64(ramp).clamp(0.0, 1.0);
        floor(
            f64::from(slots) * self.settings.foreign_share * elapsed_share,
            slots,
        )
    }

    /// Grants credits to `holder`: at most `wanted`, within the cap and the free
    /// slots (`spare`) of the region's `slots`, and no more than an equal part of the
    /// slots left to grant if there are other holders. Returns `None` if there is
    /// nothing to grant.
    pub fn grant(
        &mut self,
        now: Instant,
        holder: &MachineName,
        wanted: u32,
        slots: u32,
        spare: u32,
    ) -> Option<Grant> {
        self.expire(now);
        if now < self.starts_at {
            return None;
        }
        let reserved = u32::try_from(self.reserved.len()).unwrap_or(u32::MAX);
        let under_cap = self.cap(now, slots).saturating_sub(self.occupied());
        let free = under_cap.min(spare.saturating_sub(reserved));
        let fair_part = free.div_ceil(self.other_holder_count(holder) + 1);
        let count = wanted.min(fair_part).min(self.settings.grant_max);
        if count == 0 {
            return None;
        }
        let first = self.next;
        let until = now + ms(self.settings.ttl_ms);
        for number in first..first + u64::from(count) {
            let holder = holder.clone();
            self.reserved.insert(number, Reservation { holder, until });
        }
        self.next += u64::from(count);
        Some(Grant {
            first: CreditId {
                epoch: self.epoch,
                number: first,
            },
            count,
            ttl_ms: as_ms(until - now),
            bytes: self.settings.bytes,
        })
    }

    /// Claims a reserved slot for a request.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] if the credit has expired, was claimed before or is of
    /// an earlier epoch. The request has not run then.
    pub fn claim(&mut self, now: Instant, id: CreditId) -> Result<Claim, Error> {
        self.expire(now);
        let reservation = (id.epoch == self.epoch)
            .then(|| self.reserved.remove(&id.number))
            .flatten()
            .ok_or_else(|| Error::new(ErrorKind::Overloaded, "the credit has expired"))?;
        let holder = reservation.holder;
        self.claimed.insert((holder.clone(), id.number));
        Ok(Claim {
            holder,
            number: id.number,
        })
    }

    /// Releases a claimed slot.
    pub fn release(&mut self, claim: Claim) {
        let Claim { holder, number } = claim;
        self.claimed.remove(&(holder, number));
    }

    /// Cancels a credit that its holder will not use.
    pub fn cancel(&mut self, id: CreditId) {
        if id.epoch == self.epoch {
            self.reserved.remove(&id.number);
        }
    }

    fn expire(&mut self, now: Instant) {
        self.reserved
            .retain(|_, reservation| now < reservation.until);
    }

    fn other_holder_count(&self, holder: &MachineName) -> u32 {
        let mut others: Vec<_> = self
            .reserved
            .values()
            .map(|p| &p.holder)
            .chain(self.claimed.iter().map(|(holder, _)| holder))
            .filter(|h| *h != holder)
            .collect();
        others.sort_unstable();
        others.dedup();
        u32::try_from(others.len()).unwrap_or(u32::MAX)
    }
}

/// Rounds `value` down, to at most `limit`.
fn floor(value: f64, limit: u32) -> u32 {
    (0..=limit)
        .rev()
        .find(|n| f64::from(*n) <= value)
        .unwrap_or(0)
}
