//! The `waxwingctl` binary: the operators' command-line tool.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    waxwingctl::cmd::run().await
}
