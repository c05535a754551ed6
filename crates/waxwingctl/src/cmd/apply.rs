//! `waxwingctl apply`: puts new lists in force.

use std::net::SocketAddr;
use std::time::Duration;

use conf::parse_lists;
use lexopt::prelude::*;
use serde::Serialize;
use tokio::time::{Instant, sleep};
use world::{Action, Change, ChangeId, Lists};

use super::options::{Options, new_change_id, read_file};
use super::{Outcome, print_json};
use crate::control::{Control, status};
use crate::failure::{Failure, Sort};

const HELP: &str = "\
Put new lists in force

Usage: waxwingctl apply CUSTOMERS PLANS --control ADDR --key-file FILE [OPTIONS]

Options:
  --control ADDR    Desk of a control VM; may be given more than once
  --key-file FILE   File with the operator's key
  --base N          Version that the lists were made from [the one in force]
  --id ID           Id of the change; give the same one to send it again
  --wait SECONDS    Wait until the change is in force at every entry VM
  --entry ADDR      Desk of an entry VM to wait for, besides those known
  --json            Print JSON
";

/// Time between two looks at the entry VMs.
const LOOK: Duration = Duration::from_millis(100);

/// Where a change is in force.
#[derive(Debug, Default, Serialize)]
pub struct Spread {
    /// Entry VMs that have it.
    pub in_force: Vec<String>,
    /// Entry VMs that answer and don't have it yet.
    pub behind: Vec<String>,
    /// Entry VMs that can't be reached.
    pub unreachable: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Applied {
    id: ChangeId,
    version: u64,
    spread: Option<Spread>,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, mistakes in the lists, a refusal, or a change that isn't in
/// force everywhere in time.
pub async fn run(mut args: lexopt::Parser) -> Outcome {
    let mut options = Options::new("apply");
    let mut files = Vec::new();
    let (mut base, mut id, mut wait_s) = (None, None, None);
    while let Some(arg) = options.next(&mut args)? {
        match arg {
            Value(file) => files.push(file.to_string_lossy().into_owned()),
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
            Short(_) => return Err(options.wrong(arg.unexpected())),
        }
    }
    let [customers, plans] = files.as_slice() else {
        return Err(options.wrong("two files are needed: CUSTOMERS and PLANS"));
    };
    let lists = read_lists(customers, plans)?;
    let wait = wait_s.map(Duration::from_secs);
    submit(&options, Action::Lists(lists), base, id, wait).await
}

/// Asks for a change, waits if asked to, and prints the outcome.
///
/// # Errors
/// As for the subcommand.
pub async fn submit(
    options: &Options,
    action: Action,
    base: Option<u64>,
    id: Option<ChangeId>,
    wait: Option<Duration>,
) -> Outcome {
    let control = options.control()?;
    let base_version = match base {
        Some(version) => version,
        None => control.config().await?.version,
    };
    let id = match id {
        Some(id) => id,
        None => new_change_id()?,
    };
    let change = Change {
        id: id.clone(),
        base_version,
        action,
    };
    let accepted = control.change(&change).await.map_err(|failure| {
        let text = format!("change {id}: {}", failure.text);
        Failure { text, ..failure }
    })?;
    let version = accepted.version;
    let spread = match wait {
        Some(wait) => Some(wait_for(&control, &options.entries, version, wait).await),
        None => None,
    };
    print(
        options.json,
        &Applied {
            id,
            version,
            spread,
        },
    )
}

fn read_lists(customers: &str, plans: &str) -> Result<Lists, Failure> {
    let first = read_file(customers)?;
    let second = read_file(plans)?;
    parse_lists((customers, &first), (plans, &second)).map_err(|found| {
        let all: Vec<String> = found.iter().map(ToString::to_string).collect();
        let text = format!("the lists have mistakes:\n{}", all.join("\n"));
        Failure::new(Sort::Failed, text, "mend them; nothing was changed")
    })
}

/// Waits until every known entry VM has this version, or the time is up.
async fn wait_for(control: &Control, named: &[SocketAddr], version: u64, wait: Duration) -> Spread {
    let until = Instant::now() + wait;
    loop {
        let spread = look(control, named, version).await;
        let is_done = spread.behind.is_empty() && spread.unreachable.is_empty();
        if is_done || Instant::now() + LOOK >= until {
            return spread;
        }
        sleep(LOOK).await;
    }
}

async fn look(control: &Control, named: &[SocketAddr], version: u64) -> Spread {
    let mut desks = named.to_vec();
    for (_, found) in control.statuses().await {
        desks.extend(found.iter().flat_map(|s| &s.entries).map(|e| e.desk_addr));
    }
    desks.sort_unstable();
    desks.dedup();
    let mut spread = Spread::default();
    for desk in desks {
        match status(desk).await {
            Ok(s) if s.config_version >= version => spread.in_force.push(s.name.to_string()),
            Ok(s) => spread.behind.push(s.name.to_string()),
            Err(_) => spread.unreachable.push(desk.to_string()),
        }
    }
    spread
}

fn print(json: bool, applied: &Applied) -> Outcome {
    if json {
        print_json(applied);
    } else {
        println!("change {} made version {}", applied.id, applied.version);
    }
    let Some(spread) = &applied.spread else {
        return Ok(());
    };
    if !json {
        println!("in force at: {}", join(&spread.in_force));
    }
    if spread.behind.is_empty() && spread.unreachable.is_empty() {
        return Ok(());
    }
    let text = format!(
        "accepted as version {}; not in force yet at: {}; can't be reached: {}",
        applied.version,
        join(&spread.behind),
        join(&spread.unreachable)
    );
    let next =
        "nothing need be sent again: each takes it as soon as it can; see `waxwingctl status`";
    Err(Failure::new(Sort::Partial, text, next))
}

fn join(names: &[String]) -> String {
    if names.is_empty() {
        return "-".into();
    }
    names.join(", ")
}
