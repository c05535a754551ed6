//! Checks of the simulation: invariants of the group, and outcomes reported to
//! its clients.

use std::collections::{BTreeMap, BTreeSet};

use quorum::{DiskId, Done, Outcome};
use world::ErrorKind;

use super::{ClientOutcome, DiskState, Read, Sim};

impl Sim {
    /// Records the outcome that a replica returned; checks a completed read.
    pub(super) fn record_outcome(&mut self, at: usize, disk: DiskId, outcome: Outcome<usize>) {
        let key = (disk, outcome.ticket);
        if let Some(read) = self.reads.remove(&key) {
            if let Ok(Done::Read(_)) = outcome.result {
                self.check_read(at, &read);
            }
            return;
        }
        let Some(number) = self.waiting.remove(&key) else {
            return;
        };
        let client_outcome = match outcome.result {
            Ok(_) => ClientOutcome::Accepted,
            Err(e) if e.kind == ErrorKind::NotLeader => ClientOutcome::NotAccepted,
            Err(_) => ClientOutcome::Unknown,
        };
        self.commands.insert(number, client_outcome);
    }

    /// A read must observe all commands accepted before it began.
    fn check_read(&mut self, at: usize, read: &Read) {
        self.reads_done += 1;
        let journal = self.journal(at);
        let seen: BTreeSet<u64> = journal.0.iter().map(|(_, n)| *n).collect();
        for number in &read.accepted_before {
            assert!(
                seen.contains(number),
                "a read doesn't observe accepted command {number}"
            );
        }
    }

    /// Checks that each term has at most one leader, and that all replicas apply
    /// the same command at each index.
    pub(super) fn check(&mut self) {
        for node in &mut self.nodes {
            let Some(replica) = &node.replica else {
                continue;
            };
            let disk = replica.disk();
            if replica.is_leader() && node.disk_state != DiskState::Failed {
                let term = replica.status(self.now).term;
                let first = *self.leaders.entry(term).or_insert(disk);
                assert_eq!(first, disk, "two leaders in term {term}");
            }
            let journal = &replica.state_machine().0;
            for (index, number) in &journal[node.checked.min(journal.len())..] {
                let first = *self.applied.entry(*index).or_insert(*number);
                assert_eq!(first, *number, "replicas differ at index {index}");
            }
            node.checked = journal.len();
        }
    }

    /// Ends all faults, waits until all replicas agree, and checks the outcomes: an
    /// accepted command was applied once, a rejected one never, and one with an
    /// unknown outcome at most once.
    pub fn heal_and_check(&mut self) {
        self.blocked_links.clear();
        (self.loss_rate, self.duplicate_rate) = (0.0, 0.0);
        for at in 0..self.nodes.len() {
            self.nodes[at].frozen = false;
            self.empty_disk(at);
            self.nodes[at].crash_at_sync = None;
            if self.nodes[at].replica.is_none() {
                self.start(at);
            }
        }
        self.run_until("all replicas agree", 60_000, Self::agrees);
        self.check_outcomes(0);
    }

    /// Checks the outcomes of all commands against those that a replica has applied.
    pub fn check_outcomes(&self, at: usize) {
        let journal = self.journal(at);
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, number) in &journal.0 {
            *counts.entry(*number).or_default() += 1;
        }
        for (number, client_outcome) in &self.commands {
            let count = counts.get(number).copied().unwrap_or(0);
            match client_outcome {
                ClientOutcome::Accepted => {
                    assert_eq!(
                        count, 1,
                        "accepted command {number} was lost or applied twice"
                    );
                }
                ClientOutcome::NotAccepted => {
                    assert_eq!(count, 0, "rejected command {number} was applied");
                }
                ClientOutcome::Waiting | ClientOutcome::Unknown => {
                    assert!(count <= 1, "command {number} was applied twice");
                }
            }
        }
    }

    /// Whether the leader reports the group as repaired, with the current disks as
    /// members.
    pub fn repaired(&self) -> bool {
        let Some(status) = self.leader().and_then(|at| self.status(at)) else {
            return false;
        };
        let present = |disk: &str| {
            let mut nodes = self.nodes.iter();
            nodes.any(|n| n.disk.disk.to_string() == disk)
        };
        status.repaired && status.members.iter().all(|m| present(&m.disk))
    }

    /// Whether all replicas have applied all committed commands, and every member is
    /// a voter that has caught up.
    pub fn agrees(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.status(leader).expect("running");
        let caught_up = |at: usize| {
            let other = self.status(at).expect("running");
            other.applied == status.commit && self.journal(at) == self.journal(leader)
        };
        status.repaired
            && status.members.iter().all(|m| m.lag_entries == Some(0))
            && (0..self.nodes.len()).all(caught_up)
    }
}
