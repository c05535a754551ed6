//! Messages between replicas, as plain types.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use world::MachineName;

use crate::members::Members;
use crate::record::Snapshot;

/// Identity of a disk, drawn when a replica first starts on it.
///
/// Replicas address and count each other by it: a replica that lost its disk
/// has another identity and none of the old one's votes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What an entry of the log holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Nothing; a new leader commits the entries before it with this.
    Noop,
    /// A command for the state machine.
    Command(Arc<[u8]>),
    /// The members from here on.
    Members(Members),
}

impl Payload {
    /// Length of its command in bytes.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Noop | Self::Members(_) => 0,
        }
    }

    /// The members that it sets.
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
    /// Position, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// What it holds.
    pub payload: Payload,
}

/// A replica as the sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Its disk.
    pub disk: DiskId,
    /// Its machine.
    pub name: MachineName,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Group that the sender belongs to: the disk of its founder.
    pub group: Option<DiskId>,
    /// Sender.
    pub from: Peer,
    /// Disk that the message is meant for; `None`: whichever the machine has.
    pub to: Option<DiskId>,
    /// Machine that the message goes to.
    pub to_name: MachineName,
    /// Term of the sender.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// The sender's disk is new and belongs to no group.
    Hello,
    /// The receiver's founder may count on the sender's new disk.
    Pledge,
    /// Would the receiver vote for the sender in this term?
    PreVote(VoteRequest),
    /// Answer to a pre-vote.
    PreVoteReply(VoteReply),
    /// The sender asks for a vote in this term.
    Vote(VoteRequest),
    /// Answer to a vote request.
    VoteReply(VoteReply),
    /// The leader's entries and heartbeat.
    Append(Append),
    /// The leader's snapshot, for a replica whose next entries are compacted.
    Install(Install),
    /// Answer to either.
    AppendReply(AppendReply),
}

/// A request for a vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteRequest {
    /// Term that the candidate wants to lead.
    pub for_term: u64,
    /// Last index of the candidate's log.
    pub last_index: u64,
    /// Term of its last entry.
    pub last_term: u64,
}

/// An answer to a request for a vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteReply {
    /// Term that was asked for.
    pub for_term: u64,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Entries and heartbeat of a leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Append {
    /// Number of the leader's round, echoed in the answer.
    pub round: u64,
    /// Whether the receiver is a learner.
    pub to_learner: bool,
    /// Index just before the entries.
    pub prev_index: u64,
    /// Term at that index.
    pub prev_term: u64,
    /// Entries, in order.
    pub entries: Vec<Entry>,
    /// Last index that the leader knows to be committed.
    pub commit: u64,
}

/// A snapshot in one transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Install {
    /// Number of the leader's round, echoed in the answer.
    pub round: u64,
    /// Whether the receiver is a learner.
    pub to_learner: bool,
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
}

/// An answer to a leader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReply {
    /// Round that is answered.
    pub round: u64,
    /// Whether the entries fit the sender's log and are on its disk.
    pub fits: bool,
    /// Where it fits, the last index known to match; otherwise the index to go on after.
    pub index: u64,
}
