//! `rig site`: starts a small site, sends requests of each class and prints a report.

use std::process::ExitCode;

use lexopt::prelude::*;
use waxwingctl::load::{Profile, Report, Stream, run as run_load};

use crate::site::{Site, SitePlan, keys};

/// Default length of the run, seconds.
const DEFAULT_SECONDS: f64 = 3.0;

/// Seed of the requests' arrival times.
const SEED: u64 = 1;

/// Requests of short work per second.
const SHORT_PER_S: f64 = 100.0;

/// Operations per second.
const OPERATIONS_PER_S: f64 = 20.0;

/// Downloads per second.
const LONG_PER_S: f64 = 10.0;

const HELP: &str = "\
Start a small site on loopback, send requests of each class, print the result

Usage: rig site [OPTIONS]

Starts one control VM, four entry VMs in two failure domains and twelve
stand-in backend servers of three services, applies two lists with waxwingctl,
sends short work, operations and downloads, and ends by itself.

Options:
  --seconds N  Length of the run [3]
  --json       Print the report as JSON

Exits with 1 when a request got no good answer.
";

/// Runs `rig site`.
///
/// # Errors
/// When the usage is wrong or a site doesn't start.
pub async fn run(mut args: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let mut seconds = DEFAULT_SECONDS;
    let mut json = false;
    while let Some(arg) = args.next()? {
        match arg {
            Long("seconds") => seconds = args.value()?.parse()?,
            Long("json") => json = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let site = Site::start(SitePlan::small()?).await?;
    let report = run_load(&profile(&site, seconds)?).await;
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", format_report(&site, &report));
    }
    let failed: u64 = report.rows.iter().map(|row| row.due - row.good).sum();
    if failed == 0 {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("rig site: {failed} requests got no good answer");
    Ok(ExitCode::FAILURE)
}

fn profile(site: &Site, seconds: f64) -> anyhow::Result<Profile> {
    let short = Stream::new("terminy".parse()?, SHORT_PER_S, keys());
    let operations = Stream::new("objednavky".parse()?, OPERATIONS_PER_S, keys())
        .with_operations()
        .with_deadline_ms(3_000);
    let long = Stream::new("podklady".parse()?, LONG_PER_S, keys()).with_deadline_ms(10_000);
    Ok(Profile::new(site.api_addrs(), seconds, SEED).with_streams(vec![short, operations, long]))
}

fn format_report(site: &Site, report: &Report) -> String {
    format!(
        "{} control VM, {} entry VMs, {} backend servers, {:.1} s\n\n{}",
        site.controls.len(),
        site.entries.len(),
        site.backends.len(),
        report.took_s,
        report.to_table()
    )
}
