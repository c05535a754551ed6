//! Summaries of failure domains: the live entry VMs and the total load of each.
//! The delegates of the domains (see [`crate::members::ring`]) exchange the summaries; a
//! summary with a higher sequence number replaces a lower one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use world::EntryVm;

use crate::members::record::PlaceKey;
use crate::members::report::Report;

/// The live entry VMs of a domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// The domain.
    pub place: PlaceKey,
    /// Sequence number; grows with each change.
    pub seq: u64,
    /// The entry VMs; the domain's delegates come first.
    pub vms: Vec<Arc<EntryVm>>,
}

/// Capacity of a domain and the demand for it.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainLoad {
    /// The domain.
    pub place: PlaceKey,
    /// Sequence number; grows with each report.
    pub seq: u64,
    /// Sum of the reports of the domain's members.
    pub report: Report,
}

/// A new version of one part of a summary.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The live entry VMs.
    Roster(Arc<Roster>),
    /// The total load.
    Load(Arc<DomainLoad>),
}

/// Sequence numbers of the summary of a domain at some process; 0: unknown there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SummaryVersion {
    /// The domain.
    pub place: PlaceKey,
    /// Sequence number of the roster.
    pub roster: u64,
    /// Sequence number of the load.
    pub load: u64,
}

#[derive(Clone, Debug)]
struct Summary {
    roster: Arc<Roster>,
    load: Arc<DomainLoad>,
    load_updated_at: Option<Instant>,
}

/// The newest known summary of each domain.
#[derive(Clone, Debug, Default)]
pub struct Domains {
    table: BTreeMap<PlaceKey, Summary>,
}

impl Domains {
    /// Applies `update` if it is newer than the known part. Returns whether it was.
    pub fn apply(&mut self, now: Instant, update: &Update) -> bool {
        match update {
            Update::Roster(roster) => {
                let summary = self.summary(roster.place);
                let newer = roster.seq > summary.roster.seq;
                if newer {
                    summary.roster = Arc::clone(roster);
                }
                newer
            }
            Update::Load(load) => {
                let summary = self.summary(load.place);
                let newer = load.seq > summary.load.seq;
                if newer {
                    summary.load = Arc::clone(load);
                    summary.load_updated_at = Some(now);
                }
                newer
            }
        }
    }

    /// Sequence numbers of all summaries.
    #[must_use]
    pub fn versions(&self) -> Vec<SummaryVersion> {
        self.table
            .iter()
            .map(|(place, summary)| summary.version(*place))
            .collect()
    }

    /// Sequence numbers of the summary of one domain.
    #[must_use]
    pub fn version(&self, place: PlaceKey) -> SummaryVersion {
        let none = SummaryVersion {
            place,
            roster: 0,
            load: 0,
        };
        self.table.get(&place).map_or(none, |s| s.version(place))
    }

    /// Returns the parts of summaries that are newer than `versions`.
    #[must_use]
    pub fn newer_than(&self, versions: &[SummaryVersion]) -> Vec<Update> {
        let mut updates = Vec::new();
        for (place, summary) in &self.table {
            let theirs = versions.iter().find(|v| v.place == *place);
            if summary.roster.seq > theirs.map_or(0, |v| v.roster) {
                updates.push(Update::Roster(Arc::clone(&summary.roster)));
            }
            if summary.load.seq > theirs.map_or(0, |v| v.load) {
                updates.push(Update::Load(Arc::clone(&summary.load)));
            }
        }
        updates
    }

    /// As [`Self::newer_than`], limited to the domains that `requested` lists.
    #[must_use]
    pub fn newer_than_for(&self, requested: &[SummaryVersion]) -> Vec<Update> {
        let named = |update: &Update| {
            let place = match update {
                Update::Roster(roster) => roster.place,
                Update::Load(load) => load.place,
            };
            requested.iter().any(|version| version.place == place)
        };
        let mut updates = self.newer_than(requested);
        updates.retain(named);
        updates
    }

    /// Returns this process's sequence numbers of the domains for which `versions` is newer.
    #[must_use]
    pub fn older_than(&self, versions: &[SummaryVersion]) -> Vec<SummaryVersion> {
        let is_newer = |theirs: &&SummaryVersion| {
            let own = self.version(theirs.place);
            theirs.roster > own.roster || theirs.load > own.load
        };
        let newer = versions.iter().filter(is_newer);
        newer.map(|theirs| self.version(theirs.place)).collect()
    }

    /// Known domains, and whether the load of each was updated within `timeout`.
    #[must_use]
    pub fn places(&self, now: Instant, timeout: Duration) -> Vec<(PlaceKey, bool)> {
        let reachable = |summary: &Summary| {
            summary
                .load_updated_at
                .is_some_and(|at| now.duration_since(at) < timeout)
        };
        self.table.iter().map(|(p, s)| (*p, reachable(s))).collect()
    }

    /// Entry VMs of a domain as its summary lists them.
    #[must_use]
    pub fn roster(&self, place: PlaceKey) -> &[Arc<EntryVm>] {
        self.table.get(&place).map_or(&[], |s| &s.roster.vms)
    }

    /// Entry VMs of every domain.
    pub fn rosters(&self) -> impl Iterator<Item = &[Arc<EntryVm>]> {
        self.table.values().map(|s| s.roster.vms.as_slice())
    }

    /// Load of a domain as last reported.
    #[must_use]
    pub fn load(&self, place: PlaceKey) -> Option<&Report> {
        self.table.get(&place).map(|s| &s.load.report)
    }

    fn summary(&mut self, place: PlaceKey) -> &mut Summary {
        self.table.entry(place).or_insert_with(|| Summary {
            roster: Arc::new(Roster {
                place,
                seq: 0,
                vms: Vec::new(),
            }),
            load: Arc::new(DomainLoad {
                place,
                seq: 0,
                report: Report::default(),
            }),
            load_updated_at: None,
        })
    }
}

impl Summary {
    fn version(&self, place: PlaceKey) -> SummaryVersion {
        SummaryVersion {
            place,
            roster: self.roster.seq,
            load: self.load.seq,
        }
    }
}
