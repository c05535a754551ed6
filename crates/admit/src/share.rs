//! Shares of a plan's limit among the entry VMs, by demand.
//!
//! Every VM reports the demand it sees. A VM weighs its own demand by the
//! least, and the others' by the most, that was in force within the settle
//! time. While reports arrive within that time the shares never sum to more
//! than the whole: whatever a VM counts for itself, every other VM counts for
//! it at least.
//!
//! A VM that falls silent keeps its last demand for the hold time, and its
//! peers' own demand can't rise meanwhile, so a cut of up to the hold time
//! brings no overshoot. Cut for longer, each part divides the whole among
//! itself: all parts together stay under the limit times the number of parts.
//! A VM that starts uses an equal share until the settle time has passed, so
//! each restart may add one equal share for that long.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::MachineName;
use world::unit::ms;

/// Settings of [`Shares`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShareSettings {
    /// Demand that every VM counts for, without any, requests a second.
    pub idle_per_s: f64,
    /// Time until every VM has a report, milliseconds.
    pub settle_ms: u64,
    /// Time for which a silent VM keeps its demand, milliseconds.
    pub hold_ms: u64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            idle_per_s: 0.5,
            settle_ms: 2_000,
            hold_ms: 60_000,
        }
    }
}

/// One VM's demand, as it reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct Demand {
    /// Requests a second that it sees, admitted or not.
    pub rate_per_s: f64,
}

/// Demands of one VM that were in force within the settle time.
#[derive(Clone, Debug, Default)]
struct History {
    demands: VecDeque<(Instant, f64)>,
}

impl History {
    fn push(&mut self, now: Instant, rate_per_s: f64, settle_ms: u64) {
        self.demands.push_back((now, rate_per_s));
        let settled = |d: &(Instant, f64)| d.0 + ms(settle_ms) <= now;
        while self.demands.get(1).is_some_and(settled) {
            self.demands.pop_front();
        }
    }

    fn in_force(&self, now: Instant, settle_ms: u64) -> impl Iterator<Item = f64> + '_ {
        let ended = move |next: &(Instant, f64)| next.0 + ms(settle_ms) <= now;
        let rows = self.demands.iter().enumerate();
        rows.filter(move |(at, _)| !self.demands.get(at + 1).is_some_and(ended))
            .map(|(_, (_, rate_per_s))| *rate_per_s)
    }

    fn heard_at(&self) -> Option<Instant> {
        self.demands.back().map(|(at, _)| *at)
    }
}

/// Demand of each entry VM for one customer and service, as one VM sees it.
#[derive(Clone, Debug)]
pub struct Shares {
    settings: ShareSettings,
    started_at: Instant,
    vm_count: u32,
    own: History,
    others: BTreeMap<MachineName, History>,
}

impl Shares {
    /// Knows of no demand; `vm_count` entry VMs are configured.
    #[must_use]
    pub fn new(now: Instant, settings: ShareSettings, vm_count: u32) -> Self {
        Self {
            settings,
            started_at: now,
            vm_count: vm_count.max(1),
            own: History::default(),
            others: BTreeMap::new(),
        }
    }

    /// Sends our own demand to everyone: takes it in and returns what to report.
    ///
    /// The report can't rise while a peer is silent.
    pub fn report_own(&mut self, now: Instant, seen: Demand) -> Demand {
        let last = self.own.demands.back().map_or(0.0, |d| d.1);
        let rate_per_s = if self.has_silent_peer(now) {
            seen.rate_per_s.min(last)
        } else {
            seen.rate_per_s
        };
        self.own.push(now, rate_per_s, self.settings.settle_ms);
        Demand { rate_per_s }
    }

    /// Takes in another VM's report.
    pub fn report(&mut self, now: Instant, vm: &MachineName, demand: Demand) {
        let history = self.others.entry(vm.clone()).or_default();
        history.push(now, demand.rate_per_s, self.settings.settle_ms);
    }

    /// Forgets VMs that have been silent for the hold time.
    pub fn expire(&mut self, now: Instant) {
        let hold = ms(self.settings.hold_ms);
        self.others
            .retain(|_, h| h.heard_at().is_some_and(|at| now < at + hold));
    }

    /// Our share of the limit now, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let settle_ms = self.settings.settle_ms;
        if now < self.started_at + ms(settle_ms) {
            return 1.0 / f64::from(self.vm_count);
        }
        let idle_per_s = self.settings.idle_per_s;
        let own = self.own.in_force(now, settle_ms).reduce(f64::min);
        let own = own.unwrap_or(0.0) + idle_per_s;
        let others: f64 = self
            .others
            .values()
            .map(|h| h.in_force(now, settle_ms).fold(0.0, f64::max) + idle_per_s)
            .sum();
        own / (own + others)
    }

    fn has_silent_peer(&self, now: Instant) -> bool {
        let settle = ms(self.settings.settle_ms);
        let silent = |h: &History| h.heard_at().is_none_or(|at| at + settle < now);
        self.others.values().any(silent)
    }
}
