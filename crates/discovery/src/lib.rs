//! Who is there: backend servers, entry VMs and control VMs as they announce
//! themselves, spread between control VMs as soft state.
//!
//! Rows carry the start and a number that grows with each announcement, so
//! rows that arrive late, twice or by another way change nothing. Nothing here
//! is durable: after a restart the table fills from the next announcements.

pub mod row;
pub mod table;

pub use row::{ControlRow, EntryRow, Key, News, Row, ServerRow};
pub use table::{Roster, RosterSettings, StandIns};
