//! Shares of a plan's limit among the entry VMs, by demand.
//!
//! Every VM reports the demand it sees. A VM weighs its own demand by the
//! least that it reported within the settle time, or since the VM that has been
//! silent longest was last heard, and the others' by their last report. While reports arrive within that time the shares never sum to
//! more than the whole: whatever a VM counts for itself, every other VM counts
//! for it at least.
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

/// Our own reports.
#[derive(Clone, Debug, Default)]
struct Reports {
    sent: VecDeque<(Instant, f64)>,
}

impl Reports {
    /// Reports that ended before `keep_from` are forgotten.
    fn push(&mut self, now: Instant, rate_per_s: f64, keep_from: Instant) {
        self.sent.push_back((now, rate_per_s));
        while self.sent.get(1).is_some_and(|next| next.0 <= keep_from) {
            self.sent.pop_front();
        }
    }

    fn last(&self) -> f64 {
        self.sent.back().map_or(0.0, |d| d.1)
    }

    /// The least report that was in force after `since`.
    fn least(&self, since: Instant) -> f64 {
        let ended = |next: &(Instant, f64)| next.0 <= since;
        let sent = self.sent.iter().enumerate();
        sent.filter(|(at, _)| !self.sent.get(at + 1).is_some_and(ended))
            .map(|(_, (_, rate_per_s))| *rate_per_s)
            .reduce(f64::min)
            .unwrap_or(0.0)
    }
}

/// The last report of another VM.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    rate_per_s: f64,
}

/// Demand of each entry VM for one customer and service, as one VM sees it.
#[derive(Clone, Debug)]
pub struct Shares {
    settings: ShareSettings,
    started_at: Instant,
    vm_count: u32,
    own: Reports,
    others: BTreeMap<MachineName, Heard>,
}

impl Shares {
    /// Knows of no demand; `vm_count` entry VMs are configured.
    #[must_use]
    pub fn new(now: Instant, settings: ShareSettings, vm_count: u32) -> Self {
        Self {
            settings,
            started_at: now,
            vm_count: vm_count.max(1),
            own: Reports::default(),
            others: BTreeMap::new(),
        }
    }

    /// Sends our own demand to everyone: takes it in and returns what to report.
    ///
    /// The report can't rise while a peer is silent.
    pub fn report_own(&mut self, now: Instant, seen: Demand) -> Demand {
        let rate_per_s = if self.has_silent_peer(now) {
            seen.rate_per_s.min(self.own.last())
        } else {
            seen.rate_per_s
        };
        self.own.push(now, rate_per_s, self.settled_since(now));
        Demand { rate_per_s }
    }

    /// Takes in another VM's report.
    pub fn report(&mut self, now: Instant, vm: &MachineName, demand: Demand) {
        let heard = Heard {
            at: now,
            rate_per_s: demand.rate_per_s,
        };
        self.others.insert(vm.clone(), heard);
    }

    /// Forgets VMs that have been silent for the hold time.
    pub fn expire(&mut self, now: Instant) {
        let hold = ms(self.settings.hold_ms);
        self.others.retain(|_, heard| now < heard.at + hold);
    }

    /// Our share of the limit now, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let settle_ms = self.settings.settle_ms;
        if now < self.started_at + ms(settle_ms) {
            return 1.0 / f64::from(self.vm_count);
        }
        let idle_per_s = self.settings.idle_per_s;
        let own = self.own.least(self.settled_since(now)) + idle_per_s;
        let others = self.others.values().map(|h| h.rate_per_s + idle_per_s);
        let others: f64 = others.sum();
        own / (own + others)
    }

    /// Every VM that is not forgotten has answered for reports older than this.
    fn settled_since(&self, now: Instant) -> Instant {
        let settled = now.checked_sub(ms(self.settings.settle_ms)).unwrap_or(now);
        let heard = self.others.values().map(|heard| heard.at).min();
        heard.map_or(settled, |heard| heard.min(settled))
    }

    fn has_silent_peer(&self, now: Instant) -> bool {
        let settle = ms(self.settings.settle_ms);
        self.others.values().any(|heard| heard.at + settle < now)
    }
}
