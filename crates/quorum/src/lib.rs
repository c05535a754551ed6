//! Replicated log in the manner of Raft: the replicas of a group agree on one
//! sequence of commands.
//!
//! [`Replica`] implements the protocol without sockets, files or encoding. Its
//! inputs are messages, ticks, proposals and completed writes; its outputs are
//! messages, records to store and outcomes. [`Disk`] stores the records, and
//! [`FileDisk`] implements it. [`StateMachine`] is the state machine that applies
//! the committed commands.

pub mod disk;
pub mod file;
mod frame;
pub mod log;
pub mod members;
pub mod message;
pub mod record;
pub mod replica;
pub mod settings;
pub mod state_machine;

pub use disk::Disk;
pub use file::FileDisk;
pub use members::{Member, Members, Role};
pub use message::{Body, DiskId, Entry, Envelope, Payload};
pub use record::{HardState, Record, Snapshot, Stored};
pub use replica::{
    Batch, Done, ElectionState, MemberStatus, Outcome, Replica, ReplicaStatus, Ticket,
};
pub use settings::{OpenMembership, Settings, Timing};
pub use state_machine::StateMachine;
