//! Backend servers of one service: choice, ejection and reservation.

use std::time::Duration;

use rand::rngs::SmallRng;
use tokio::time::Instant;
use world::unit::ms;
use world::{Class, ServerName};

use crate::choice::{Candidate, LoadBalancingPolicy};
use crate::server::{Ejection, Running, Server};
use crate::settings::FleetSettings;
use crate::work::{Fingerprint, NoSlot, Outcome, Work};

/// Latency assumed before the first sample, seconds.
const DEFAULT_LATENCY_S: f64 = 0.005;

/// Most doublings of the ejection time; keeps the shift from overflowing.
const EJECT_DOUBLINGS_MAX: u32 = 10;

/// Servers of one service, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub servers: Vec<Server>,
    /// Index of the server chosen last.
    last_chosen: Option<usize>,
    /// When short work was last requested.
    last_short_at: Option<Instant>,
    /// Server kept free for work that runs alone, and when the reservation ends.
    reserved: Option<(ServerName, Instant)>,
}

/// Inputs of one choice that are the same for every server.
struct ChoiceContext<'a> {
    now: Instant,
    settings: &'a FleetSettings,
    work: &'a Work,
    /// Age from which short work counts as long.
    straggler_after: Duration,
    /// Whether a share of the slots is reserved for short work.
    reserves_short: bool,
    /// Whether some server has finished its warm-up.
    any_warm: bool,
    /// Whether every serving server is ejected; ejection is then ignored.
    all_ejected: bool,
}

impl Group {
    pub fn get_mut(&mut self, name: &ServerName) -> Option<&mut Server> {
        let at = self.position(name).ok()?;
        Some(&mut self.servers[at])
    }

    /// Index of the server, or as an error the index at which to insert it.
    pub fn position(&self, name: &ServerName) -> Result<usize, usize> {
        self.servers.binary_search_by(|s| s.info.name.cmp(name))
    }

    /// Takes a slot for `work` under ticket `id` and returns the server's index.
    pub fn choose<C: LoadBalancingPolicy>(
        &mut self,
        now: Instant,
        settings: &FleetSettings,
        policy: &C,
        rng: &mut SmallRng,
        work: &Work,
        id: u64,
    ) -> Result<usize, NoSlot> {
        if work.class == Class::Short {
            self.last_short_at = Some(now);
        }
        let accepts_work = |s: &Server| s.serves(now) && !work.avoid.contains(&s.info.name);
        if !self.servers.iter().any(accepts_work) {
            return Err(NoSlot::NoServer);
        }
        if let Some(at) = self.probe(now, work) {
            if let Some(ejection) = &mut self.servers[at].ejection {
                ejection.probe = Some(id);
            }
            return Ok(self.take_slot(now, at, work, id));
        }
        let candidates = self.candidates(now, settings, work);
        if candidates.is_empty() {
            if work.alone {
                self.reserve(now, settings, work);
            }
            return Err(NoSlot::Busy);
        }
        let chosen = policy.choose(rng, self.last_chosen, &candidates);
        let at = candidates[chosen].index;
        self.last_chosen = Some(at);
        Ok(self.take_slot(now, at, work, id))
    }

    /// Whether a first attempt of this class would get a slot.
    pub fn has_free_slot(&self, now: Instant, settings: &FleetSettings, class: Class) -> bool {
        let work = Work::new(class, Fingerprint(0));
        self.probe(now, &work).is_some() || !self.candidates(now, settings, &work).is_empty()
    }

    /// Updates a server's failure count, ejection and backoff after an outcome.
    pub fn update_ejection(
        &mut self,
        now: Instant,
        settings: &FleetSettings,
        at: usize,
        id: u64,
        outcome: Outcome,
    ) {
        let may_eject = self.may_eject(now, settings, at);
        let server = &mut self.servers[at];
        if let Outcome::Shed { retry_after_ms } = outcome {
            let wait = ms(retry_after_ms.min(settings.shed_max_ms));
            server.backoff_until = server.backoff_until.max(now + wait);
        }
        let probed = server.ejection.is_some_and(|e| e.probe == Some(id));
        if outcome.is_failure() {
            server.failures = server.failures.saturating_add(1);
            let over_limit = server.failures >= settings.eject_failures;
            if probed || (server.ejection.is_none() && over_limit && may_eject) {
                eject(now, settings, server);
            }
        } else if outcome == Outcome::Answered {
            server.failures = 0;
            if probed {
                server.ejection = None;
                server.cold_since = Some(now);
            }
        } else if probed && let Some(ejection) = &mut server.ejection {
            ejection.probe = None;
        }
    }

    /// Mean latency of a class over the servers, seconds.
    fn mean_latency_s(&self, class: Class) -> f64 {
        let known = self
            .servers
            .iter()
            .filter_map(|s| s.latency(class).mean_s());
        let (sum_s, count) = known.fold((0.0, 0.0), |(sum, n), mean| (sum + mean, n + 1.0));
        if count > 0.0 {
            sum_s / count
        } else {
            DEFAULT_LATENCY_S
        }
    }

