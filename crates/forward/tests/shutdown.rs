//! Planned stop of an entry VM: requests at each moment of the grace, on connections that
//! were opened before it, get a whole response, or a refusal that is true.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Behaviour, Entry, StubServer, entry, route, stub_server, terms};
use forward::Shutdown;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep, sleep_until};
use world::RequestKind;

/// Time after the start of the stop for which requests are taken.
const TAKEN: Duration = Duration::from_millis(500);

/// Time after which connections are closed by force.
const GRACE: Duration = Duration::from_millis(1_200);

/// Opens a connection, and sends the request at `at`. Returns its status, or how the
/// connection ended.
async fn request_at(mut stream: TcpStream, path: &str, id: String, at: Instant) -> String {
    sleep_until(at).await;
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: site.example\r\nx-id: {id}\r\nx-left: 5000\r\n\r\n");
    if stream.write_all(request.as_bytes()).await.is_err() {
        return "closed".to_owned();
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1).unwrap_or("closed").to_owned();
    let whole = status != "200" || text.ends_with("good");
    if whole { status } else { "cut".to_owned() }
}

/// An entry VM that ends with all its connections, as a process does.
struct Process {
    entry: Entry,
    runtime: Runtime,
}

async fn start(kind: RequestKind, timeout_ms: u64, server: &Arc<StubServer>) -> Process {
    let runtime = Runtime::new().expect("runtime");
    let server = Arc::clone(server);
    let items = [terms(), route("r", kind, timeout_ms)];
    let entry = runtime.spawn(async move { entry(&items, &[&server]).await });
    let entry = entry.await.expect("started");
    Process { entry, runtime }
}

/// Stops the entry VM as its program does.
async fn stop(process: Process, started_at: Instant) {
    let Process { entry, runtime } = process;
    entry.state.start_leaving(Shutdown {
        taken_until: started_at + TAKEN,
        ends_at: started_at + GRACE,
    });
    sleep_until(started_at + TAKEN).await;
    entry.close.send_replace(true);
    sleep_until(started_at + GRACE).await;
    runtime.shutdown_background();
}

#[rstest]
#[case::safe(RequestKind::Safe)]
#[case::once(RequestKind::Unsafe)]
#[case::download(RequestKind::Download)]
#[tokio::test]
async fn a_request_late_in_the_grace_is_answered_or_truly_refused(#[case] kind: RequestKind) {
    let server = Arc::new(stub_server("s1", &[Behaviour::Answer(800)]).await);
    let process = start(kind, 900, &server).await;
    let addr = process.entry.addr;
    let started_at = Instant::now();
    let mut clients = Vec::new();
    for step in 0..12_u64 {
        let stream = TcpStream::connect(addr).await.expect("connected");
        let at = started_at + Duration::from_millis(100 * step + 50);
        let id = format!("r{step}");
        clients.push(tokio::spawn(request_at(stream, "/r/1", id, at)));
    }
    stop(process, started_at).await;
    let mut seen = Vec::new();
    for (step, client) in clients.into_iter().enumerate() {
        let end = client.await.expect("ended");
        let ids = server.received.lock().expect("received").clone();
        let ran = ids.iter().any(|(id, _)| *id == format!("r{step}"));
        seen.push((end, ran));
    }
    for (step, (end, ran)) in seen.iter().enumerate() {
        match end.as_str() {
            "200" => assert!(ran, "r{step}"),
            "503" | "closed" => assert!(!ran, "r{step} ran and got {end}"),
            // Its client may send it again.
            "504" if kind != RequestKind::Unsafe => {}
            other => panic!("r{step} got {other}"),
        }
    }
    // Those that came in time were served.
    assert_eq!(seen[0].0, "200");
}

/// The server is still at work when the process has to end.
#[tokio::test]
async fn a_request_that_outlasts_the_grace_gets_an_uncertain_answer() {
    let server = Arc::new(stub_server("s1", &[Behaviour::Silent]).await);
    let process = start(RequestKind::Unsafe, 5_000, &server).await;
    let stream = TcpStream::connect(process.entry.addr)
        .await
        .expect("connected");
    let client = tokio::spawn(request_at(stream, "/r/1", "r1".into(), Instant::now()));
    sleep(Duration::from_millis(50)).await;
    stop(process, Instant::now()).await;
    assert_eq!(client.await.expect("ended"), "504");
}

#[tokio::test(start_paused = true)]
async fn admission_by_time_left() {
    let now = Instant::now();
    let stop = Shutdown {
        taken_until: now + Duration::from_millis(2_500),
        ends_at: now + Duration::from_millis(5_800),
    };
    let mut seen = Vec::new();
    let cases = [
        (0, 2_000),
        (0, 12_000),
        (2_400, 3_000),
        (2_400, 4_000),
        (2_400, 8_000),
        (2_600, 100),
    ];
    for ((at_ms, allowed_ms), idempotent) in cases.into_iter().flat_map(|c| [(c, true), (c, false)])
    {
        let at = now + Duration::from_millis(at_ms);
        let admitted = stop.admit(at + Duration::from_millis(allowed_ms), idempotent, at);
        let left = admitted.map(|deadline| (deadline - at).as_millis());
        let left = left.map_err(|error| error.kind);
        seen.push(format!(
            "at {at_ms}, {allowed_ms} allowed, idempotent {idempotent}: {left:?}"
        ));
    }
    insta::assert_debug_snapshot!(seen);
}
