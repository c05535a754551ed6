//! Responses to clients when backend servers respond, fail, are unresponsive or
//! return invalid responses, and how often a request runs.

mod common;

use common::{Behaviour, StubServer, entry, get, received_counts, route, stub_server, terms};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use world::RequestKind;

/// An idempotent and a non-idempotent route, each with a timeout of 1 s.
fn items() -> Vec<catalog::Item> {
    vec![
        terms(),
        route("safe", RequestKind::Safe, 1_000),
        route("once", RequestKind::Unsafe, 1_000),
    ]
}

/// Two stub servers with the same behaviour.
async fn two_stubs(behaviours: &[Behaviour]) -> [StubServer; 2] {
    [
        stub_server("s1", behaviours).await,
        stub_server("s2", behaviours).await,
    ]
}

/// Both servers behave alike, so the result does not depend on which is chosen
/// first.
#[rstest]
#[case::answers("answers", Behaviour::Answer(0))]
#[case::silent("silent", Behaviour::Silent)]
#[case::sheds("sheds", Behaviour::Shed)]
#[case::resets("resets", Behaviour::Reset)]
#[case::halves("halves", Behaviour::Half)]
#[case::mixes("mixes", Behaviour::WrongId)]
#[case::extra("extra", Behaviour::Extra)]
#[case::fails("fails", Behaviour::Fail)]
#[tokio::test]
async fn result_for_each_server_behaviour(#[case] name: &str, #[case] behaviour: Behaviour) {
    let mut rows = Vec::new();
    for path in ["/safe/1", "/once/1"] {
        let servers = two_stubs(&[behaviour]).await;
        let entry = entry(&items(), &[&servers[0], &servers[1]]).await;
        let answer = get(&entry, path, "r1").await;
        let count: usize = received_counts(&[&servers[0], &servers[1]]).iter().sum();
        rows.push(format!("{path}: {answer}; received {count} times"));
    }
    insta::assert_snapshot!(format!("by_{name}"), rows.join("\n"));
}

/// Both servers respond after 700 ms. A request that gave up its first attempt
/// at half of its timeout of 1 s would miss the deadline on the second server.
#[tokio::test]
async fn a_slow_server_is_not_mistaken_for_an_unresponsive_one() {
    let slow = [Behaviour::Answer(700)];
    let (first, second) = (
        stub_server("s1", &slow).await,
        stub_server("s2", &slow).await,
    );
    let entry = entry(&items(), &[&first, &second]).await;
    let answer = get(&entry, "/safe/1", "r1").await;
    assert_eq!(answer, "HTTP/1.1 200 OK good");
}

/// A server sends two responses to one request. The second one must not be read
/// as the response to the next request on that connection.
#[tokio::test]
async fn a_second_response_on_a_connection_is_not_taken_for_the_next_request() {
    let server = stub_server("s1", &[Behaviour::Extra, Behaviour::Answer(0)]).await;
    let entry = entry(&items(), &[&server]).await;
    let mut answers = Vec::new();
    for id in ["r1", "r2", "r3"] {
        answers.push(get(&entry, "/once/1", id).await);
    }
    assert_eq!(answers, ["HTTP/1.1 200 OK good"; 3]);
}

/// The client's deadline of 5 s is longer than the route's timeout of 1 s.
#[tokio::test]
async fn a_server_is_told_no_more_time_than_is_left() {
    let server = stub_server("s1", &[Behaviour::Answer(0)]).await;
    let entry = entry(&items(), &[&server]).await;
    get(&entry, "/safe/1", "r1").await;
    let received = server.received.lock().expect("received").clone();
    assert!(
        received[0].1 <= 1_000,
        "the route's timeout bounds it: {received:?}"
    );
}

