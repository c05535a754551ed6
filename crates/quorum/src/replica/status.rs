//! What operators see of a group.

use serde::Serialize;
use tokio::time::Instant;
use world::MachineName;

use crate::machine::Machine;
use crate::members::{Member, Role};
use crate::message::DiskId;
use crate::replica::{NEAR_ENTRIES, Part, Replica};

/// A member as its leader sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Machine.
    pub name: MachineName,
    /// Identity of its disk, as hex.
    pub disk: String,
    /// Whether it votes.
    pub role: Role,
    /// Whether it leads.
    pub leader: bool,
    /// Committed entries that it is known to lack; only the leader knows.
    pub lag_entries: Option<u64>,
    /// Since it last answered, milliseconds; only the leader knows.
    pub heard_ms: Option<u64>,
    /// Whether it is a voter that has caught up, so that another may be lost.
    pub repaired: bool,
}

/// How a replica stands in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It follows, or waits for a leader.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

impl Standing {
    /// The standing as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::PreCandidate => "pre-candidate",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

/// A group as one of its replicas sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// Machine that tells this.
    pub me: MachineName,
    /// Identity of its disk, as hex.
    pub disk: String,
    /// Group, as the hex of its founder's disk.
    pub group: Option<String>,
    /// Term.
    pub term: u64,
    /// Machine that leads.
    pub leader: Option<MachineName>,
    /// Last committed index known here.
    pub commit: u64,
    /// Last applied index here.
    pub applied: u64,
    /// Last index covered by a snapshot here.
    pub snapshot_index: u64,
    /// Members.
    pub members: Vec<MemberStatus>,
    /// Machines of the settings that are no members.
    pub missing: Vec<MachineName>,
    /// Whether every machine of the settings is a voter that has caught up.
    pub repaired: bool,
}

impl<M: Machine> Replica<M> {
    /// How this replica stands in its term.
    #[must_use]
    pub fn standing(&self) -> Standing {
        match self.part {
            Part::Follower => Standing::Follower,
            Part::PreCandidate(_) => Standing::PreCandidate,
            Part::Candidate(_) => Standing::Candidate,
            Part::Leader(_) => Standing::Leader,
        }
    }

    /// The group as this replica sees it.
    #[must_use]
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        let rows = self.members.iter();
        let members: Vec<MemberStatus> = rows.map(|(d, m)| self.member(d, m, now)).collect();
        let names = self.settings.names.iter();
        let missing: Vec<MachineName> = names
            .filter(|n| self.members.disk_of(n).is_none())
            .cloned()
            .collect();
        let repaired = missing.is_empty() && members.iter().all(|m| m.repaired);
        ReplicaStatus {
            me: self.settings.me.clone(),
            disk: self.disk.to_string(),
            group: self.state.group.map(|g| g.to_string()),
            term: self.state.term,
            leader: self.leader().cloned(),
            commit: self.commit,
            applied: self.applied,
            snapshot_index: self.snapshot.as_ref().map_or(0, |s| s.index),
            members,
            missing,
            repaired,
        }
    }

    fn member(&self, disk: DiskId, member: &Member, now: Instant) -> MemberStatus {
        let matched = match &self.part {
            Part::Leader(_) if disk == self.disk => Some(self.output.durable_index),
            Part::Leader(leader) => leader.progress.get(&disk).map(|p| p.matched),
            _ => None,
        };
        let lag_entries = matched.map(|m| self.commit.saturating_sub(m));
        let own = (self.is_leader() && disk == self.disk).then_some(0);
        let heard_ms = own.or_else(|| self.heard_ms(disk, now));
        let election_ms = self.settings.timing.election_ms;
        let settled = self.members_index <= self.commit;
        let repaired = settled
            && member.role == Role::Voter
            && matched.is_some_and(|m| m >= self.members_index)
            && lag_entries.is_some_and(|lag| lag <= NEAR_ENTRIES)
            && heard_ms.is_some_and(|ms| ms < election_ms);
        MemberStatus {
            name: member.name.clone(),
            disk: disk.to_string(),
            role: member.role,
            leader: self.leader == Some(disk),
            lag_entries,
            heard_ms,
            repaired,
        }
    }
}
