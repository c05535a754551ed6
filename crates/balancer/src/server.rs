//! State of one backend server at the entry VM that owns it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use world::unit::ms;
use world::{BackendServer, Class, Lifecycle};

use crate::latency::Latency;
use crate::settings::FleetSettings;
use crate::work::{Crash, Fingerprint, Outcome};

/// Weight of a new load report relative to this VM's own count of running work.
const REPORT_WEIGHT: f64 = 0.5;

/// Most requests with a lost connection that are kept for attribution to a crash.
const DISCONNECTED_MAX: usize = 64;

/// Work that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub class: Class,
    pub fingerprint: Fingerprint,
    pub started_at: Instant,
}

/// Exclusion of a server from load balancing after failures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    /// When the server may be probed.
    pub until: Instant,
    /// Failed probes; each doubles the time to the next one.
    pub failed_probes: u32,
    /// Ticket of the probe in flight.
    pub probe: Option<u64>,
}

/// A backend server with its lease, running work and health.
#[derive(Debug)]
pub(crate) struct Server {
    pub info: BackendServer,
    pub lease_until: Instant,
    /// When this entry VM starts to own the server; `None` if another entry VM owns it.
    pub owned_from: Option<Instant>,
    /// Whether the configuration drains the server.
    pub drained: bool,
    /// Start of the warm-up: the first announcement, a restart or a successful probe.
    pub cold_since: Option<Instant>,
    /// Work that holds a slot, by ticket.
    pub running: BTreeMap<u64, Running>,
    pub connections: u32,
    /// Ticket of work that runs alone on the server.
    pub alone: Option<u64>,
    /// Consecutive failures.
    pub failures: u32,
    pub ejection: Option<Ejection>,
    /// End of the pause that the server requested when it shed work.
    pub backoff_until: Instant,
    short: Latency,
    long: Latency,
    reported_at: Instant,
    /// Work whose connection was lost, and when.
    disconnected: VecDeque<(Instant, Fingerprint)>,
}

impl Server {
    pub fn new(now: Instant, info: BackendServer, settings: &FleetSettings) -> Self {
        Self {
            info,
            lease_until: now + ms(settings.lease_ms),
            owned_from: Some(now),
            drained: false,
            cold_since: Some(now),
            running: BTreeMap::new(),
            connections: 0,
            alone: None,
            failures: 0,
            ejection: None,
            backoff_until: now,
            short: Latency::default(),
            long: Latency::default(),
            reported_at: now,
            disconnected: VecDeque::new(),
        }
    }

    /// Renews the lease; an announced drain lasts until the server restarts.
    pub fn renew(&mut self, now: Instant, mut info: BackendServer, settings: &FleetSettings) {
        if self.info.lifecycle == Lifecycle::Draining {
            info.lifecycle = Lifecycle::Draining;
        }
        self.info = info;
        self.lease_until = now + ms(settings.lease_ms);
        self.reported_at = now;
    }

    /// Whether lease, drains, lifecycle and owner allow new work; load, ejection and
    /// backoff are left aside.
    pub fn serves(&self, now: Instant) -> bool {
        now < self.lease_until
            && !self.drained
            && self.info.lifecycle == Lifecycle::Serving
            && self.owned_from.is_some_and(|from| now >= from)
    }

    /// Whether this entry VM has work or connections on the server.
    pub fn is_in_use(&self) -> bool {
        !self.running.is_empty() || self.connections > 0
    }

    /// Number of slots in use.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Whether the server is still warming up.
    pub fn is_cold(&self, now: Instant, settings: &FleetSettings) -> bool {
        self.cold_since
            .is_some_and(|since| now < since + ms(settings.warmup_ms))
    }

    /// Slots open to new work; fewer than all while the server warms up.
    pub fn open_slots(&self, now: Instant, settings: &FleetSettings) -> u32 {
        let Some(since) = self.cold_since.filter(|_| self.is_cold(now, settings)) else {
            return self.info.slots;
        };
        let elapsed = now.saturating_duration_since(since);
        let progress = elapsed.div_duration_f64(ms(settings.warmup_ms));
        warmup_slots(self.info.slots, progress)
    }

