//! Test support: a stand-in backend server, a TCP relay, a process harness and
//! load scenarios.
//!
//! Nothing in this crate ships. It uses the system only through its network
//! interfaces and command lines.

pub mod cmd;
pub mod history;
pub mod measure;
pub mod process;
pub mod relay;
pub mod server;
pub mod site;
pub mod versions;
