//! Entry VMs known to this one.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use world::{EntryVm, MachineName};

/// An entry VM that was not heard of for so long is left out.
pub const MEMBER_SILENCE: Duration = Duration::from_secs(3);

/// Entry VMs and when each was last heard of.
#[derive(Debug)]
pub struct Members {
    me: EntryVm,
    table: BTreeMap<MachineName, (EntryVm, Instant)>,
}

impl Members {
    /// A table with only this VM.
    #[must_use]
    pub fn new(me: EntryVm) -> Self {
        Self {
            me,
            table: BTreeMap::new(),
        }
    }

    /// Notes that a VM was heard of.
    pub fn heard(&mut self, now: Instant, vm: EntryVm) {
        if vm.name != self.me.name {
            self.table.insert(vm.name.clone(), (vm, now));
        }
    }

    /// This VM and all others heard of lately, by name.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<EntryVm> {
        let mut live: Vec<EntryVm> = self
            .table
            .values()
            .filter(|(_, heard)| now.duration_since(*heard) < MEMBER_SILENCE)
            .map(|(vm, _)| vm.clone())
            .collect();
        live.push(self.me.clone());
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }
}
