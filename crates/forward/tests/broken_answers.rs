//! Responses that break off at each byte, and second copies of a response that arrive
//! late: no client gets a part as the whole, or the response to another request.

mod common;

use std::time::Duration;

use common::{Behaviour, ConnectionEnd, entry, get_text, route, stub_server, terms};
use rstest::rstest;
use tokio::time::sleep;
use world::RequestKind;

/// A response with a length.
const WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\ngood";

/// A response in two chunks, with a trailer.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\nx-end: 1\r\n\r\n";

/// A response that ends with its connection.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: 1\r\n\r\ngood";

/// Whether the client's response is a success.
fn is_success(text: &str) -> bool {
    text.starts_with("HTTP/1.1 2")
}

/// The server stops in the middle of the head, of the body or of what ends it.
#[rstest]
#[case::length(WITH_LENGTH, ConnectionEnd::Closed)]
#[case::length_reset(WITH_LENGTH, ConnectionEnd::Reset)]
#[case::chunks(CHUNKED, ConnectionEnd::Closed)]
#[case::chunks_reset(CHUNKED, ConnectionEnd::Reset)]
#[case::without_length_reset(WITHOUT_LENGTH, ConnectionEnd::Reset)]
#[tokio::test]
async fn a_response_that_breaks_off_at_any_byte_is_no_success(
    #[case] response: &'static str,
    #[case] end: ConnectionEnd,
) {
    let items = [terms(), route("once", RequestKind::Unsafe, 1_000)];
    // The id of the requests is as long as its placeholder.
    for len in 0..response.len() {
        let server = stub_server("s1", &[Behaviour::Truncated(response, len, end)]).await;
        let entry = entry(&items, &[&server]).await;
        let text = get_text(&entry, "/once/1", "r1").await.unwrap_or_default();
        assert!(!is_success(&text), "{len} bytes: {text}");
        // A request that may have run is not sent again, and nobody is told that it has not.
        assert!(text.starts_with("HTTP/1.1 502"), "{len} bytes: {text}");
        let received = server.received.lock().expect("received").len();
        assert_eq!(received, 1, "{len} bytes");
    }
}

/// A second server answers in the place of the one whose response breaks off.
#[rstest]
#[case::in_the_head(20)]
#[case::after_the_head(WITH_LENGTH.len() - 4)]
#[case::in_the_body(WITH_LENGTH.len() - 1)]
#[tokio::test]
async fn an_idempotent_request_gets_the_whole_response_of_another_server(#[case] len: usize) {
    let broken = Behaviour::Truncated(WITH_LENGTH, len, ConnectionEnd::Closed);
    let servers = [
        stub_server("s1", &[broken, Behaviour::Answer(0)]).await,
        stub_server("s2", &[broken, Behaviour::Answer(0)]).await,
    ];
    let items = [terms(), route("safe", RequestKind::Safe, 1_000)];
    let entry = entry(&items, &[&servers[0], &servers[1]]).await;
    let mut texts = Vec::new();
    for id in ["r1", "r2", "r3"] {
        texts.push(get_text(&entry, "/safe/1", id).await.unwrap_or_default());
    }
    for text in texts.iter().filter(|text| is_success(text)) {
        assert!(text.ends_with("good"), "{text}");
    }
    assert!(is_success(&texts[2]), "{texts:?}");
}

