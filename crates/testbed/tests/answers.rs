//! Faulty responses of backend servers (another request's, late or truncated ones) and
//! silenced connections: no client may receive a wrong response or take a truncated one
//! for complete.

use std::time::Duration;

use serde_json::{Value, json};
use testbed::process::wait_until;
use testbed::relay::Relay;
use testbed::site::{Backend, Client, ClientRequest, Fleet, Site, SitePlan, keys, service};
use waxwingctl::load::{Profile, Report, Stream, run};
use world::Class;

async fn site() -> Site {
    Site::start(SitePlan::small().unwrap()).await.unwrap()
}

/// Changes the behaviour of every backend server.
async fn set_all(site: &Site, settings: Value) {
    for backend in &site.backends {
        backend.set_behaviour(settings.clone()).await.unwrap();
    }
}

async fn load(site: &Site, service: &str, per_s: f64) -> Report {
    let stream = Stream::new(service.parse().unwrap(), per_s, keys()).with_deadline_ms(2_000);
    run(&Profile::new(site.api_addrs(), 2.0, 21).with_streams(vec![stream])).await
}

/// A backend server that confuses requests responds with another request's id and
/// content; the entry VM must not forward such a response.
#[tokio::test]
async fn responses_to_other_requests_never_reach_a_client() {
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
    assert!(
        crossed > 10,
        "only {crossed} responses were another request's"
    );
}

/// Guards against a status that HTTP does not have, of a backend server in trouble, which
/// clients get as an answer.
#[tokio::test]
async fn responses_with_a_status_that_is_none_never_reach_a_client() {
    let site = site().await;
    set_all(&site, json!({ "odd_status_per_mille": 500 })).await;
    let client = Client::new(site.api_addrs()[0], "terminy").await.unwrap();
    let mut statuses = std::collections::BTreeMap::new();
    for number in 0..60 {
        let path = format!("/terminy/slots?n={number}");
        let response = client.send(&ClientRequest::new(&path)).await.unwrap();
        *statuses.entry(response.status).or_insert(0) += 1;
    }
    assert!(statuses.contains_key(&200), "{statuses:?}");
    assert!(statuses.keys().all(|status| *status < 600), "{statuses:?}");
    let mut odd = 0;
    for backend in site.fleet("terminy") {
        odd += backend.stats().await.unwrap().odd_status;
    }
    assert!(odd > 10, "only {odd} responses had such a status");
}

/// A backend server that closes the connection within the body must not cause a response
/// that the client takes for complete.
#[tokio::test]
async fn truncated_responses_are_never_taken_for_complete() {
    let site = site().await;
    set_all(&site, json!({ "cut_per_mille": 500 })).await;
    let client = Client::new(site.api_addrs()[0], "terminy").await.unwrap();
    let (mut complete, mut refused, mut failed) = (0, 0, 0);
    for number in 0..60 {
        let path = format!("/terminy/slots?n={number}");
        match client.send(&ClientRequest::new(&path)).await {
            Ok(response) if response.status == 200 => {
                let expected_path = format!("/slots?n={number}");
                assert_eq!(response.json()["path"], expected_path, "{response:?}");
                complete += 1;
            }
            Ok(_) => refused += 1,
            Err(_) => failed += 1,
        }
    }
    assert!(
        complete > 0,
        "{complete} complete, {refused} refused, {failed} failed"
    );
    let mut cut = 0;
    for backend in site.fleet("terminy") {
        cut += backend.stats().await.unwrap().cut;
    }
    assert!(cut > 10, "only {cut} responses were truncated");
}

/// A response that arrives after its client's deadline must not be read as the response
/// to the next request on the same connection.
#[tokio::test]
async fn late_responses_are_never_read_as_the_next_response() {
    let site = site().await;
    set_all(&site, json!({ "late_per_mille": 300, "late_ms": 700 })).await;
    let stream = Stream::new("terminy".parse().unwrap(), 60.0, keys()).with_deadline_ms(400);
    let profile = Profile::new(site.api_addrs(), 3.0, 22).with_streams(vec![stream]);
    let report = run(&profile).await;
    assert_eq!(report.rows[0].wrong, 0, "\n{}", report.to_table());
    assert!(report.rows[0].good > 0, "\n{}", report.to_table());
}

/// Starts a site whose only backend server is reached through a relay.
async fn site_with_relayed_server() -> (Site, Relay, Backend) {
    let terminy = service("terminy", Class::Short, true, 5_000).unwrap();
    let plan = SitePlan::small().unwrap();
    let site = Site::start(plan.with_fleets(vec![Fleet::new(terminy, 0, 4)]))
        .await
        .unwrap();
    let relay = Relay::start().await.unwrap();
    let place = site.entries[0].place.clone();
    let api_addrs: Vec<_> = site
        .entries
        .iter()
        .filter(|e| e.place == place)
        .map(|e| e.api_addr)
        .collect();
    let fleet = &site.plan.fleets[0];
    let backend = Backend::start(fleet, 1, &place, &api_addrs, Some(relay.addr), site.dir())
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

/// Pooled connections to a backend server that forward nothing any more, without being
/// closed, may delay idempotent requests but not fail them.
#[tokio::test]
async fn silent_connections_delay_but_lose_nothing() {
    let (site, relay, _backend) = site_with_relayed_server().await;
    let front = site.entries[0].front_addr;
    for round in 0..5 {
        let requests = (0..4).map(|_| async {
            let request = ClientRequest::new("/terminy/").with_deadline(Duration::from_secs(4));
            request.send_to(front).await
        });
        for response in futures_util::future::join_all(requests).await {
            let response = response.unwrap();
            assert_eq!(response.status, 200, "round {round}: {response:?}");
        }
        relay.silence_connections();
    }
}
