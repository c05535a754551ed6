//! Leases, drains and changes of a server's owner, as timelines.
//!
//! Guards against new work on a server without a valid lease, on a draining
//! server, or on a server that another entry VM still owns.

mod support;

use std::time::Duration;

use balancer::{Fleet, FleetSettings, NoSlot, Outcome};
use support::{fleet, server, server_name, service, short};
use tokio::time::Instant;
use world::{BackendServer, Config, Drain, Lifecycle};

/// Name of the server that gets new work, or why no server does.
fn chosen_server(fleet: &mut Fleet, now: Instant) -> String {
    match fleet.choose(now, &service(), &short(1)) {
        Ok(ticket) => {
            let name = ticket.server().to_string();
            fleet.done(now, ticket, Outcome::Answered);
            name
        }
        Err(no_slot) => format!("{no_slot:?}"),
    }
}

#[test]
fn life_of_a_lease() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(start, FleetSettings::default(), 0, 1);
    let with = |incarnation, lifecycle| BackendServer {
        incarnation,
        lifecycle,
        ..server(0, 1)
    };
    let serving = |incarnation| with(incarnation, Lifecycle::Serving);
    let mut rows = vec![format!("before: {}", chosen_server(&mut fleet, start))];
    let mut step = |ms: u64, what: &str, info: Option<&BackendServer>| {
        let announced = info.map(|i| fleet.announce(at(ms), i));
        let to = chosen_server(&mut fleet, at(ms));
        fleet.expire(at(ms));
        rows.push(format!(
            "{ms:>5} ms, {what}: {announced:?}, work goes to {to}"
        ));
    };
    step(0, "first announcement", Some(&serving(2)));
    step(1_000, "earlier incarnation", Some(&serving(1)));
    step(2_000, "same incarnation", Some(&serving(2)));
    step(4_999, "no announcement", None);
    step(5_000, "no announcement", None);
    step(5_500, "earlier incarnation", Some(&serving(1)));
    step(6_000, "announced again", Some(&serving(2)));
    step(7_000, "draining", Some(&with(2, Lifecycle::Draining)));
    step(7_500, "late announcement", Some(&serving(2)));
    step(8_000, "new incarnation", Some(&serving(3)));
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn drained_server_gets_nothing_new_and_ends_its_work() {
    let now = Instant::now();
    let mut fleet = fleet(now, FleetSettings::default(), 1, 2);
    let running = fleet.choose(now, &service(), &short(1)).expect("slot");
    let config = Config {
        drains: vec![Drain::Server(server_name(0))],
        ..Config::default()
    };
    fleet.apply_drains(&config);
    let refused = fleet.choose(now, &service(), &short(2)).err();
    let during = fleet.view(now);
    fleet.done(now, running, Outcome::Answered);
    fleet.apply_drains(&Config::default());
    let after = chosen_server(&mut fleet, now);
    insta::assert_debug_snapshot!((refused, during, after));
}

#[test]
fn new_owner_waits_out_the_old_owners_lease() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(start, FleetSettings::default(), 1, 1);
    fleet.set_owned(&service(), &server_name(0), Some(at(2_000)));
    let early = fleet.choose(at(1_999), &service(), &short(1)).err();
    let ready = chosen_server(&mut fleet, at(2_000));
    fleet.set_owned(&service(), &server_name(0), None);
    let lost = fleet.choose(at(2_001), &service(), &short(1)).err();
    assert_eq!(early, Some(NoSlot::NoServer));
    assert_eq!(ready, "s00");
    assert_eq!(lost, Some(NoSlot::NoServer));
}
