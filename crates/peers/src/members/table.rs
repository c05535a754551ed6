//! The table of the own domain's members, and what this VM publishes: its gossip,
//! its load report and, as root of the report tree, the domain's summary.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::StdRng;
use tokio::time::Instant;
use world::{EntryVm, MachineName};
use xxhash_rust::xxh3::xxh3_64;

use crate::members::Timing;
use crate::members::domains::{DomainLoad, Domains, Roster, Update};
use crate::members::gossip_queue::GossipQueue;
use crate::members::message::{Action, Gossip, Message};
use crate::members::probe::{Purpose, SecondPings};
use crate::members::record::{MemberState, PlaceKey, Record};
use crate::members::report::Report;
use crate::members::ring;

/// Most that a member adds to a roster's sequence number. Each member adds a number
/// of its own, so that two members that both count as root during a partition
/// don't publish two rosters under one sequence number.
const ROSTER_STEP_MAX: u64 = 1_024;
/// The report of a child in the tree is dropped after this many report intervals.
const REPORT_KEEP_INTERVALS: u32 = 3;

/// A member of the own domain.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    /// When the record was last replaced or its suspicion timeout restarted.
    pub(crate) state_changed_at: Instant,
    /// When a message of the member was last received.
    pub(crate) last_contact_at: Option<Instant>,
}

impl Entry {
    /// The later of the last change of state and the last message of the member.
    pub(crate) fn last_evidence_at(&self) -> Instant {
        self.last_contact_at
            .map_or(self.state_changed_at, |at| at.max(self.state_changed_at))
    }
}

/// Members of the own domain and summaries of the others.
#[derive(Debug)]
pub struct Members {
    pub(crate) me: Record,
    pub(crate) own_domain: PlaceKey,
    pub(crate) timing: Timing,
    pub(crate) rng: StdRng,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) table: BTreeMap<MachineName, Entry>,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) domains: Domains,
    pub(crate) pending_calls: HashMap<u64, Purpose>,
    pub(crate) second_pings: SecondPings,
    pub(crate) next_call: u64,
    pub(crate) tick_count: usize,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) last_contact_at: Option<Instant>,
    children: BTreeMap<MachineName, (Instant, Report)>,
    own_report: Report,
    reported_at: Option<Instant>,
    roster_step: u64,
    pub(crate) reconnected_at: Option<Instant>,
    pub(crate) revision: u64,
}

impl Members {
    /// Creates a table with only this VM; the other members are found through `seeds`.
    ///
    /// `incarnation` should be above that of the VM's earlier starts. A lower one is
    /// raised as soon as another member reports a record of an earlier start.
    #[must_use]
    pub fn new(vm: Arc<EntryVm>, incarnation: u64, seeds: Vec<SocketAddr>, rng: StdRng) -> Self {
        let mine = vm.link_addr;
        Self {
            own_domain: PlaceKey::of(&vm.place),
            me: Record {
                vm,
                incarnation,
                state: MemberState::Alive,
            },
            timing: Timing::default(),
            rng,
            seeds: seeds.into_iter().filter(|seed| *seed != mine).collect(),
            table: BTreeMap::new(),
            gossip_queue: GossipQueue::default(),
            domains: Domains::default(),
            pending_calls: HashMap::new(),
            second_pings: SecondPings::default(),
            next_call: 1,
            tick_count: 0,
            last_tick: None,
            last_contact_at: None,
            children: BTreeMap::new(),
            own_report: Report::default(),
            reported_at: None,
            roster_step: 1 + xxh3_64(mine.to_string().as_bytes()) % ROSTER_STEP_MAX,
            reconnected_at: None,
            revision: 0,
        }
    }

    /// Replaces the default intervals and timeouts.
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Replaces this VM's own load report.
    pub fn set_load(&mut self, report: Report) {
        self.own_report = report;
    }

    /// This VM's own record.
    #[must_use]
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Live members of the own domain, including this VM unless it is leaving, sorted by
    /// name.
    #[must_use]
    pub fn live(&self) -> Vec<Arc<EntryVm>> {
        let mut live: Vec<Arc<EntryVm>> = self
            .table
            .values()
            .filter(|entry| entry.record.state.is_live())
            .map(|entry| Arc::clone(&entry.record.vm))
            .collect();
        if self.me.state.is_live() {
            live.push(Arc::clone(&self.me.vm));
        }
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Entry VMs of the whole site to which clients may be directed: the live members of
    /// the own domain and the roster of every reachable domain.
    #[must_use]
    pub fn site(&self, now: Instant) -> Vec<Arc<EntryVm>> {
        let mut site = self.live();
        for (place, reachable) in self.domains.places(now, self.timing.domain_timeout) {
            if reachable && place != self.own_domain {
                site.extend(self.domains.roster(place).iter().map(Arc::clone));
            }
        }
        site
    }

    /// Records of the other members of the own domain, sorted by name.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|entry| &entry.record)
    }

