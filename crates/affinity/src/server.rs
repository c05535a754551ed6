//! One backend server as this entry VM sees it.

use std::net::SocketAddr;
use std::time::Duration;

use steer::hash;
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Place, ServerName};

use crate::cold::Sent;
use crate::request::{End, Report};

/// Shortest time for which a server that could not be reached is avoided; it
/// doubles with each failure up to [`AVOID_MAX`].
const AVOID_MIN: Duration = Duration::from_millis(250);

/// Longest time for which a server that could not be reached is avoided: about
/// the time between two announcements.
const AVOID_MAX: Duration = Duration::from_secs(2);

/// Weight of one more end in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// Time in which a known share of failures halves without further sends.
const FAILURE_HALF: Duration = Duration::from_secs(2);

/// Age at which a load report counts for nothing.
const REPORT_MAX: Duration = Duration::from_secs(2);

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) name: ServerName,
    pub(crate) hash: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) place: Place,
    pub(crate) slots: u32,
    pub(crate) born_ms: u64,
    pub(crate) sequence: u64,
    pub(crate) leaving: bool,
    pub(crate) cold_until: Instant,
    pub(crate) cold_sent: Sent,
    /// Announcements from before tell nothing of how cold it is.
    doubted_at: Option<Instant>,
    pub(crate) in_flight: u32,
    others: f64,
    pace: f64,
    reported_at: Option<Instant>,
    failures: f64,
    failed_at: Instant,
    avoid_until: Instant,
    avoid: Duration,
    /// When the oldest send without an answer since went out.
    waiting_since: Option<Instant>,
    pub(crate) answered_at: Option<Instant>,
}

impl Server {
    pub(crate) fn new(row: &discovery::ServerRow, now: Instant) -> Self {
        Self {
            name: row.name.clone(),
            hash: hash::name(row.name.as_str()),
            addr: row.addr,
            place: row.place.clone(),
            slots: row.slots,
            born_ms: row.born_ms,
            sequence: row.sequence,
            leaving: row.draining,
            cold_until: now,
            cold_sent: Sent::default(),
            doubted_at: None,
            in_flight: 0,
            others: 0.0,
            pace: 1.0,
            reported_at: None,
            failures: 0.0,
            failed_at: now,
            avoid_until: now,
            avoid: AVOID_MIN,
            waiting_since: None,
            answered_at: None,
        }
    }

    /// Takes in an announcement of the same start.
    pub(crate) fn announced(&mut self, row: &discovery::ServerRow, age_ms: u64, now: Instant) {
        let heard_at = now.checked_sub(ms(age_ms)).unwrap_or(now);
        let newer = row.sequence > self.sequence && self.doubted_at.is_none_or(|at| at < heard_at);
        self.sequence = row.sequence;
        self.slots = row.slots;
        self.leaving |= row.draining;
        let cold_until = now + ms(row.cold_ms.saturating_sub(age_ms));
        self.cold_until = if newer {
            cold_until
        } else {
            self.cold_until.max(cold_until)
        };
        // It lives, so whoever could not reach it may try again.
        self.avoid_until = now;
        self.avoid = AVOID_MIN;
    }

    /// It may have been restarted: until its next announcement tells, or until
    /// `until`, it counts as cold.
    pub(crate) fn doubt(&mut self, until: Instant, now: Instant) {
        self.cold_until = self.cold_until.max(until);
        self.doubted_at = Some(now);
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoid_until
    }

    pub(crate) fn reported(&mut self, report: Report, now: Instant) {
        let own = f64::from(self.in_flight);
        let all = f64::from(report.running + report.waiting);
        self.others = (all - own).max(0.0);
        self.pace = f64::from(report.pace_percent.max(10)) / 100.0;
        self.slots = report.slots.max(1);
        self.reported_at = Some(now);
    }

    /// Requests at the server, from this entry VM and from others.
    pub(crate) fn busy(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) + self.others * self.trust(now)
    }

    /// How long work takes now, relative to the usual time.
    pub(crate) fn pace(&self, now: Instant) -> f64 {
        1.0 + (self.pace - 1.0) * self.trust(now)
    }

    pub(crate) fn report_age_ms(&self, now: Instant) -> Option<u64> {
        let at = self.reported_at?;
        Some(as_ms(now.saturating_duration_since(at)))
    }

    fn trust(&self, now: Instant) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        (1.0 - age / REPORT_MAX.as_secs_f64()).max(0.0)
    }

    /// Share of sends that failed lately.
    pub(crate) fn failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failed_at);
        self.failures * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF.as_secs_f64())
    }

    /// Time since the oldest send that waits, if nothing came back since.
    pub(crate) fn silence_ms(&self, now: Instant) -> f64 {
        let since = self.waiting_since.filter(|_| self.in_flight > 0);
        since.map_or(0.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() * 1_000.0
        })
    }

    pub(crate) fn begin(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.waiting_since = Some(now);
        }
        self.in_flight += 1;
        if self.is_cold(now) {
            self.cold_sent.count(now);
        }
    }

    pub(crate) fn end(&mut self, end: End, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            End::Answered | End::Failed | End::NotRun => {
                self.waiting_since = Some(now);
                self.answered_at = Some(now);
                self.avoid = AVOID_MIN;
            }
            End::Refused | End::Unreached => {
                self.avoid_until = now + self.avoid;
                self.avoid = (self.avoid * 2).min(AVOID_MAX);
            }
            End::Replaced => self.avoid_until = now + AVOID_MAX,
            End::Broken | End::Silent | End::Dropped => {}
        }
        let failed = match end {
            End::Answered => 0.0,
            End::Dropped => return,
            _ => 1.0,
        };
        let known = self.failures(now);
        self.failures = known + (failed - known) * FAILURE_WEIGHT;
        self.failed_at = now;
    }
}
