//! Subcommands of `waxwingctl`, one file each.

mod apply;
mod check;
mod drain;
mod load;
mod options;
mod show;
mod status;

use std::process::ExitCode;

use lexopt::prelude::*;

use crate::failure::Failure;

const HELP: &str = "\
Operate waxwingchute

Usage: waxwingctl <COMMAND> [OPTIONS]

Commands:
  check    Check settings files and lists, naming every mistake
  apply    Put new lists in force
  show     Show the configuration in force
  drain    Announce that something is leaving
  undrain  End an announced drain
  status   Show the machines and the versions they have
  load     Send requests at a set rate and measure the answers

`waxwingctl <COMMAND> --help` tells more.

Exit codes: 0 done; 1 refused or mistakes found; 2 wrong usage; 3 someone
else's change came first; 4 nobody reached, nothing changed; 5 outcome not
known; 6 accepted, not in force everywhere yet.
";

/// Result of a subcommand.
type Outcome = Result<(), Failure>;

/// Parses the command line and runs the subcommand that it names.
pub async fn run() -> ExitCode {
    start_log();
    let mut args = lexopt::Parser::from_env();
    let command = match args.next() {
        Ok(Some(Value(name))) => name.to_string_lossy().into_owned(),
        Ok(Some(Short('h') | Long("help"))) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Some(Short('V') | Long("version"))) => {
            println!("waxwingctl {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Ok(Some(other)) => return report("", &Failure::usage(other.unexpected(), "")),
        Ok(None) => return report("", &Failure::usage("no command was named", "")),
        Err(e) => return report("", &Failure::usage(e, "")),
    };
    match dispatch(&command, args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => report(&command, &failure),
    }
}

async fn dispatch(command: &str, args: lexopt::Parser) -> Outcome {
    match command {
        "check" => check::run(args),
        "apply" => apply::run(args).await,
        "show" => show::run(args).await,
        "drain" => drain::run(args, drain::Operation::Drain).await,
        "undrain" => drain::run(args, drain::Operation::Undrain).await,
        "status" => status::run(args).await,
        "load" => load::run(args).await,
        other => Err(Failure::usage(format!("no command {other:?}"), "")),
    }
}

/// Prints a failure on standard error and returns its exit code.
fn report(command: &str, failure: &Failure) -> ExitCode {
    let name = format!("waxwingctl {command}");
    // Without a subcommand the advice has two spaces after `waxwingctl`.
    let next = failure.next.replace("waxwingctl  ", "waxwingctl ");
    eprintln!("{}: {}\nnext: {next}", name.trim_end(), failure.text);
    failure.exit_code()
}

fn start_log() {
    let log = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .chain(std::io::stderr());
    // Fails if the process already has a logger, which then stays in use.
    let _ = log.apply();
}

/// Prints a value as JSON on standard output.
fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("could not write JSON: {e}"),
    }
}
