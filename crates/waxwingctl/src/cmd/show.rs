//! `waxwingctl show`: prints the configuration in effect.

use lexopt::prelude::*;
use world::{Config, Drain};

use super::options::Options;
use super::{Outcome, print_json};
use crate::table::format_table;

const HELP: &str = "\
Show the configuration in force

Usage: waxwingctl show --control ADDR --key-file FILE [OPTIONS]

Options:
  --control ADDR    Desk of a control VM; may be given more than once
  --key-file FILE   File with the operator's key
  --json            Print the whole configuration as JSON
";

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, a refusal, or no control VM can be reached.
pub async fn run(mut args: lexopt::Parser) -> Outcome {
    let mut options = Options::new("show");
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
    let config = options.control_client()?.config().await?;
    if options.json {
        print_json(&config);
    } else {
        print!("{}", to_text(&config));
    }
    Ok(())
}

/// Formats the configuration as tables.
fn to_text(config: &Config) -> String {
    let drains: Vec<String> = config.drains.iter().map(drain_text).collect();
    let drains = if drains.is_empty() {
        "none".to_owned()
    } else {
        drains.join(", ")
    };
    [
        format!("version {}\ndrains: {drains}\n", config.version),
        services_table(config),
        plans_table(config),
        customers_table(config),
    ]
    .join("\n")
}

/// Formats a drain in the syntax of the command line.
#[must_use]
pub fn drain_text(drain: &Drain) -> String {
    match drain {
        Drain::Server(name) => format!("server:{name}"),
        Drain::Entry(name) => format!("entry:{name}"),
        Drain::Domain(place) => format!("domain:{}/{}", place.region, place.domain),
        Drain::Region(name) => format!("region:{name}"),
    }
}

fn services_table(config: &Config) -> String {
    let rows = config.lists.services.iter().map(|s| {
        vec![
            s.name.to_string(),
            s.class.as_str().to_owned(),
            s.idempotent.to_string(),
            s.deadline_ms.to_string(),
        ]
    });
    let header = ["service", "class", "idempotent", "deadline_ms"];
    format_table(&header, &rows.collect::<Vec<_>>())
}

fn plans_table(config: &Config) -> String {
    let mut rows = Vec::new();
    for plan in &config.lists.plans {
        for usage in &plan.uses {
            rows.push(vec![
                plan.name.to_string(),
                plan.priority.to_string(),
                usage.service.to_string(),
                usage.rate_per_s.to_string(),
                usage.burst.to_string(),
                usage.in_flight.to_string(),
            ]);
        }
    }
    let header = [
        "plan",
        "priority",
        "service",
        "rate_per_s",
        "burst",
        "in_flight",
    ];
    format_table(&header, &rows)
}

fn customers_table(config: &Config) -> String {
    let rows = config.lists.customers.iter().map(|c| {
        let home = c
            .home
            .as_ref()
            .map_or_else(|| "-".into(), ToString::to_string);
        vec![c.name.to_string(), c.plan.to_string(), home]
    });
    format_table(&["customer", "plan", "home"], &rows.collect::<Vec<_>>())
}
