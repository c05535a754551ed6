//! Ejection of failing servers, its limit, and the return by probe and warm-up.
//!
//! Guards against a failing server that keeps its share of the work, and against
//! ejecting so many servers that the remaining ones are overloaded.

mod support;

use std::time::Duration;

use balancer::{Fleet, FleetSettings, Outcome};
use support::{fleet, server, service, short};
use tokio::time::Instant;
use world::{BackendServer, Load};

fn settings_without_warmup() -> FleetSettings {
    FleetSettings {
        warmup_ms: 0,
        lease_ms: 100_000,
        ..FleetSettings::default()
    }
}

/// Runs `count` requests; those on servers named in `failing` fail.
fn run(fleet: &mut Fleet, now: Instant, count: u64, failing: &[&str]) -> String {
    let mut failed = 0;
    for number in 0..count {
        let ticket = fleet.choose(now, &service(), &short(number)).expect("slot");
        let outcome = if failing.contains(&ticket.server().as_str()) {
            failed += 1;
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        fleet.done(now + Duration::from_millis(5), ticket, outcome);
    }
    let view = fleet.view(now);
    let ejected = view.iter().filter(|(_, s)| s.ejected);
    let ejected: Vec<_> = ejected.map(|(_, s)| s.name.as_str()).collect();
    format!("{failed} of {count} failed, ejected {ejected:?}")
}

#[test]
fn failing_server_is_ejected_and_returns_by_probe() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(start, settings_without_warmup(), 4, 10);
    let mut rows = Vec::new();
    for (ms, failing) in [
        (0, &["s01"][..]),
        (500, &["s01"]),
        (1_100, &["s01"]),
        (2_500, &["s01"]),
        (3_500, &[]),
        (3_600, &[]),
    ] {
        let result = run(&mut fleet, at(ms), 200, failing);
        rows.push(format!("{ms:>4} ms, failing {failing:?}: {result}"));
    }
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn cap_on_ejection() {
    let start = Instant::now();
    let all = ["s00", "s01", "s02", "s03", "s04", "s05"];
    let mut rows = Vec::new();
    for count in [1, 2, 3, 6_u32] {
        let mut fleet = fleet(start, settings_without_warmup(), count, 10);
        let result = run(&mut fleet, start, 300, &all);
        rows.push(format!("{count} servers, all failing: {result}"));
    }
    insta::assert_snapshot!(rows.join("\n"));
}

/// A server that reports more load than it has gets less work at first, and is not ejected.
#[test]
fn misleading_reports_eject_nobody() {
    let start = Instant::now();
    let mut fleet = fleet(start, settings_without_warmup(), 0, 10);
    let overloaded = Load {
        running: 1_000,
        queued: 1_000,
        age_ms: 0,
    };
    for number in 0..2 {
        let load = if number == 0 {
            overloaded
        } else {
            Load::default()
        };
        let info = BackendServer {
            load,
            ..server(number, 10)
        };
        fleet.announce(start, &info);
    }
    let mut rows = Vec::new();
    for ms in [0, 1_000, 2_000, 5_000] {
        let now = start + Duration::from_millis(ms);
        let mut counts = [0, 0];
        let mut tickets = Vec::new();
        for number in 0..10 {
            let ticket = fleet.choose(now, &service(), &short(number)).expect("slot");
            counts[usize::from(ticket.server().as_str() == "s01")] += 1;
            tickets.push(ticket);
        }
        for ticket in tickets {
            fleet.done(now + Duration::from_millis(5), ticket, Outcome::Answered);
        }
        rows.push(format!("report {ms} ms old: work by server {counts:?}"));
    }
    insta::assert_snapshot!(rows.join("\n"));
}

/// A server that sheds work gets none until its `retry_after_ms` is over.
#[test]
fn shed_answers_are_honoured() {
    let start = Instant::now();
    let mut fleet = fleet(start, settings_without_warmup(), 2, 10);
    let shed = fleet.choose(start, &service(), &short(0)).expect("slot");
    let name = shed.server().clone();
    fleet.done(
        start,
        shed,
        Outcome::Shed {
            retry_after_ms: 300,
        },
    );
    let mut rows = Vec::new();
    for ms in [0, 299, 300] {
        let now = start + Duration::from_millis(ms);
        let mut chosen = 0;
        for number in 0..50 {
            let ticket = fleet.choose(now, &service(), &short(number)).expect("slot");
            chosen += u32::from(*ticket.server() == name);
            fleet.done(now, ticket, Outcome::Cancelled);
        }
        rows.push((ms, chosen > 0));
    }
    assert_eq!(rows, [(0, false), (299, false), (300, true)]);
}

#[test]
fn slots_of_a_cold_server_open_gradually() {
    let start = Instant::now();
    let settings = FleetSettings {
        warmup_ms: 4_000,
        ..settings_without_warmup()
    };
    let mut fleet = fleet(start, settings, 2, 8);
    let warm_at = start + Duration::from_secs(60);
    fleet.announce(warm_at, &server(2, 8));
    let mut rows = Vec::new();
    for ms in [0, 1_000, 2_000, 3_000, 4_000] {
        let now = warm_at + Duration::from_millis(ms);
        let mut tickets = Vec::new();
        while let Ok(ticket) = fleet.choose(now, &service(), &short(0)) {
            tickets.push(ticket);
        }
        let cold = tickets.iter().filter(|t| t.server().as_str() == "s02");
        rows.push(format!(
            "{ms} ms: {} slots of the cold server",
            cold.count()
        ));
        for ticket in tickets {
            fleet.done(now, ticket, Outcome::Cancelled);
        }
    }
    insta::assert_snapshot!(rows.join("\n"));
}
