//! Members of a group, keyed by the identity of their disks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::MachineName;

use crate::message::DiskId;

/// Maximum number of voters; further members remain learners.
pub const VOTERS_MAX: usize = 9;

/// Whether a member votes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Votes in elections and counts towards the majority for commits.
    Voter,
    /// Receives the log but doesn't count towards majorities.
    Learner,
}

/// A replica that belongs to a group, as the group's members entry lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of its machine.
    pub name: MachineName,
    /// Voter or learner.
    pub role: Role,
}

/// The members of a group by disk.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Members(BTreeMap<DiskId, Member>);

impl Members {
    /// Creates a group of voters.
    #[must_use]
    pub fn new(voters: impl IntoIterator<Item = (DiskId, MachineName)>) -> Self {
        let voter = |(disk, name)| {
            let role = Role::Voter;
            (disk, Member { name, role })
        };
        Self(voters.into_iter().map(voter).collect())
    }

    /// Returns a copy with `disk` added, or its name and role replaced.
    #[must_use]
    pub fn with_member(&self, disk: DiskId, name: MachineName, role: Role) -> Self {
        let mut next = self.clone();
        next.0.insert(disk, Member { name, role });
        next
    }

    /// Returns a copy without `disk`.
    #[must_use]
    pub fn without(&self, disk: DiskId) -> Self {
        let mut next = self.clone();
        next.0.remove(&disk);
        next
    }

    /// Returns the member with this disk.
    #[must_use]
    pub fn get(&self, disk: DiskId) -> Option<&Member> {
        self.0.get(&disk)
    }

    /// Returns the disk of the member on the machine `name`.
    #[must_use]
    pub fn disk_of(&self, name: &MachineName) -> Option<DiskId> {
        let found = self.0.iter().find(|(_, m)| m.name == *name);
        found.map(|(disk, _)| *disk)
    }

    /// Whether `disk` belongs to a voter.
    #[must_use]
    pub fn is_voter(&self, disk: DiskId) -> bool {
        self.get(disk).is_some_and(|m| m.role == Role::Voter)
    }

    /// Iterates over all members in the order of their disks.
    pub fn iter(&self) -> impl Iterator<Item = (DiskId, &Member)> {
        self.0.iter().map(|(disk, member)| (*disk, member))
    }

    /// Iterates over the disks of the voters, in order.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> {
        let is_voter = |(_, m): &(DiskId, &Member)| m.role == Role::Voter;
        self.iter().filter(is_voter).map(|(disk, _)| disk)
    }

    /// Returns the greatest value that a majority of voters has reached: the
    /// median, the lower one of an even number. Returns 0 without voters.
    pub fn majority_value(&self, value: impl Fn(DiskId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// Whether `test` holds for a majority of voters; false without voters.
    pub fn has_majority(&self, test: impl Fn(DiskId) -> bool) -> bool {
        self.majority_value(|disk| u64::from(test(disk))) == 1
    }
}