/// When a client disconnects, the connection to the server must close, so that
/// the server can stop working on the request.
#[tokio::test]
async fn a_disconnected_client_closes_the_server_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let server = StubServer {
        name: world::ServerName::new("s1").expect("name"),
        addr: listener.local_addr().expect("address"),
        received: common::ReceivedRequests::default(),
        endless_bytes: std::sync::Arc::default(),
    };
    let entry = entry(&items(), &[&server]).await;
    let mut client = TcpStream::connect(entry.addr).await.expect("connected");
    let head = b"GET /safe/1 HTTP/1.1\r\nhost: site.example\r\nx-id: r1\r\n\r\n";
    client.write_all(head).await.expect("sent");
    let (mut accepted, _) = listener.accept().await.expect("accepted");
    let mut first = [0; 3];
    accepted.read_exact(&mut first).await.expect("read");
    drop(client);
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(
        std::time::Duration::from_millis(500),
        accepted.read_to_end(&mut rest),
    );
    assert!(
        closed.await.is_ok(),
        "the server's connection is closed at once"
    );
}

/// An entry VM whose routes may be out of date must not respond with 404 to a
/// request for a route that may be new.
#[tokio::test]
async fn a_missing_route_is_told_only_while_the_routes_are_up_to_date() {
    let server = stub_server("s1", &[Behaviour::Answer(0)]).await;
    let entry = entry(&items(), &[&server]).await;
    let mut answers = vec![get(&entry, "/none/1", "r1").await];
    let now = Instant::now();
    entry.state.confirm(now);
    answers.push(get(&entry, "/none/1", "r2").await);
    entry
        .state
        .confirm(now.checked_sub(Duration::from_secs(2)).expect("time"));
    answers.push(get(&entry, "/none/1", "r3").await);
    assert_eq!(
        answers,
        [
            "HTTP/1.1 503 Service Unavailable no_config",
            "HTTP/1.1 404 Not Found no_route",
            "HTTP/1.1 503 Service Unavailable no_config",
        ]
    );
}

/// A server may be cut off from the control VMs when it leaves, so that its responses
/// alone tell of it (DRAIN).
#[tokio::test]
async fn a_server_that_says_in_a_response_that_it_leaves_gets_nothing_more() {
    let leaving = stub_server("s1", &[Behaviour::Leaving]).await;
    let entry = entry(&items(), &[&leaving]).await;
    let mut answers = Vec::new();
    for id in ["r1", "r2"] {
        answers.push(get(&entry, "/safe/1", id).await);
    }
    let overloaded = "HTTP/1.1 503 Service Unavailable overloaded";
    assert_eq!(answers, ["HTTP/1.1 200 OK good", overloaded]);
    assert_eq!(received_counts(&[&leaving]), [1]);
    let (reported, _) = entry.state.findings.unreported(0, Instant::now());
    insta::assert_debug_snapshot!(reported[0].row);
}

/// Weights of an operator whose sum does not fit their type must not end the process.
#[tokio::test]
async fn a_route_with_huge_weights_is_served() {
    let server = stub_server("s1", &[Behaviour::Answer(0)]).await;
    let mut items = items();
    for item in &mut items {
        if let catalog::Body::Route(route) = &mut item.body {
            let route = std::sync::Arc::make_mut(route);
            route.parts[0].weight = u32::MAX;
            route.parts.push(route.parts[0].clone());
        }
    }
    let entry = entry(&items, &[&server]).await;
    assert_eq!(get(&entry, "/safe/1", "r1").await, "HTTP/1.1 200 OK good");
}

/// A faulty server writes the refusal of an earlier request once more on a kept
/// connection. The next request may be running, so its client must not be told that it
/// is not, nor may it run elsewhere (issue 19: REFUSED, TWICE).
#[rstest]
#[case::in_its_place("in_its_place", [Behaviour::Shed, Behaviour::Repeat])]
#[case::without_id("without_id", [Behaviour::ShedWithoutId, Behaviour::Repeat])]
#[case::at_once("at_once", [Behaviour::ShedTwice, Behaviour::Answer(0)])]
#[tokio::test]
async fn a_repeated_refusal_is_not_taken_for_the_next_request(
    #[case] name: &str,
    #[case] behaviours: [Behaviour; 2],
) {
    let server = stub_server("s1", &behaviours).await;
    let entry = entry(&items(), &[&server]).await;
    let mut rows = Vec::new();
    for id in ["r1", "r2"] {
        let answer = get(&entry, "/once/1", id).await;
        rows.push(format!(
            "{answer}; received {:?}",
            received_counts(&[&server])
        ));
    }
    insta::assert_snapshot!(format!("repeated_refusal_{name}"), rows.join("\n"));
}
