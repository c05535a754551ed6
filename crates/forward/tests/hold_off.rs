//! Requests to servers that ask an entry VM to send none for a while.

mod common;

use std::time::Duration;

use common::{
    Behaviour, entry, get, get_retry_after_ms, received_counts, route, stub_server, terms,
};
use tokio::time::sleep;
use world::RequestKind;

/// Time for which the servers want no requests, milliseconds.
const HOLD_OFF_MS: u64 = 1_200;

fn items() -> Vec<catalog::Item> {
    vec![terms(), route("safe", RequestKind::Safe, 1_000)]
}

/// Such a server kept getting requests, each of which it turned away (BUDGET).
#[tokio::test]
async fn a_server_that_wants_no_requests_for_a_while_gets_none() {
    let held_off = [Behaviour::HoldOff(HOLD_OFF_MS), Behaviour::Answer(0)];
    let server = stub_server("s1", &held_off).await;
    let entry = entry(&items(), &[&server]).await;
    let mut counts = Vec::new();
    for pause_ms in [0, 600, 800] {
        sleep(Duration::from_millis(pause_ms)).await;
        let answer = get(&entry, "/safe/1", "r1").await;
        counts.push(format!("{answer}; {:?}", received_counts(&[&server])));
    }
    insta::assert_snapshot!(counts.join("\n"));
}

/// A client that comes back too early is refused again, one that comes back too late
/// has lost time.
#[tokio::test]
async fn a_refused_client_is_told_when_the_first_server_takes_requests_again() {
    let first = stub_server("s1", &[Behaviour::HoldOff(HOLD_OFF_MS)]).await;
    let second = stub_server("s2", &[Behaviour::HoldOff(2 * HOLD_OFF_MS)]).await;
    let entry = entry(&items(), &[&first, &second]).await;
    get(&entry, "/safe/1", "r1").await;
    let told_ms = get_retry_after_ms(&entry, "/safe/1", "r2")
        .await
        .expect("time");
    assert!(
        (HOLD_OFF_MS - 500..=HOLD_OFF_MS).contains(&told_ms),
        "told {told_ms} ms"
    );
    assert_eq!(received_counts(&[&first, &second]), [1, 1]);
}
