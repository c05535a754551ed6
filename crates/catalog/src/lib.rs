//! The catalog of a site: routes, services and limits as items that are versioned one
//! by one, evacuated failure domains, and leaving backend servers.
//!
//! [`Catalog`] is the state machine that the control VMs replicate. Every row holds
//! the log index of the command that set it. A reader therefore fetches only the rows
//! after its own position, in pieces of bounded size, and can merge rows of any replica.

pub mod command;
pub mod item;
pub mod piece;
pub mod position;
pub mod state;
pub mod table;

pub use command::{Command, Patch, Removal};
pub use item::{Body, Item, ItemKey};
pub use piece::Piece;
pub use position::{Position, RowKey};
pub use state::{Catalog, Fact, Row};
pub use table::Table;
