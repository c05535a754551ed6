//! `rig relay`: runs a TCP relay until SIGTERM.

use std::process::ExitCode;

use anyhow::Context;
use lexopt::prelude::*;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use world::unit::ms;

use crate::relay::Relay;

const HELP: &str = "\
Run a TCP relay on loopback until SIGTERM

Usage: rig relay --target ADDR [OPTIONS]

Options:
  --delay-ms N         Delay of each direction [0]
  --rate-bytes-per-s N Rate of each direction; 0 is no limit [0]

Prints {\"ready\":{\"addr\":…}} once it listens.
";

/// Runs `rig relay`.
///
/// # Errors
/// When the usage is wrong or a port can't be bound.
pub async fn run(mut args: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let (mut target, mut delay_ms, mut rate_bytes_per_s) = (None, 0, 0);
    while let Some(arg) = args.next()? {
        match arg {
            Long("target") => target = Some(args.value()?.parse()?),
            Long("delay-ms") => delay_ms = args.value()?.parse()?,
            Long("rate-bytes-per-s") => rate_bytes_per_s = args.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let mut sigterm = signal(SignalKind::terminate()).context("could not watch SIGTERM")?;
    let relay = Relay::start().await?;
    relay.set_target(target.context("--target is missing")?);
    relay.set_delay(ms(delay_ms), ms(delay_ms));
    relay.set_rate(rate_bytes_per_s);
    println!("{}", json!({ "ready": { "addr": relay.addr } }));
    sigterm.recv().await;
    Ok(ExitCode::SUCCESS)
}
