//! Log entries and the messages between replicas.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use world::MachineName;

use crate::members::Members;
use crate::record::Snapshot;

/// Random identity of a disk, generated when a replica first starts on it.
///
/// Members are addressed and counted by this identity, not by machine name: a
/// replica that lost its disk has a new identity and no vote, since it no
/// longer knows which votes and entries it has acknowledged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// No content. A new leader appends it to commit the entries of earlier terms.
    Noop,
    /// A command for the state machine.
    Command(Arc<[u8]>),
    /// A change of members, in effect as soon as the entry is in the log.
    Members(Members),
}

impl Payload {
    /// Length of the command in bytes; 0 for other payloads.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Noop | Self::Members(_) => 0,
        }
    }

    /// The new members, if this payload changes them.
    #[must_use]
    pub fn members(&self) -> Option<&Members> {
        match self {
            Self::Members(members) => Some(members),
            Self::Noop | Self::Command(_) => None,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// A replica as the sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Identity of its disk.
    pub disk: DiskId,
    /// Name of its machine.
    pub name: MachineName,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Group of the sender, named by the disk that bootstrapped it; `None`
    /// before the sender has joined a group.
    pub group: Option<DiskId>,
    /// Replica that sent the message.
    pub from: Peer,
    /// Disk that the message is addressed to; `None`: whatever disk the machine
    /// has. A replica on another disk ignores the message.
    pub to: Option<DiskId>,
    /// Machine that receives the message.
    pub to_name: MachineName,
    /// Current term of the sender.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks to be admitted to the group; from the bootstrap machine, asks for
    /// consent to the bootstrap. Sent by a replica on a new disk, and in an open
    /// group also by a replica that has lost contact with the leader.
    Hello,
    /// The sender, on a new disk, agrees to be an initial member of the group
    /// that the receiver bootstraps.
    #[serde(rename = "Pledge")]
    BootstrapConsent,
    /// Asks whether the receiver would vote for the sender in the given term.
    /// Changes no term and no vote.
    PreVote(VoteRequest),
    /// Response to a pre-vote request.
    PreVoteReply(VoteReply),
    /// Requests a vote in the given term (Raft's `RequestVote`).
    Vote(VoteRequest),
    /// Response to a vote request.
    VoteReply(VoteReply),
    /// Entries or a heartbeat from the leader (Raft's `AppendEntries`).
    Append(Append),
    /// A snapshot from the leader, for a replica whose next entries are already
    /// compacted (Raft's `InstallSnapshot`).
    Install(Install),
    /// Response to `Append` and to `Install`.
    AppendReply(AppendReply),
}

/// A request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteRequest {
    /// Term in which the candidate would be leader.
    pub for_term: u64,
    /// Index of the last entry in the candidate's log.
    pub last_index: u64,
    /// Term of the last entry in the candidate's log.
    pub last_term: u64,
}

/// Response to a request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteReply {
    /// Term of the request.
    pub for_term: u64,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries to append; without entries, a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// Number of the leader's current round, echoed in the response.
    pub round: u64,
    /// Whether the receiver is a learner.
    pub to_learner: bool,
    /// Index of the entry directly before `entries`.
    pub prev_index: u64,
    /// Term of the entry at `prev_index`.
    pub prev_term: u64,
    /// Consecutive entries, the first at `prev_index + 1`.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: u64,
}

/// A whole snapshot in one message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Install {
    /// Number of the leader's current round, echoed in the response.
    pub round: u64,
    /// Whether the receiver is a learner.
    pub to_learner: bool,
    /// The snapshot to install.
    pub snapshot: Arc<Snapshot>,
}

/// Response to an `Append` or `Install`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReply {
    /// Round of the message that is acknowledged; 0 if the message was of an old term.
    pub round: u64,
    /// Whether the entries matched the log of the replica that responds, and are durable
    /// on its disk.
    pub fits: bool,
    /// If `fits`, the last index known to match the leader's log; otherwise the
    /// index after which the leader should retry.
    pub index: u64,
}
