//! Service discovery: a registry of the backend servers, entry VMs and control
//! VMs that announce themselves. Each control VM passes on what was announced to it.
//!
//! A row carries its process's start time and a sequence number that grows with
//! each announcement, so a row that arrives late, twice or over another path
//! changes nothing. Findings of entry VMs spread in the same way. The registry itself
//! stores nothing on disk: after a restart it fills up from the next announcements.

pub mod changes;
pub mod finding;
pub mod near;
mod record;
pub mod registry;
pub mod row;

pub use changes::Changes;
pub use finding::{Departure, Finding, FindingKey, ServerLimit};
pub use near::SubstituteScope;
pub use record::Origin;
pub use registry::{Registry, RegistrySettings};
pub use row::{ControlRow, EntryRow, Key, Row, ServerRow, Update};
