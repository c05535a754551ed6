//! Command line of `rig`; each subcommand has a file of its own.

mod backend;
mod measure;
mod relay;
mod site;

use std::process::ExitCode;

use anyhow::Context;
use lexopt::prelude::*;

/// Exit code after wrong usage.
const USAGE_EXIT_CODE: u8 = 2;

const HELP: &str = "\
Stand-ins for tests of waxwingchute

Usage: rig <COMMAND> [OPTIONS]

Commands:
  backend  Run a stand-in backend server
  measure  Run scenarios on a site and print the measures
  relay    Run a TCP relay with a delay
  site     Start a small site, send requests of each class, print the result

`rig <COMMAND> --help` tells more.
";

/// Parses the command line, runs the subcommand and returns the exit code.
pub async fn run() -> ExitCode {
    if let Err(e) = start_log() {
        eprintln!("rig: {e:#}");
    }
    match dispatch().await {
        Ok(code) => code,
        Err(e) => {
            eprintln!("rig: {e:#}");
            match e.downcast_ref::<lexopt::Error>() {
                Some(_) => ExitCode::from(USAGE_EXIT_CODE),
                None => ExitCode::FAILURE,
            }
        }
    }
}

async fn dispatch() -> anyhow::Result<ExitCode> {
    let mut args = lexopt::Parser::from_env();
    let Some(command) = args.next()? else {
        print!("{HELP}");
        return Ok(ExitCode::from(USAGE_EXIT_CODE));
    };
    match command {
        Value(name) if name == "backend" => backend::run(args).await,
        Value(name) if name == "measure" => measure::run(args).await,
        Value(name) if name == "relay" => relay::run(args).await,
        Value(name) if name == "site" => site::run(args).await,
        Short('h') | Long("help") => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        other => Err(other.unexpected().into()),
    }
}

fn start_log() -> anyhow::Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level();
            let target = record.target();
            out.finish(format_args!("{level} {target}: {message}"));
        })
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()
        .context("could not start the log")
}
