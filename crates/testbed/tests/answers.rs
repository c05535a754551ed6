//! Crossed, late and cut-off answers, and silent connections.

use std::time::Duration;

use serde_json::{Value, json};
use testbed::process::wait_until;
use testbed::relay::Relay;
use testbed::site::{Backend, Call, Client, Fleet, Plan, Site, keys, service};
use waxwingctl::load::{Profile, Report, Stream, run};
use world::Class;

async fn site() -> Site {
    Site::start(Plan::small().unwrap()).await.unwrap()
}

async fn set_all(site: &Site, knobs: Value) {
    for backend in &site.backends {
        backend.set(knobs.clone()).await.unwrap();
    }
}

async fn load(site: &Site, service: &str, per_s: f64) -> Report {
    let stream = Stream::new(service.parse().unwrap(), per_s, keys()).with_deadline_ms(2_000);
    run(&Profile::new(site.desks(), 2.0, 21).with_streams(vec![stream])).await
}

#[tokio::test]
async fn crossed_answers_never_reach_a_caller() {
    let site = site().await;
    set_all(&site, json!({ "cross_per_mille": 300 })).await;
    let report = load(&site, "terminy", 100.0).await;
    let row = &report.rows[0];
    assert_eq!(row.wrong, 0, "\n{}", report.to_table());
    assert!(row.good > 0, "\n{}", report.to_table());
    let mut crossed = 0;
    for backend in site.fleet("terminy") {
        crossed += backend.stats().await.unwrap().crossed;
    }
    assert!(crossed > 10, "only {crossed} answers were crossed");
}

#[tokio::test]
async fn cut_off_answers_never_look_whole() {
    let site = site().await;
    set_all(&site, json!({ "cut_per_mille": 500 })).await;
    let client = Client::new(site.desks()[0], "terminy").await.unwrap();
    let (mut whole, mut refused, mut broken) = (0, 0, 0);
    for number in 0..60 {
        let path = format!("/terminy/slots?n={number}");
        match client.call(&Call::new(&path)).await {
            Ok(reply) if reply.status == 200 => {
                let asked = format!("/slots?n={number}");
                assert_eq!(reply.json()["path"], asked, "{reply:?}");
                whole += 1;
            }
            Ok(_) => refused += 1,
            Err(_) => broken += 1,
        }
    }
    assert!(
        whole > 0,
        "{whole} whole, {refused} refused, {broken} broken"
    );
    let mut cut = 0;
    for backend in site.fleet("terminy") {
        cut += backend.stats().await.unwrap().cut;
    }
    assert!(cut > 10, "only {cut} answers were cut off");
}

#[tokio::test]
async fn late_answers_never_reach_the_next_caller() {
    let site = site().await;
    set_all(&site, json!({ "late_per_mille": 300, "late_ms": 700 })).await;
    let stream = Stream::new("terminy".parse().unwrap(), 60.0, keys()).with_deadline_ms(400);
    let profile = Profile::new(site.desks(), 3.0, 22).with_streams(vec![stream]);
    let report = run(&profile).await;
    assert_eq!(report.rows[0].wrong, 0, "\n{}", report.to_table());
    assert!(report.rows[0].good > 0, "\n{}", report.to_table());
}

/// A site whose one backend server stands behind a relay.
async fn behind_relay() -> (Site, Relay, Backend) {
    let terminy = service("terminy", Class::Short, true, 5_000).unwrap();
    let plan = Plan::small().unwrap();
    let site = Site::start(plan.with_fleets(vec![Fleet::new(terminy, 0, 4)]))
        .await
        .unwrap();
    let relay = Relay::start().await.unwrap();
    let place = site.entries[0].place.clone();
    let desks: Vec<_> = site
        .entries
        .iter()
        .filter(|e| e.place == place)
        .map(|e| e.desk_addr)
        .collect();
    let fleet = &site.plan.fleets[0];
    let backend = Backend::start(fleet, 1, &place, &desks, Some(relay.addr), site.dir())
        .await
        .unwrap();
    relay.set_target(backend.addr().unwrap());
    let is_known = || async {
        let status = site.status(0).await?;
        (!status.servers.is_empty()).then_some(())
    };
    wait_until("backend server is known", is_known)
        .await
        .unwrap();
    (site, relay, backend)
}

#[tokio::test]
async fn silent_connections_delay_but_lose_nothing() {
    let (site, relay, _backend) = behind_relay().await;
    let front = site.entries[0].front_addr;
    for round in 0..5 {
        let calls = (0..4).map(|_| async {
            let call = Call::new("/terminy/").with_deadline(Duration::from_secs(4));
            call.send_to(front).await
        });
        for reply in futures_util::future::join_all(calls).await {
            let reply = reply.unwrap();
            assert_eq!(reply.status, 200, "round {round}: {reply:?}");
        }
        relay.forget_connections();
    }
}
