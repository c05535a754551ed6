//! Detection of poison requests.
//!
//! Guards against a poison request that crashes one server after another, and
//! against refusing requests that merely ran beside it.

mod support;

use std::time::Duration;

use balancer::{Crash, Fingerprint, FleetSettings, Outcome, Poison, PoisonSettings, Verdict};
use support::{fleet, server, server_name, service, short};
use tokio::time::Instant;
use world::BackendServer;

const POISON: Fingerprint = Fingerprint(666);
const OTHER_REQUEST: Fingerprint = Fingerprint(1);

fn crash(server: u32, ran: &[Fingerprint]) -> Crash {
    Crash::new(&server_name(server), 1, ran.to_vec()).expect("something ran")
}

#[test]
fn crashes_list_the_requests_that_ran() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(start, FleetSettings::default(), 1, 4);
    let tickets: Vec<_> = (0..3)
        .map(|n| fleet.choose(start, &service(), &short(n)).expect("slot"))
        .collect();
    let mut outcomes = [
        Outcome::Answered,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
    ]
    .into_iter();
    for ticket in tickets {
        fleet.done(at(1), ticket, outcomes.next().expect("outcome"));
    }
    let _running = fleet.choose(at(2), &service(), &short(9)).expect("slot");
    let connect_failed = fleet.choose(at(2), &service(), &short(5)).expect("slot");
    fleet.done(at(3), connect_failed, Outcome::ConnectFailed);
    let by_failed_connect = fleet.take_crashes();
    fleet.announce(
        at(4),
        &BackendServer {
            incarnation: 2,
            ..server(0, 4)
        },
    );
    let by_restart = fleet.take_crashes();
    let nothing = fleet.take_crashes();
    insta::assert_debug_snapshot!((by_failed_connect, by_restart, nothing));
}

#[test]
fn second_crash_confirms() {
    let now = Instant::now();
    let mut poison = Poison::new(PoisonSettings::default());
    let verdict = |poison: &Poison| [poison.check(now, POISON), poison.check(now, OTHER_REQUEST)];
    let mut rows = vec![("no crash", verdict(&poison))];
    poison.record_crash(now, &crash(0, &[POISON, OTHER_REQUEST]));
    rows.push(("one crash", verdict(&poison)));
    poison.record_crash(now, &crash(0, &[POISON]));
    rows.push(("second report of that crash", verdict(&poison)));
    poison.clear_suspect(now, OTHER_REQUEST);
    rows.push(("the other request ran alone", verdict(&poison)));
    poison.record_crash(now, &crash(1, &[POISON]));
    rows.push(("second crash", verdict(&poison)));
    let later = now + Duration::from_secs(600);
    assert_eq!(poison.check(later, POISON), Verdict::Clean);
    insta::assert_debug_snapshot!(rows);
}

#[test]
fn two_suspects_in_one_crash_confirm_neither() {
    let now = Instant::now();
    let mut poison = Poison::new(PoisonSettings::default());
    poison.record_crash(now, &crash(0, &[POISON, OTHER_REQUEST]));
    poison.record_crash(now, &crash(1, &[POISON, OTHER_REQUEST]));
    assert_eq!(poison.check(now, OTHER_REQUEST), Verdict::Alone);
    assert_eq!(poison.check(now, POISON), Verdict::Alone);
}

#[test]
fn marks_are_sent_with_their_remaining_time() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut here = Poison::new(PoisonSettings::default());
    let mut there = Poison::new(PoisonSettings::default());
    here.record_crash(start, &crash(0, &[POISON, OTHER_REQUEST]));
    let text = serde_json::to_string(&here.marks(at(20))).expect("text");
    there.merge(
        at(20),
        &serde_json::from_str::<Vec<_>>(&text).expect("marks"),
    );
    let alone = there.check(at(21), POISON);
    there.clear_suspect(at(22), OTHER_REQUEST);
    there.merge(at(23), &here.marks(at(23)));
    let cleared = there.check(at(23), OTHER_REQUEST);
    there.record_crash(at(24), &crash(7, &[POISON]));
    here.merge(at(25), &there.marks(at(25)));
    let confirmed = here.check(at(25), POISON);
    insta::assert_debug_snapshot!((text, alone, cleared, confirmed));
}

/// Other work takes each slot as soon as it is free; the reservation of a server
/// still lets the suspected request run alone.
#[test]
fn suspect_runs_alone_and_is_not_starved() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let settings = FleetSettings {
        warmup_ms: 0,
        ..FleetSettings::default()
    };
    let mut fleet = fleet(start, settings, 2, 2);
    let mut busy: Vec<_> = (0..4)
        .map(|n| fleet.choose(start, &service(), &short(n)).expect("slot"))
        .collect();
    let suspect = short(666).with_alone(true);
    let mut waited_ms = 0;
    let ticket = loop {
        match fleet.choose(at(waited_ms), &service(), &suspect) {
            Ok(ticket) => break ticket,
            Err(_) => waited_ms += 1,
        }
        assert!(waited_ms < 10, "the suspected request is starved");
        // Other work requests each slot as soon as it is free.
        if let Some(ended) = (!busy.is_empty()).then(|| busy.remove(0)) {
            fleet.done(at(waited_ms), ended, Outcome::Answered);
        }
        busy.extend(fleet.choose(at(waited_ms), &service(), &short(waited_ms)));
    };
    let server = ticket.server().clone();
    let beside = busy.iter().filter(|t| *t.server() == server).count();
    while let Ok(ticket) = fleet.choose(at(waited_ms), &service(), &short(0)) {
        assert_ne!(
            *ticket.server(),
            server,
            "work beside the suspected request"
        );
        busy.push(ticket);
    }
    assert_eq!(beside, 0);
}
