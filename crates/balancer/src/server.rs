//! One backend server as its owner sees it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use world::unit::ms;
use world::{BackendServer, Class, Lifecycle};

use crate::latency::Latency;
use crate::settings::FleetSettings;
use crate::work::{Crash, Fingerprint, Outcome};

/// Weight of a fresh load report beside our own count.
const REPORT_WEIGHT: f64 = 0.5;

/// Broken work that is remembered until a sign of a crash.
const BROKEN_MAX: usize = 64;

/// Work that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub class: Class,
    pub fingerprint: Fingerprint,
    pub started_at: Instant,
}

/// Time out of the set after failures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub until: Instant,
    pub rounds: u32,
    pub probe: Option<u64>,
}

/// Table row of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub info: BackendServer,
    pub lease_until: Instant,
    pub owned_from: Option<Instant>,
    pub drained: bool,
    pub cold_since: Option<Instant>,
    pub running: BTreeMap<u64, Running>,
    pub connections: u32,
    pub alone: Option<u64>,
    pub failures: u32,
    pub ejection: Option<Ejection>,
    pub backoff_until: Instant,
    short: Latency,
    long: Latency,
    reported_at: Instant,
    broken: VecDeque<(Instant, Fingerprint)>,
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
            broken: VecDeque::new(),
        }
    }

    /// Renews the lease; a drain once announced holds for the incarnation.
    pub fn renew(&mut self, now: Instant, mut info: BackendServer, settings: &FleetSettings) {
        if self.info.lifecycle == Lifecycle::Draining {
            info.lifecycle = Lifecycle::Draining;
        }
        self.info = info;
        self.lease_until = now + ms(settings.lease_ms);
        self.reported_at = now;
    }

    /// Whether it takes new work at all.
    pub fn serves(&self, now: Instant) -> bool {
        now < self.lease_until
            && !self.drained
            && self.info.lifecycle == Lifecycle::Serving
            && self.owned_from.is_some_and(|from| now >= from)
    }

    /// Whether it has work or connections of ours.
    pub fn is_in_use(&self) -> bool {
        !self.running.is_empty() || self.connections > 0
    }

    /// Work that holds a slot, as a count.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Whether it is warming up still.
    pub fn is_cold(&self, now: Instant, settings: &FleetSettings) -> bool {
        self.cold_since
            .is_some_and(|since| now < since + ms(settings.warmup_ms))
    }

    /// Slots open to new work while the server warms up.
    pub fn open_slots(&self, now: Instant, settings: &FleetSettings) -> u32 {
        let Some(since) = self.cold_since.filter(|_| self.is_cold(now, settings)) else {
            return self.info.slots;
        };
        let open = now.saturating_duration_since(since);
        let warm = open.div_duration_f64(ms(settings.warmup_ms));
        ramp(self.info.slots, warm)
    }

    /// Slots held by long work and by short work older than `straggler_after`.
    pub fn long_in_flight(&self, now: Instant, straggler_after: Duration) -> u32 {
        let long = self
            .running
            .values()
            .filter(|r| r.class == Class::Long || now >= r.started_at + straggler_after)
            .count();
        u32::try_from(long).unwrap_or(u32::MAX)
    }

    /// Expected time to an answer, seconds.
    pub fn cost_s(
        &self,
        now: Instant,
        settings: &FleetSettings,
        class: Class,
        typical_s: f64,
        straggler_after: Duration,
    ) -> f64 {
        let decay = ms(settings.latency_decay_ms);
        let mean_s = self.latency(class).faded_s(now, decay, typical_s);
        let stalled_s = self.oldest_short_s(now, straggler_after);
        let slots = f64::from(self.info.slots.max(1));
        let load = f64::from(self.in_flight()) + self.prior(now, settings);
        mean_s.max(stalled_s) * (1.0 + load / slots)
    }

    pub fn latency(&self, class: Class) -> &Latency {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    /// Takes in the outcome of work that held a slot.
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
        if outcome == Outcome::Broken {
            if self.broken.len() >= BROKEN_MAX {
                self.broken.pop_front();
            }
            self.broken.push_back((now, run.fingerprint));
        }
    }

    /// The crash that connections broken just before belong to.
    pub fn take_broken(&mut self, now: Instant, window: Duration) -> Option<Crash> {
        let ran = self.broken.drain(..);
        let ran = ran
            .filter(|(at, _)| now.saturating_duration_since(*at) <= window)
            .map(|(_, fingerprint)| fingerprint)
            .collect();
        Crash::new(&self.info.name, self.info.incarnation, ran)
    }

    /// The crash of this incarnation, with the work that still holds a slot.
    pub fn take_all(&mut self, now: Instant, window: Duration) -> Option<Crash> {
        let crash = self.take_broken(now, window);
        let mut ran = crash.map(|c| c.ran).unwrap_or_default();
        ran.extend(self.running.values().map(|r| r.fingerprint));
        Crash::new(&self.info.name, self.info.incarnation, ran)
    }

    /// What the load report says above our own count, discounted by its age.
    fn prior(&self, now: Instant, settings: &FleetSettings) -> f64 {
        let load = self.info.load;
        let others = (load.running + load.queued).saturating_sub(self.in_flight());
        let age = now.saturating_duration_since(self.reported_at) + ms(load.age_ms);
        let half_lives = age.div_duration_f64(ms(settings.report_half_life_ms.max(1)));
        f64::from(others.min(self.info.slots)) * REPORT_WEIGHT * (-half_lives).exp2()
    }

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

/// `warm` of `slots`, at least one.
fn ramp(slots: u32, warm: f64) -> u32 {
    (1..=slots)
        .rev()
        .find(|open| f64::from(*open) <= f64::from(slots) * warm)
        .unwrap_or(1)
}
