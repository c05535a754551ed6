//! Credits, holding side: stores the granted credits of an entry VM until they
//! are used or expire by its own clock.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use world::unit::ms;

use crate::credit::{CreditId, Grant};

/// A request for credits without a response yet. The lifetime of the credits is
/// counted from `requested_at`, so that they expire here before they do at the issuer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingRequest {
    /// When the request was made.
    pub requested_at: Instant,
    /// Number of credits requested.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug)]
struct Credit {
    id: CreditId,
    bytes: u64,
    until: Instant,
}

/// An entry VM's credits for one service in one region.
#[derive(Debug, Default)]
pub struct Holder {
    credits: VecDeque<Credit>,
}

/// Divisor for the part of a credit's lifetime that stays unused (1%), as the
/// clocks of holder and issuer may drift apart.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

impl Holder {
    /// Creates a holder without credits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request for credits.
    #[must_use]
    pub fn request(&self, now: Instant, wanted: u32) -> PendingRequest {
        PendingRequest {
            requested_at: now,
            wanted,
        }
    }

    /// Adds the credits granted by the response to a request.
    pub fn granted(&mut self, request: PendingRequest, grant: &Grant) {
        let ttl = ms(grant.ttl_ms);
        let until = request.requested_at + ttl - ttl / CLOCK_DRIFT_DIVISOR;
        for offset in 0..u64::from(grant.count) {
            let id = CreditId {
                number: grant.first.number + offset,
                ..grant.first
            };
            let bytes = grant.bytes;
            self.credits.push_back(Credit { id, bytes, until });
        }
    }

    /// Removes the oldest credit that is valid for at least `transit_time` from now,
    /// the time that the request needs to reach the issuer. Returns the credit's id
    /// and the bytes of response that it allows.
    pub fn spend(&mut self, now: Instant, transit_time: Duration) -> Option<(CreditId, u64)> {
        self.expire(now + transit_time);
        let credit = self.credits.pop_front()?;
        Some((credit.id, credit.bytes))
    }

    /// Returns the number of valid credits.
    #[must_use]
    pub fn live(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.credits.len()
    }

    fn expire(&mut self, now: Instant) {
        self.credits.retain(|c| now < c.until);
    }
}
