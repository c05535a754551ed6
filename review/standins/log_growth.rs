//! Case: the operator applies its whole list again with each change, hundreds of times.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::operator::{self, Operator};
use crate::platform::Platform;
use crate::record::Record;

/// Routes of the configuration.
const ROUTES: usize = 1_400;

/// Changes, each of one route.
const CHANGES: usize = 600;

/// Time between two changes.
const GAP: Duration = Duration::from_millis(90);

/// Time after the last change in which the read-back may come: `recover_s`.
const READ_BACK: Duration = Duration::from_secs(15);

/// When the operator stops sending changes, so that the run stays below 120 s.
const LAST_CHANGE_AT_S: f64 = 88.0;

/// Version of the first call's items.
const FIRST_VERSION: usize = 7;

pub fn run(dir: &Path, record: &Arc<Record>, trouble: bool) -> std::io::Result<Verdict> {
    let platform = Platform::start(dir, record, 1, 0)?;
    let verdict = play(&platform, record, trouble);
    platform.stop();
    for machine in platform.machines.lock().unwrap().iter() {
        let (name, ends, peak_mb) = (&machine.name, machine.ends, machine.peak_mb);
        record.line(&format!("{name}: ended {ends} times, at most {peak_mb} MB"));
    }
    verdict
}

fn play(platform: &Platform, record: &Arc<Record>, trouble: bool) -> std::io::Result<Verdict> {
    let mut operator = Operator::new(platform.controls(), record);
    let services = ["terminy", "objednavky"].map(|name| operator::service(name, FIRST_VERSION));
    let mut routes: Vec<String> = (0..ROUTES).map(|at| route(at, FIRST_VERSION)).collect();
    let all = |routes: &[String]| operator::patch(&services, None, "brana.example", routes);
    record.line(&format!(
        "operator: the list has {} bytes",
        all(&routes).len()
    ));
    if !operator.change("first call", &all(&routes), Duration::from_secs(20)) {
        return Err(std::io::Error::other("the first call was not accepted"));
    }
    let mut acknowledged = None;
    for change in 0..CHANGES {
        let started_at = Instant::now();
        let (at, version) = (change % ROUTES, FIRST_VERSION + 1 + change);
        routes[at] = route(at, version);
        let body = if trouble {
            all(&routes)
        } else {
            operator::patch(&[], None, "brana.example", &routes[at..=at])
        };
        let what = format!("route {at} to version {version}");
        if record.seconds() > LAST_CHANGE_AT_S {
            break;
        }
        let patience = Duration::from_secs_f64((LAST_CHANGE_AT_S - record.seconds()).min(20.0));
        if !operator.change(&what, &body, patience) {
            break;
        }
        acknowledged = Some(routes[at].clone());
        thread::sleep(GAP.saturating_sub(started_at.elapsed()));
    }
    let Some(newest) = acknowledged else {
        return Err(std::io::Error::other("no change was accepted"));
    };
    Ok(if operator.read_back(&newest, READ_BACK) {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn route(at: usize, version: usize) -> String {
    operator::route(
        &format!("r-{at:05}"),
        "safe",
        &["terminy", "objednavky"],
        1_500,
        version,
    )
}
