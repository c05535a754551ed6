//! The control role: keeps the configuration on a disk and gives it out.

pub mod courier;
pub mod desk;
pub mod group;
pub mod keeper;
<<<<<<< HEAD
pub mod registry;
=======
pub mod ledger;
>>>>>>> main
pub mod serve;
pub mod start;

pub use group::{Courier, Group};
pub use keeper::Keeper;
pub use registry::Registry;
pub use start::{Control, start};
