//! The catalog of a site: routes, services and limits as items with versions
//! of their own, evacuated failure domains, and backend servers that leave.
//!
//! [`Catalog`] is the state machine that the control replicas agree on. Every
//! row knows the index of the command that set it, so a reader that is behind
//! gets just the rows after its own index, and merges rows from any replica.

pub mod command;
pub mod item;
pub mod state;
pub mod table;

pub use command::{Command, Patch, Removal};
pub use item::{Body, Item, ItemKey};
pub use state::{Catalog, Fact, Row};
pub use table::Table;
