//! Members of a group, by the identity of their disks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::MachineName;

use crate::message::DiskId;

/// Most members with a vote.
pub const VOTERS_MAX: usize = 9;

/// What a member may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Votes, and counts towards a majority.
    Voter,
    /// Gets the log and does not count.
    Learner,
}

/// One member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its machine.
    pub name: MachineName,
    /// What it may do.
    pub role: Role,
}

/// All members of a group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Members(BTreeMap<DiskId, Member>);

impl Members {
    /// Members that all vote.
    #[must_use]
    pub fn new(voters: impl IntoIterator<Item = (DiskId, MachineName)>) -> Self {
        let voter = |(disk, name)| {
            let role = Role::Voter;
            (disk, Member { name, role })
        };
        Self(voters.into_iter().map(voter).collect())
    }

    /// The same with `disk` as a member.
    #[must_use]
    pub fn with_member(&self, disk: DiskId, name: MachineName, role: Role) -> Self {
        let mut next = self.clone();
        next.0.insert(disk, Member { name, role });
        next
    }

    /// The same without `disk`.
    #[must_use]
    pub fn without(&self, disk: DiskId) -> Self {
        let mut next = self.clone();
        next.0.remove(&disk);
        next
    }

    /// The member with this disk.
    #[must_use]
    pub fn get(&self, disk: DiskId) -> Option<&Member> {
        self.0.get(&disk)
    }

    /// The disk that stands under a machine's name.
    #[must_use]
    pub fn disk_of(&self, name: &MachineName) -> Option<DiskId> {
        let found = self.0.iter().find(|(_, m)| m.name == *name);
        found.map(|(disk, _)| *disk)
    }

    /// Whether `disk` has a vote.
    #[must_use]
    pub fn votes(&self, disk: DiskId) -> bool {
        self.get(disk).is_some_and(|m| m.role == Role::Voter)
    }

    /// All members in the order of their disks.
    pub fn iter(&self) -> impl Iterator<Item = (DiskId, &Member)> {
        self.0.iter().map(|(disk, member)| (*disk, member))
    }

    /// Disks with a vote.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> {
        let votes = |(_, m): &(DiskId, &Member)| m.role == Role::Voter;
        self.iter().filter(votes).map(|(disk, _)| disk)
    }

    /// The greatest value that a majority of voters has reached; 0 without voters.
    pub fn agreed(&self, value: impl Fn(DiskId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// Whether a majority of voters fulfils `test`.
    pub fn majority(&self, test: impl Fn(DiskId) -> bool) -> bool {
        self.agreed(|disk| u64::from(test(disk))) == 1
    }
}
