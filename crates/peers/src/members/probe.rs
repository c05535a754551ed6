//! Failure detection: pings of partners within the domain, second pings through
//! helpers, suspicion, and pings between the delegates of domains.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use tokio::time::Instant;
use world::MachineName;

use crate::members::domains::SummaryVersion;
use crate::members::message::{Action, Message};
use crate::members::record::{MemberState, PlaceKey, Record};
use crate::members::ring::{self, DELEGATES};
use crate::members::table::Members;

/// Most helpers that are requested to ping a member whose first ping timed out.
const HELPERS_MAX: usize = 3;
/// Entry VMs at the head of another domain's roster, one of which is pinged as its
/// delegate.
const DELEGATE_CANDIDATES: usize = 3;

/// A delegate pings another domain once in this many ticks.
const CROSS_DOMAIN_TICKS: usize = 2;

/// Reason for a call.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// First, direct ping of a member.
    FirstPing(MachineName),
    /// Second ping of a member, direct or through a helper.
    SecondPing(MachineName),
    /// Ping whose timeout raises no suspicion: of another domain, a seed, a dead member
    /// or a member known only from the roster.
    Exchange,
}

/// Number of outstanding second pings, by member.
#[derive(Debug, Default)]
pub(crate) struct SecondPings {
    outstanding: HashMap<MachineName, usize>,
}

