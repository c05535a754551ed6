//! Options shared by several subcommands.

use std::fs;
use std::net::SocketAddr;

use lexopt::Arg;
use lexopt::prelude::*;
use rand::RngExt;
use world::ChangeId;

use crate::control::ControlClient;
use crate::failure::{Failure, FailureKind};

/// Shared options: addresses of control VMs and entry VMs, the key file and the
/// output format.
#[derive(Debug)]
pub struct Options {
    command: &'static str,
    control_addrs: Vec<SocketAddr>,
    key_file: Option<String>,
    /// Addresses of the APIs of entry VMs.
    pub entries: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
}

impl Options {
    /// Creates empty options of the subcommand `command`.
    #[must_use]
    pub fn new(command: &'static str) -> Self {
        Self {
            command,
            control_addrs: Vec::new(),
            key_file: None,
            entries: Vec::new(),
            json: false,
        }
    }

    /// Parses a shared option.
    ///
    /// # Errors
    /// Wrong usage: the option is unknown or its value is invalid.
    pub fn parse_shared(&mut self, name: &str, args: &mut lexopt::Parser) -> Result<(), Failure> {
        match name {
            "control" => self.control_addrs.push(self.value(args)?),
            "entry" => self.entries.push(self.value(args)?),
            "key-file" => self.key_file = Some(self.value(args)?),
            "json" => self.json = true,
            other => return Err(self.usage_error(format!("invalid option '--{other}'"))),
        }
        Ok(())
    }

    /// Parses the value of the current option.
    ///
    /// # Errors
    /// Wrong usage: the value is missing or invalid.
    pub fn value<T>(&self, args: &mut lexopt::Parser) -> Result<T, Failure>
    where
        T: std::str::FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let value = args.value().and_then(|v| v.parse());
        value.map_err(|e| self.usage_error(e))
    }

    /// Returns the next argument.
    ///
    /// # Errors
    /// Wrong usage: the argument is malformed.
    pub fn next<'a>(&self, args: &'a mut lexopt::Parser) -> Result<Option<Arg<'a>>, Failure> {
        args.next().map_err(|e| self.usage_error(e))
    }

    /// Creates a failure for wrong usage of this subcommand.
    #[must_use]
    pub fn usage_error(&self, text: impl std::fmt::Display) -> Failure {
        Failure::usage(text, self.command)
    }

    /// Creates a client of the control VMs with the operator's key.
    ///
    /// # Errors
    /// Wrong usage, or the key file can't be read.
    pub fn control_client(&self) -> Result<ControlClient, Failure> {
        if self.control_addrs.is_empty() {
            return Err(self.usage_error("--control is missing"));
        }
        let Some(file) = &self.key_file else {
            return Err(self.usage_error("--key-file is missing"));
        };
        let key = read_file(file)?;
        Ok(ControlClient::new(self.control_addrs.clone(), key.trim()))
    }

    /// Addresses of the APIs of control VMs.
    #[must_use]
    pub fn control_addrs(&self) -> &[SocketAddr] {
        &self.control_addrs
    }
}

/// Reads a text file.
///
/// # Errors
/// If the file can't be read.
pub fn read_file(file: &str) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|e| {
        let text = format!("could not open {file}: {e}");
        Failure::new(
            FailureKind::Failed,
            text,
            "check the path and its permissions",
        )
    })
}

/// Generates a random change id.
///
/// # Errors
/// Never in practice: the generated text is a valid id.
pub fn new_change_id() -> Result<ChangeId, Failure> {
    let number: u64 = rand::rng().random();
    let text = format!("c-{number:016x}");
    ChangeId::new(&text).map_err(|e| Failure::new(FailureKind::Failed, e.to_string(), "use --id"))
}
