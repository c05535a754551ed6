//! Taking in what others claim.

use tokio::time::Instant;
use world::MachineName;

use crate::members::domains::Update;
use crate::members::message::{Gossip, Message, Reply};
use crate::members::record::{Record, Standing};
use crate::members::table::{Entry, Members};

impl Members {
    /// Answers a message from another member.
    pub fn handle(&mut self, now: Instant, message: Message) -> Reply {
        self.heard_at = Some(now);
        match message {
            Message::Ping(gossip) => {
                let mut answer = self.take(now, &gossip);
                answer.updates = self.domains.newer_than(&gossip.heads);
                answer.heads = self.domains.behind(&gossip.heads);
                Reply::Now(Message::Ack(answer))
            }
            Message::Push(gossip) | Message::Ack(gossip) => {
                self.merge_all(now, &gossip);
                Reply::None
            }
            Message::Relay { target, gossip } => {
                self.merge_all(now, &gossip);
                let mut probe = self.action(target, None);
                probe.patience = self.timing.direct;
                Reply::Forward(probe)
            }
            Message::Report { from, report } => {
                self.reported(now, from, report);
                Reply::None
            }
        }
    }

    /// Takes in a probe and makes the answer to it.
    fn take(&mut self, now: Instant, gossip: &Gossip) -> Gossip {
        self.merge_all(now, gossip);
        let quiet = self.news.is_empty() && gossip.news.is_empty();
        let near = gossip.me.vm.place == self.me.vm.place;
        let differs = gossip.table_hash != self.table_hash();
        let mut answer = self.gossip();
        if near && gossip.me.standing.is_live() && (gossip.table_hash == 0 || quiet && differs) {
            answer.news = self.records().cloned().collect();
        } else if let Some(doubted) = self.doubted(&gossip.me) {
            answer.news.push(doubted);
        }
        answer
    }

    /// What is held against a member that has just spoken, so that it can refute.
    fn doubted(&self, speaker: &Record) -> Option<Record> {
        let record = &self.table.get(&speaker.vm.name)?.record;
        let against = record.standing != Standing::Alive && record.overrides(speaker);
        against.then(|| record.clone())
    }

    /// Takes in all that rides on a message.
    pub(crate) fn merge_all(&mut self, now: Instant, gossip: &Gossip) {
        for record in gossip.news.iter().chain([&gossip.me]) {
            self.merge(now, record);
        }
        if let Some(entry) = self.table.get_mut(&gossip.me.vm.name) {
            entry.heard_at = Some(now);
        }
        for update in &gossip.updates {
            let newer = self.domains.take(now, update);
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
        let fresh = match self.table.get(name) {
            Some(entry) => record.overrides(&entry.record),
            None => record.standing.is_live(),
        };
        if fresh {
            self.put(now, record.clone());
        }
    }

    /// Puts a claim in force and up for spreading.
    pub(crate) fn put(&mut self, now: Instant, record: Record) {
        let name: MachineName = record.vm.name.clone();
        let heard_at = self.table.get(&name).and_then(|entry| entry.heard_at);
        let entry = Entry {
            record,
            since: now,
            heard_at,
        };
        self.table.insert(name.clone(), entry);
        self.revision += 1;
        let members = self.table.len() + 1;
        self.news.push(&name, members);
    }

    /// Raises the own incarnation above a claim that is not true.
    fn refute(&mut self, claim: &Record) {
        let wrong = claim.standing != Standing::Alive || claim.vm != self.me.vm;
        let newer = claim.incarnation > self.me.incarnation;
        let leaving = !self.me.standing.is_live();
        if newer || (wrong && !leaving && claim.incarnation == self.me.incarnation) {
            self.me.incarnation = claim.incarnation + 1;
        }
    }
}
