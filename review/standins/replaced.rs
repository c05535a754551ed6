//! Case: two control VMs are replaced, and after their successors have caught up two others.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::operator::{self, Operator};
use crate::platform::Platform;
use crate::record::Record;

/// Control VMs in each of the three zones.
const CONTROLS: usize = 2;

/// Time until all control VMs have joined; traffic starts then.
const JOIN_TIME: Duration = Duration::from_secs(8);

/// Time between the loss of a machine and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);

/// Time between the starts of the first successors and the next loss. They stop counting
/// as lost after `catch_up_s`, 4 s.
const CALM: Duration = Duration::from_secs(7);

/// Time for which the operator sends a change after the second pair was replaced.
const PATIENCE: Duration = Duration::from_secs(15);

/// Time in which the read-back may come: `recover_s`.
const READ_BACK: Duration = Duration::from_secs(15);

/// The pairs that are replaced, by name and zone.
const PAIRS: [[(&str, usize); 2]; 2] = [
    [("core-zapad-a-1", 0), ("core-stred-a-1", 1)],
    [("core-vychod-a-1", 2), ("core-zapad-a-2", 0)],
];

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> std::io::Result<Verdict> {
    let platform = Platform::start(dir, record, CONTROLS, 0)?;
    let verdict = play(&platform, record, trouble);
    platform.stop();
    verdict
}

fn play(platform: &Platform, record: &Arc<Record>, trouble: bool) -> std::io::Result<Verdict> {
    let mut operator = Operator::new(platform.controls(), record);
    let services = [operator::service("terminy", 7)];
    let route = |version| operator::route("slots", "safe", &["terminy"], 1_500, version);
    let patch = |version| operator::patch(&services, None, "brana.example", &[route(version)]);
    if !operator.change("first call", &patch(7), Duration::from_secs(20)) {
        return Err(std::io::Error::other("the first call was not accepted"));
    }
    thread::sleep(JOIN_TIME);
    let mut version = 8;
    for (round, pair) in PAIRS.iter().enumerate() {
        if trouble {
            for (name, _) in pair {
                platform.remove(name);
            }
        }
        thread::sleep(SUCCESSOR_DELAY);
        if trouble {
            for (_, zone) in pair {
                platform.add_control(*zone)?;
            }
        }
        operator.set_controls(platform.controls());
        if round + 1 < PAIRS.len() {
            thread::sleep(CALM);
            if !operator.change(&format!("version {version}"), &patch(version), PATIENCE) {
                return Err(std::io::Error::other(
                    "no change was accepted in the calm time",
                ));
            }
            version += 1;
        }
    }
    let newest = if operator.change(&format!("version {version}"), &patch(version), PATIENCE) {
        version
    } else {
        version - 1
    };
    Ok(if operator.read_back(&route(newest), READ_BACK) {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
