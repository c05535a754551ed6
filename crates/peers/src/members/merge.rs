//! Merging of received gossip into the tables, and refutation of wrong claims about
//! this VM.

use tokio::time::Instant;
use world::MachineName;

use crate::members::domains::Update;
use crate::members::message::{Gossip, Message, Reply};
use crate::members::record::{MemberState, Record};
use crate::members::table::{Entry, Members};

impl Members {
    /// Handles a message from another member.
    pub fn handle(&mut self, now: Instant, message: Message) -> Reply {
        self.last_contact_at = Some(now);
        match message {
            Message::Ping(gossip) => {
                let mut ack = self.merge_ping(now, &gossip);
                ack.updates = self.domains.newer_than(&gossip.versions);
                ack.versions = self.domains.older_than(&gossip.versions);
                Reply::Now(Message::Ack(ack))
            }
            Message::Push(gossip) | Message::Ack(gossip) => {
                self.merge_all(now, &gossip);
                Reply::None
            }
            Message::PingReq { target, gossip } => {
                self.merge_all(now, &gossip);
                let mut ping = self.ping(target, None);
                ping.timeout = self.timing.ping_timeout;
                Reply::Forward(ping)
            }
            Message::Report { from, report } => {
                self.record_child_report(now, from, report);
                Reply::None
            }
        }
    }

    /// Merges the gossip of a ping and returns the gossip for the ack. The ack carries
    /// all records when the sender has none, or when nothing is queued on either side
    /// and the tables still differ (anti-entropy).
    fn merge_ping(&mut self, now: Instant, gossip: &Gossip) -> Gossip {
        self.merge_all(now, gossip);
        let are_queues_empty = self.gossip_queue.is_empty() && gossip.records.is_empty();
        let is_same_domain = gossip.me.vm.place == self.me.vm.place;
        let differs = gossip.table_hash != self.table_hash();
        let mut ack = self.gossip();
        if is_same_domain
            && gossip.me.state.is_live()
            && (gossip.table_hash == 0 || are_queues_empty && differs)
        {
            ack.records = self.records().cloned().collect();
        } else if let Some(record) = self.record_to_refute(&gossip.me) {
            ack.records.push(record);
        }
        ack
    }

    /// Returns the record in which `sender` isn't alive and that overrides the sender's own,
    /// so that the sender can refute it.
    fn record_to_refute(&self, sender: &Record) -> Option<Record> {
        let record = &self.table.get(&sender.vm.name)?.record;
        let must_be_refuted = record.state != MemberState::Alive && record.overrides(sender);
        must_be_refuted.then(|| record.clone())
    }

    /// Merges everything that a message carries.
    pub(crate) fn merge_all(&mut self, now: Instant, gossip: &Gossip) {
        for record in gossip.records.iter().chain([&gossip.me]) {
            self.merge(now, record);
        }
        if let Some(entry) = self.table.get_mut(&gossip.me.vm.name) {
            entry.last_contact_at = Some(now);
        }
        for update in &gossip.updates {
            let newer = self.domains.apply(now, update);
            if newer && matches!(update, Update::Roster(_)) {
                self.revision += 1;
            }
        }
    }

    fn merge(&mut self, now: Instant, record: &Record) {
        let name = &record.vm.name;
        if *name == self.me.vm.name {
            self.refute(record);
            return;
        }
        if record.vm.place != self.me.vm.place {
            return;
        }
        let is_newer = match self.table.get(name) {
            Some(entry) => record.overrides(&entry.record),
            None => record.state.is_live(),
        };
        if is_newer {
            self.store(now, record.clone());
        }
    }

    /// Stores a record and queues it for gossip.
    pub(crate) fn store(&mut self, now: Instant, record: Record) {
        let name: MachineName = record.vm.name.clone();
        let last_contact_at = self
            .table
            .get(&name)
            .and_then(|entry| entry.last_contact_at);
        let entry = Entry {
            record,
            state_changed_at: now,
            last_contact_at,
        };
        self.table.insert(name.clone(), entry);
        self.revision += 1;
        let members = self.table.len() + 1;
        self.gossip_queue.push(&name, members);
    }

    /// Refutes a wrong claim about this VM by raising its incarnation above the
    /// claim's.
    fn refute(&mut self, claim: &Record) {
        let wrong = claim.state != MemberState::Alive || claim.vm != self.me.vm;
        let newer = claim.incarnation > self.me.incarnation;
        let leaving = !self.me.state.is_live();
        if newer || (wrong && !leaving && claim.incarnation == self.me.incarnation) {
            self.me.incarnation = claim.incarnation + 1;
        }
    }
}
