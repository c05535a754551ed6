//! The `rig` binary: runs the stand-in backend server, the relay and the load
//! scenarios as processes.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    testbed::cmd::run().await
}
