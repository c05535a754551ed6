//! The backend servers of one service.

use std::time::Duration;

use rand::rngs::SmallRng;
use tokio::time::Instant;
use world::unit::ms;
use world::{Class, ServerName};

use crate::choice::{Candidate, Choice};
use crate::server::{Ejection, Running, Server};
use crate::settings::FleetSettings;
use crate::work::{Fingerprint, NoSlot, Outcome, Work};

/// Latency assumed before the first sample, seconds.
const UNKNOWN_LATENCY_S: f64 = 0.005;

/// Times that an ejection doubles at most.
const EJECT_DOUBLINGS_MAX: u32 = 10;

/// Servers of one service, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub servers: Vec<Server>,
    last: Option<usize>,
    short_seen_at: Option<Instant>,
    reserved: Option<(ServerName, Instant)>,
}

/// What holds for every server during one choice.
struct Round<'a> {
    now: Instant,
    settings: &'a FleetSettings,
    work: &'a Work,
    straggler_after: Duration,
    /// Whether slots are kept for short work.
    keeps_short: bool,
    /// Whether some server is past its warm-up.
    any_warm: bool,
    /// Whether every serving server is ejected, so that ejection means nothing.
    all_ejected: bool,
}

impl Group {
    pub fn get_mut(&mut self, name: &ServerName) -> Option<&mut Server> {
        let at = self.position(name).ok()?;
        Some(&mut self.servers[at])
    }

    pub fn position(&self, name: &ServerName) -> Result<usize, usize> {
        self.servers.binary_search_by(|s| s.info.name.cmp(name))
    }

    /// Takes a slot for `work` under the ticket number `id`; the server's index.
    pub fn choose<C: Choice>(
        &mut self,
        now: Instant,
        settings: &FleetSettings,
        choice: &C,
        rng: &mut SmallRng,
        work: &Work,
        id: u64,
    ) -> Result<usize, NoSlot> {
        if work.class == Class::Short {
            self.short_seen_at = Some(now);
        }
        let may = |s: &Server| s.serves(now) && !work.avoid.contains(&s.info.name);
        if !self.servers.iter().any(may) {
            return Err(NoSlot::NoServer);
        }
        if let Some(at) = self.probe(now, work) {
            if let Some(ejection) = &mut self.servers[at].ejection {
                ejection.probe = Some(id);
            }
            return Ok(self.take(now, at, work, id));
        }
        let candidates = self.candidates(now, settings, work);
        if candidates.is_empty() {
            if work.alone {
                self.reserve(now, settings, work);
            }
            return Err(NoSlot::Busy);
        }
        let chosen = choice.choose(rng, self.last, &candidates);
        let at = candidates[chosen].index;
        self.last = Some(at);
        Ok(self.take(now, at, work, id))
    }

    /// Whether work of a class without history would get a slot.
    pub fn has_room(&self, now: Instant, settings: &FleetSettings, class: Class) -> bool {
        let work = Work::new(class, Fingerprint(0));
        self.probe(now, &work).is_some() || !self.candidates(now, settings, &work).is_empty()
    }

    /// Counts an outcome for or against a server, after its slot was given back.
    pub fn judge(
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
            let broken = server.failures >= settings.eject_failures;
            if probed || (server.ejection.is_none() && broken && may_eject) {
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

    /// Typical latency of a class over the servers, seconds.
    fn typical_s(&self, class: Class) -> f64 {
        let known = self
            .servers
            .iter()
            .filter_map(|s| s.latency(class).mean_s());
        let (sum_s, count) = known.fold((0.0, 0.0), |(sum, n), mean| (sum + mean, n + 1.0));
        if count > 0.0 {
            sum_s / count
        } else {
            UNKNOWN_LATENCY_S
        }
    }

    fn candidates(&self, now: Instant, settings: &FleetSettings, work: &Work) -> Vec<Candidate> {
        let typical_s = self.typical_s(work.class);
        let factor_s = self.typical_s(Class::Short) * settings.straggler_factor;
        let memory = ms(settings.short_memory_ms);
        let serving = || self.servers.iter().filter(|s| s.serves(now));
        let round = Round {
            now,
            settings,
            work,
            straggler_after: Duration::from_secs_f64(factor_s).max(ms(settings.straggler_min_ms)),
            keeps_short: self.short_seen_at.is_some_and(|at| now < at + memory),
            any_warm: serving().any(|s| !s.is_cold(now, settings)),
            all_ejected: serving().all(|s| s.ejection.is_some()),
        };
        let fits = |(_, s): &(usize, &Server)| self.fits(&round, s);
        self.servers
            .iter()
            .enumerate()
            .filter(fits)
            .map(|(index, s)| Candidate {
                index,
                cost_s: s.cost_s(now, settings, work.class, typical_s, round.straggler_after),
            })
            .collect()
    }

    fn fits(&self, round: &Round<'_>, server: &Server) -> bool {
        let Round {
            now,
            settings,
            work,
            ..
        } = *round;
        let in_flight = server.in_flight();
        let slots = if round.any_warm {
            server.open_slots(now, settings)
        } else {
            server.info.slots
        };
        server.serves(now)
            && !work.avoid.contains(&server.info.name)
            && (round.all_ejected || server.ejection.is_none())
            && now >= server.backoff_until
            && server.alone.is_none()
            && in_flight < slots.min(server.info.connections)
            && (!work.alone || in_flight == 0)
            && (work.alone || !self.is_reserved(now, &server.info.name))
            && (work.class == Class::Short || round.long_fits(server))
    }

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

    fn take(&mut self, now: Instant, at: usize, work: &Work, id: u64) -> usize {
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

    fn is_reserved(&self, now: Instant, name: &ServerName) -> bool {
        let named = |r: &(ServerName, Instant)| r.0 == *name && now < r.1;
        self.reserved.as_ref().is_some_and(named)
    }

    /// Keeps new work off the least busy server, so that it soon stands free.
    fn reserve(&mut self, now: Instant, settings: &FleetSettings, work: &Work) {
        if self.reserved.as_ref().is_some_and(|r| now < r.1) {
            return;
        }
        let least = self
            .servers
            .iter()
            .filter(|s| s.serves(now) && s.alone.is_none() && s.ejection.is_none())
            .filter(|s| !work.avoid.contains(&s.info.name))
            .min_by_key(|s| s.in_flight());
        let until = now + ms(settings.reserve_ms);
        self.reserved = least.map(|s| (s.info.name.clone(), until));
    }

    /// Whether one more server may be ejected: a share at most, never the last.
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

impl Round<'_> {
    fn long_fits(&self, server: &Server) -> bool {
        if !self.keeps_short {
            return true;
        }
        let held = server.long_in_flight(self.now, self.straggler_after);
        let share = f64::from(server.info.slots) * self.settings.long_share;
        f64::from(held + 1) <= share.max(1.0)
    }
}

fn eject(now: Instant, settings: &FleetSettings, server: &mut Server) {
    let rounds = server.ejection.map_or(0, |e| e.rounds + 1);
    let out_ms = settings.eject_ms << rounds.min(EJECT_DOUBLINGS_MAX);
    server.ejection = Some(Ejection {
        until: now + ms(out_ms.min(settings.eject_max_ms)),
        rounds,
        probe: None,
    });
}
