//! The operators' tool, as a library that tests and experiments use too.

pub mod cmd;
pub mod control;
pub mod failure;
pub mod http;
pub mod load;
pub mod table;
