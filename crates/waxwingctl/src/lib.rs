//! Implementation of `waxwingctl`, the operators' command-line tool, as a library
//! that is also used by tests and experiments.

pub mod cmd;
pub mod control;
pub mod failure;
pub mod http;
pub mod load;
pub mod table;
