//! `--openapi`: prints the OpenAPI document of the control API or the entry API.

use std::io::{Write, stdout};
use std::str::FromStr;

use anyhow::{Result, bail};
use dropshot::{ApiDescription, ServerContext};

/// An API that has an OpenAPI document.
#[derive(Clone, Copy, Debug)]
pub enum Api {
    /// HTTP interface of a control VM for operators.
    Control,
    /// HTTP interface of an entry VM for operators and backend servers.
    Entry,
}

impl FromStr for Api {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "control" => Ok(Self::Control),
            "entry" => Ok(Self::Entry),
            _ => bail!("no desk {text:?}; there are control and entry"),
        }
    }
}

/// Prints the OpenAPI document of `api` on standard output.
pub fn run(api: Api) -> Result<()> {
    match api {
        Api::Control => print(&control::api::description(), "waxwingchute control desk"),
        Api::Entry => print(&entry::api::description(), "waxwingchute entry desk"),
    }
}

fn print<C: ServerContext>(description: &ApiDescription<C>, title: &str) -> Result<()> {
    let version = env!("CARGO_PKG_VERSION").parse()?;
    let mut out = stdout().lock();
    description.openapi(title, version).write(&mut out)?;
    writeln!(out)?;
    Ok(())
}
