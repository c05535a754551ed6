//! Bytes of a faulty server that do not end, in a head or a body: they must not hold
//! the client beyond its deadline, nor fill the memory or the link of the entry VM.

mod common;

use std::sync::LazyLock;
use std::time::Duration;

use common::{Behaviour, entry, get_text, route, stub_server, terms};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use world::RequestKind;

/// Timeout of the route, milliseconds. The clients wait for 5 s.
const TIMEOUT_MS: u64 = 1_000;

/// Time that a response may take beyond the deadline of its kind.
const MARGIN: Duration = Duration::from_millis(500);

/// Most bytes of a head without end that may be taken: what the entry VM reads of a
/// head, and what the buffers of both sockets hold.
const HEAD_TAKEN_MAX: usize = 16 << 20;

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n";
/// A chunk of 1,024 bytes.
static CHUNK: LazyLock<String> = LazyLock::new(|| format!("400\r\n{}\r\n", "a".repeat(1_024)));

/// Sends a request to a server with an endless response; returns the status line, how
/// long the response took, and the bytes that the server could send.
async fn ask(start: &'static str, repeated: &'static str) -> (String, Duration, usize) {
    let server = stub_server("s1", &[Behaviour::Endless(start, repeated)]).await;
    let items = [terms(), route("once", RequestKind::Unsafe, TIMEOUT_MS)];
    let entry = entry(&items, &[&server]).await;
    let asked_at = Instant::now();
    let answer = timeout(Duration::from_secs(10), get_text(&entry, "/once/1", "r1")).await;
    let took = asked_at.elapsed();
    sleep(MARGIN).await;
    let taken = server.endless_bytes.lock().expect("bytes").take();
    let answer = answer.expect("the response ends").unwrap_or("reset".into());
    let status = answer.lines().next().unwrap_or("closed").to_owned();
    (
        status,
        took,
        taken.expect("the server's connection is closed"),
    )
}

#[rstest]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x-odd: 1\r\n")]
#[case::one_line("HTTP/1.1 200 OK\r\nx-odd: ", "a")]
#[case::no_http("", "a")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[tokio::test]
async fn a_head_without_end_is_given_up(
    #[case] start: &'static str,
    #[case] repeated: &'static str,
) {
    let (status, took, taken) = ask(start, repeated).await;
    assert!(status.starts_with("HTTP/1.1 50"), "{status}");
    assert!(
        took < Duration::from_millis(TIMEOUT_MS) + MARGIN,
        "took {took:?}"
    );
    assert!(taken < HEAD_TAKEN_MAX, "{taken} bytes were taken");
}

#[tokio::test]
async fn a_refusal_whose_body_has_no_end_is_told_at_once() {
    let (status, took, _) = ask(REFUSAL, &CHUNK).await;
    assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    assert!(
        took < Duration::from_millis(TIMEOUT_MS) + MARGIN,
        "took {took:?}"
    );
}

/// The client has left by its deadline of 5 s, so nobody wants more bytes then.
#[tokio::test]
async fn a_body_without_end_is_cut_off_at_the_clients_deadline() {
    let (status, took, _) = ask(CHUNKED, &CHUNK).await;
    assert!(
        status.starts_with("reset") || status.starts_with("HTTP/1.1 200"),
        "{status}"
    );
    assert!(took < Duration::from_secs(5) + MARGIN, "took {took:?}");
}