/// The second copy arrives while the connection is idle, just before the next response, in
/// its place, or after it.
#[rstest]
#[case::while_idle(&[(0, WITH_LENGTH), (20, WITH_LENGTH)], &[(0, WITH_LENGTH)])]
#[case::before_the_next(
    &[(0, WITH_LENGTH)],
    &[(10, "HTTP/1.1 200 OK\r\nx-id: PREVIOUS\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\nlate"), (0, WITH_LENGTH)]
)]
#[case::in_parts(
    &[(0, WITH_LENGTH), (20, "HTTP/1.1 200 OK\r\nx-id: ID\r\n")],
    &[(0, "x-seal: 1\r\ncontent-length: 4\r\n\r\nlate"), (0, WITH_LENGTH)]
)]
#[case::after_the_next(
    &[(0, WITH_LENGTH)],
    &[(0, WITH_LENGTH), (5, "HTTP/1.1 200 OK\r\nx-id: PREVIOUS\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\nlate")]
)]
#[tokio::test]
async fn a_late_second_copy_goes_to_nobody(
    #[case] first: &'static [(u64, &'static str)],
    #[case] next: &'static [(u64, &'static str)],
) {
    let script = |steps| Behaviour::Script(steps, ConnectionEnd::Kept);
    let behaviours = [script(first), script(next), Behaviour::Answer(0)];
    let server = stub_server("s1", &behaviours).await;
    let items = [terms(), route("once", RequestKind::Unsafe, 1_000)];
    let entry = entry(&items, &[&server]).await;
    for id in ["r1", "r2", "r3"] {
        let text = get_text(&entry, "/once/1", id).await.unwrap_or_default();
        let own = text.contains(&format!("x-id: {id}\r\n")) && text.ends_with("good");
        assert!(own || !is_success(&text), "{id}: {text}");
        sleep(Duration::from_millis(50)).await;
    }
    let received = server.received.lock().expect("received").clone();
    let ids: Vec<&str> = received.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["r1", "r2", "r3"], "each request runs once");
}

/// Responses whose status no response may have, or that stop after interim ones.
const NO_FINAL_STATUS: [(&str, &str); 10] = [
    (
        "000",
        "HTTP/1.1 000 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "099",
        "HTTP/1.1 099 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "20",
        "HTTP/1.1 20 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "2000",
        "HTTP/1.1 2000 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "600",
        "HTTP/1.1 600 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "999",
        "HTTP/1.1 999 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "600, large",
        "HTTP/1.1 600 X\r\nx-id: ID\r\nx-seal: 1\r\ncontent-length: 80000\r\n\r\nbad",
    ),
    (
        "600, not run",
        "HTTP/1.1 600 X\r\nx-id: ID\r\nx-not-run: 1\r\ncontent-length: 3\r\n\r\nbad",
    ),
    (
        "101",
        "HTTP/1.1 101 X\r\nx-id: ID\r\nx-seal: 1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nbad",
    ),
    (
        "100 twice and 103",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nx-id: ID\r\n\r\n",
    ),
];

/// Guards against a status that HTTP does not have, such as 000 of a server in trouble, which
/// a client gets as an answer: it is a broken response to a request that may have run.
#[rstest]
#[case::once(RequestKind::Unsafe)]
#[case::safe(RequestKind::Safe)]
#[case::download(RequestKind::Download)]
#[tokio::test]
async fn a_response_without_a_final_status_is_broken(#[case] kind: RequestKind) {
    let items = [terms(), route("route", kind, 1_000)];
    for (case, response) in NO_FINAL_STATUS {
        let broken = Behaviour::Truncated(response, response.len(), ConnectionEnd::Closed);
        let server = stub_server("s1", &[broken]).await;
        let entry = entry(&items, &[&server]).await;
        let text = get_text(&entry, "/route/1", "r1").await.unwrap_or_default();
        assert!(text.starts_with("HTTP/1.1 502"), "{case}: {text}");
        assert!(
            !text.contains("bad") || !text.contains("x-seal"),
            "{case}: {text}"
        );
        if kind == RequestKind::Unsafe {
            let received = server.received.lock().expect("received").len();
            assert_eq!(received, 1, "{case}");
        }
    }
}

/// The same from the first server of a request that may be repeated, and from the one that
/// gets it as a backup: the client gets the response of the other.
#[rstest]
#[case::first(0)]
#[case::backup(300)]
#[tokio::test]
async fn a_response_without_a_final_status_is_replaced(#[case] good_after_ms: u64) {
    let items = [terms(), route("safe", RequestKind::Safe, 2_000)];
    for (case, response) in NO_FINAL_STATUS {
        let broken = Behaviour::Truncated(response, response.len(), ConnectionEnd::Closed);
        // Whichever server is asked first, one of the two requests is answered.
        let good = Behaviour::Answer(good_after_ms);
        let servers = [
            stub_server("s1", &[broken, good]).await,
            stub_server("s2", &[good]).await,
        ];
        let entry = entry(&items, &[&servers[0], &servers[1]]).await;
        for id in ["r1", "r2"] {
            let text = get_text(&entry, "/safe/1", id).await.unwrap_or_default();
            assert!(
                is_success(&text) && text.ends_with("good"),
                "{case}: {text}"
            );
        }
    }
}
