//! Replicated log: agreement between the replicas of a group on one sequence of commands.
//!
//! [`Replica`] holds the decisions. It knows no sockets, no files and no
//! encoding: messages, ticks, proposals and finished writes go in, messages,
//! records to store and outcomes come out. [`Disk`] is the durable side, with
//! [`FileDisk`] as its implementation. [`Machine`] is the state that the
//! commands change.

pub mod disk;
pub mod file;
mod frame;
pub mod log;
pub mod machine;
pub mod members;
pub mod message;
pub mod record;
pub mod replica;
pub mod settings;

pub use disk::Disk;
pub use file::FileDisk;
pub use machine::Machine;
pub use members::{Member, Members, Role};
pub use message::{Body, DiskId, Entry, Envelope, Payload};
pub use record::{HardState, Record, Snapshot, Stored};
pub use replica::{Batch, Done, MemberStatus, Outcome, Replica, ReplicaStatus, Standing, Ticket};
pub use settings::{OpenMembership, Settings, Timing};
