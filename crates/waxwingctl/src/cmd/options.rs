//! Options that several subcommands take.

use std::fs;
use std::net::SocketAddr;

use lexopt::Arg;
use lexopt::prelude::*;
use rand::RngExt;
use world::ChangeId;

use crate::control::Control;
use crate::failure::{Failure, Sort};

/// Options that name control VMs, entry VMs, the key and the form of output.
#[derive(Debug)]
pub struct Options {
    command: &'static str,
    control: Vec<SocketAddr>,
    key_file: Option<String>,
    /// Desks of entry VMs.
    pub entries: Vec<SocketAddr>,
    /// Whether output is JSON.
    pub json: bool,
}

impl Options {
    /// No options yet of this subcommand.
    #[must_use]
    pub fn new(command: &'static str) -> Self {
        Self {
            command,
            control: Vec::new(),
            key_file: None,
            entries: Vec::new(),
            json: false,
        }
    }

    /// Takes an option that several subcommands have.
    ///
    /// # Errors
    /// Wrong usage: the option is unknown or has a wrong value.
    pub fn take(&mut self, name: &str, args: &mut lexopt::Parser) -> Result<(), Failure> {
        match name {
            "control" => self.control.push(self.value(args)?),
            "entry" => self.entries.push(self.value(args)?),
            "key-file" => self.key_file = Some(self.value(args)?),
            "json" => self.json = true,
            other => return Err(self.wrong(format!("invalid option '--{other}'"))),
        }
        Ok(())
    }

    /// The value of an option.
    ///
    /// # Errors
    /// Wrong usage: the value is missing or can't be read.
    pub fn value<T>(&self, args: &mut lexopt::Parser) -> Result<T, Failure>
    where
        T: std::str::FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let value = args.value().and_then(|v| v.parse());
        value.map_err(|e| self.wrong(e))
    }

    /// The next argument.
    ///
    /// # Errors
    /// Wrong usage.
    pub fn next<'a>(&self, args: &'a mut lexopt::Parser) -> Result<Option<Arg<'a>>, Failure> {
        args.next().map_err(|e| self.wrong(e))
    }

    /// Wrong usage of this subcommand.
    #[must_use]
    pub fn wrong(&self, text: impl std::fmt::Display) -> Failure {
        Failure::usage(text, self.command)
    }

    /// The control VMs with the operator's key.
    ///
    /// # Errors
    /// Wrong usage, or a key file that can't be read.
    pub fn control(&self) -> Result<Control, Failure> {
        if self.control.is_empty() {
            return Err(self.wrong("--control is missing"));
        }
        let Some(file) = &self.key_file else {
            return Err(self.wrong("--key-file is missing"));
        };
        let key = read_file(file)?;
        Ok(Control::new(self.control.clone(), key.trim()))
    }

    /// Addresses of control VMs.
    #[must_use]
    pub fn control_addrs(&self) -> &[SocketAddr] {
        &self.control
    }
}

/// Text of a file.
///
/// # Errors
/// That it can't be read.
pub fn read_file(file: &str) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|e| {
        let text = format!("could not open {file}: {e}");
        Failure::new(Sort::Failed, text, "check the path and its permissions")
    })
}

/// A change id that nobody has used.
///
/// # Errors
/// Never in practice: the text fits a name.
pub fn new_change_id() -> Result<ChangeId, Failure> {
    let number: u64 = rand::rng().random();
    let text = format!("c-{number:016x}");
    ChangeId::new(&text).map_err(|e| Failure::new(Sort::Failed, e.to_string(), "use --id"))
}
