//! Status of a group, as operators see it.

use serde::Serialize;
use tokio::time::Instant;
use world::MachineName;

use crate::members::{Member, Role};
use crate::message::DiskId;
use crate::replica::{CAUGHT_UP_LAG_ENTRIES, Election, Replica};
use crate::state_machine::StateMachine;

/// Status of a member. Only the leader knows the progress of the others.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Name of its machine.
    pub name: MachineName,
    /// Identity of its disk, as hex.
    pub disk: String,
    /// Voter or learner.
    pub role: Role,
    /// Whether it is the leader.
    pub leader: bool,
    /// Number of committed entries that the member may still lack; `None` on a
    /// replica that isn't the leader.
    pub lag_entries: Option<u64>,
    /// Time since the start of the latest round that the member has responded to,
    /// in milliseconds; `None` on a replica that isn't the leader.
    pub heard_ms: Option<u64>,
    /// Whether it is a voter that responds and has caught up, so that another disk may
    /// be lost without losing a committed entry; false on a replica that isn't the leader.
    pub repaired: bool,
}

/// State of a replica in the election of its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionState {
    /// Follows a leader, or waits for one.
    Follower,
    /// Has started a pre-vote.
    PreCandidate,
    /// Has requested votes.
    Candidate,
    /// Is the leader.
    Leader,
}

impl ElectionState {
    /// Name of the state, as written to the log.
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

/// Status of a group, as one of its replicas knows it.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// Machine of the replica that reports this status.
    pub me: MachineName,
    /// Identity of that replica's disk, as hex.
    pub disk: String,
    /// Identity of the disk that bootstrapped the group, as hex; `None` before this
    /// replica has joined a group.
    pub group: Option<String>,
    /// Current term of this replica.
    pub term: u64,
    /// Machine of the leader, if it is known.
    pub leader: Option<MachineName>,
    /// Commit index, as far as this replica knows.
    pub commit: u64,
    /// Index of the last entry that this replica has applied.
    pub applied: u64,
    /// Last index covered by this replica's snapshot; 0 without a snapshot.
    pub snapshot_index: u64,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
    /// Machines of the settings that are not members.
    pub missing: Vec<MachineName>,
    /// Whether all machines of the settings are members, and every member is a
    /// voter that responds and has caught up.
    pub repaired: bool,
}

impl<M: StateMachine> Replica<M> {
    /// State of this replica in the election of its term.
    #[must_use]
    pub fn election_state(&self) -> ElectionState {
        match self.election {
            Election::Follower => ElectionState::Follower,
            Election::PreCandidate(_) => ElectionState::PreCandidate,
            Election::Candidate(_) => ElectionState::Candidate,
            Election::Leader(_) => ElectionState::Leader,
        }
    }

    /// Length of the commands that the log holds in memory, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.len_bytes()
    }

    /// Returns the status of the group, as this replica knows it.
    #[must_use]
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        let entries = self.members.iter();
        let members: Vec<MemberStatus> = entries
            .map(|(d, m)| self.member_status(d, m, now))
            .collect();
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

    fn member_status(&self, disk: DiskId, member: &Member, now: Instant) -> MemberStatus {
        let match_index = match &self.election {
            Election::Leader(_) if disk == self.disk => Some(self.output.durable_index),
            Election::Leader(leader) => leader.progress.get(&disk).map(|p| p.match_index),
            _ => None,
        };
        let lag_entries = match_index.map(|m| self.commit.saturating_sub(m));
        let own_contact_ms = (self.is_leader() && disk == self.disk).then_some(0);
        let heard_ms = own_contact_ms.or_else(|| self.last_contact_ms(disk, now));
        let election_ms = self.settings.timing.election_ms;
        let members_committed = self.members_index <= self.commit;
        let repaired = members_committed
            && member.role == Role::Voter
            && match_index.is_some_and(|m| m >= self.members_index)
            && lag_entries.is_some_and(|lag| lag <= CAUGHT_UP_LAG_ENTRIES)
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
