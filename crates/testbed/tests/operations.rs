//! Non-idempotent operations through separate processes: an operation runs at most once,
//! a request refused as not run has not run, and each resend gets the same response.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use testbed::process::wait_until;
use testbed::site::{Client, ClientRequest, ClientResponse, Site, SitePlan};
use tokio::time::sleep;

/// Number of operations in the test under faults.
const OPERATIONS: usize = 48;

/// Maximum number of requests for one operation.
const ATTEMPTS: usize = 8;

/// Length of a freeze; longer than a lease (1 s) and than `suspicion_timeout` (3 s) of the
/// membership protocol.
const FREEZE: Duration = Duration::from_secs(4);

async fn site() -> Site {
    Site::start(SitePlan::small().unwrap()).await.unwrap()
}

fn book(key: &str) -> ClientRequest {
    ClientRequest::new("/objednavky/book")
        .with_operation(key)
        .with_body("friday")
}

/// Returns the number of runs of each idempotency key on all backend servers.
async fn runs(site: &Site) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for backend in site.fleet("objednavky") {
        for run in backend.runs().await.unwrap() {
            *runs.entry(run.key).or_default() += 1;
        }
    }
    runs
}

/// Results of all requests for one operation.
#[derive(Debug, Default)]
struct Results {
    bodies: Vec<String>,
    refusals: Vec<String>,
    failures: usize,
}

impl Results {
    fn record(&mut self, response: &ClientResponse) {
        if response.status == 200 {
            self.bodies
                .push(String::from_utf8_lossy(&response.body).into_owned());
        } else {
            self.refusals.push(response.summary());
        }
    }

    fn all_not_run(&self) -> bool {
        let is_not_run = |r: &String| r.ends_with("not run");
        self.bodies.is_empty() && self.failures == 0 && self.refusals.iter().all(is_not_run)
    }
}

/// Checks the results that clients received against the runs on the backend servers.
fn check(results: &BTreeMap<String, Results>, runs: &BTreeMap<String, usize>) {
    for (key, results) in results {
        let count = runs.get(key).copied().unwrap_or_default();
        assert!(count <= 1, "{key} ran {count} times: {results:?}");
        if !results.bodies.is_empty() {
            assert_eq!(count, 1, "{key}: {results:?}");
        }
        if results.all_not_run() {
            assert_eq!(count, 0, "{key}: {results:?}");
        }
        let first = results.bodies.first();
        assert!(
            results.bodies.iter().all(|b| Some(b) == first),
            "{key}: {results:?}"
        );
    }
}

#[tokio::test]
async fn operation_needs_a_key_and_keeps_its_content() {
    let site = site().await;
    let front = site.entries[0].front_addr;
    let other = site.entries[3].front_addr;
    let without_key = ClientRequest {
        idempotency_key: None,
        ..book("none")
    };
    let mut summaries = Vec::new();
    for (front, request) in [
        (front, without_key),
        (front, book("k-1")),
        (other, book("k-1")),
        (other, book("k-1").with_body("saturday")),
    ] {
        summaries.push(request.send_to(front).await.unwrap().summary());
    }
    insta::assert_snapshot!(summaries.join("\n"));
    assert_eq!(runs(&site).await, BTreeMap::from([("k-1".into(), 1)]));
}

/// Two entry VMs that receive the same operation at the same time must not both run it.
#[tokio::test]
async fn resends_at_once_through_two_entry_vms_run_once() {
    let site = site().await;
    let fronts = [site.entries[0].front_addr, site.entries[3].front_addr];
    let keys: Vec<String> = (0..20).map(|n| format!("twice-{n}")).collect();
    let requests = keys.iter().map(|key| async {
        let mut results = Results::default();
        let request = book(key);
        let both = tokio::join!(request.send_to(fronts[0]), request.send_to(fronts[1]));
        for response in [both.0, both.1] {
            results.record(&response.unwrap());
        }
        let poll_resend = || async {
            let response = request.send_to(fronts[1]).await.unwrap();
            (response.status == 200).then_some(response)
        };
        results.record(
            &wait_until("a resend is answered", poll_resend)
                .await
                .unwrap(),
        );
        (key.clone(), results)
    });
    let results: BTreeMap<_, _> = join_all(requests).await.into_iter().collect();
    check(&results, &runs(&site).await);
}

/// Sends one operation through one entry VM after another until it succeeds.
async fn send_until_answered(clients: &[Client], number: usize) -> (String, Results) {
    let key = format!("faults-{number}");
    let mut results = Results::default();
    for attempt in 0..ATTEMPTS {
        let client = &clients[(number + attempt) % clients.len()];
        let request = book(&key).with_deadline(Duration::from_secs(3));
        match client.send(&request).await {
            Ok(response) => results.record(&response),
            Err(_) => results.failures += 1,
        }
        if !results.bodies.is_empty() {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    (key, results)
}

/// Returns a client for each entry VM, at an address whose lookup lists that VM first.
async fn clients_of_each_entry(site: &Site) -> Vec<Client> {
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..=u8::MAX {
        let addr = [192, 0, number, 1].into();
        let client = Client::new_for(site.api_addrs()[0], "objednavky", addr).await;
        let client = client.unwrap();
        let first = &client.entries()[0].name;
        if !clients.iter().any(|c| c.entries()[0].name == *first) {
            clients.push(client);
        }
    }
    assert_eq!(clients.len(), site.entries.len());
    clients
}

/// An entry VM that is killed, or frozen and resumed, must not cause a second run of an
/// operation or a false "not run" while clients resend through the other entry VMs.
#[tokio::test]
async fn operations_run_once_while_entry_vms_die_and_freeze() {
    let mut site = site().await;
    for backend in site.fleet("objednavky") {
        let settings = json!({ "base_us": 50_000, "late_per_mille": 100, "late_ms": 4_000, "cut_per_mille": 50 });
        backend.set_behaviour(settings).await.unwrap();
    }
    let clients = clients_of_each_entry(&site).await;
    let mut killed = site.entries.remove(0);
    let frozen = site.entries.remove(0);
    let faults = async {
        sleep(Duration::from_millis(100)).await;
        frozen.process.freeze().unwrap();
        killed.process.kill().await.unwrap();
        sleep(FREEZE).await;
        frozen.process.thaw().unwrap();
    };
    let requests = join_all((0..OPERATIONS).map(|number| send_until_answered(&clients, number)));
    let (results, ()) = tokio::join!(requests, faults);
    let results: BTreeMap<_, _> = results.into_iter().collect();
    check(&results, &runs(&site).await);
    let answered = results.values().filter(|h| !h.bodies.is_empty()).count();
    assert!(
        answered > OPERATIONS / 2,
        "only {answered} operations succeeded: {results:#?}"
    );
}
