//! `rig backend`: a stand-in backend server as a process.

use std::process::ExitCode;

use anyhow::Context;
use lexopt::prelude::*;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use world::{Place, Secret};

use crate::server::{Options, Server};

/// Exit code after a crash by a request with the header `x-rig-crash` or the query
/// parameter `rig-crash`.
const CRASH_EXIT_CODE: u8 = 42;

const HELP: &str = "\
Run a stand-in backend server on loopback

Usage: rig backend --name NAME --service NAME --region NAME --domain NAME [OPTIONS]

Options:
  --desk ADDR         Desk to announce to; may be given more than once
  --secret TEXT       The deployment's secret
  --slots N           Requests it runs at once [4]
  --connections N     Connections it accepts [400]
  --incarnation N     Number that grows with each start [1]
  --advertise ADDR    Address to announce in place of its own
  --seed N            Seed of every random choice [1]
  --behaviour JSON    Knobs, as POST /rig/behaviour takes them

Prints {\"ready\":{\"addr\":…,\"control_addr\":…}} once it serves. SIGTERM drains it.
";

/// Runs `rig backend`.
///
/// # Errors
/// When the usage is wrong or a port can't be bound.
pub async fn run(mut args: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let Some(options) = parse_options(&mut args)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let mut sigterm = signal(SignalKind::terminate()).context("could not watch SIGTERM")?;
    let server = Server::start(options).await?;
    let ready = json!({ "addr": server.addr, "control_addr": server.control_addr });
    println!("{}", json!({ "ready": ready }));
    tokio::select! {
        () = server.crashed() => return Ok(ExitCode::from(CRASH_EXIT_CODE)),
        _ = sigterm.recv() => {}
    }
    tokio::select! {
        () = server.crashed() => Ok(ExitCode::from(CRASH_EXIT_CODE)),
        () = server.drain() => Ok(ExitCode::SUCCESS),
    }
}

/// Parses the options; `None` when the help text was requested.
fn parse_options(args: &mut lexopt::Parser) -> anyhow::Result<Option<Options>> {
    let (mut name, mut service, mut region, mut domain) = (None, None, None, None);
    // Placeholders, which the required options replace below.
    let place = Place::new("r".parse()?, "d".parse()?);
    let mut options = Options::new("s".parse()?, "s".parse()?, place);
    while let Some(arg) = args.next()? {
        match arg {
            Long("name") => name = Some(args.value()?.parse()?),
            Long("service") => service = Some(args.value()?.parse()?),
            Long("region") => region = Some(args.value()?.parse()?),
            Long("domain") => domain = Some(args.value()?.parse()?),
            Long("desk") => options.api_addrs.push(args.value()?.parse()?),
            Long("secret") => options.secret = Secret::new(args.value()?.string()?),
            Long("slots") => options.slots = args.value()?.parse()?,
            Long("connections") => options.connections = args.value()?.parse()?,
            Long("incarnation") => options.incarnation = args.value()?.parse()?,
            Long("advertise") => options.advertise = Some(args.value()?.parse()?),
            Long("seed") => options.seed = args.value()?.parse()?,
            Long("behaviour") => {
                let text = args.value()?.string()?;
                options.behaviour = serde_json::from_str(&text).context("bad --behaviour")?;
            }
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    options.name = name.context("--name is missing")?;
    options.service = service.context("--service is missing")?;
    options.place = Place::new(
        region.context("--region is missing")?,
        domain.context("--domain is missing")?,
    );
    Ok(Some(options))
}