impl Members {
    /// Runs the periodic work; to be called once in each
    /// [`crate::members::Timing::ping_interval`]. Returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut out = Vec::new();
        let was_paused = self
            .last_tick
            .replace(now)
            .is_some_and(|at| now.duration_since(at) >= self.timing.suspicion_timeout);
        if was_paused {
            self.restart_suspicions(now);
        }
        self.expire(now);
        self.tick_count = self.tick_count.wrapping_add(1);
        self.report(now, &mut out);
        self.ping_partner(&mut out);
        if self.tick_count.is_multiple_of(CROSS_DOMAIN_TICKS) {
            self.ping_other_domain(now, &mut out);
        }
        self.reconnect(now, &mut out);
        out
    }

    /// Handles the reply to a call. Returns the messages to send.
    pub fn handle_reply(&mut self, now: Instant, call: u64, message: Message) -> Vec<Action> {
        self.last_contact_at = Some(now);
        let purpose = self.pending_calls.remove(&call);
        if let Some(Purpose::FirstPing(name) | Purpose::SecondPing(name)) = purpose {
            self.second_pings.outstanding.remove(&name);
        }
        let Message::Ack(gossip) = message else {
            return Vec::new();
        };
        self.merge_all(now, &gossip);
        if gossip.versions.is_empty() {
            return Vec::new();
        }
        let updates = self.domains.newer_than_for(&gossip.versions);
        let mut push = self.gossip();
        push.versions = Vec::new();
        push.updates = updates;
        vec![Action {
            call: None,
            to: gossip.me.vm.link_addr,
            message: Message::Push(push),
            timeout: self.timing.ping_timeout,
        }]
    }

    /// Handles the timeout of a call. Returns the messages to send.
    pub fn handle_timeout(&mut self, now: Instant, call: u64) -> Vec<Action> {
        match self.pending_calls.remove(&call) {
            Some(Purpose::FirstPing(name)) => self.second_ping(&name),
            Some(Purpose::SecondPing(name)) => {
                self.second_ping_timed_out(now, &name);
                Vec::new()
            }
            Some(Purpose::Exchange) | None => Vec::new(),
        }
    }

    /// Creates a ping of `to`. With a purpose it is a call whose reply or timeout will
    /// be handled. A record that counts the receiver as not alive goes along, so that
    /// the receiver can refute it.
    pub(crate) fn ping(&mut self, to: SocketAddr, purpose: Option<Purpose>) -> Action {
        let call = purpose.map(|purpose| {
            let call = self.next_call;
            self.next_call += 1;
            self.pending_calls.insert(call, purpose);
            call
        });
        let mut gossip = self.gossip();
        let known = self.records().find(|record| record.vm.link_addr == to);
        if let Some(record) = known.filter(|r| r.state != MemberState::Alive) {
            gossip.records.push(record.clone());
        }
        Action {
            call,
            to,
            message: Message::Ping(gossip),
            timeout: self.timing.ping_timeout,
        }
    }

    fn ping_partner(&mut self, out: &mut Vec<Action>) {
        let partners = ring::partners(&self.me.vm.name, &self.live_names());
        let Some(name) = partners.get(self.tick_count % partners.len().max(1)) else {
            return;
        };
        if self.second_pings.outstanding.contains_key(name) {
            return;
        }
        if let Some(entry) = self.table.get(name) {
            let to = entry.record.vm.link_addr;
            out.push(self.ping(to, Some(Purpose::FirstPing(name.clone()))));
        }
    }

    fn second_ping(&mut self, name: &MachineName) -> Vec<Action> {
        let Some(entry) = self.table.get(name) else {
            return Vec::new();
        };
        let target = entry.record.vm.link_addr;
        let others: Vec<SocketAddr> = self
            .records()
            .filter(|r| r.state == MemberState::Alive && r.vm.name != *name)
            .map(|r| r.vm.link_addr)
            .collect();
        let mut helpers: Vec<SocketAddr> =
            others.sample(&mut self.rng, HELPERS_MAX).copied().collect();
        if helpers.is_empty() {
            helpers = self.delegates_of_other_domains();
        }
        let mut actions = vec![self.ping(target, Some(Purpose::SecondPing(name.clone())))];
        for helper in helpers {
            let mut ping = self.ping(helper, Some(Purpose::SecondPing(name.clone())));
            if let Message::Ping(gossip) = ping.message {
                ping.message = Message::PingReq { target, gossip };
            }
            actions.push(ping);
        }
        for ping in &mut actions {
            ping.timeout = self.timing.second_ping_timeout;
        }
        self.second_pings
            .outstanding
            .insert(name.clone(), actions.len());
        actions
    }

    fn second_ping_timed_out(&mut self, now: Instant, name: &MachineName) {
        let Some(outstanding) = self.second_pings.outstanding.get_mut(name) else {
            return;
        };
        *outstanding -= 1;
        if *outstanding > 0 {
            return;
        }
        self.second_pings.outstanding.remove(name);
        if let Some(entry) = self.table.get(name)
            && entry.record.state == MemberState::Alive
        {
            let suspect = Record {
                state: MemberState::Suspect,
                ..entry.record.clone()
            };
            self.store(now, suspect);
        }
    }

    /// Declares suspects dead that did not refute in time, and removes old records of
    /// dead and departed members.
    fn expire(&mut self, now: Instant) {
        let timing = self.timing;
        let overdue: Vec<Record> = self
            .table
            .values()
            .filter(|entry| entry.record.state == MemberState::Suspect)
            .filter(|entry| {
                now.duration_since(entry.last_evidence_at()) >= timing.suspicion_timeout
            })
            .map(|entry| entry.record.clone())
            .collect();
        for record in overdue {
            let dead = Record {
                state: MemberState::Dead,
                ..record
            };
            self.store(now, dead);
        }
        self.table.retain(|_, entry| {
            entry.record.state.is_live()
                || now.duration_since(entry.state_changed_at) < timing.retention
        });
    }

    /// Restarts all suspicion timeouts after this VM itself was paused, so that suspects
    /// get the full time to refute.
    fn restart_suspicions(&mut self, now: Instant) {
        self.pending_calls.clear();
        self.second_pings.outstanding.clear();
        for entry in self.table.values_mut() {
            entry.state_changed_at = entry.state_changed_at.max(now);
        }
    }

    /// Pings a random reachable domain if this VM is a delegate, to exchange summaries.
    fn ping_other_domain(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.is_delegate() {
            return;
        }
        let places = self.places(now);
        let reachable: Vec<PlaceKey> = places
            .iter()
            .filter(|(place, reachable)| *reachable && *place != self.own_domain)
            .map(|(place, _)| *place)
            .collect();
        if let Some(place) = reachable.choose(&mut self.rng).copied() {
            self.ping_domain(place, out);
        }
    }

    /// Whether this VM is a delegate of its domain.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        let order = ring::order(&self.live_names());
        let rank = order.iter().position(|name| *name == self.me.vm.name);
        rank.is_some_and(|rank| rank < DELEGATES)
    }

    /// Addresses of members of this domain that are known only from its roster.
    pub(crate) fn roster_only_members(&self) -> Vec<SocketAddr> {
        let mine = &self.me.vm.name;
        self.domains
            .roster(self.own_domain)
            .iter()
            .filter(|vm| vm.name != *mine && !self.table.contains_key(&vm.name))
            .map(|vm| vm.link_addr)
            .collect()
    }

    /// Pings a member that is known only from the domain's roster, as another member
    /// published it.
    fn ping_roster_only_member(&mut self, out: &mut Vec<Action>) {
        if let Some(to) = self.roster_only_members().choose(&mut self.rng).copied() {
            out.push(self.ping(to, Some(Purpose::Exchange)));
        }
    }

    fn ping_domain(&mut self, place: PlaceKey, out: &mut Vec<Action>) {
        let roster = self.domains.roster(place);
        let candidates = &roster[..roster.len().min(DELEGATE_CANDIDATES)];
        let to = candidates.choose(&mut self.rng).map(|vm| vm.link_addr);
        if let Some(to) = to {
            out.push(self.ping(to, Some(Purpose::Exchange)));
        }
    }

    /// Pings a seed, a dead member and an unreachable domain from time to time, so that
    /// the end of a network partition is noticed.
    fn reconnect(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.ping_roster_only_member(out);
        let alone = self.live_names().len() <= 1;
        let due = self
            .reconnected_at
            .is_none_or(|at| now >= at + self.timing.reconnect_interval);
        if !due || !(alone || self.is_delegate()) {
            return;
        }
        self.reconnected_at = Some(now);
        if let Some(seed) = self.seeds.choose(&mut self.rng).copied() {
            out.push(self.ping(seed, Some(Purpose::Exchange)));
        }
        let dead: Vec<SocketAddr> = self
            .records()
            .filter(|record| record.state == MemberState::Dead)
            .map(|record| record.vm.link_addr)
            .collect();
        if let Some(dead) = dead.choose(&mut self.rng).copied() {
            out.push(self.ping(dead, Some(Purpose::Exchange)));
        }
        let unreachable: Vec<PlaceKey> = self
            .places(now)
            .iter()
            .filter(|(place, reachable)| !reachable && *place != self.own_domain)
            .map(|(place, _)| *place)
            .collect();
        if let Some(place) = unreachable.choose(&mut self.rng).copied() {
            self.ping_domain(place, out);
        }
    }

    fn delegates_of_other_domains(&mut self) -> Vec<SocketAddr> {
        let all: Vec<SummaryVersion> = self.domains.versions();
        let other_domains = all
            .iter()
            .filter(|version| version.place != self.own_domain);
        let mut addrs: Vec<SocketAddr> = other_domains
            .filter_map(|version| self.domains.roster(version.place).first())
            .map(|vm| vm.link_addr)
            .collect();
        addrs.truncate(HELPERS_MAX);
        addrs
    }
}
