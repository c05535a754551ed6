//! The table of members.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::StdRng;
use tokio::time::Instant;
use world::{EntryVm, MachineName};
use xxhash_rust::xxh3::xxh3_64;

use crate::members::Timing;
use crate::members::domains::{DomainLoad, Domains, Roster, Update};
use crate::members::message::{Action, Gossip, Message};
use crate::members::news::News;
use crate::members::probe::{Purpose, Rounds};
use crate::members::record::{PlaceKey, Record, Standing};
use crate::members::report::Report;
use crate::members::ring;

/// Rosters advance by steps of up to this, each member by its own, so that
/// two members that speak for parts of one domain don't give one number to
/// two rosters.
const ROSTER_STEP_MAX: u64 = 1_024;
/// Reports of a child count for so many intervals.
const REPORT_INTERVALS: u32 = 3;

/// A member of the own domain.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    pub(crate) since: Instant,
    pub(crate) heard_at: Option<Instant>,
}

impl Entry {
    /// When anything last spoke for the member: its standing or a message of its own.
    pub(crate) fn spoken_for_at(&self) -> Instant {
        self.heard_at.map_or(self.since, |at| at.max(self.since))
    }
}

/// Members of the own domain and summaries of the others.
#[derive(Debug)]
pub struct Members {
    pub(crate) me: Record,
    pub(crate) here: PlaceKey,
    pub(crate) timing: Timing,
    pub(crate) rng: StdRng,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) table: BTreeMap<MachineName, Entry>,
    pub(crate) news: News,
    pub(crate) domains: Domains,
    pub(crate) waiting: HashMap<u64, Purpose>,
    pub(crate) rounds: Rounds,
    pub(crate) next_call: u64,
    pub(crate) turn: usize,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) heard_at: Option<Instant>,
    children: BTreeMap<MachineName, (Instant, Report)>,
    own: Report,
    reported_at: Option<Instant>,
    roster_step: u64,
    pub(crate) reconnected_at: Option<Instant>,
    pub(crate) revision: u64,
}

impl Members {
    /// A table with only this VM, which finds the others by `seeds`.
    ///
    /// `incarnation` must be above that of the VM's earlier starts if it can
    /// be; a lower one is raised as soon as another member remembers more.
    #[must_use]
    pub fn new(vm: Arc<EntryVm>, incarnation: u64, seeds: Vec<SocketAddr>, rng: StdRng) -> Self {
        let mine = vm.link_addr;
        Self {
            here: PlaceKey::of(&vm.place),
            me: Record {
                vm,
                incarnation,
                standing: Standing::Alive,
            },
            timing: Timing::default(),
            rng,
            seeds: seeds.into_iter().filter(|seed| *seed != mine).collect(),
            table: BTreeMap::new(),
            news: News::default(),
            domains: Domains::default(),
            waiting: HashMap::new(),
            rounds: Rounds::default(),
            next_call: 1,
            turn: 0,
            last_tick: None,
            heard_at: None,
            children: BTreeMap::new(),
            own: Report::default(),
            reported_at: None,
            roster_step: 1 + xxh3_64(mine.to_string().as_bytes()) % ROSTER_STEP_MAX,
            reconnected_at: None,
            revision: 0,
        }
    }

    /// With other times of the protocol.
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Puts this VM's own load in place of the last one.
    pub fn set_load(&mut self, report: Report) {
        self.own = report;
    }

    /// This VM's own record.
    #[must_use]
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Live members of the own domain, this one included unless it leaves, by name.
    #[must_use]
    pub fn live(&self) -> Vec<Arc<EntryVm>> {
        let mut live: Vec<Arc<EntryVm>> = self
            .table
            .values()
            .filter(|entry| entry.record.standing.is_live())
            .map(|entry| Arc::clone(&entry.record.vm))
            .collect();
        if self.me.standing.is_live() {
            live.push(Arc::clone(&self.me.vm));
        }
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Entry VMs of the whole site that callers may be sent to: the live ones
    /// here, and those of every domain whose summary is fresh.
    #[must_use]
    pub fn site(&self, now: Instant) -> Vec<Arc<EntryVm>> {
        let mut site = self.live();
        for (place, fresh) in self.domains.places(now, self.timing.domain_silence) {
            if fresh && place != self.here {
                site.extend(self.domains.roster(place).iter().map(Arc::clone));
            }
        }
        site
    }

    /// Records of the own domain, by name.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|entry| &entry.record)
    }

    /// Summaries of the domains.
    #[must_use]
    pub fn domains(&self) -> &Domains {
        &self.domains
    }

