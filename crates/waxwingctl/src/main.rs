//! The `waxwingctl` binary: the operators' tool.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    waxwingctl::cmd::run().await
}
