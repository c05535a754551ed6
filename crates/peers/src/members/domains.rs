//! Summaries of failure domains.

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
    /// Number that grows with each change.
    pub seq: u64,
    /// The entry VMs, in the order of delegates.
    pub vms: Vec<Arc<EntryVm>>,
}

/// What a domain can take, and what it is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainLoad {
    /// The domain.
    pub place: PlaceKey,
    /// Number that grows with each report.
    pub seq: u64,
    /// The reports of the domain's members, added up.
    pub report: Report,
}

/// A newer part of a summary.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Entry VMs.
    Roster(Arc<Roster>),
    /// Load.
    Load(Arc<DomainLoad>),
}

/// How new the summary of a domain is at some process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// The domain.
    pub place: PlaceKey,
    /// Number of the roster.
    pub roster: u64,
    /// Number of the load.
    pub load: u64,
}

#[derive(Clone, Debug)]
struct Summary {
    roster: Arc<Roster>,
    load: Arc<DomainLoad>,
    advanced_at: Option<Instant>,
}

/// The newest summaries heard of.
#[derive(Clone, Debug, Default)]
pub struct Domains {
    table: BTreeMap<PlaceKey, Summary>,
}

impl Domains {
    /// Takes in a newer part of a summary; whether it was newer.
    pub fn take(&mut self, now: Instant, update: &Update) -> bool {
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
                    summary.advanced_at = Some(now);
                }
                newer
            }
        }
    }

    /// How new every summary here is.
    #[must_use]
    pub fn heads(&self) -> Vec<Head> {
        self.table
            .iter()
            .map(|(place, summary)| summary.head(*place))
            .collect()
    }

    /// How new the summary of one domain is.
    #[must_use]
    pub fn head(&self, place: PlaceKey) -> Head {
        let none = Head {
            place,
            roster: 0,
            load: 0,
        };
        self.table.get(&place).map_or(none, |s| s.head(place))
    }

    /// What is newer here than at a process with these heads.
    #[must_use]
    pub fn newer_than(&self, heads: &[Head]) -> Vec<Update> {
        let mut updates = Vec::new();
        for (place, summary) in &self.table {
            let theirs = heads.iter().find(|h| h.place == *place);
            if summary.roster.seq > theirs.map_or(0, |h| h.roster) {
                updates.push(Update::Roster(Arc::clone(&summary.roster)));
            }
            if summary.load.seq > theirs.map_or(0, |h| h.load) {
                updates.push(Update::Load(Arc::clone(&summary.load)));
            }
        }
        updates
    }

    /// As [`Self::newer_than`], for only the domains that `wanted` names.
    #[must_use]
    pub fn newer_than_wanted(&self, wanted: &[Head]) -> Vec<Update> {
        let named = |update: &Update| {
            let place = match update {
                Update::Roster(roster) => roster.place,
                Update::Load(load) => load.place,
            };
            wanted.iter().any(|head| head.place == place)
        };
        let mut updates = self.newer_than(wanted);
        updates.retain(named);
        updates
    }

    /// Own heads of the domains that a process with `heads` knows better.
    #[must_use]
    pub fn behind(&self, heads: &[Head]) -> Vec<Head> {
        let behind = |theirs: &&Head| {
            let mine = self.head(theirs.place);
            theirs.roster > mine.roster || theirs.load > mine.load
        };
        let behind = heads.iter().filter(behind);
        behind.map(|theirs| self.head(theirs.place)).collect()
    }

    /// Domains heard of, and whether each has advanced within `silence`.
    #[must_use]
    pub fn places(&self, now: Instant, silence: Duration) -> Vec<(PlaceKey, bool)> {
        let fresh = |summary: &Summary| {
            summary
                .advanced_at
                .is_some_and(|at| now.duration_since(at) < silence)
        };
        self.table.iter().map(|(p, s)| (*p, fresh(s))).collect()
    }

    /// Entry VMs of a domain as its summary names them.
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
            advanced_at: None,
        })
    }
}

impl Summary {
    fn head(&self, place: PlaceKey) -> Head {
        Head {
            place,
            roster: self.roster.seq,
            load: self.load.seq,
        }
    }
}
