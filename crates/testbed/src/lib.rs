//! Stand-ins for tests: a backend server, a relay, and a harness for processes.
//!
//! Nothing here ships. The stand-ins meet the system at its interfaces only.

pub mod cmd;
pub mod history;
pub mod measure;
pub mod process;
pub mod relay;
pub mod server;
pub mod site;
pub mod versions;