    /// Servers that may take the work now, with their costs.
    fn candidates(&self, now: Instant, settings: &FleetSettings, work: &Work) -> Vec<Candidate> {
        let mean_latency_s = self.mean_latency_s(work.class);
        let straggler_s = self.mean_latency_s(Class::Short) * settings.straggler_factor;
        let short_memory = ms(settings.short_memory_ms);
        let serving = || self.servers.iter().filter(|s| s.serves(now));
        let context = ChoiceContext {
            now,
            settings,
            work,
            straggler_after: Duration::from_secs_f64(straggler_s)
                .max(ms(settings.straggler_min_ms)),
            reserves_short: self.last_short_at.is_some_and(|at| now < at + short_memory),
            any_warm: serving().any(|s| !s.is_cold(now, settings)),
            all_ejected: serving().all(|s| s.ejection.is_some()),
        };
        let is_candidate = |(_, s): &(usize, &Server)| self.is_candidate(&context, s);
        self.servers
            .iter()
            .enumerate()
            .filter(is_candidate)
            .map(|(index, s)| Candidate {
                index,
                cost_s: s.cost_s(
                    now,
                    settings,
                    work.class,
                    mean_latency_s,
                    context.straggler_after,
                ),
            })
            .collect()
    }

    /// Whether the work may take a slot of the server now.
    fn is_candidate(&self, context: &ChoiceContext<'_>, server: &Server) -> bool {
        let ChoiceContext {
            now,
            settings,
            work,
            ..
        } = *context;
        let in_flight = server.in_flight();
        let slots = if context.any_warm {
            server.open_slots(now, settings)
        } else {
            server.info.slots
        };
        server.serves(now)
            && !work.avoid.contains(&server.info.name)
            && (context.all_ejected || server.ejection.is_none())
            && now >= server.backoff_until
            && server.alone.is_none()
            && in_flight < slots.min(server.info.connections)
            && (!work.alone || in_flight == 0)
            && (work.alone || !self.is_reserved(now, &server.info.name))
            && (work.class == Class::Short || context.allows_long(server))
    }

    /// Index of an ejected server that is due for a probe, if the work may be its probe.
    fn probe(&self, now: Instant, work: &Work) -> Option<usize> {
        if work.class != Class::Short || !work.idempotent || work.alone {
            return None;
        }
        self.servers.iter().position(|s| {
            s.serves(now)
                && s.in_flight() < s.info.slots
                && s.alone.is_none()
                && !work.avoid.contains(&s.info.name)
                && s.ejection
                    .is_some_and(|e| e.probe.is_none() && now >= e.until)
        })
    }

    fn take_slot(&mut self, now: Instant, at: usize, work: &Work, id: u64) -> usize {
        let server = &mut self.servers[at];
        let run = Running {
            class: work.class,
            fingerprint: work.fingerprint,
            started_at: now,
        };
        server.running.insert(id, run);
        if work.alone {
            server.alone = Some(id);
            self.reserved = None;
        }
        at
    }

    /// Whether the server is reserved for work that runs alone.
    fn is_reserved(&self, now: Instant, name: &ServerName) -> bool {
        let holds = |r: &(ServerName, Instant)| r.0 == *name && now < r.1;
        self.reserved.as_ref().is_some_and(holds)
    }

    /// Reserves the least busy server, so that it becomes free for work that runs alone.
    fn reserve(&mut self, now: Instant, settings: &FleetSettings, work: &Work) {
        if self.reserved.as_ref().is_some_and(|r| now < r.1) {
            return;
        }
        let least_busy = self
            .servers
            .iter()
            .filter(|s| s.serves(now) && s.alone.is_none() && s.ejection.is_none())
            .filter(|s| !work.avoid.contains(&s.info.name))
            .min_by_key(|s| s.in_flight());
        let until = now + ms(settings.reserve_ms);
        self.reserved = least_busy.map(|s| (s.info.name.clone(), until));
    }

    /// Whether the server may be ejected.
    ///
    /// At most `eject_share` of the servers are ejected, though always one if
    /// another server remains; the last server that isn't ejected never is.
    fn may_eject(&self, now: Instant, settings: &FleetSettings, at: usize) -> bool {
        let serving = self.servers.iter().filter(|s| s.serves(now));
        let (count, ejected) = serving.fold((0_u32, 0_u32), |(n, e), s| {
            (n + 1, e + u32::from(s.ejection.is_some()))
        });
        let others = count.saturating_sub(u32::from(self.servers[at].serves(now)));
        let by_share = f64::from(ejected + 1) <= f64::from(count) * settings.eject_share;
        ejected < others && (by_share || ejected == 0)
    }
}

impl ChoiceContext<'_> {
    /// Whether long work may take one more slot of the server.
    fn allows_long(&self, server: &Server) -> bool {
        if !self.reserves_short {
            return true;
        }
        let used = server.long_in_flight(self.now, self.straggler_after);
        let share = f64::from(server.info.slots) * self.settings.long_share;
        f64::from(used + 1) <= share.max(1.0)
    }
}

/// Ejects a server, for twice as long after each failed probe.
fn eject(now: Instant, settings: &FleetSettings, server: &mut Server) {
    let failed_probes = server.ejection.map_or(0, |e| e.failed_probes + 1);
    let ejected_ms = settings.eject_ms << failed_probes.min(EJECT_DOUBLINGS_MAX);
    server.ejection = Some(Ejection {
        until: now + ms(ejected_ms.min(settings.eject_max_ms)),
        failed_probes,
        probe: None,
    });
}
