//! Elections: pre-votes, votes and changes of term.

use std::collections::BTreeSet;

use rand::RngExt;
use tokio::time::Instant;

use crate::message::{AppendReply, Body, DiskId, Envelope, Peer, VoteReply, VoteRequest};
use crate::record::Record;
use crate::replica::{Election, Replica};
use crate::state_machine::StateMachine;

/// Fraction of the minimum election timeout for which a replica that grants a
/// pre-vote delays its own election. It covers a round trip between regions (the
/// pre-vote response and the vote request) and the network delay of the vote.
const PRE_VOTE_DEFER_FACTOR: f64 = 0.3;

impl<M: StateMachine> Replica<M> {
    /// Restarts the election timeout with a random duration.
    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let factor = self.rng.random_range(1.0..2.0);
        self.election_at = now + self.settings.timing.min_election_timeout().mul_f64(factor);
    }

    /// Whether this replica is the leader, or has received a message from a leader
    /// within the minimum election timeout.
    #[must_use]
    pub fn has_recent_leader(&self, now: Instant) -> bool {
        let timeout = self.settings.timing.min_election_timeout();
        let recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        self.is_leader() || self.leader_contact_at.is_some_and(recent)
    }

    /// Becomes a follower in `term`, which must not be below the current term.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<DiskId>) {
        if term > self.state.term {
            self.state.term = term;
            self.state.vote = None;
            self.output.record(Record::State(self.state));
        }
        self.election = Election::Follower;
        self.leader = leader;
        self.fail_reads();
    }

    /// Starts a pre-vote when this replica is a voter, so that a candidate without
    /// a majority doesn't increase the term.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if !self.members.is_voter(self.disk) {
            return;
        }
        self.leader = None;
        self.election = Election::PreCandidate(BTreeSet::new());
        let request = self.vote_request();
        self.request_votes(&Body::PreVote(request), now, false);
    }

    pub(super) fn on_pre_vote(&mut self, from: &Peer, request: VoteRequest, now: Instant) {
        let granted = request.for_term > self.state.term
            && self.is_log_up_to_date(&request)
            && !self.has_recent_leader(now);
        if granted && from.disk != self.disk {
            // Of two replicas that start at the same time only one goes on: they would
            // split the vote.
            let own = (self.log.last_term(), self.log.last_index(), self.disk);
            let other = (request.last_term, request.last_index, from.disk);
            if matches!(self.election, Election::PreCandidate(_)) && other > own {
                self.become_follower(self.state.term, None);
            }
            let deferred_until = now
                + self
                    .settings
                    .timing
                    .min_election_timeout()
                    .mul_f64(PRE_VOTE_DEFER_FACTOR);
            self.election_at = self.election_at.max(deferred_until);
        }
        let for_term = request.for_term;
        let reply = VoteReply { for_term, granted };
        let response = self.reply(from, Body::PreVoteReply(reply));
        self.send_envelope(response, now);
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: DiskId, reply: VoteReply, now: Instant) {
        let for_term = self.state.term + 1;
        let Election::PreCandidate(votes) = &mut self.election else {
            return;
        };
        if !reply.granted || reply.for_term != for_term {
            return;
        }
        votes.insert(from);
        if self.members.has_majority(|disk| votes.contains(&disk)) {
            self.start_vote(now);
        }
    }

    pub(super) fn on_vote(&mut self, from: &Peer, request: VoteRequest, now: Instant) {
        let vote_available = self.state.vote.is_none_or(|disk| disk == from.disk);
        let current = request.for_term == self.state.term;
        let granted = current && vote_available && self.is_log_up_to_date(&request);
        if granted && self.state.vote.is_none() {
            self.state.vote = Some(from.disk);
            self.output.record(Record::State(self.state));
        }
        if granted {
            self.reset_election_timer(now);
        }
        let for_term = request.for_term;
        let reply = VoteReply { for_term, granted };
        let response = self.reply(from, Body::VoteReply(reply));
        self.send_durable(response, now);
    }

    pub(super) fn on_vote_reply(&mut self, from: DiskId, reply: VoteReply, now: Instant) {
        let term = self.state.term;
        let Election::Candidate(votes) = &mut self.election else {
            return;
        };
        if !reply.granted || reply.for_term != term {
            return;
        }
        votes.insert(from);
        if self.members.has_majority(|disk| votes.contains(&disk)) {
            self.become_leader(now);
        }
    }

    /// Rejects a request of an older term; the response carries the current term.
    pub(super) fn reject_old_term(&mut self, envelope: &Envelope) {
        let rejected = |for_term| VoteReply {
            for_term,
            granted: false,
        };
        let body = match &envelope.body {
            Body::PreVote(request) => Body::PreVoteReply(rejected(request.for_term)),
            Body::Vote(request) => Body::VoteReply(rejected(request.for_term)),
            Body::Append(_) | Body::Install(_) => Body::AppendReply(AppendReply {
                round: 0,
                fits: false,
                index: self.commit,
            }),
            _ => return,
        };
        let response = self.reply(&envelope.from, body);
        self.output.push_message(response);
    }

    /// Becomes a candidate in the next term and requests votes. Its vote for itself
    /// is a message like the others, and counts only once it is durable.
    fn start_vote(&mut self, now: Instant) {
        self.state.term += 1;
        self.state.vote = Some(self.disk);
        self.output.record(Record::State(self.state));
        self.election = Election::Candidate(BTreeSet::new());
        self.reset_election_timer(now);
        let mut request = self.vote_request();
        request.for_term = self.state.term;
        self.request_votes(&Body::Vote(request), now, true);
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest {
            for_term: self.state.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    /// Whether the candidate's log is at least as up to date as this one.
    fn is_log_up_to_date(&self, request: &VoteRequest) -> bool {
        let candidate_log = (request.last_term, request.last_index);
        candidate_log >= (self.log.last_term(), self.log.last_index())
    }

    /// Sends the request to all voters, this replica included.
    fn request_votes(&mut self, body: &Body, now: Instant, durable: bool) {
        let voters: Vec<DiskId> = self.members.voters().collect();
        for disk in voters {
            let Some(envelope) = self.envelope(disk, body.clone()) else {
                continue;
            };
            if durable {
                self.send_durable(envelope, now);
            } else {
                self.send_envelope(envelope, now);
            }
        }
    }

    /// Sends the message at once, or processes it if it is addressed to this
    /// replica.
    fn send_envelope(&mut self, envelope: Envelope, now: Instant) {
        if envelope.to == Some(self.disk) {
            self.step(envelope, now);
        } else {
            self.output.push_message(envelope);
        }
    }
}
