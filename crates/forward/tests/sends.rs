//! What callers hear when backend servers answer, fail, fall silent or spoil
//! their answers, and how often a request runs.

mod common;

use common::{Play, StandIn, entry, get, route, runs, stand_in, terms};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use world::RequestKind;

/// Both kinds of routes, with a second in which to answer.
fn items() -> Vec<catalog::Item> {
    vec![
        terms(),
        route("safe", RequestKind::Safe, 1_000),
        route("once", RequestKind::Unsafe, 1_000),
    ]
}

async fn two(plays: &[Play]) -> [StandIn; 2] {
    [stand_in("s1", plays).await, stand_in("s2", plays).await]
}

/// Both servers do the same, so it does not matter which one is first.
#[rstest]
#[case::answers("answers", Play::Answer(0))]
#[case::silent("silent", Play::Silent)]
#[case::sheds("sheds", Play::Shed)]
#[case::resets("resets", Play::Reset)]
#[case::halves("halves", Play::Half)]
#[case::mixes("mixes", Play::Mixed)]
#[case::extra("extra", Play::Extra)]
#[case::fails("fails", Play::Fail)]
#[tokio::test]
async fn a_request_by_what_servers_do(#[case] name: &str, #[case] play: Play) {
    let mut rows = Vec::new();
    for path in ["/safe/1", "/once/1"] {
        let servers = two(&[play]).await;
        let entry = entry(&items(), &[&servers[0], &servers[1]]).await;
        let answer = get(&entry, path, "r1").await;
        let runs: usize = runs(&[&servers[0], &servers[1]]).iter().sum();
        rows.push(format!("{path}: {answer}; reached {runs} servers"));
    }
    insta::assert_snapshot!(format!("by_{name}"), rows.join("\n"));
}

#[tokio::test]
async fn a_slow_server_is_not_given_up_for_a_silent_one() {
    let slow = [Play::Answer(700)];
    let (first, second) = (stand_in("s1", &slow).await, stand_in("s2", &slow).await);
    let entry = entry(&items(), &[&first, &second]).await;
    let answer = get(&entry, "/safe/1", "r1").await;
    assert_eq!(answer, "HTTP/1.1 200 OK good");
}

#[tokio::test]
async fn a_second_answer_on_a_connection_is_not_taken_for_the_next_request() {
    let server = stand_in("s1", &[Play::Extra, Play::Answer(0)]).await;
    let entry = entry(&items(), &[&server]).await;
    let mut answers = Vec::new();
    for id in ["r1", "r2", "r3"] {
        answers.push(get(&entry, "/once/1", id).await);
    }
    assert_eq!(answers, ["HTTP/1.1 200 OK good"; 3]);
}

#[tokio::test]
async fn a_server_is_told_no_more_time_than_is_left() {
    let server = stand_in("s1", &[Play::Answer(0)]).await;
    let entry = entry(&items(), &[&server]).await;
    get(&entry, "/safe/1", "r1").await;
    let seen = server.seen.lock().expect("seen").clone();
    assert!(
        seen[0].1 <= 1_000,
        "the route's timeout bounds it: {seen:?}"
    );
}

#[tokio::test]
async fn a_caller_that_leaves_takes_its_request_back() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let server = StandIn {
        name: world::ServerName::new("s1").expect("name"),
        addr: listener.local_addr().expect("address"),
        seen: common::Seen::default(),
    };
    let entry = entry(&items(), &[&server]).await;
    let mut caller = TcpStream::connect(entry.addr).await.expect("connected");
    let head = b"GET /safe/1 HTTP/1.1\r\nhost: site.example\r\nx-id: r1\r\n\r\n";
    caller.write_all(head).await.expect("sent");
    let (mut taken, _) = listener.accept().await.expect("accepted");
    let mut first = [0; 3];
    taken.read_exact(&mut first).await.expect("read");
    drop(caller);
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(
        std::time::Duration::from_millis(500),
        taken.read_to_end(&mut rest),
    );
    assert!(
        closed.await.is_ok(),
        "the server's connection is closed at once"
    );
}

#[tokio::test]
async fn a_missing_route_is_told_only_while_the_routes_are_up_to_date() {
    let server = stand_in("s1", &[Play::Answer(0)]).await;
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
