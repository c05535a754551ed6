//! The `rig` binary: stand-ins and small experiments as processes.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    testbed::cmd::run().await
}
