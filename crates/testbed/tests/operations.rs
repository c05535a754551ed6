//! Non-idempotent operations through separate processes: at most one run, true
//! refusals, and the same answer for each resend.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use testbed::process::wait_until;
use testbed::site::{Call, Client, Plan, Reply, Site};
use tokio::time::sleep;

/// Operations of a run under faults.
const OPERATIONS: usize = 48;

/// Attempts at one operation.
const ATTEMPTS: usize = 8;

/// Length of a freeze, longer than an entry VM's silence is borne.
const FREEZE: Duration = Duration::from_secs(4);

async fn site() -> Site {
    Site::start(Plan::small().unwrap()).await.unwrap()
}

fn book(key: &str) -> Call {
    Call::new("/objednavky/book")
        .with_operation(key)
        .with_body("friday")
}

/// Runs of each key over every backend server.
async fn runs(site: &Site) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for backend in site.fleet("objednavky") {
        for run in backend.runs().await.unwrap() {
            *runs.entry(run.key).or_default() += 1;
        }
    }
    runs
}

/// What the caller heard about one operation.
#[derive(Debug, Default)]
struct Heard {
    bodies: Vec<String>,
    refusals: Vec<String>,
    failures: usize,
}

impl Heard {
    fn note(&mut self, reply: &Reply) {
        if reply.status == 200 {
            self.bodies
                .push(String::from_utf8_lossy(&reply.body).into_owned());
        } else {
            self.refusals.push(reply.summary());
        }
    }

    fn only_not_run(&self) -> bool {
        let is_not_run = |r: &String| r.ends_with("not run");
        self.bodies.is_empty() && self.failures == 0 && self.refusals.iter().all(is_not_run)
    }
}

/// Checks what callers heard against what backend servers ran.
fn check(heard: &BTreeMap<String, Heard>, runs: &BTreeMap<String, usize>) {
    for (key, heard) in heard {
        let count = runs.get(key).copied().unwrap_or_default();
        assert!(count <= 1, "{key} ran {count} times: {heard:?}");
        if !heard.bodies.is_empty() {
            assert_eq!(count, 1, "{key}: {heard:?}");
        }
        if heard.only_not_run() {
            assert_eq!(count, 0, "{key}: {heard:?}");
        }
        let first = heard.bodies.first();
        assert!(
            heard.bodies.iter().all(|b| Some(b) == first),
            "{key}: {heard:?}"
        );
    }
}

#[tokio::test]
async fn operation_needs_a_key_and_keeps_its_content() {
    let site = site().await;
    let front = site.entries[0].front_addr;
    let other = site.entries[3].front_addr;
    let without_key = Call {
        operation: None,
        ..book("none")
    };
    let mut shown = Vec::new();
    for (front, call) in [
        (front, without_key),
        (front, book("k-1")),
        (other, book("k-1")),
        (other, book("k-1").with_body("saturday")),
    ] {
        shown.push(call.send_to(front).await.unwrap().summary());
    }
    insta::assert_snapshot!(shown.join("\n"));
    assert_eq!(runs(&site).await, BTreeMap::from([("k-1".into(), 1)]));
}

#[tokio::test]
async fn resends_at_once_through_two_entry_vms_run_once() {
    let site = site().await;
    let fronts = [site.entries[0].front_addr, site.entries[3].front_addr];
    let keys: Vec<String> = (0..20).map(|n| format!("twice-{n}")).collect();
    let calls = keys.iter().map(|key| async {
        let mut heard = Heard::default();
        let call = book(key);
        let both = tokio::join!(call.send_to(fronts[0]), call.send_to(fronts[1]));
        for reply in [both.0, both.1] {
            heard.note(&reply.unwrap());
        }
        let again = || async {
            let reply = call.send_to(fronts[1]).await.unwrap();
            (reply.status == 200).then_some(reply)
        };
        heard.note(&wait_until("a resend is answered", again).await.unwrap());
        (key.clone(), heard)
    });
    let heard: BTreeMap<_, _> = join_all(calls).await.into_iter().collect();
    check(&heard, &runs(&site).await);
}

/// Sends one operation through one entry VM after another until it is answered.
async fn insist(clients: &[Client], number: usize) -> (String, Heard) {
    let key = format!("faults-{number}");
    let mut heard = Heard::default();
    for attempt in 0..ATTEMPTS {
        let client = &clients[(number + attempt) % clients.len()];
        let call = book(&key).with_deadline(Duration::from_secs(3));
        match client.call(&call).await {
            Ok(reply) => heard.note(&reply),
            Err(_) => heard.failures += 1,
        }
        if !heard.bodies.is_empty() {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    (key, heard)
}

/// One client for each entry VM, at an address that is sent there first.
async fn clients_of_each_entry(site: &Site) -> Vec<Client> {
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..=u8::MAX {
        let addr = [192, 0, number, 1].into();
        let client = Client::at(site.desks()[0], "objednavky", addr).await;
        let client = client.unwrap();
        let first = &client.entries()[0].name;
        if !clients.iter().any(|c| c.entries()[0].name == *first) {
            clients.push(client);
        }
    }
    assert_eq!(clients.len(), site.entries.len());
    clients
}

#[tokio::test]
async fn operations_run_once_while_entry_vms_die_and_freeze() {
    let mut site = site().await;
    for backend in site.fleet("objednavky") {
        let knobs = json!({ "base_us": 50_000, "late_per_mille": 100, "late_ms": 4_000, "cut_per_mille": 50 });
        backend.set(knobs).await.unwrap();
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
    let calls = join_all((0..OPERATIONS).map(|number| insist(&clients, number)));
    let (heard, ()) = tokio::join!(calls, faults);
    let heard: BTreeMap<_, _> = heard.into_iter().collect();
    check(&heard, &runs(&site).await);
    let answered = heard.values().filter(|h| !h.bodies.is_empty()).count();
    assert!(
        answered > OPERATIONS / 2,
        "only {answered} answered: {heard:#?}"
    );
}
