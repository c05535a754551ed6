//! Which requests are refused after backend servers ended: those under which they end,
//! not those that ran beside them.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Behaviour, Entry, entry, get, route, row, stub_server, terms};
use tokio::time::{Instant, sleep};
use world::RequestKind;

/// Time in which an entry VM finds out that a server on the same machine has ended.
const CHECK_TIME: Duration = Duration::from_millis(200);

/// An entry VM that looks for crashes, with a route whose requests run once.
async fn checking_entry() -> Entry {
    let items = [terms(), route("once", RequestKind::Unsafe, 1_000)];
    let entry = entry(&items, &[]).await;
    let state = Arc::clone(&entry.state);
    tokio::spawn(forward::crashes::check_broken_servers(state));
    entry
}

/// Sends the same request to one server after the other, each of which replaces the one
/// before; returns the responses.
async fn ask_in_turn(entry: &Entry, servers: &[&[Behaviour]]) -> String {
    let mut answers = Vec::new();
    for (at, behaviours) in servers.iter().enumerate() {
        let server = stub_server(&format!("s{at}"), behaviours).await;
        let mut balancer = entry.state.balancer.lock();
        balancer.apply_announcement(&row(&server), 0, Instant::now());
        drop(balancer);
        for number in 0..behaviours.len() {
            answers.push(get(entry, "/once/1", &format!("r{at}-{number}")).await);
            sleep(CHECK_TIME).await;
        }
        let mut balancer = entry.state.balancer.lock();
        balancer.remove_server(&server.name, 1);
    }
    answers.join("\n")
}

#[tokio::test]
async fn a_request_under_which_two_servers_ended_is_refused() {
    let entry = checking_entry().await;
    let servers: [&[Behaviour]; 3] = [
        &[Behaviour::Crash(0)],
        &[Behaviour::Crash(0)],
        &[Behaviour::Answer(0)],
    ];
    insta::assert_snapshot!(ask_in_turn(&entry, &servers).await);
}

/// A popular request runs nearly always somewhere, so also when servers end for other
/// reasons. Soak seed 12: it was refused by all entry VMs, as if it had ended them.
#[tokio::test]
async fn a_popular_request_is_not_blamed_for_crashes_beside_it() {
    let entry = checking_entry().await;
    let answers_then_ends: &[Behaviour] = &[Behaviour::Answer(0), Behaviour::Crash(0)];
    let servers: [&[Behaviour]; 3] = [
        answers_then_ends,
        &[Behaviour::Crash(0)],
        &[Behaviour::Answer(0)],
    ];
    insta::assert_snapshot!(ask_in_turn(&entry, &servers).await);
}

/// A connection that breaks is no crash while the server goes on.
#[tokio::test]
async fn a_request_whose_connections_break_is_not_refused() {
    let entry = checking_entry().await;
    let servers: [&[Behaviour]; 3] = [
        &[Behaviour::Reset],
        &[Behaviour::Reset],
        &[Behaviour::Answer(0)],
    ];
    insta::assert_snapshot!(ask_in_turn(&entry, &servers).await);
}

/// A server that leaves ends as it has said, whatever still runs there.
#[tokio::test]
async fn the_end_of_a_leaving_server_is_no_crash() {
    let entry = checking_entry().await;
    for name in ["s1", "s2"] {
        let server = stub_server(name, &[Behaviour::Crash(100)]).await;
        let mut balancer = entry.state.balancer.lock();
        balancer.apply_announcement(&row(&server), 0, Instant::now());
        drop(balancer);
        let leaves = async {
            sleep(Duration::from_millis(50)).await;
            entry.state.balancer.lock().mark_leaving(&server.name, 1);
        };
        tokio::join!(get(&entry, "/once/1", name), leaves);
        sleep(CHECK_TIME).await;
    }
    let (marks, _) = entry.state.findings.unreported(0, Instant::now());
    assert_eq!(marks.len(), 0, "{marks:?}");
}
