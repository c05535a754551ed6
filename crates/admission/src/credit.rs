//! Credits, issuing side: leave for work to enter a region.
//!
//! A credit is one slot that the region keeps free for one holder until the
//! credit is claimed by a piece of work, or expires. Slots promised and slots
//! in use never sum to more than the region gives to others.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Error, Kind, MachineName};

/// Settings of an [`Issuer`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CreditSettings {
    /// Whether credits are asked for at all; off is the baseline.
    pub enabled: bool,
    /// Time for which a credit holds, milliseconds.
    pub ttl_ms: u64,
    /// Share of the slots that work from elsewhere may take: the shift cap.
    pub foreign_share: f64,
    /// Time over which the share opens after a drain, a cold start or a cut, milliseconds.
    pub ramp_ms: u64,
    /// Credits in one grant at most.
    pub grant_max: u32,
    /// Bytes that one credit allows back over the link.
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

/// Names one credit: who issued it, since which start, and its number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CreditId {
    /// Number that differs with each start of the issuer.
    pub epoch: u64,
    /// Number of the credit within the epoch.
    pub number: u64,
}

/// Credits granted at once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// First credit; the others follow by number.
    pub first: CreditId,
    /// How many.
    pub count: u32,
    /// Time for which they hold, counted from before they were asked for, milliseconds.
    pub ttl_ms: u64,
    /// Bytes that each allows.
    pub bytes: u64,
}

/// Work that entered on a credit; its slot is in use until it is released.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "the slot stays in use until the claim is released"]
pub struct Claim {
    holder: MachineName,
    number: u64,
}

#[derive(Clone, Debug)]
struct Promise {
    holder: MachineName,
    until: Instant,
}

/// Issues credits for slots of one service in one region.
#[derive(Debug)]
pub struct Issuer {
    settings: CreditSettings,
    epoch: u64,
    next: u64,
    starts_at: Instant,
    ramp_from: Instant,
    promised: BTreeMap<u64, Promise>,
    claimed: BTreeSet<(MachineName, u64)>,
}

impl Issuer {
    /// An issuer that has just started: it waits until every credit of an
    /// earlier epoch has expired, then opens slowly.
    #[must_use]
    pub fn new(now: Instant, settings: CreditSettings, epoch: u64) -> Self {
        let starts_at = now + ms(settings.ttl_ms);
        Self {
            settings,
            epoch,
            next: 0,
            starts_at,
            ramp_from: starts_at,
            promised: BTreeMap::new(),
            claimed: BTreeSet::new(),
        }
    }

    /// Opens slowly from now on: after a drain, a cold start or a healed cut.
    pub fn ramp(&mut self, now: Instant) {
        self.ramp_from = self.ramp_from.max(now);
    }

    /// Slots that are promised or in use by work from elsewhere.
    #[must_use]
    pub fn taken(&self) -> u32 {
        u32::try_from(self.promised.len() + self.claimed.len()).unwrap_or(u32::MAX)
    }

    /// Slots that are promised; local work must leave them free.
    #[must_use]
    pub fn promised(&mut self, now: Instant) -> u32 {
        self.expire(now);
        u32::try_from(self.promised.len()).unwrap_or(u32::MAX)
    }

    /// Slots that work from elsewhere may take, of `slots` in the region.
    #[must_use]
    pub fn cap(&self, now: Instant, slots: u32) -> u32 {
        let ramp = ms(self.settings.ramp_ms.max(1));
        let open = now.saturating_duration_since(self.ramp_from);
        let open = open.div_duration_f64(ramp).clamp(0.0, 1.0);
        floor(f64::from(slots) * self.settings.foreign_share * open, slots)
    }

    /// Grants credits to `holder`: at most `wanted`, at most what is `spare`
    /// of the region's `slots`, and an equal part beside other holders.
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
        let promised = u32::try_from(self.promised.len()).unwrap_or(u32::MAX);
        let under_cap = self.cap(now, slots).saturating_sub(self.taken());
        let free = under_cap.min(spare.saturating_sub(promised));
        let part = free.div_ceil(self.holders_beside(holder) + 1);
        let count = wanted.min(part).min(self.settings.grant_max);
        if count == 0 {
            return None;
        }
        let first = self.next;
        let until = now + ms(self.settings.ttl_ms);
        for number in first..first + u64::from(count) {
            let holder = holder.clone();
            self.promised.insert(number, Promise { holder, until });
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

    /// Turns a live credit into a slot in use.
    ///
    /// # Errors
    /// [`Kind::Overloaded`] when the credit has expired, was claimed before or
    /// comes from an earlier epoch; nothing has run.
    pub fn claim(&mut self, now: Instant, id: CreditId) -> Result<Claim, Error> {
        self.expire(now);
        let promise = (id.epoch == self.epoch)
            .then(|| self.promised.remove(&id.number))
            .flatten()
            .ok_or_else(|| Error::new(Kind::Overloaded, "the credit has expired"))?;
        let holder = promise.holder;
        self.claimed.insert((holder.clone(), id.number));
        Ok(Claim {
            holder,
            number: id.number,
        })
    }

    /// Gives a slot in use back.
    pub fn release(&mut self, claim: Claim) {
        let Claim { holder, number } = claim;
        self.claimed.remove(&(holder, number));
    }

    /// Takes back credits that a holder will not use.
    pub fn give_back(&mut self, id: CreditId) {
        if id.epoch == self.epoch {
            self.promised.remove(&id.number);
        }
    }

    fn expire(&mut self, now: Instant) {
        self.promised.retain(|_, promise| now < promise.until);
    }

    fn holders_beside(&self, holder: &MachineName) -> u32 {
        let mut others: Vec<_> = self
            .promised
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

/// The whole part of `value`, at most `most`.
fn floor(value: f64, most: u32) -> u32 {
    (0..=most)
        .rev()
        .find(|n| f64::from(*n) <= value)
        .unwrap_or(0)
}
