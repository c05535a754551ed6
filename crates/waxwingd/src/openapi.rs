//! `--openapi`: prints the OpenAPI document of a desk.

use std::io::{Write, stdout};
use std::str::FromStr;

use anyhow::{Result, bail};
use dropshot::{ApiDescription, ServerContext};

/// A desk that has an OpenAPI document.
#[derive(Clone, Copy, Debug)]
pub enum Desk {
    /// The operators' desk of a control VM.
    Control,
    /// The desk of an entry VM.
    Entry,
}

impl FromStr for Desk {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "control" => Ok(Self::Control),
            "entry" => Ok(Self::Entry),
            _ => bail!("no desk {text:?}; there are control and entry"),
        }
    }
}

/// Prints the document of `desk`.
pub fn run(desk: Desk) -> Result<()> {
    match desk {
        Desk::Control => print(&control::desk::api(), "waxwingchute control desk"),
        Desk::Entry => print(&entry::api::description(), "waxwingchute entry desk"),
    }
}

fn print<C: ServerContext>(api: &ApiDescription<C>, title: &str) -> Result<()> {
    let version = env!("CARGO_PKG_VERSION").parse()?;
    let mut out = stdout().lock();
    api.openapi(title, version).write(&mut out)?;
    writeln!(out)?;
    Ok(())
}
