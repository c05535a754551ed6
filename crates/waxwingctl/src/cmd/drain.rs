//! `waxwingctl drain` and `undrain`: start and end a drain.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lexopt::prelude::*;
use world::{Action, ChangeId, Config, Drain, Lifecycle, Place, ServerName, ServiceName};

use super::Outcome;
use super::apply::submit;
use super::options::Options;
use crate::control::{BackendServer, statuses};
use crate::failure::{Failure, FailureKind};

const HELP: &str = "\
Announce that something is leaving, or end that with `undrain`

Usage: waxwingctl drain WHAT --control ADDR --key-file FILE [OPTIONS]

WHAT is one of
  server:NAME           a backend server
  entry:NAME            an entry VM
  domain:REGION/DOMAIN  a failure domain
  region:NAME           a region

Options:
  --control ADDR    Desk of a control VM; may be given more than once
  --key-file FILE   File with the operator's key
  --entry ADDR      Desk of an entry VM to ask for its backend servers
  --insist          Drain even the last backend servers of a service
  --base N          Version that the change is made from [the one in force]
  --id ID           Id of the change; give the same one to send it again
  --wait SECONDS    Wait until the change is in force at every entry VM
  --json            Print JSON
";

/// Which of the two subcommands to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Start a drain.
    Drain,
    /// End a drain.
    Undrain,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, the drain would leave a service without backend servers, a
/// refusal, or the change isn't in effect on every entry VM in time.
pub async fn run(mut args: lexopt::Parser, operation: Operation) -> Outcome {
    let mut options = Options::new("drain");
    let mut target = None;
    let mut insist = false;
    let (mut base, mut id, mut wait_s) = (None, None, None);
    while let Some(arg) = options.next(&mut args)? {
        match arg {
            Value(text) if target.is_none() => target = Some(text.to_string_lossy().into_owned()),
            Long("insist") => insist = true,
            Long("base") => base = Some(options.value(&mut args)?),
            Long("id") => id = Some(options.value::<ChangeId>(&mut args)?),
            Long("wait") => wait_s = Some(options.value(&mut args)?),
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
    let target = target.ok_or_else(|| options.usage_error("WHAT is missing"))?;
    let drain = parse_drain(&target).map_err(|e| options.usage_error(e))?;
    if operation == Operation::Drain && !insist && !matches!(drain, Drain::Entry(_)) {
        check_servers_remain(&options, &drain).await?;
    }
    let action = match operation {
        Operation::Drain => Action::Drain(drain),
        Operation::Undrain => Action::Undrain(drain),
    };
    submit(&options, action, base, id, wait_s.map(Duration::from_secs)).await
}

/// Parses the target of a drain, such as `region:NAME`.
fn parse_drain(text: &str) -> Result<Drain, String> {
    let forms = "expected server:NAME, entry:NAME, domain:REGION/DOMAIN or region:NAME";
    let (kind, name) = text.split_once(':').ok_or(forms)?;
    let detail = |e: world::Error| e.detail;
    match kind {
        "server" => name.parse().map(Drain::Server).map_err(detail),
        "entry" => name.parse().map(Drain::Entry).map_err(detail),
        "region" => name.parse().map(Drain::Region).map_err(detail),
        "domain" => {
            let (region, domain) = name.split_once('/').ok_or(forms)?;
            let region = region.parse().map_err(detail)?;
            let domain = domain.parse().map_err(detail)?;
            Ok(Drain::Domain(Place::new(region, domain)))
        }
        _ => Err(forms.into()),
    }
}

/// Refuses a drain that would leave a service without backend servers.
async fn check_servers_remain(options: &Options, drain: &Drain) -> Outcome {
    let control = options.control_client()?;
    let config = control.config().await?;
    let mut addrs: BTreeSet<_> = options.entries.iter().copied().collect();
    for (_, result) in control.statuses().await {
        addrs.extend(result.iter().flat_map(|s| &s.entries).map(|e| e.desk_addr));
    }
    let addrs: Vec<_> = addrs.into_iter().collect();
    let mut servers = BTreeMap::new();
    let mut reached = false;
    for (_, result) in statuses(&addrs).await {
        reached |= result.is_ok();
        let reported = result.into_iter().flat_map(|s| s.servers);
        servers.extend(reported.map(|s| (s.name.clone(), s)));
    }
    if !reached {
        return Err(Failure::new(
            FailureKind::Failed,
            "could not learn which backend servers there are, so the drain may leave a service \
             without any",
            "name entry VMs with --entry, or drain anyway with --insist",
        ));
    }
    let without_servers = services_without_servers(&config, &servers, drain);
    if without_servers.is_empty() {
        return Ok(());
    }
    let without_servers: Vec<String> = without_servers.iter().map(ToString::to_string).collect();
    Err(Failure::new(
        FailureKind::Failed,
        format!(
            "the drain would leave no backend server for: {}",
            without_servers.join(", ")
        ),
        "add backend servers or end another drain first, or drain anyway with --insist",
    ))
}

/// Services that have a serving backend server now, but none after the drain.
fn services_without_servers(
    config: &Config,
    servers: &BTreeMap<ServerName, BackendServer>,
    drain: &Drain,
) -> Vec<ServiceName> {
    let mut drained = config.clone();
    drained.drains.push(drain.clone());
    let served_services = |config: &Config| -> BTreeSet<ServiceName> {
        let is_serving = |s: &&BackendServer| {
            s.lifecycle == Lifecycle::Serving && !config.drains_server(&s.name, &s.place)
        };
        let serving_servers = servers.values().filter(is_serving);
        serving_servers.map(|s| s.service.clone()).collect()
    };
    let remaining = served_services(&drained);
    served_services(config)
        .difference(&remaining)
        .cloned()
        .collect()
}
