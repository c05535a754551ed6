//! Division of a plan's limit among the entry VMs in proportion to demand.
//!
//! Every entry VM reports its demand to the others. A VM uses the last report of
//! each other VM, and for itself the lowest demand that it reported within the
//! settle time (`settle_ms`, in which a report reaches every VM), or since the
//! oldest of the other VMs' last reports if that is earlier. So each VM assumes for
//! another VM at least the demand that the other assumes for itself, and the shares
//! never add up to more than the limit while reports arrive within the settle time.
//!
//! An unresponsive VM keeps its last demand for the hold time (`hold_ms`), and the
//! other VMs don't raise their own demand meanwhile, so a network partition of up to
//! the hold time causes no overshoot. In a longer partition each part divides the
//! whole limit among its own VMs, so the total stays under the limit times the
//! number of parts. A VM that starts uses an equal share until the settle time
//! has passed, so each restart may add one equal share for that time.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::MachineName;
use world::unit::ms;

/// Settings of [`Shares`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShareSettings {
    /// Demand added to that of every VM, so that a VM without demand has a share
    /// too, requests per second.
    pub idle_per_s: f64,
    /// Time in which a report reaches every VM, milliseconds.
    pub settle_ms: u64,
    /// Time for which an unresponsive VM keeps its demand, milliseconds.
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

/// Demand that a VM reports.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct Demand {
    /// Requests per second, admitted or not.
    pub rate_per_s: f64,
}

/// Reports sent by this VM, oldest first.
#[derive(Clone, Debug, Default)]
struct Reports {
    sent: VecDeque<(Instant, f64)>,
}

impl Reports {
    /// Adds a report and removes those that a later report replaced at or before
    /// `keep_from`.
    fn push(&mut self, now: Instant, rate_per_s: f64, keep_from: Instant) {
        self.sent.push_back((now, rate_per_s));
        while self.sent.get(1).is_some_and(|next| next.0 <= keep_from) {
            self.sent.pop_front();
        }
    }

    fn last(&self) -> f64 {
        self.sent.back().map_or(0.0, |d| d.1)
    }

    /// Returns the lowest demand among the reports in effect at or after `since`.
    fn lowest(&self, since: Instant) -> f64 {
        let replaced = |next: &(Instant, f64)| next.0 <= since;
        let sent = self.sent.iter().enumerate();
        sent.filter(|(at, _)| !self.sent.get(at + 1).is_some_and(replaced))
            .map(|(_, (_, rate_per_s))| *rate_per_s)
            .reduce(f64::min)
            .unwrap_or(0.0)
    }
}

/// Last report of another VM.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    at: Instant,
    rate_per_s: f64,
}

/// Demand of each entry VM for one customer and service, as known to one VM.
#[derive(Clone, Debug)]
pub struct Shares {
    settings: ShareSettings,
    started_at: Instant,
    vm_count: u32,
    own: Reports,
    others: BTreeMap<MachineName, LastReport>,
}

impl Shares {
    /// Creates shares without any report, for `vm_count` configured entry VMs.
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

    /// Records this VM's measured demand and returns the demand to report to all
    /// other VMs. The reported demand doesn't rise while another VM is unresponsive.
    pub fn report_own(&mut self, now: Instant, measured: Demand) -> Demand {
        let rate_per_s = if self.has_unresponsive_other(now) {
            measured.rate_per_s.min(self.own.last())
        } else {
            measured.rate_per_s
        };
        self.own.push(now, rate_per_s, self.settled_since(now));
        Demand { rate_per_s }
    }

    /// Applies a report of another VM.
    pub fn report(&mut self, now: Instant, vm: &MachineName, demand: Demand) {
        let last_report = LastReport {
            at: now,
            rate_per_s: demand.rate_per_s,
        };
        self.others.insert(vm.clone(), last_report);
    }

    /// Removes VMs that have been unresponsive for the hold time.
    pub fn expire(&mut self, now: Instant) {
        let hold = ms(self.settings.hold_ms);
        self.others.retain(|_, report| now < report.at + hold);
    }

    /// Returns this VM's present share of the limit, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let settle_ms = self.settings.settle_ms;
        if now < self.started_at + ms(settle_ms) {
            return 1.0 / f64::from(self.vm_count);
        }
        let idle_per_s = self.settings.idle_per_s;
        let own = self.own.lowest(self.settled_since(now)) + idle_per_s;
        let others = self.others.values().map(|h| h.rate_per_s + idle_per_s);
        let others: f64 = others.sum();
        own / (own + others)
    }

    /// Returns the earlier of the settle time before `now` and the oldest of the
    /// other VMs' last reports. A VM that has not reported since may have missed
    /// every report sent after its last one, so it may still use the one in effect
    /// then.
    fn settled_since(&self, now: Instant) -> Instant {
        let settled = now.checked_sub(ms(self.settings.settle_ms)).unwrap_or(now);
        let oldest_at = self.others.values().map(|report| report.at).min();
        oldest_at.map_or(settled, |oldest| oldest.min(settled))
    }

    fn has_unresponsive_other(&self, now: Instant) -> bool {
        let settle = ms(self.settings.settle_ms);
        self.others.values().any(|report| report.at + settle < now)
    }
}
