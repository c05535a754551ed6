//! Elections: pre-votes, votes, and following a term.

use std::collections::BTreeSet;

use rand::RngExt;
use tokio::time::Instant;

use crate::machine::Machine;
use crate::message::{AppendReply, Body, DiskId, Envelope, Peer, VoteReply, VoteRequest};
use crate::record::Record;
use crate::replica::{Part, Replica};

/// Part of an election timeout for which a replica gives way to a candidate
/// that it would vote for: the way there and back, and the vote's way.
const GIVE_WAY: f64 = 0.3;

impl<M: Machine> Replica<M> {
    pub(super) fn put_off_election(&mut self, now: Instant) {
        let factor = self.rng.random_range(1.0..2.0);
        self.election_at = now + self.settings.timing.election().mul_f64(factor);
    }

    /// Whether a leader was heard of within the least election timeout.
    #[must_use]
    pub fn hears_leader(&self, now: Instant) -> bool {
        let timeout = self.settings.timing.election();
        let recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        self.is_leader() || self.leader_heard_at.is_some_and(recent)
    }

    /// Becomes a follower in `term`, which is not below the current one.
    pub(super) fn follow(&mut self, term: u64, leader: Option<DiskId>) {
        if term > self.state.term {
            self.state.term = term;
            self.state.vote = None;
            self.output.record(Record::State(self.state));
        }
        self.part = Part::Follower;
        self.leader = leader;
        self.fail_reads();
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.put_off_election(now);
        if !self.members.votes(self.disk) {
            return;
        }
        self.leader = None;
        self.part = Part::PreCandidate(BTreeSet::new());
        let request = self.vote_request();
        self.ask_voters(&Body::PreVote(request), now, false);
    }

    pub(super) fn on_pre_vote(&mut self, from: &Peer, request: VoteRequest, now: Instant) {
        let granted =
            request.for_term > self.state.term && self.has_all(&request) && !self.hears_leader(now);
        if granted && from.disk != self.disk {
            let soon = now + self.settings.timing.election().mul_f64(GIVE_WAY);
            self.election_at = self.election_at.max(soon);
        }
        let for_term = request.for_term;
        let reply = VoteReply { for_term, granted };
        let answer = self.reply(from, Body::PreVoteReply(reply));
        self.output_now(answer, now);
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: DiskId, reply: VoteReply, now: Instant) {
        let for_term = self.state.term + 1;
        let Part::PreCandidate(votes) = &mut self.part else {
            return;
        };
        if !reply.granted || reply.for_term != for_term {
            return;
        }
        votes.insert(from);
        if self.members.majority(|disk| votes.contains(&disk)) {
            self.start_vote(now);
        }
    }

    pub(super) fn on_vote(&mut self, from: &Peer, request: VoteRequest, now: Instant) {
        let free = self.state.vote.is_none_or(|disk| disk == from.disk);
        let current = request.for_term == self.state.term;
        let granted = current && free && self.has_all(&request);
        if granted && self.state.vote.is_none() {
            self.state.vote = Some(from.disk);
            self.output.record(Record::State(self.state));
        }
        if granted {
            self.put_off_election(now);
        }
        let for_term = request.for_term;
        let reply = VoteReply { for_term, granted };
        let answer = self.reply(from, Body::VoteReply(reply));
        self.send_durable(answer, now);
    }

    pub(super) fn on_vote_reply(&mut self, from: DiskId, reply: VoteReply, now: Instant) {
        let term = self.state.term;
        let Part::Candidate(votes) = &mut self.part else {
            return;
        };
        if !reply.granted || reply.for_term != term {
            return;
        }
        votes.insert(from);
        if self.members.majority(|disk| votes.contains(&disk)) {
            self.lead(now);
        }
    }

    /// Tells a sender of an older term what the term is.
    pub(super) fn refuse_old_term(&mut self, envelope: &Envelope) {
        let refused = |for_term| VoteReply {
            for_term,
            granted: false,
        };
        let body = match &envelope.body {
            Body::PreVote(request) => Body::PreVoteReply(refused(request.for_term)),
            Body::Vote(request) => Body::VoteReply(refused(request.for_term)),
            Body::Append(_) | Body::Install(_) => Body::AppendReply(AppendReply {
                round: 0,
                fits: false,
                index: self.commit,
            }),
            _ => return,
        };
        let answer = self.reply(&envelope.from, body);
        self.output.messages_push(answer);
    }

    /// The vote for itself goes the way of all votes: it counts once it is durable.
    fn start_vote(&mut self, now: Instant) {
        self.state.term += 1;
        self.state.vote = Some(self.disk);
        self.output.record(Record::State(self.state));
        self.part = Part::Candidate(BTreeSet::new());
        self.put_off_election(now);
        let mut request = self.vote_request();
        request.for_term = self.state.term;
        self.ask_voters(&Body::Vote(request), now, true);
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest {
            for_term: self.state.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    fn has_all(&self, request: &VoteRequest) -> bool {
        let theirs = (request.last_term, request.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }

    fn ask_voters(&mut self, body: &Body, now: Instant, durable: bool) {
        let voters: Vec<DiskId> = self.members.voters().collect();
        for disk in voters {
            let Some(envelope) = self.envelope(disk, body.clone()) else {
                continue;
            };
            if durable {
                self.send_durable(envelope, now);
            } else {
                self.output_now(envelope, now);
            }
        }
    }

    fn output_now(&mut self, envelope: Envelope, now: Instant) {
        if envelope.to == Some(self.disk) {
            self.step(envelope, now);
        } else {
            self.output.messages_push(envelope);
        }
    }
}
