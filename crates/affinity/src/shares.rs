//! Distribution of this region's requests over all regions.
//!
//! A region processes as many of its own requests as its part of all slots
//! allows; the rest goes to regions with spare slots. The shares change at a
//! bounded rate, so that caches in the other regions warm up while their
//! traffic grows.

use std::collections::BTreeMap;
use std::time::Duration;

use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::RegionName;

/// Largest share of requests that changes region in a second. That is 10% in two
/// seconds, a third under 15%, the most that may change region in two seconds.
const MAX_SHIFT_PER_S: f64 = 0.05;

/// Change of the region's own share that is logged. With [`MAX_SHIFT_PER_S`] that is
/// at most one log line per second.
const LOG_STEP: f64 = 0.05;

/// Share of the requests that each region processes, for one service and the
/// clients of one region.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    current: BTreeMap<RegionName, f64>,
    advanced_at: Option<Instant>,
    /// Own share at the last log line.
    logged: f64,
}

/// Returns the shares for clients in `home`, given the slots of each region and
/// assuming that every region has equally many clients.
#[must_use]
pub fn target(home: &RegionName, slots: &BTreeMap<RegionName, f64>) -> BTreeMap<RegionName, f64> {
    let total: f64 = slots.values().sum();
    if total <= 0.0 {
        return BTreeMap::new();
    }
    let regions = f64::from(u32::try_from(slots.len()).unwrap_or(1));
    // Slots of a region relative to the mean of all regions.
    let relative_slots =
        |region: &RegionName| slots.get(region).map_or(0.0, |s| s * regions / total);
    let own = relative_slots(home).min(1.0);
    let surplus = |region: &RegionName| (relative_slots(region) - 1.0).max(0.0);
    let others = || slots.keys().filter(|region| *region != home);
    let total_surplus: f64 = others().map(surplus).sum();
    let mut target = BTreeMap::from([(home.clone(), own)]);
    for region in others().filter(|_| total_surplus > 0.0) {
        target.insert(
            region.clone(),
            (1.0 - own) * surplus(region) / total_surplus,
        );
    }
    target
}

impl Shares {
    /// Moves the shares towards `target` at the bounded rate.
    pub fn advance(&mut self, target: &BTreeMap<RegionName, f64>, now: Instant) {
        let Some(advanced_at) = self.advanced_at else {
            if !target.is_empty() {
                self.current = target.clone();
                self.advanced_at = Some(now);
            }
            return;
        };
        let elapsed: Duration = now.saturating_duration_since(advanced_at);
        self.advanced_at = Some(now);
        let share = |map: &BTreeMap<RegionName, f64>, region| map.get(region).copied();
        let to_move: f64 = target
            .iter()
            .map(|(region, to)| (to - share(&self.current, region).unwrap_or(0.0)).max(0.0))
            .sum();
        if to_move <= 0.0 {
            return;
        }
        let step = (MAX_SHIFT_PER_S * elapsed.as_secs_f64() / to_move).min(1.0);
        let regions = target.keys().chain(self.current.keys());
        let shares = regions.map(|region| {
            let from = share(&self.current, region).unwrap_or(0.0);
            let to = share(target, region).unwrap_or(0.0);
            (region.clone(), from + (to - from) * step)
        });
        self.current = shares.collect();
    }

    /// Returns the share that `home` keeps if it has changed by `LOG_STEP` since
    /// the last call that returned it.
    pub fn share_to_log(&mut self, home: &RegionName) -> Option<f64> {
        let own = self.current.get(home).copied()?;
        if (own - self.logged).abs() < LOG_STEP {
            return None;
        }
        self.logged = own;
        Some(own)
    }

    /// Returns the region that processes an object for clients in `home`.
    #[must_use]
    pub fn region(&self, home: &RegionName, object: u64) -> RegionName {
        let mut point = hash::unit(object ^ hash::name(home.as_str()), Purpose::Region);
        let own = self.current.get(home).copied().unwrap_or(1.0);
        if point < own {
            return home.clone();
        }
        point -= own;
        let others = self.current.iter().filter(|(region, _)| *region != home);
        for (region, share) in others {
            if point < *share {
                return region.clone();
            }
            point -= share;
        }
        home.clone()
    }
}
