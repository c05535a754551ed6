//! The control role: keeps the configuration on a disk and gives it out.

pub mod desk;
pub mod keeper;
pub mod ledger;
pub mod serve;
pub mod start;

pub use keeper::Keeper;
pub use start::{Control, start};
