//! State of one backend server, as known to this entry VM: announced data,
//! reported load, failures and requests in flight.

use std::net::SocketAddr;
use std::time::Duration;

use steer::hash;
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Place, ServerName};

use crate::cold::SendWindow;
use crate::limit::Limit;
use crate::request::{AttemptEnd, Report};

/// Backoff after the first failed connection; it doubles with each further one
/// up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest backoff: about the time between two announcements, since an
/// announcement ends the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Longest time for which a server is left alone because it has asked for that. A longer
/// one is taken for a mistake of the server.
const HOLD_OFF_MAX: Duration = Duration::from_secs(3_600);

/// Weight of a new attempt in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Time in which the failure rate halves without further attempts.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Age from which on a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// State of a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) name: ServerName,
    pub(crate) hash: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) place: Place,
    pub(crate) slots: u32,
    pub(crate) born_ms: u64,
    pub(crate) sequence: u64,
    /// Whether the server drains or shuts down, so that it gets no new requests.
    pub(crate) leaving: bool,
    pub(crate) cold_until: Instant,
    pub(crate) cold_sends: SendWindow,
    /// When the server was assumed cold. Announcements sent before may be of an
    /// earlier incarnation, so they can't shorten the cold time.
    assumed_cold_at: Option<Instant>,
    pub(crate) in_flight: u32,
    /// Requests of other entry VMs in the last load report.
    others_load: f64,
    /// Processing time relative to the usual time in the last load report.
    slowdown: f64,
    reported_at: Option<Instant>,
    /// Failure rate at `failure_rate_at`; it decays after that.
    failure_rate: f64,
    failure_rate_at: Instant,
    backoff_until: Instant,
    backoff: Duration,
    /// End of the time for which the server wants no requests.
    held_off_until: Instant,
    /// Limit on the requests of all entry VMs together, while the server names one.
    pub(crate) limit: Option<Limit>,
    /// Start of the present time without a response: the last response, or the
    /// first send after the server was idle.
    waiting_since: Option<Instant>,
    pub(crate) last_response_at: Option<Instant>,
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
            cold_sends: SendWindow::default(),
            assumed_cold_at: None,
            in_flight: 0,
            others_load: 0.0,
            slowdown: 1.0,
            reported_at: None,
            failure_rate: 0.0,
            failure_rate_at: now,
            backoff_until: now,
            backoff: BACKOFF_MIN,
            held_off_until: now,
            limit: None,
            waiting_since: None,
            last_response_at: None,
        }
    }

    /// Applies an announcement of the same incarnation, sent `age_ms` ago.
    pub(crate) fn apply_announcement(
        &mut self,
        row: &discovery::ServerRow,
        age_ms: u64,
        now: Instant,
    ) {
        let sent_at = now.checked_sub(ms(age_ms)).unwrap_or(now);
        let may_shorten_cold_time =
            row.sequence > self.sequence && self.assumed_cold_at.is_none_or(|at| at < sent_at);
        self.sequence = row.sequence;
        self.slots = row.slots;
        self.leaving |= row.draining;
        let cold_until = now + ms(row.cold_ms.saturating_sub(age_ms));
        self.cold_until = if may_shorten_cold_time {
            cold_until
        } else {
            self.cold_until.max(cold_until)
        };
        // The server is alive, so connections to it may work again.
        self.backoff_until = now;
        self.backoff = BACKOFF_MIN;
    }

    /// Treats the server as cold, since it may have restarted, until an
    /// announcement sent after `now` gives its cold time, or at most until `until`.
    pub(crate) fn assume_cold(&mut self, until: Instant, now: Instant) {
        self.cold_until = self.cold_until.max(until);
        self.assumed_cold_at = Some(now);
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }

    /// Sends no requests until a time that the server has named. Announcements do not
    /// shorten it; a new incarnation starts without it. Returns whether it begins now.
    pub(crate) fn hold_off(&mut self, time: Duration, now: Instant) -> bool {
        let begins = !self.is_held_off(now);
        self.held_off_until = self.held_off_until.max(now + time.min(HOLD_OFF_MAX));
        begins
    }

    /// Returns for how long this entry VM may send no request, by what the server has
    /// said.
    pub(crate) fn barred_for(&self, now: Instant) -> Duration {
        let held_off = self.held_off_until.saturating_duration_since(now);
        let limited = self.limit.as_ref().map(|limit| limit.wait(now));
        held_off.max(limited.unwrap_or_default())
    }

    pub(crate) fn is_held_off(&self, now: Instant) -> bool {
        now < self.held_off_until
    }

    /// Sets or ends the limit that the server named, or no longer did, at `named_at`.
    /// Returns whether that is a change.
    pub(crate) fn set_limit(&mut self, per_1000_s: Option<u64>, named_at: Instant) -> bool {
        let known = self.limit.as_ref().map(|limit| limit.per_1000_s);
        let is_old = |limit: &Limit| named_at < limit.named_at;
        if per_1000_s.is_none() && self.limit.as_ref().is_some_and(is_old) {
            return false;
        }
        match (&mut self.limit, per_1000_s) {
            (Some(limit), Some(per_1000_s)) => {
                limit.per_1000_s = per_1000_s;
                limit.named_at = limit.named_at.max(named_at);
            }
            (limit, per_1000_s) => *limit = per_1000_s.map(|rate| Limit::new(rate, named_at)),
        }
        known != per_1000_s
    }

    /// Applies a load report.
    pub(crate) fn apply_report(&mut self, report: Report, now: Instant) {
        let own_load = f64::from(self.in_flight);
        let total = f64::from(report.running + report.waiting);
        self.others_load = (total - own_load).max(0.0);
        self.slowdown = f64::from(report.pace_percent.max(10)) / 100.0;
        self.slots = report.slots.max(1);
        self.reported_at = Some(now);
    }

    /// Returns the number of requests at the server, from all entry VMs.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) + self.others_load * self.report_weight(now)
    }

    /// Returns the present processing time relative to the usual time.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.report_weight(now)
    }

    pub(crate) fn report_age_ms(&self, now: Instant) -> Option<u64> {
        let at = self.reported_at?;
        Some(as_ms(now.saturating_duration_since(at)))
    }

    /// Returns the weight of the last load report, from 1 when it arrives to 0 at
    /// [`REPORT_MAX_AGE`].
    fn report_weight(&self, now: Instant) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        (1.0 - age / REPORT_MAX_AGE.as_secs_f64()).max(0.0)
    }

    /// Returns the share of recent attempts that failed.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_rate_at);
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns for how long the server has not responded while requests are in flight.
    pub(crate) fn unresponsive_ms(&self, now: Instant) -> f64 {
        let since = self.waiting_since.filter(|_| self.in_flight > 0);
        since.map_or(0.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() * 1_000.0
        })
    }

    /// Counts a request as in flight at the server.
    pub(crate) fn attempt_started(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.waiting_since = Some(now);
        }
        self.in_flight += 1;
        if self.is_cold(now) {
            self.cold_sends.record(now);
        }
        if let Some(limit) = &mut self.limit {
            limit.record(now);
        }
    }

    /// Counts a request as ended and updates backoff and failure rate.
    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered | AttemptEnd::Failed | AttemptEnd::NotRun => {
                self.waiting_since = Some(now);
                self.last_response_at = Some(now);
                self.backoff = BACKOFF_MIN;
            }
            AttemptEnd::Refused | AttemptEnd::Unreached => {
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
            }
            AttemptEnd::Replaced => self.backoff_until = now + BACKOFF_MAX,
            AttemptEnd::Broken | AttemptEnd::Silent | AttemptEnd::Dropped => {}
        }
        let failed = match end {
            AttemptEnd::Answered => 0.0,
            AttemptEnd::Dropped => return,
            _ => 1.0,
        };
        let known = self.failure_rate(now);
        self.failure_rate = known + (failed - known) * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }
}
