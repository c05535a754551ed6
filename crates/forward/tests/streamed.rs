//! Downloads over a narrow link: they are forwarded as they arrive, and one that breaks off
//! never looks complete.

mod common;

use std::time::Duration;

use common::{Behaviour, LARGE_BYTES, entry, entry_on_link, get_text, route, stub_server, terms};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use world::RequestKind;

/// 3.3 Mbit a second.
const NARROW_BYTES_PER_S: f64 = 412_500.0;

fn items() -> [catalog::Item; 2] {
    [terms(), route("files", RequestKind::Download, 2_000)]
}

fn body_len(text: &str) -> Option<usize> {
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some(body.len())
}

/// The server sends the second half 600 ms after the first.
#[tokio::test]
async fn the_first_bytes_do_not_wait_for_the_last() {
    let server = stub_server("s1", &[Behaviour::Large(LARGE_BYTES / 2, Some(600))]).await;
    let entry = entry_on_link(&items(), &[&server], NARROW_BYTES_PER_S).await;
    let mut client = TcpStream::connect(entry.addr).await.expect("connected");
    let request =
        b"GET /files/1 HTTP/1.1\r\nhost: site.example\r\nx-id: r1\r\nconnection: close\r\n\r\n";
    client.write_all(request).await.expect("sent");
    let mut head = [0; 1_000];
    let read = timeout(Duration::from_millis(400), client.read(&mut head));
    assert!(read.await.is_ok(), "nothing arrived before the second half");
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).await.expect("read");
    assert!(rest.len() + head.len() >= LARGE_BYTES);
}

/// A broken response may follow whole ones on the same connection.
#[tokio::test]
async fn a_download_that_breaks_off_is_not_complete() {
    let whole = Behaviour::Large(LARGE_BYTES / 2, Some(10));
    for start in [0, 1_000, 20_000, LARGE_BYTES - 1] {
        let server = stub_server("s1", &[whole, Behaviour::Large(start, None), whole]).await;
        let entry = entry_on_link(&items(), &[&server], NARROW_BYTES_PER_S).await;
        let mut lens = Vec::new();
        for id in ["r1", "r2", "r3"] {
            let text = get_text(&entry, "/files/1", id).await.unwrap_or_default();
            let success = text.starts_with("HTTP/1.1 200");
            lens.push(body_len(&text).filter(|_| success).unwrap_or(0));
            // The link has to be free, or the next one is refused.
            sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(
            [lens[0], lens[2]],
            [LARGE_BYTES; 2],
            "{start} bytes: {lens:?}"
        );
        assert!(lens[1] < LARGE_BYTES, "{start} bytes: {lens:?}");
    }
}

/// On a fast link the time is not worth the second attempt that a broken response needs.
#[tokio::test]
async fn on_a_fast_link_another_server_takes_the_place_of_a_broken_one() {
    let behaviours = [
        Behaviour::Large(40_000, None),
        Behaviour::Large(40_000, Some(0)),
    ];
    let servers = [
        stub_server("s1", &behaviours).await,
        stub_server("s2", &behaviours[1..]).await,
    ];
    let entry = entry(&items(), &[&servers[0], &servers[1]]).await;
    let text = get_text(&entry, "/files/1", "r1").await.unwrap_or_default();
    assert_eq!(body_len(&text), Some(LARGE_BYTES));
}
