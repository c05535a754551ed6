//! Proposals and reads that wait for their outcome.

use std::collections::BTreeMap;

use tokio::time::Instant;
use world::{Error, ErrorKind};

use crate::replica::{Done, Replica, Ticket};
use crate::state_machine::StateMachine;

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

/// A read that waits to be confirmed.
#[derive(Debug)]
struct Read {
    waiter: Waiter,
    /// Round to which a majority must respond, which proves that this replica was
    /// still the leader.
    round: u64,
    /// Index that the state machine must have applied.
    index: u64,
}

#[derive(Debug, Default)]
pub(super) struct Waiters {
    /// By index and term of the entry: an index may be used again in a later term.
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

    /// Removes the waiters whose deadline has passed, and returns their tickets.
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

    /// Removes and returns the proposals up to and including `index`, each with
    /// its term.
    fn take_up_to(&mut self, index: u64) -> Vec<(u64, Waiter)> {
        let rest = self.proposals.split_off(&(index + 1, 0));
        let ended = std::mem::replace(&mut self.proposals, rest);
        let proposals = ended.into_iter();
        proposals
            .map(|((_, term), waiter)| (term, waiter))
            .collect()
    }
}

fn unknown_outcome() -> Error {
    Error::new(ErrorKind::NoQuorum, "no majority answered in time")
}

impl<M: StateMachine> Replica<M> {
    /// Starts a round that confirms the read. The read waits for at least the first
    /// entry of this term: until that is committed, a new leader may not know the latest
    /// commit index.
    pub(super) fn start_read(&mut self, now: Instant) -> Ticket {
        let ticket = self.output.ticket();
        let deadline = now + self.settings.timing.proposal_timeout();
        let first_index = self.confirmed_round().map_or(0, |(_, first)| first);
        let index = self.commit.max(first_index);
        let round = self.start_round(now);
        let waiter = Waiter { ticket, deadline };
        self.waiters.reads.push(Read {
            waiter,
            round,
            index,
        });
        ticket
    }

    /// Completes the reads whose round is confirmed and whose index is applied.
    pub(super) fn confirm_reads(&mut self) {
        if self.waiters.reads.is_empty() {
            return;
        }
        let Some((round, _)) = self.confirmed_round() else {
            return;
        };
        let applied = self.applied;
        let confirmed = |r: &mut Read| r.round <= round && r.index <= applied;
        let ended: Vec<Read> = self.waiters.reads.extract_if(.., confirmed).collect();
        for read in ended {
            self.output
                .push_outcome(read.waiter.ticket, Ok(Done::Read(applied)));
        }
    }

    /// Fails all reads that are not confirmed when this replica stops being leader.
    pub(super) fn fail_reads(&mut self) {
        for read in std::mem::take(&mut self.waiters.reads) {
            let error = self.not_leader();
            self.output.push_outcome(read.waiter.ticket, Err(error));
        }
    }

    /// Ends the proposals and reads whose deadline has passed, with an unknown
    /// outcome.
    pub(super) fn expire_waiters(&mut self, now: Instant) {
        for ticket in self.waiters.expired(now) {
            self.output.push_outcome(ticket, Err(unknown_outcome()));
        }
    }

    /// Ends the proposals up to `index`, whose applied entry is of `term`. A proposal of
    /// another term was overwritten by a later leader and fails.
    pub(super) fn resolve_proposals(
        &mut self,
        index: u64,
        term: u64,
        done: Option<Done<M::Output>>,
    ) {
        let mut done = done;
        for (proposal_term, waiter) in self.waiters.take_up_to(index) {
            let result = match done.take_if(|_| proposal_term == term) {
                Some(done) => Ok(done),
                None => Err(Error::new(
                    ErrorKind::NotLeader,
                    "another leader took its place in the log",
                )),
            };
            self.output.push_outcome(waiter.ticket, result);
        }
    }

    /// Ends the proposals up to `index` with an unknown outcome. Their entries are
    /// covered by an installed snapshot, which holds no individual results.
    pub(super) fn end_unknown_proposals(&mut self, index: u64) {
        for (_, waiter) in self.waiters.take_up_to(index) {
            self.output
                .push_outcome(waiter.ticket, Err(unknown_outcome()));
        }
    }
}
