//! Bodies that an entry VM holds, of requests and responses, over all connections.

mod common;

use std::time::Duration;

use common::{BODY_MEMORY_BYTES, Behaviour, Entry, entry, get, route, stub_server, terms};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use world::RequestKind;

/// Body of an upload; eight of them are as large as the memory for bodies.
const UPLOAD_BYTES: usize = BODY_MEMORY_BYTES / 8;

/// A chunk of a chunked body.
const CHUNK: &str = "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";

/// Time in which whatever is checked has to happen.
const LIMIT: Duration = Duration::from_secs(5);

/// Starts an upload and sends `sent` bytes of its body.
async fn upload(entry: &Entry, id: &str, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(entry.addr).await.expect("connected");
    let head = format!(
        "POST /upload/1 HTTP/1.1\r\nhost: site.example\r\nx-id: {id}\r\nx-left: 5000\r\n\
         connection: close\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&vec![b'u'; sent]).await.expect("sent");
    stream
}

async fn answer(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = timeout(LIMIT, stream.read_to_string(&mut text)).await;
    read.expect("in time").expect("no reset");
    text
}

async fn wait_until(what: &str, done: impl Fn() -> bool) {
    let waiting = async {
        while !done() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect(what);
}

/// Guards against uploads that together take more memory than the process may use: it was
/// ended, and with it the requests of all other clients.
#[tokio::test]
async fn uploads_that_do_not_fit_are_refused_beside_small_requests() {
    let server = stub_server("s1", &[Behaviour::Answer(0)]).await;
    let items = [
        terms(),
        route("upload", RequestKind::Unsafe, 4_000),
        route("book", RequestKind::Unsafe, 1_000),
    ];
    let entry = entry(&items, &[&server]).await;
    let memory = &entry.state.memory;
    let mut held = Vec::new();
    for at in 0..memory.largest_bytes() / UPLOAD_BYTES {
        held.push(upload(&entry, &format!("u{at}"), 10).await);
        wait_until("held", || memory.held_bytes() == (at + 1) * UPLOAD_BYTES).await;
    }
    let refused = upload(&entry, "late", UPLOAD_BYTES).await;
    let refused = answer(refused).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("x-retry-after: "), "{refused}");
    assert_eq!(get(&entry, "/book/1", "b1").await, "HTTP/1.1 200 OK good");
    let mut first = held.remove(0);
    first
        .write_all(&vec![b'u'; UPLOAD_BYTES - 10])
        .await
        .expect("sent");
    assert!(answer(first).await.starts_with("HTTP/1.1 200"));
    wait_until("released", || {
        memory.held_bytes() == held.len() * UPLOAD_BYTES
    })
    .await;
    let again = upload(&entry, "again", UPLOAD_BYTES).await;
    assert!(answer(again).await.starts_with("HTTP/1.1 200"));
    drop(held);
    wait_until("released", || memory.held_bytes() == 0).await;
}

/// Guards against bytes without end of a faulty server, for clients that read slowly, that
/// together take more memory than the process may use.
#[tokio::test]
async fn responses_without_end_fit_into_the_memory() {
    let start = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let behaviours = [Behaviour::Endless(start, CHUNK)];
    let mut servers = Vec::new();
    for at in 0..4 {
        servers.push(stub_server(&format!("s{at}"), &behaviours).await);
    }
    let servers: Vec<_> = servers.iter().collect();
    let items = [terms(), route("page", RequestKind::Safe, 3_000)];
    let entry = entry(&items, &servers).await;
    let memory = &entry.state.memory;
    let mut clients = Vec::new();
    for at in 0..16 {
        let mut stream = TcpStream::connect(entry.addr).await.expect("connected");
        let head = format!(
            "GET /page/{at} HTTP/1.1\r\nhost: site.example\r\nx-id: r{at}\r\nx-left: 3000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        clients.push(stream);
    }
    let mut most = 0;
    for client in &mut clients {
        let mut status = [0; 12];
        let read = timeout(LIMIT, client.read_exact(&mut status)).await;
        read.expect("in time").expect("a response");
        assert_eq!(&status, b"HTTP/1.1 200");
        most = most.max(memory.held_bytes());
    }
    assert!(most <= BODY_MEMORY_BYTES, "{most}");
    drop(clients);
    wait_until("released", || memory.held_bytes() == 0).await;
}
