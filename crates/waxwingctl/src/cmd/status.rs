//! `waxwingctl status`: shows the machines and the versions they have.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use lexopt::prelude::*;
use serde::Serialize;

use super::options::Options;
use super::{Outcome, print_json};
use crate::control::{Status, statuses};
use crate::failure::{Failure, Sort};
use crate::table::lay_out;

const HELP: &str = "\
Show the machines and the versions they have

Usage: waxwingctl status [OPTIONS]

Options:
  --control ADDR    Desk of a control VM; may be given more than once
  --entry ADDR      Desk of an entry VM; may be given more than once
  --json            Print JSON

Entry VMs that a control VM or another entry VM knows are asked too.
";

#[derive(Debug, Serialize)]
struct Row {
    addr: SocketAddr,
    status: Option<Status>,
    error: Option<String>,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, or a machine that can't be reached.
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
                options.take(&name, &mut args)?;
            }
            Short(_) | Value(_) => return Err(options.wrong(arg.unexpected())),
        }
    }
    let mut named = options.control_addrs().to_vec();
    named.extend(&options.entries);
    if named.is_empty() {
        return Err(options.wrong("--control or --entry is missing"));
    }
    let rows = gather(named).await;
    if options.json {
        print_json(&rows);
    } else {
        print!("{}", text_of(&rows));
    }
    let lost = rows.iter().filter(|r| r.error.is_some()).count();
    if lost == 0 {
        return Ok(());
    }
    let text = format!("could not reach {lost} of {} machines", rows.len());
    let next = "check that their processes run and that this machine reaches them";
    Err(Failure::new(Sort::Unreachable, text, next))
}

/// Asks the named desks, and then those that they know.
async fn gather(named: Vec<SocketAddr>) -> Vec<Row> {
    let mut asked = BTreeSet::new();
    let mut next = named;
    let mut rows = Vec::new();
    while !next.is_empty() {
        asked.extend(next.iter().copied());
        let mut known = BTreeSet::new();
        for (addr, answer) in statuses(&next).await {
            let (status, error) = match answer {
                Ok(status) => (Some(status), None),
                Err(failure) => (None, Some(failure.text)),
            };
            known.extend(status.iter().flat_map(|s| &s.entries).map(|e| e.desk_addr));
            rows.push(Row {
                addr,
                status,
                error,
            });
        }
        next = known.difference(&asked).copied().collect();
    }
    rows
}

fn text_of(rows: &[Row]) -> String {
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
    lay_out(&header, &cells.collect::<Vec<_>>())
}
