//! `waxwingctl apply`: replaces the customer list and the plan list. Also submits
//! the changes of `drain` and `undrain`.

use std::net::SocketAddr;
use std::time::Duration;

use conf::parse_lists;
use lexopt::prelude::*;
use serde::Serialize;
use tokio::time::{Instant, sleep};
use world::{Action, Change, ChangeId, Lists};

use super::options::{Options, new_change_id, read_file};
use super::{Outcome, print_json};
use crate::control::{ControlClient, status};
use crate::failure::{Failure, FailureKind};

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

/// Time between two checks of the entry VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Entry VMs on which a change is and isn't in effect.
#[derive(Debug, Default, Serialize)]
pub struct Rollout {
    /// Names of entry VMs on which the change is in effect.
    pub in_force: Vec<String>,
    /// Names of reachable entry VMs on which it isn't in effect yet.
    pub behind: Vec<String>,
    /// Addresses of entry VMs that can't be reached.
    pub unreachable: Vec<String>,
}

/// An accepted change, as it is printed.
#[derive(Debug, Serialize)]
struct Applied {
    id: ChangeId,
    version: u64,
    /// Entry VMs on which the change is in effect; `None` without `--wait`.
    #[serde(rename = "spread")]
    rollout: Option<Rollout>,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, mistakes in the lists, a refusal, or the change isn't in effect
/// on every entry VM in time.
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
                options.parse_shared(&name, &mut args)?;
            }
            Short(_) => return Err(options.usage_error(arg.unexpected())),
        }
    }
    let [customers, plans] = files.as_slice() else {
        return Err(options.usage_error("two files are needed: CUSTOMERS and PLANS"));
    };
    let lists = read_lists(customers, plans)?;
    let wait = wait_s.map(Duration::from_secs);
    submit(&options, Action::Lists(lists), base, id, wait).await
}

/// Requests a change and prints the outcome. With `wait`, first waits up to that
/// time until the change is in effect on every entry VM.
///
/// # Errors
/// A refusal, no control VM can be reached, an unknown outcome, or the change
/// isn't in effect on every entry VM in time.
pub async fn submit(
    options: &Options,
    action: Action,
    base: Option<u64>,
    id: Option<ChangeId>,
    wait: Option<Duration>,
) -> Outcome {
    let control = options.control_client()?;
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
    let rollout = match wait {
        Some(wait) => Some(wait_for_rollout(&control, &options.entries, version, wait).await),
        None => None,
    };
    print(
        options.json,
        &Applied {
            id,
            version,
            rollout,
        },
    )
}

fn read_lists(customers: &str, plans: &str) -> Result<Lists, Failure> {
    let customers_text = read_file(customers)?;
    let plans_text = read_file(plans)?;
    parse_lists((customers, &customers_text), (plans, &plans_text)).map_err(|found| {
        let all: Vec<String> = found.iter().map(ToString::to_string).collect();
        let text = format!("the lists have mistakes:\n{}", all.join("\n"));
        Failure::new(FailureKind::Failed, text, "mend them; nothing was changed")
    })
}

/// Waits until `version` is in effect on every known entry VM, at most for `wait`.
async fn wait_for_rollout(
    control: &ControlClient,
    extra_entries: &[SocketAddr],
    version: u64,
    wait: Duration,
) -> Rollout {
    let deadline = Instant::now() + wait;
    loop {
        let rollout = check_rollout(control, extra_entries, version).await;
        let is_done = rollout.behind.is_empty() && rollout.unreachable.is_empty();
        if is_done || Instant::now() + POLL_INTERVAL >= deadline {
            return rollout;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Checks the entry VMs that the control VMs report, and `extra_entries`.
async fn check_rollout(
    control: &ControlClient,
    extra_entries: &[SocketAddr],
    version: u64,
) -> Rollout {
    let mut addrs = extra_entries.to_vec();
    for (_, result) in control.statuses().await {
        addrs.extend(result.iter().flat_map(|s| &s.entries).map(|e| e.desk_addr));
    }
    addrs.sort_unstable();
    addrs.dedup();
    let mut rollout = Rollout::default();
    for addr in addrs {
        match status(addr).await {
            Ok(s) if s.config_version >= version => rollout.in_force.push(s.name.to_string()),
            Ok(s) => rollout.behind.push(s.name.to_string()),
            Err(_) => rollout.unreachable.push(addr.to_string()),
        }
    }
    rollout
}

/// Prints the outcome; a rollout that isn't complete is a failure.
fn print(json: bool, applied: &Applied) -> Outcome {
    if json {
        print_json(applied);
    } else {
        println!("change {} made version {}", applied.id, applied.version);
    }
    let Some(rollout) = &applied.rollout else {
        return Ok(());
    };
    if !json {
        println!("in force at: {}", join(&rollout.in_force));
    }
    if rollout.behind.is_empty() && rollout.unreachable.is_empty() {
        return Ok(());
    }
    let text = format!(
        "accepted as version {}; not in force yet at: {}; can't be reached: {}",
        applied.version,
        join(&rollout.behind),
        join(&rollout.unreachable)
    );
    let next =
        "nothing need be sent again: each takes it as soon as it can; see `waxwingctl status`";
    Err(Failure::new(FailureKind::Partial, text, next))
}

/// Joins names for display; `-` if there are none.
fn join(names: &[String]) -> String {
    if names.is_empty() {
        return "-".into();
    }
    names.join(", ")
}
