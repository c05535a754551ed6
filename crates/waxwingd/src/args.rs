//! Command line of `waxwingd`.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use lexopt::prelude::{Long, Short, Value, ValueExt};

use crate::openapi::{self, Api};
use crate::{check, run};

const HELP: &str = "\
waxwingd: one VM of the waxwingchute traffic steering system

Usage: waxwingd [--check] SETTINGS
       waxwingd --openapi control|entry

Arguments:
  SETTINGS   settings of this VM, JSON with comments

Options:
  --check          check the settings and end
  --openapi DESK   print the OpenAPI document of a desk and end
  --help           show this text
  --version        show the version

Once it serves, it prints one line of JSON with its addresses.
SIGTERM: ends what was accepted, then stops; a second one stops at once.";

/// Action requested on the command line.
pub enum Command {
    /// Check the settings file.
    Check(PathBuf),
    /// Print the help.
    Help,
    /// Print the OpenAPI document of an API.
    OpenApi(Api),
    /// Serve with this settings file.
    Run(PathBuf),
    /// Print the version.
    Version,
}

/// Parses the command line of this process.
pub fn parse() -> Result<Command> {
    let mut parser = lexopt::Parser::from_env();
    let mut only_check = false;
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("check") => only_check = true,
            Long("openapi") => return Ok(Command::OpenApi(parser.value()?.parse()?)),
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(path) if settings.is_none() => settings = Some(PathBuf::from(path)),
            other => bail!("{}; see waxwingd --help", other.unexpected()),
        }
    }
    let settings = settings.context("no settings file given; see waxwingd --help")?;
    if only_check {
        return Ok(Command::Check(settings));
    }
    Ok(Command::Run(settings))
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> Result<()> {
        match self {
            Self::Check(path) => return check::run(&path),
            Self::Help => println!("{HELP}"),
            Self::OpenApi(api) => return openapi::run(api),
            Self::Run(path) => return run::run(&path),
            Self::Version => println!("waxwingd {}", env!("CARGO_PKG_VERSION")),
        }
        Ok(())
    }
}
