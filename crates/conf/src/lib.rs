//! Parsers of the settings file, the customer list, the plan list and the client blocks
//! (IP prefixes of clients by home domain).
//!
//! All files are JSON with comments. A parser doesn't stop at the first mistake:
//! it reports every mistake in the file with its line, column, field and the
//! expected value.

pub mod blocks;
pub mod fault;
pub mod fields;
pub mod lists;
pub mod parse;
pub mod settings;

pub use blocks::parse_blocks;
pub use fault::{Fault, Faults};
pub use lists::{parse_customers, parse_lists, parse_plans};
pub use settings::{
    ControlAddrs, EntryAddrs, LogSettings, PolicySettings, ReplicaAddr, Role, Settings,
    parse_settings,
};
