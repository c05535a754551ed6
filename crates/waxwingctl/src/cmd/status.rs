//! `waxwingctl status`: prints the machines and their configuration versions.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use lexopt::prelude::*;
use serde::Serialize;

use super::options::Options;
use super::{Outcome, print_json};
use crate::control::{Status, statuses};
use crate::failure::{Failure, FailureKind};
use crate::table::format_table;

const HELP: &str = "\
Show the machines and the versions they have

Usage: waxwingctl status [OPTIONS]

Options:
  --control ADDR    Desk of a control VM; may be given more than once
  --entry ADDR      Desk of an entry VM; may be given more than once
  --json            Print JSON

Entry VMs that a control VM or another entry VM knows are asked too.
";

/// Status of one machine, or why it could not be fetched.
#[derive(Debug, Serialize)]
struct Row {
    addr: SocketAddr,
    status: Option<Status>,
    error: Option<String>,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, or a machine can't be reached.
pub async fn run(mut args: lexopt::Parser) -> Outcome {
    let mut options = Options::new("status");
    while let Some(arg) = options.next(&mut args)? {
        match arg {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Long(name) => {
                let name = name.to_owned();
                options.parse_shared(&name, &mut args)?;
            }
            Short(_) | Value(_) => return Err(options.usage_error(arg.unexpected())),
        }
    }
    let mut addrs = options.control_addrs().to_vec();
    addrs.extend(&options.entries);
    if addrs.is_empty() {
        return Err(options.usage_error("--control or --entry is missing"));
    }
    let rows = collect_statuses(addrs).await;
    if options.json {
        print_json(&rows);
    } else {
        print!("{}", to_text(&rows));
    }
    let unreached = rows.iter().filter(|r| r.error.is_some()).count();
    if unreached == 0 {
        return Ok(());
    }
    let text = format!("could not reach {unreached} of {} machines", rows.len());
    let next = "check that their processes run and that this machine reaches them";
    Err(Failure::new(FailureKind::Unreachable, text, next))
}

/// Fetches the status of these machines, then of all entry VMs that they report.
async fn collect_statuses(addrs: Vec<SocketAddr>) -> Vec<Row> {
    let mut queried = BTreeSet::new();
    let mut next = addrs;
    let mut rows = Vec::new();
    while !next.is_empty() {
        queried.extend(next.iter().copied());
        let mut reported = BTreeSet::new();
        for (addr, result) in statuses(&next).await {
            let (status, error) = match result {
                Ok(status) => (Some(status), None),
                Err(failure) => (None, Some(failure.text)),
            };
            reported.extend(status.iter().flat_map(|s| &s.entries).map(|e| e.desk_addr));
            rows.push(Row {
                addr,
                status,
                error,
            });
        }
        next = reported.difference(&queried).copied().collect();
    }
    rows
}

fn to_text(rows: &[Row]) -> String {
    let cells = rows.iter().map(|row| match (&row.status, &row.error) {
        (Some(status), _) => vec![
            row.addr.to_string(),
            status.name.to_string(),
            status.config_version.to_string(),
            status.servers.len().to_string(),
        ],
        (None, error) => vec![
            row.addr.to_string(),
            "-".into(),
            "-".into(),
            error.clone().unwrap_or_default(),
        ],
    });
    let header = ["desk", "name", "config_version", "servers"];
    format_table(&header, &cells.collect::<Vec<_>>())
}