    /// Slots used by long work and by short work older than `straggler_after`.
    pub fn long_in_flight(&self, now: Instant, straggler_after: Duration) -> u32 {
        let long = self
            .running
            .values()
            .filter(|r| r.class == Class::Long || now >= r.started_at + straggler_after)
            .count();
        u32::try_from(long).unwrap_or(u32::MAX)
    }

    /// Expected time to the response, seconds.
    pub fn cost_s(
        &self,
        now: Instant,
        settings: &FleetSettings,
        class: Class,
        mean_latency_s: f64,
        straggler_after: Duration,
    ) -> f64 {
        let decay = ms(settings.latency_decay_ms);
        let mean_s = self.latency(class).decayed_s(now, decay, mean_latency_s);
        let oldest_s = self.oldest_short_s(now, straggler_after);
        let slots = f64::from(self.info.slots.max(1));
        let load = f64::from(self.in_flight()) + self.unaccounted_load(now, settings);
        mean_s.max(oldest_s) * (1.0 + load / slots)
    }

    pub fn latency(&self, class: Class) -> &Latency {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    /// Records the outcome of work and frees its slot.
    pub fn finish(&mut self, now: Instant, id: u64, outcome: Outcome, decay: Duration) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        if self.alone == Some(id) {
            self.alone = None;
        }
        if matches!(outcome, Outcome::Answered | Outcome::TimedOut) {
            let latency = match run.class {
                Class::Short => &mut self.short,
                Class::Long => &mut self.long,
            };
            latency.record(now, now.saturating_duration_since(run.started_at), decay);
        }
        if outcome == Outcome::ConnectionLost {
            if self.disconnected.len() >= DISCONNECTED_MAX {
                self.disconnected.pop_front();
            }
            self.disconnected.push_back((now, run.fingerprint));
        }
    }

    /// Crash that explains the connections lost within `window`; clears all recorded lost
    /// connections.
    pub fn crash_of_disconnected(&mut self, now: Instant, window: Duration) -> Option<Crash> {
        let ran = self.disconnected.drain(..);
        let ran = ran
            .filter(|(at, _)| now.saturating_duration_since(*at) <= window)
            .map(|(_, fingerprint)| fingerprint)
            .collect();
        Crash::new(&self.info.name, self.info.incarnation, ran)
    }

    /// Crash of this incarnation when its successor announces itself; includes the
    /// work that still holds a slot.
    pub fn crash_at_restart(&mut self, now: Instant, window: Duration) -> Option<Crash> {
        let crash = self.crash_of_disconnected(now, window);
        let mut ran = crash.map(|c| c.ran).unwrap_or_default();
        ran.extend(self.running.values().map(|r| r.fingerprint));
        Crash::new(&self.info.name, self.info.incarnation, ran)
    }

    /// Reported load above this VM's own count, discounted by the report's age.
    fn unaccounted_load(&self, now: Instant, settings: &FleetSettings) -> f64 {
        let load = self.info.load;
        let others = (load.running + load.queued).saturating_sub(self.in_flight());
        let age = now.saturating_duration_since(self.reported_at) + ms(load.age_ms);
        let half_lives = age.div_duration_f64(ms(settings.report_half_life_ms.max(1)));
        f64::from(others.min(self.info.slots)) * REPORT_WEIGHT * (-half_lives).exp2()
    }

    /// Age of the oldest short work that isn't a straggler, seconds.
    fn oldest_short_s(&self, now: Instant, straggler_after: Duration) -> f64 {
        self.running
            .values()
            .filter(|r| r.class == Class::Short)
            .map(|r| now.saturating_duration_since(r.started_at))
            .filter(|age| *age < straggler_after)
            .max()
            .unwrap_or_default()
            .as_secs_f64()
    }
}

/// Slots open at a warm-up progress of 0 to 1; at least one.
fn warmup_slots(slots: u32, progress: f64) -> u32 {
    (1..=slots)
        .rev()
        .find(|open| f64::from(*open) <= f64::from(slots) * progress)
        .unwrap_or(1)
}
