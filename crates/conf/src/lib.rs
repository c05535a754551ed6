//! Settings files and the two lists: JSON with comments, checked at start.
//!
//! A check goes through the whole file and names every mistake with its line,
//! column, field and what was expected.

pub mod blocks;
pub mod fault;
pub mod fields;
pub mod lists;
pub mod settings;
pub mod source;

pub use blocks::parse_blocks;
pub use fault::{Fault, Faults};
pub use lists::{parse_customers, parse_lists, parse_plans};
pub use settings::{
    Addrs, ControlAddrs, LogSettings, PolicySettings, ReplicaAddr, Role, Settings, parse_settings,
};
