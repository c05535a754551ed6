//! Which share of this region's requests runs in which region.
//!
//! A region keeps as much as its part of all slots allows; the rest goes where
//! slots are left over. Shares move at a bounded rate, so that caches in the
//! other regions warm up as the flow rises.

use std::collections::BTreeMap;
use std::time::Duration;

use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::RegionName;

/// Most that the shares move in a second, in all: a third under the bound of
/// 15% in two seconds.
const MOVE_PER_S: f64 = 0.05;

/// Step of a region's own share that is told: shares move by at most one such
/// step a second.
const TELL_STEP: f64 = 0.05;

/// Shares by region, of one service and one region of callers.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    now: BTreeMap<RegionName, f64>,
    moved_at: Option<Instant>,
    /// The own share as it was told last.
    told: f64,
}

/// Shares for callers of `home` where regions have these slots and callers are
/// spread evenly over regions.
#[must_use]
pub fn target(home: &RegionName, slots: &BTreeMap<RegionName, f64>) -> BTreeMap<RegionName, f64> {
    let total: f64 = slots.values().sum();
    if total <= 0.0 {
        return BTreeMap::new();
    }
    let regions = f64::from(u32::try_from(slots.len()).unwrap_or(1));
    let fair = |region: &RegionName| slots.get(region).map_or(0.0, |s| s * regions / total);
    let own = fair(home).min(1.0);
    let spare = |region: &RegionName| (fair(region) - 1.0).max(0.0);
    let others = || slots.keys().filter(|region| *region != home);
    let all_spare: f64 = others().map(spare).sum();
    let mut target = BTreeMap::from([(home.clone(), own)]);
    for region in others().filter(|_| all_spare > 0.0) {
        target.insert(region.clone(), (1.0 - own) * spare(region) / all_spare);
    }
    target
}

impl Shares {
    /// Moves towards `target`.
    pub fn advance(&mut self, target: &BTreeMap<RegionName, f64>, now: Instant) {
        let Some(moved_at) = self.moved_at else {
            if !target.is_empty() {
                self.now = target.clone();
                self.moved_at = Some(now);
            }
            return;
        };
        let since: Duration = now.saturating_duration_since(moved_at);
        self.moved_at = Some(now);
        let share = |map: &BTreeMap<RegionName, f64>, region| map.get(region).copied();
        let away: f64 = target
            .iter()
            .map(|(region, to)| (to - share(&self.now, region).unwrap_or(0.0)).max(0.0))
            .sum();
        if away <= 0.0 {
            return;
        }
        let step = (MOVE_PER_S * since.as_secs_f64() / away).min(1.0);
        let regions = target.keys().chain(self.now.keys());
        let moved = regions.map(|region| {
            let from = share(&self.now, region).unwrap_or(0.0);
            let to = share(target, region).unwrap_or(0.0);
            (region.clone(), from + (to - from) * step)
        });
        self.now = moved.collect();
    }

    /// The share that `home` keeps, when it has moved by [`TELL_STEP`] since it
    /// was told last.
    pub fn news(&mut self, home: &RegionName) -> Option<f64> {
        let own = self.now.get(home).copied()?;
        if (own - self.told).abs() < TELL_STEP {
            return None;
        }
        self.told = own;
        Some(own)
    }

    /// The region in which an object is worked on for callers of `home`.
    #[must_use]
    pub fn region(&self, home: &RegionName, object: u64) -> RegionName {
        let mut point = hash::unit(object ^ hash::name(home.as_str()), Purpose::Region);
        let own = self.now.get(home).copied().unwrap_or(1.0);
        if point < own {
            return home.clone();
        }
        point -= own;
        let others = self.now.iter().filter(|(region, _)| *region != home);
        for (region, share) in others {
            if point < *share {
                return region.clone();
            }
            point -= share;
        }
        home.clone()
    }
}
