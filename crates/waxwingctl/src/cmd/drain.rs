//! `waxwingctl drain` and `undrain`: announce a departure, or end one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lexopt::prelude::*;
use world::{Action, ChangeId, Config, Drain, Lifecycle, Place, ServerName, ServiceName};

use super::Outcome;
use super::apply::submit;
use super::options::Options;
use crate::control::{Backend, statuses};
use crate::failure::{Failure, Sort};

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

/// Which of the two subcommands runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Announce a drain.
    Drain,
    /// End a drain.
    Undrain,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, a drain that would leave a service without backend servers,
/// a refusal, or a change that isn't in force everywhere in time.
pub async fn run(mut args: lexopt::Parser, way: Way) -> Outcome {
    let mut options = Options::new("drain");
    let mut what = None;
    let mut insist = false;
    let (mut base, mut id, mut wait_s) = (None, None, None);
    while let Some(arg) = options.next(&mut args)? {
        match arg {
            Value(text) if what.is_none() => what = Some(text.to_string_lossy().into_owned()),
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
                options.take(&name, &mut args)?;
            }
            Short(_) | Value(_) => return Err(options.wrong(arg.unexpected())),
        }
    }
    let what = what.ok_or_else(|| options.wrong("WHAT is missing"))?;
    let drain = parse(&what).map_err(|e| options.wrong(e))?;
    if way == Way::Drain && !insist && !matches!(drain, Drain::Entry(_)) {
        check_last(&options, &drain).await?;
    }
    let action = match way {
        Way::Drain => Action::Drain(drain),
        Way::Undrain => Action::Undrain(drain),
    };
    submit(&options, action, base, id, wait_s.map(Duration::from_secs)).await
}

/// Reads what is to be drained.
fn parse(text: &str) -> Result<Drain, String> {
    let forms = "expected server:NAME, entry:NAME, domain:REGION/DOMAIN or region:NAME";
    let (sort, name) = text.split_once(':').ok_or(forms)?;
    let bad = |e: world::Error| e.detail;
    match sort {
        "server" => name.parse().map(Drain::Server).map_err(bad),
        "entry" => name.parse().map(Drain::Entry).map_err(bad),
        "region" => name.parse().map(Drain::Region).map_err(bad),
        "domain" => {
            let (region, domain) = name.split_once('/').ok_or(forms)?;
            let region = region.parse().map_err(bad)?;
            let domain = domain.parse().map_err(bad)?;
            Ok(Drain::Domain(Place::new(region, domain)))
        }
        _ => Err(forms.into()),
    }
}

/// Refuses a drain that would leave a service without backend servers.
async fn check_last(options: &Options, drain: &Drain) -> Outcome {
    let control = options.control()?;
    let config = control.config().await?;
    let mut desks: BTreeSet<_> = options.entries.iter().copied().collect();
    for (_, found) in control.statuses().await {
        desks.extend(found.iter().flat_map(|s| &s.entries).map(|e| e.desk_addr));
    }
    let desks: Vec<_> = desks.into_iter().collect();
    let mut servers = BTreeMap::new();
    let mut reached = false;
    for (_, answer) in statuses(&desks).await {
        reached |= answer.is_ok();
        let known = answer.into_iter().flat_map(|s| s.servers);
        servers.extend(known.map(|s| (s.name.clone(), s)));
    }
    if !reached {
        return Err(Failure::new(
            Sort::Failed,
            "could not learn which backend servers there are, so the drain may leave a service \
             without any",
            "name entry VMs with --entry, or drain anyway with --insist",
        ));
    }
    let lost = left_without(&config, &servers, drain);
    if lost.is_empty() {
        return Ok(());
    }
    let lost: Vec<String> = lost.iter().map(ToString::to_string).collect();
    Err(Failure::new(
        Sort::Failed,
        format!(
            "the drain would leave no backend server for: {}",
            lost.join(", ")
        ),
        "add backend servers or end another drain first, or drain anyway with --insist",
    ))
}

/// Services that have a backend server now and none after the drain.
fn left_without(
    config: &Config,
    servers: &BTreeMap<ServerName, Backend>,
    drain: &Drain,
) -> Vec<ServiceName> {
    let mut after = config.clone();
    after.drains.push(drain.clone());
    let serving = |config: &Config| -> BTreeSet<ServiceName> {
        let takes_work = |s: &&Backend| {
            s.lifecycle == Lifecycle::Serving && !config.drains_server(&s.name, &s.place)
        };
        let left = servers.values().filter(takes_work);
        left.map(|s| s.service.clone()).collect()
    };
    let left = serving(&after);
    serving(config).difference(&left).cloned().collect()
}
