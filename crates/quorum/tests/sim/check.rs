//! What must hold of a simulated group, and what its clients heard.

use std::collections::{BTreeMap, BTreeSet};

use quorum::{DiskId, Done, Outcome};
use world::Kind;

use super::{Heard, Read, Sim};

impl Sim {
    pub(super) fn hear(&mut self, at: usize, disk: DiskId, outcome: Outcome<usize>) {
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
        let heard = match outcome.result {
            Ok(_) => Heard::Accepted,
            Err(e) if e.kind == Kind::NotLeader => Heard::NotAccepted,
            Err(_) => Heard::Unknown,
        };
        self.commands.insert(number, heard);
    }

    fn check_read(&mut self, at: usize, read: &Read) {
        self.reads_done += 1;
        let journal = self.journal(at);
        let seen: BTreeSet<u64> = journal.0.iter().map(|(_, n)| *n).collect();
        for number in &read.acked_before {
            assert!(seen.contains(number), "a read misses accepted {number}");
        }
    }

    /// One leader for each term, and one sequence of commands.
    pub(super) fn check(&mut self) {
        for node in &mut self.nodes {
            let Some(replica) = &node.replica else {
                continue;
            };
            let disk = replica.disk();
            if replica.is_leader() {
                let term = replica.status(self.now).term;
                let first = *self.leaders.entry(term).or_insert(disk);
                assert_eq!(first, disk, "two leaders in term {term}");
            }
            let journal = &replica.machine().0;
            for (index, number) in &journal[node.checked.min(journal.len())..] {
                let first = *self.applied.entry(*index).or_insert(*number);
                assert_eq!(first, *number, "replicas differ at index {index}");
            }
            node.checked = journal.len();
        }
    }

    /// Ends all faults, waits for everyone to agree and checks what clients heard.
    pub fn settle(&mut self) {
        self.cut.clear();
        (self.loss, self.duplicate) = (0.0, 0.0);
        for at in 0..self.nodes.len() {
            self.nodes[at].frozen = false;
            self.nodes[at].crash_at_sync = None;
            if self.nodes[at].replica.is_none() {
                self.start(at);
            }
        }
        self.until("everyone agrees", 60_000, Self::agrees);
        let journal = self.journal(0).clone();
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, number) in &journal.0 {
            *counts.entry(*number).or_default() += 1;
        }
        for (number, heard) in &self.commands {
            let count = counts.get(number).copied().unwrap_or(0);
            match heard {
                Heard::Accepted => assert_eq!(count, 1, "accepted {number} was lost or doubled"),
                Heard::NotAccepted => assert_eq!(count, 0, "refused {number} was applied"),
                Heard::Waiting | Heard::Unknown => assert!(count <= 1, "{number} was doubled"),
            }
        }
    }

    /// Whether the leader says so, of the disks that there are now.
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
