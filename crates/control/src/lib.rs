//! The control role: keeps configuration and ledger on disks and gives them out.

pub mod courier;
pub mod desk;
pub mod group;
pub mod keeper;
pub mod ledger;
pub mod registry;
pub mod serve;
pub mod start;

pub use group::{Courier, Group};
pub use keeper::Keeper;
pub use registry::Registry;
pub use start::{Control, start};
