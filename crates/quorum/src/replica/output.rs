//! Outputs of a replica: records to store, messages to send, and outcomes of
//! proposals and reads. A message that acknowledges stored state (a vote or
//! entries) is deferred until the records before it are durable.

use world::Error;

use crate::message::{Body, DiskId, Envelope, Peer};
use crate::record::Record;
use crate::replica::Replica;
use crate::state_machine::StateMachine;
use tokio::time::Instant;

/// Identifies a proposal or a read at the replica that received it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Result of a successful proposal or read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Done<O> {
    /// The command was applied at this index.
    Applied {
        /// Index of the command's entry.
        index: u64,
        /// Result that the state machine returned.
        output: O,
    },
    /// A change of members was committed at this index.
    Changed(u64),
    /// The state machine may be read: it has applied at least the entries up to
    /// this index.
    Read(u64),
}

/// Outcome of a proposal or a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome<O> {
    /// Ticket of the proposal or read.
    pub ticket: Ticket,
    /// [`world::ErrorKind::NotLeader`] only if the proposal was not committed and never
    /// will be; [`world::ErrorKind::NoQuorum`] if that is unknown.
    pub result: Result<Done<O>, Error>,
}

/// Records that must be stored atomically.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Sequence number of the batch, to be passed to [`Replica::stored`].
    pub seq: u64,
    /// Records, in order.
    pub records: Vec<Record>,
}

/// A message to be sent once the batch `seq` is durable.
#[derive(Debug)]
struct DeferredMessage {
    seq: u64,
    envelope: Envelope,
}

#[derive(Debug)]
pub(super) struct Output<O> {
    /// Records for the next batch.
    records: Vec<Record>,
    next_seq: u64,
    /// Sequence number of the batch that is being stored.
    storing_seq: Option<u64>,
    /// Last index of the log that is durable once that batch is.
    storing_last_index: u64,
    /// Last index of the log that is durable on this disk.
    pub(super) durable_index: u64,
    deferred: Vec<DeferredMessage>,
    messages: Vec<Envelope>,
    pub(super) outcomes: Vec<Outcome<O>>,
    next_ticket: u64,
}

impl<O> Output<O> {
    pub(super) fn new(durable_index: u64) -> Self {
        Self {
            records: Vec::new(),
            next_seq: 1,
            storing_seq: None,
            storing_last_index: 0,
            durable_index,
            deferred: Vec::new(),
            messages: Vec::new(),
            outcomes: Vec::new(),
            next_ticket: 1,
        }
    }

    /// Queues a record for the next batch.
    pub(super) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    pub(super) fn push_message(&mut self, envelope: Envelope) {
        self.messages.push(envelope);
    }

    /// Replaces the records that are not yet being stored; the snapshot in
    /// `records` makes them obsolete.
    pub(super) fn replace_records(&mut self, records: Vec<Record>) {
        self.records = records;
    }

    /// Lowers the durable index after the log was truncated to `last_index`.
    pub(super) fn cap_durable_index(&mut self, last_index: u64) {
        self.durable_index = self.durable_index.min(last_index);
        self.storing_last_index = self.storing_last_index.min(last_index);
    }

    /// Allocates a ticket.
    pub(super) fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket - 1)
    }

    /// Queues the outcome of a proposal or read for the driver.
    pub(super) fn push_outcome(&mut self, ticket: Ticket, result: Result<Done<O>, Error>) {
        self.outcomes.push(Outcome { ticket, result });
    }

    /// Sequence number of the batch with which all records so far become durable;
    /// `None` if they already are.
    fn last_seq(&self) -> Option<u64> {
        if self.records.is_empty() {
            return self.storing_seq;
        }
        Some(self.next_seq)
    }
}

impl<M: StateMachine> Replica<M> {
    /// Returns the records to store next; `None` if there are none, or while an
    /// earlier batch is being stored.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let output = &mut self.output;
        if output.storing_seq.is_some() || output.records.is_empty() {
            return None;
        }
        let seq = output.next_seq;
        output.next_seq += 1;
        output.storing_seq = Some(seq);
        output.storing_last_index = self.log.last_index();
        let records = std::mem::take(&mut output.records);
        Some(Batch { seq, records })
    }

    /// Confirms that the batch `seq` is durable.
    pub fn stored(&mut self, seq: u64, now: Instant) {
        if self.output.storing_seq != Some(seq) {
            return;
        }
        self.output.storing_seq = None;
        self.output.durable_index = self.output.storing_last_index;
        let (ready, deferred) = std::mem::take(&mut self.output.deferred)
            .into_iter()
            .partition(|m| m.seq <= seq);
        self.output.deferred = deferred;
        for DeferredMessage { envelope, .. } in ready {
            self.send_if_same_term(envelope, now);
        }
        self.advance(now);
    }

    /// Returns the messages to send, in order.
    pub fn take_messages(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.output.messages)
    }

    /// Returns the outcomes of proposals and reads since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome<M::Output>> {
        std::mem::take(&mut self.output.outcomes)
    }

    /// Sends without waiting for the disk. Only for messages that acknowledge
    /// no state that isn't durable yet.
    pub(super) fn send(&mut self, to: DiskId, body: Body) {
        if let Some(envelope) = self.envelope(to, body) {
            self.output.messages.push(envelope);
        }
    }

    /// Sends the message once all records so far are durable.
    pub(super) fn send_durable(&mut self, envelope: Envelope, now: Instant) {
        match self.output.last_seq() {
            Some(seq) => self.output.deferred.push(DeferredMessage { seq, envelope }),
            None => self.send_if_same_term(envelope, now),
        }
    }

    /// Addresses a message to a member; `None` if `to` is not a member.
    pub(super) fn envelope(&self, to: DiskId, body: Body) -> Option<Envelope> {
        let to_name = match self.members.get(to) {
            Some(member) => member.name.clone(),
            None if to == self.disk => self.settings.me.clone(),
            None => return None,
        };
        Some(Envelope {
            group: self.state.group,
            from: self.me(),
            to: Some(to),
            to_name,
            term: self.state.term,
            body,
        })
    }

    /// This replica as the sender of a message.
    pub(super) fn me(&self) -> Peer {
        Peer {
            disk: self.disk,
            name: self.settings.me.clone(),
        }
    }

    /// Addresses a response to the sender of a message, who may not be a member.
    pub(super) fn reply(&self, to: &Peer, body: Body) -> Envelope {
        Envelope {
            group: self.state.group,
            from: self.me(),
            to: Some(to.disk),
            to_name: to.name.clone(),
            term: self.state.term,
            body,
        }
    }

    /// Sends the message, unless the term has changed since it was created: the
    /// entries that it acknowledges may have been truncated.
    fn send_if_same_term(&mut self, envelope: Envelope, now: Instant) {
        if envelope.term != self.state.term {
            return;
        }
        if envelope.to == Some(self.disk) {
            self.step(envelope, now);
        } else {
            self.output.messages.push(envelope);
        }
    }
}