    /// Summaries of all domains.
    #[must_use]
    pub fn domains(&self) -> &Domains {
        &self.domains
    }

    /// Known domains, and whether each counts as reachable.
    #[must_use]
    pub fn places(&self, now: Instant) -> Vec<(PlaceKey, bool)> {
        self.domains.places(now, self.timing.domain_timeout)
    }

    /// When a message of any other process was last received.
    #[must_use]
    pub fn last_contact_at(&self) -> Option<Instant> {
        self.last_contact_at
    }

    /// Number that grows whenever a member of the site may have joined or left.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that a message of any kind was received from another process.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact_at = Some(now);
    }

    /// Link address of a member of the site.
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

    /// Marks this VM as leaving. Returns the messages that notify its partners at once.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.state = MemberState::Left;
        let name = self.me.vm.name.clone();
        let partners = ring::partners(&name, &self.live_names());
        let gossip = self.gossip();
        partners
            .iter()
            .filter_map(|partner| self.table.get(partner))
            .map(|entry| Action {
                call: None,
                to: entry.record.vm.link_addr,
                message: Message::Push(gossip.clone()),
                timeout: self.timing.ping_timeout,
            })
            .collect()
    }

    /// Records the load report of a child in the report tree.
    pub(crate) fn record_child_report(&mut self, now: Instant, from: MachineName, report: Report) {
        self.children.insert(from, (now, report));
    }

    /// Names of the live members, including this VM unless it is leaving.
    pub(crate) fn live_names(&self) -> Vec<MachineName> {
        self.live().iter().map(|vm| vm.name.clone()).collect()
    }

    /// Hash over the live members, for comparing tables; 0 when no other member is known.
    pub(crate) fn table_hash(&self) -> u64 {
        if self.table.is_empty() {
            return 0;
        }
        let live = self
            .records()
            .chain([&self.me])
            .filter(|record| record.state.is_live());
        live.fold(1, |hash, record| hash ^ record.hash())
    }

    /// Creates the gossip of the next message, with records from the queue.
    pub(crate) fn gossip(&mut self) -> Gossip {
        let records = self.gossip_queue.take();
        let records = records.iter().filter_map(|name| self.table.get(name));
        Gossip {
            records: records.map(|entry| entry.record.clone()).collect(),
            me: self.me.clone(),
            table_hash: self.table_hash(),
            versions: self.domains.versions(),
            updates: Vec::new(),
        }
    }

    /// Sends the summed load to the parent in the report tree; the root publishes the
    /// domain's summary instead.
    pub(crate) fn report(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self
            .reported_at
            .is_none_or(|at| now >= at + self.timing.report_interval);
        if !self.me.state.is_live() {
            return;
        }
        let order = ring::order(&self.live_names());
        let parent = ring::parent(&self.me.vm.name, &order).cloned();
        // Members known only from a roster that another root published are pinged
        // before this VM replaces that roster.
        if parent.is_none() && (due || self.roster_only_members().is_empty()) {
            self.publish_roster(now, &order);
        }
        if !due {
            return;
        }
        self.reported_at = Some(now);
        let keep = self.timing.report_interval * REPORT_KEEP_INTERVALS;
        self.children.retain(|_, (at, _)| now < *at + keep);
        let mut sum = self.own_report.clone();
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
                timeout: self.timing.ping_timeout,
            });
        }
    }

    fn publish_roster(&mut self, now: Instant, order: &[MachineName]) {
        let version = self.domains.version(self.own_domain);
        let by_name = |name: &MachineName| {
            if *name == self.me.vm.name {
                return Some(Arc::clone(&self.me.vm));
            }
            self.table.get(name).map(|e| Arc::clone(&e.record.vm))
        };
        let vms: Vec<Arc<EntryVm>> = order.iter().filter_map(by_name).collect();
        if version.roster == 0 || self.domains.roster(self.own_domain) != vms {
            let roster = Roster {
                place: self.own_domain,
                seq: version.roster + self.roster_step,
                vms,
            };
            self.domains.apply(now, &Update::Roster(Arc::new(roster)));
        }
    }

    fn publish_load(&mut self, now: Instant, report: Report) {
        let version = self.domains.version(self.own_domain);
        let load = DomainLoad {
            place: self.own_domain,
            seq: version.load + 1,
            report,
        };
        self.domains.apply(now, &Update::Load(Arc::new(load)));
    }
}
