//! Who waits for the outcome of a proposal or a read.

use std::collections::BTreeMap;

use tokio::time::Instant;
use world::{Error, Kind};

use crate::machine::Machine;
use crate::replica::{Done, Replica, Ticket};

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

#[derive(Debug)]
struct Read {
    waiter: Waiter,
    round: u64,
    index: u64,
}

#[derive(Debug, Default)]
pub(super) struct Waiters {
    /// By index and term: an index may be proposed again in a later term.
    proposals: BTreeMap<(u64, u64), Waiter>,
    reads: Vec<Read>,
}

impl Waiters {
    pub(super) fn len(&self) -> usize {
        self.proposals.len() + self.reads.len()
    }

    pub(super) fn add(&mut self, index: u64, term: u64, ticket: Ticket, deadline: Instant) {
        let waiter = Waiter { ticket, deadline };
        self.proposals.insert((index, term), waiter);
    }

    fn expired(&mut self, now: Instant) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        let mut in_time = |waiter: &Waiter| {
            let late = waiter.deadline <= now;
            if late {
                tickets.push(waiter.ticket);
            }
            !late
        };
        self.proposals.retain(|_, waiter| in_time(waiter));
        self.reads.retain(|read| in_time(&read.waiter));
        tickets
    }

    /// Takes out the proposals up to `index`, with the term of each.
    fn take_up_to(&mut self, index: u64) -> Vec<(u64, Waiter)> {
        let rest = self.proposals.split_off(&(index + 1, 0));
        let ended = std::mem::replace(&mut self.proposals, rest);
        let rows = ended.into_iter();
        rows.map(|((_, term), waiter)| (term, waiter)).collect()
    }
}

fn unknown() -> Error {
    Error::new(Kind::NoQuorum, "no majority answered in time")
}

impl<M: Machine> Replica<M> {
    pub(super) fn start_read(&mut self, now: Instant) -> Ticket {
        let ticket = self.output.ticket();
        let deadline = now + self.settings.timing.proposal();
        let first_index = self.confirmed().map_or(0, |(_, first)| first);
        let index = self.commit.max(first_index);
        let round = self.open_round(now);
        let waiter = Waiter { ticket, deadline };
        self.waiters.reads.push(Read {
            waiter,
            round,
            index,
        });
        ticket
    }

    pub(super) fn confirm_reads(&mut self) {
        if self.waiters.reads.is_empty() {
            return;
        }
        let Some((round, _)) = self.confirmed() else {
            return;
        };
        let applied = self.applied;
        let confirmed = |r: &mut Read| r.round <= round && r.index <= applied;
        let ended: Vec<Read> = self.waiters.reads.extract_if(.., confirmed).collect();
        for read in ended {
            self.output.end(read.waiter.ticket, Ok(Done::Read(applied)));
        }
    }

    /// A read that is not confirmed when leading ends was not answered.
    pub(super) fn fail_reads(&mut self) {
        for read in std::mem::take(&mut self.waiters.reads) {
            let error = self.not_leader();
            self.output.end(read.waiter.ticket, Err(error));
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        for ticket in self.waiters.expired(now) {
            self.output.end(ticket, Err(unknown()));
        }
    }

    /// What was proposed at `index` in another term was not accepted.
    pub(super) fn end_proposals(&mut self, index: u64, term: u64, done: Option<Done<M::Output>>) {
        let mut done = done;
        for (proposed, waiter) in self.waiters.take_up_to(index) {
            let result = match done.take_if(|_| proposed == term) {
                Some(done) => Ok(done),
                None => Err(Error::new(
                    Kind::NotLeader,
                    "another leader took its place in the log",
                )),
            };
            self.output.end(waiter.ticket, result);
        }
    }

    /// Entries up to `index` came as a snapshot, which tells no single outcome.
    pub(super) fn leave_unknown(&mut self, index: u64) {
        for (_, waiter) in self.waiters.take_up_to(index) {
            self.output.end(waiter.ticket, Err(unknown()));
        }
    }
}
