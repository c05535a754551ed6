//! Probing: partners within the domain, delegates across.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use tokio::time::Instant;
use world::MachineName;

use crate::members::domains::Head;
use crate::members::message::{Action, Message};
use crate::members::record::{PlaceKey, Record, Standing};
use crate::members::ring::{self, DELEGATES};
use crate::members::table::Members;

/// Helpers that are asked to probe a member that did not answer.
const HELPERS: usize = 3;
/// Entry VMs of another domain that are tried as its delegates.
const DELEGATES_TRIED: usize = 3;

/// Probe intervals between two exchanges of a delegate with other domains.
const ACROSS_TURNS: usize = 2;

/// What a call was for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// First probe of a member.
    First(MachineName),
    /// Second probe, direct or through a helper.
    Second(MachineName),
    /// Exchange with another domain or a seed.
    Across,
}

/// Calls of second probes that are still out, by member.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    out: HashMap<MachineName, usize>,
}

impl Members {
    /// Does what is due; to be called once in each probe interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut out = Vec::new();
        let slept = self
            .last_tick
            .replace(now)
            .is_some_and(|at| now.duration_since(at) >= self.timing.suspicion);
        if slept {
            self.forgive(now);
        }
        self.expire(now);
        self.turn = self.turn.wrapping_add(1);
        self.report(now, &mut out);
        self.probe_partner(&mut out);
        if self.turn.is_multiple_of(ACROSS_TURNS) {
            self.probe_across(now, &mut out);
        }
        self.reconnect(now, &mut out);
        out
    }

    /// Takes in the reply to a call.
    pub fn replied(&mut self, now: Instant, call: u64, message: Message) -> Vec<Action> {
        self.heard_at = Some(now);
        let purpose = self.waiting.remove(&call);
        if let Some(Purpose::First(name) | Purpose::Second(name)) = purpose {
            self.rounds.out.remove(&name);
        }
        let Message::Ack(gossip) = message else {
            return Vec::new();
        };
        self.merge_all(now, &gossip);
        if gossip.heads.is_empty() {
            return Vec::new();
        }
        let updates = self.domains.newer_than_wanted(&gossip.heads);
        let mut push = self.gossip();
        push.heads = Vec::new();
        push.updates = updates;
        vec![Action {
            call: None,
            to: gossip.me.vm.link_addr,
            message: Message::Push(push),
            patience: self.timing.direct,
        }]
    }

    /// Notes that a call got no reply in time.
    pub fn missed(&mut self, now: Instant, call: u64) -> Vec<Action> {
        match self.waiting.remove(&call) {
            Some(Purpose::First(name)) => self.second_probe(&name),
            Some(Purpose::Second(name)) => {
                self.second_missed(now, &name);
                Vec::new()
            }
            Some(Purpose::Across) | None => Vec::new(),
        }
    }

    /// A probe of `to`; with a purpose, its reply is waited for.
    pub(crate) fn action(&mut self, to: SocketAddr, purpose: Option<Purpose>) -> Action {
        let call = purpose.map(|purpose| {
            let call = self.next_call;
            self.next_call += 1;
            self.waiting.insert(call, purpose);
            call
        });
        let mut gossip = self.gossip();
        let accused = self.records().find(|record| record.vm.link_addr == to);
        if let Some(record) = accused.filter(|r| r.standing != Standing::Alive) {
            gossip.news.push(record.clone());
        }
        Action {
            call,
            to,
            message: Message::Ping(gossip),
            patience: self.timing.direct,
        }
    }

    fn probe_partner(&mut self, out: &mut Vec<Action>) {
        let partners = ring::partners(&self.me.vm.name, &self.names());
        let Some(name) = partners.get(self.turn % partners.len().max(1)) else {
            return;
        };
        if self.rounds.out.contains_key(name) {
            return;
        }
        if let Some(entry) = self.table.get(name) {
            let to = entry.record.vm.link_addr;
            out.push(self.action(to, Some(Purpose::First(name.clone()))));
        }
    }

    fn second_probe(&mut self, name: &MachineName) -> Vec<Action> {
        let Some(entry) = self.table.get(name) else {
            return Vec::new();
        };
        let target = entry.record.vm.link_addr;
        let others: Vec<SocketAddr> = self
            .records()
            .filter(|r| r.standing == Standing::Alive && r.vm.name != *name)
            .map(|r| r.vm.link_addr)
            .collect();
        let mut helpers: Vec<SocketAddr> = others.sample(&mut self.rng, HELPERS).copied().collect();
        if helpers.is_empty() {
            helpers = self.delegates_elsewhere();
        }
        let mut actions = vec![self.action(target, Some(Purpose::Second(name.clone())))];
        for helper in helpers {
            let mut action = self.action(helper, Some(Purpose::Second(name.clone())));
            if let Message::Ping(gossip) = action.message {
                action.message = Message::Relay { target, gossip };
            }
            actions.push(action);
        }
        for action in &mut actions {
            action.patience = self.timing.indirect;
        }
        self.rounds.out.insert(name.clone(), actions.len());
        actions
    }

    fn second_missed(&mut self, now: Instant, name: &MachineName) {
        let Some(out) = self.rounds.out.get_mut(name) else {
            return;
        };
        *out -= 1;
        if *out > 0 {
            return;
        }
        self.rounds.out.remove(name);
        if let Some(entry) = self.table.get(name)
            && entry.record.standing == Standing::Alive
        {
            let suspect = Record {
                standing: Standing::Suspect,
                ..entry.record.clone()
            };
            self.put(now, suspect);
        }
    }

    /// Suspects that had their time are dead; the dead are forgotten in time.
    fn expire(&mut self, now: Instant) {
        let timing = self.timing;
        let overdue: Vec<Record> = self
            .table
            .values()
            .filter(|entry| entry.record.standing == Standing::Suspect)
            .filter(|entry| now.duration_since(entry.spoken_for_at()) >= timing.suspicion)
            .map(|entry| entry.record.clone())
            .collect();
        for record in overdue {
            let dead = Record {
                standing: Standing::Dead,
                ..record
            };
            self.put(now, dead);
        }
        self.table.retain(|_, entry| {
            entry.record.standing.is_live() || now.duration_since(entry.since) < timing.memory
        });
    }

    /// After this VM itself has slept, suspects get their full time again.
    fn forgive(&mut self, now: Instant) {
        self.waiting.clear();
        self.rounds.out.clear();
        for entry in self.table.values_mut() {
            entry.since = entry.since.max(now);
        }
    }

    /// Delegates exchange summaries with the next domains on the rings.
    fn probe_across(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.is_delegate() {
            return;
        }
        let places = self.places(now);
        let fresh: Vec<PlaceKey> = places
            .iter()
            .filter(|(place, fresh)| *fresh && *place != self.here)
            .map(|(place, _)| *place)
            .collect();
        if let Some(place) = fresh.choose(&mut self.rng).copied() {
            self.probe_domain(place, out);
        }
    }

    /// Whether this VM is one of its domain's delegates.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        let order = ring::order(&self.names());
        let rank = order.iter().position(|name| *name == self.me.vm.name);
        rank.is_some_and(|rank| rank < DELEGATES)
    }

    /// Members of this domain that are known only from its roster.
    pub(crate) fn strangers(&self) -> Vec<SocketAddr> {
        let mine = &self.me.vm.name;
        self.domains
            .roster(self.here)
            .iter()
            .filter(|vm| vm.name != *mine && !self.table.contains_key(&vm.name))
            .map(|vm| vm.link_addr)
            .collect()
    }

    /// Probes a member that another speaker for this domain names and that
    /// is unknown here.
    fn probe_stranger(&mut self, out: &mut Vec<Action>) {
        if let Some(to) = self.strangers().choose(&mut self.rng).copied() {
            out.push(self.action(to, Some(Purpose::Across)));
        }
    }

    fn probe_domain(&mut self, place: PlaceKey, out: &mut Vec<Action>) {
        let roster = self.domains.roster(place);
        let tried = &roster[..roster.len().min(DELEGATES_TRIED)];
        let to = tried.choose(&mut self.rng).map(|vm| vm.link_addr);
        if let Some(to) = to {
            out.push(self.action(to, Some(Purpose::Across)));
        }
    }

    /// Tries seeds, the dead and silent domains, so that a healed cut is noticed.
    fn reconnect(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.probe_stranger(out);
        let alone = self.names().len() <= 1;
        let due = self
            .reconnected_at
            .is_none_or(|at| now >= at + self.timing.reconnect);
        if !due || !(alone || self.is_delegate()) {
            return;
        }
        self.reconnected_at = Some(now);
        if let Some(seed) = self.seeds.choose(&mut self.rng).copied() {
            out.push(self.action(seed, Some(Purpose::Across)));
        }
        let dead: Vec<SocketAddr> = self
            .records()
            .filter(|record| record.standing == Standing::Dead)
            .map(|record| record.vm.link_addr)
            .collect();
        if let Some(dead) = dead.choose(&mut self.rng).copied() {
            out.push(self.action(dead, Some(Purpose::Across)));
        }
        let silent: Vec<PlaceKey> = self
            .places(now)
            .iter()
            .filter(|(place, fresh)| !fresh && *place != self.here)
            .map(|(place, _)| *place)
            .collect();
        if let Some(place) = silent.choose(&mut self.rng).copied() {
            self.probe_domain(place, out);
        }
    }

    fn delegates_elsewhere(&mut self) -> Vec<SocketAddr> {
        let all: Vec<Head> = self.domains.heads();
        let elsewhere = all.iter().filter(|head| head.place != self.here);
        let mut addrs: Vec<SocketAddr> = elsewhere
            .filter_map(|head| self.domains.roster(head.place).first())
            .map(|vm| vm.link_addr)
            .collect();
        addrs.truncate(HELPERS);
        addrs
    }
}
