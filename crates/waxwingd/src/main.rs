//! The `waxwingd` binary: the process of one VM of waxwingchute.

mod args;
mod check;
mod logs;
mod openapi;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    match args::parse().and_then(args::Command::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("waxwingd: {error:#}");
            ExitCode::FAILURE
        }
    }
}
