//! Credits, holding side: spent one by one, expired by the holder's clock.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use world::unit::ms;

use crate::credit::{CreditId, Grant};

/// A request for credits on its way; credits are good from before it was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// When it was made.
    pub asked_at: Instant,
    /// Credits asked for.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug)]
struct Credit {
    id: CreditId,
    bytes: u64,
    until: Instant,
}

/// Credits for one service of one region at one entry VM.
#[derive(Debug, Default)]
pub struct Holder {
    credits: VecDeque<Credit>,
}

/// Part of a credit's time that stays unused, for clocks that run unevenly.
const CLOCK_DRIFT_PART: u32 = 100;

impl Holder {
    /// Holds none.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to ask for credits.
    #[must_use]
    pub fn ask(&self, now: Instant, wanted: u32) -> Ask {
        Ask {
            asked_at: now,
            wanted,
        }
    }

    /// Takes in the answer to an ask.
    pub fn granted(&mut self, ask: Ask, grant: &Grant) {
        let whole = ms(grant.ttl_ms);
        let until = ask.asked_at + whole - whole / CLOCK_DRIFT_PART;
        for offset in 0..u64::from(grant.count) {
            let id = CreditId {
                number: grant.first.number + offset,
                ..grant.first
            };
            let bytes = grant.bytes;
            self.credits.push_back(Credit { id, bytes, until });
        }
    }

    /// Spends the credit that expires first, if it holds for `travel` more.
    pub fn spend(&mut self, now: Instant, travel: Duration) -> Option<(CreditId, u64)> {
        self.expire(now + travel);
        let credit = self.credits.pop_front()?;
        Some((credit.id, credit.bytes))
    }

    /// Credits that hold now.
    #[must_use]
    pub fn live(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.credits.len()
    }

    fn expire(&mut self, now: Instant) {
        self.credits.retain(|c| now < c.until);
    }
}