    /// Domains heard of and whether each can be reached.
    #[must_use]
    pub fn places(&self, now: Instant) -> Vec<(PlaceKey, bool)> {
        self.domains.places(now, self.timing.domain_silence)
    }

    /// When any other process was last heard of.
    #[must_use]
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard_at
    }

    /// Number that grows whenever a member of the site may have come or gone.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that another process was heard of by any message.
    pub fn heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Address of a member of the site for the system's own processes.
    #[must_use]
    pub fn link_addr(&self, name: &MachineName) -> Option<SocketAddr> {
        if let Some(entry) = self.table.get(name) {
            return Some(entry.record.vm.link_addr);
        }
        let vms = self.domains.rosters().flatten();
        vms.filter(|vm| vm.name == *name)
            .map(|vm| vm.link_addr)
            .next()
    }

    /// Announces that this VM leaves: tells its partners at once.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.standing = Standing::Left;
        let name = self.me.vm.name.clone();
        let partners = ring::partners(&name, &self.names());
        let gossip = self.gossip();
        partners
            .iter()
            .filter_map(|partner| self.table.get(partner))
            .map(|entry| Action {
                call: None,
                to: entry.record.vm.link_addr,
                message: Message::Push(gossip.clone()),
                patience: self.timing.direct,
            })
            .collect()
    }

    /// Takes in the report of a member below this one in the tree.
    pub(crate) fn reported(&mut self, now: Instant, from: MachineName, report: Report) {
        self.children.insert(from, (now, report));
    }

    /// Names of the live members, this one included unless it leaves.
    pub(crate) fn names(&self) -> Vec<MachineName> {
        self.live().iter().map(|vm| vm.name.clone()).collect()
    }

    pub(crate) fn table_hash(&self) -> u64 {
        if self.table.is_empty() {
            return 0;
        }
        let live = self
            .records()
            .chain([&self.me])
            .filter(|record| record.standing.is_live());
        live.fold(1, |hash, record| hash ^ record.hash())
    }

    pub(crate) fn gossip(&mut self) -> Gossip {
        let news = self.news.take();
        let news = news.iter().filter_map(|name| self.table.get(name));
        Gossip {
            news: news.map(|entry| entry.record.clone()).collect(),
            me: self.me.clone(),
            table_hash: self.table_hash(),
            heads: self.domains.heads(),
            updates: Vec::new(),
        }
    }

    /// Passes load up the tree; the first member of the domain publishes it.
    pub(crate) fn report(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self
            .reported_at
            .is_none_or(|at| now >= at + self.timing.report);
        if !self.me.standing.is_live() {
            return;
        }
        let order = ring::order(&self.names());
        let parent = ring::parent(&self.me.vm.name, &order).cloned();
        // Unknown members that another speaker names are probed first.
        if parent.is_none() && (due || self.strangers().is_empty()) {
            self.publish_roster(now, &order);
        }
        if !due {
            return;
        }
        self.reported_at = Some(now);
        let keep = self.timing.report * REPORT_INTERVALS;
        self.children.retain(|_, (at, _)| now < *at + keep);
        let mut sum = self.own.clone();
        for (_, report) in self.children.values() {
            sum.add(report);
        }
        let Some(parent) = parent else {
            self.publish_load(now, sum);
            return;
        };
        if let Some(entry) = self.table.get(&parent) {
            out.push(Action {
                call: None,
                to: entry.record.vm.link_addr,
                message: Message::Report {
                    from: self.me.vm.name.clone(),
                    report: sum,
                },
                patience: self.timing.direct,
            });
        }
    }

    fn publish_roster(&mut self, now: Instant, order: &[MachineName]) {
        let head = self.domains.head(self.here);
        let by_name = |name: &MachineName| {
            if *name == self.me.vm.name {
                return Some(Arc::clone(&self.me.vm));
            }
            self.table.get(name).map(|e| Arc::clone(&e.record.vm))
        };
        let vms: Vec<Arc<EntryVm>> = order.iter().filter_map(by_name).collect();
        if head.roster == 0 || self.domains.roster(self.here) != vms {
            let roster = Roster {
                place: self.here,
                seq: head.roster + self.roster_step,
                vms,
            };
            self.domains.take(now, &Update::Roster(Arc::new(roster)));
        }
    }

    fn publish_load(&mut self, now: Instant, report: Report) {
        let head = self.domains.head(self.here);
        let load = DomainLoad {
            place: self.here,
            seq: head.load + 1,
            report,
        };
        self.domains.take(now, &Update::Load(Arc::new(load)));
    }
}
