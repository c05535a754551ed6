//! What a replica hands out: records to store, messages and outcomes.

use world::Error;

use crate::machine::Machine;
use crate::message::{Body, DiskId, Envelope, Peer};
use crate::record::Record;
use crate::replica::Replica;
use tokio::time::Instant;

/// Names a proposal or a read at the replica that took it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// How a proposal or a read ended well.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Done<O> {
    /// The command was applied at this index.
    Applied {
        /// Index of its entry.
        index: u64,
        /// What the machine answered.
        output: O,
    },
    /// A change of members was committed at this index.
    Changed(u64),
    /// The machine may be read: it has at least the state of this index.
    Read(u64),
}

/// How a proposal or a read ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome<O> {
    /// Which one.
    pub ticket: Ticket,
    /// [`world::Kind::NotLeader`] only when it was not accepted and never will
    /// be; [`world::Kind::NoQuorum`] when that is unknown.
    pub result: Result<Done<O>, Error>,
}

/// Records to be stored together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Number of the batch, for [`Replica::stored`].
    pub seq: u64,
    /// Records in order.
    pub records: Vec<Record>,
}

#[derive(Debug)]
struct Held {
    seq: u64,
    envelope: Envelope,
}

#[derive(Debug)]
pub(super) struct Output<O> {
    records: Vec<Record>,
    next_seq: u64,
    storing: Option<u64>,
    storing_last_index: u64,
    pub(super) durable_index: u64,
    held: Vec<Held>,
    messages: Vec<Envelope>,
    pub(super) outcomes: Vec<Outcome<O>>,
    next_ticket: u64,
}

impl<O> Output<O> {
    pub(super) fn new(durable_index: u64) -> Self {
        Self {
            records: Vec::new(),
            next_seq: 1,
            storing: None,
            storing_last_index: 0,
            durable_index,
            held: Vec::new(),
            messages: Vec::new(),
            outcomes: Vec::new(),
            next_ticket: 1,
        }
    }

    pub(super) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    pub(super) fn messages_push(&mut self, envelope: Envelope) {
        self.messages.push(envelope);
    }

    /// Drops the records that wait, for a snapshot record makes them void.
    pub(super) fn restart(&mut self, records: Vec<Record>) {
        self.records = records;
    }

    pub(super) fn truncated(&mut self, last_index: u64) {
        self.durable_index = self.durable_index.min(last_index);
        self.storing_last_index = self.storing_last_index.min(last_index);
    }

    pub(super) fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket - 1)
    }

    pub(super) fn end(&mut self, ticket: Ticket, result: Result<Done<O>, Error>) {
        self.outcomes.push(Outcome { ticket, result });
    }

    /// The batch after which all records so far are durable.
    fn last_seq(&self) -> Option<u64> {
        if self.records.is_empty() {
            return self.storing;
        }
        Some(self.next_seq)
    }
}

impl<M: Machine> Replica<M> {
    /// Records to store next; none while an earlier batch is still being stored.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let output = &mut self.output;
        if output.storing.is_some() || output.records.is_empty() {
            return None;
        }
        let seq = output.next_seq;
        output.next_seq += 1;
        output.storing = Some(seq);
        output.storing_last_index = self.log.last_index();
        let records = std::mem::take(&mut output.records);
        Some(Batch { seq, records })
    }

    /// Reports that the batch `seq` is durable.
    pub fn stored(&mut self, seq: u64, now: Instant) {
        if self.output.storing != Some(seq) {
            return;
        }
        self.output.storing = None;
        self.output.durable_index = self.output.storing_last_index;
        let (ready, held) = std::mem::take(&mut self.output.held)
            .into_iter()
            .partition(|h| h.seq <= seq);
        self.output.held = held;
        for Held { envelope, .. } in ready {
            self.release(envelope, now);
        }
        self.settle(now);
    }

    /// Messages to send, in order.
    pub fn take_messages(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.output.messages)
    }

    /// Outcomes of proposals and reads.
    pub fn take_outcomes(&mut self) -> Vec<Outcome<M::Output>> {
        std::mem::take(&mut self.output.outcomes)
    }

    /// Sends at once; the message promises nothing that a crash could take back.
    pub(super) fn send(&mut self, to: DiskId, body: Body) {
        if let Some(envelope) = self.envelope(to, body) {
            self.output.messages.push(envelope);
        }
    }

    /// Sends once all records so far are durable.
    pub(super) fn send_durable(&mut self, envelope: Envelope, now: Instant) {
        match self.output.last_seq() {
            Some(seq) => self.output.held.push(Held { seq, envelope }),
            None => self.release(envelope, now),
        }
    }

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

    pub(super) fn me(&self) -> Peer {
        Peer {
            disk: self.disk,
            name: self.settings.me.clone(),
        }
    }

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

    /// A promise of an earlier term is void: its records may be gone by now.
    fn release(&mut self, envelope: Envelope, now: Instant) {
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
