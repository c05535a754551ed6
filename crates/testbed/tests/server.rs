//! The stand-in backend server behaves as its settings say.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use testbed::process::{get, wait_until};
use testbed::server::{Behaviour, Options, Run, Server, Stats};
use world::Place;

const WAIT: Duration = Duration::from_secs(10);

fn options() -> Options {
    let place = Place::new("zapad".parse().unwrap(), "z1".parse().unwrap());
    Options::new(
        "terminy-1".parse().unwrap(),
        "terminy".parse().unwrap(),
        place,
    )
}

async fn start(behaviour: Behaviour) -> Server {
    let options = options().with_slots(1, 8).with_behaviour(behaviour, 7);
    Server::start(options).await.unwrap()
}

async fn send_request(
    server: &Server,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Response<Bytes>, waxwingctl::http::Failure> {
    let mut request = Request::get(path).body(Full::default()).unwrap();
    for (name, value) in headers {
        let name = hyper::header::HeaderName::try_from(*name).unwrap();
        request.headers_mut().insert(name, value.parse().unwrap());
    }
    waxwingctl::http::send(server.addr, request, WAIT).await
}

fn formatted(response: &Response<Bytes>) -> String {
    let header = |name: &str| {
        let value = response.headers().get(name).map(|v| v.to_str().unwrap());
        format!("{name}: {}", value.unwrap_or("-"))
    };
    format!(
        "{}\n{}\n{}\n{}",
        response.status(),
        header("x-waxwing-request"),
        header("x-waxwing-ran"),
        String::from_utf8_lossy(response.body())
    )
}

#[tokio::test]
async fn answer_and_refusals() {
    let server = start(Behaviour::default()).await;
    let id = ("x-waxwing-request", "r-1");
    let key = ("idempotency-key", "k-1");
    let mut responses = Vec::new();
    for headers in [
        vec![id],
        vec![id, ("x-waxwing-deadline-ms", "0")],
        vec![id, key, ("x-waxwing-fence", "5")],
        vec![id, key, ("x-waxwing-fence", "4")],
    ] {
        responses.push(formatted(
            &send_request(&server, "/slots?day=1", &headers)
                .await
                .unwrap(),
        ));
    }
    insta::assert_snapshot!(responses.join("\n\n"));
    let runs: Vec<Run> = get(server.control_addr, "/rig/runs").await.unwrap();
    assert_eq!(runs, server.runs());
    assert_eq!(runs.len(), 1);
    assert!(runs[0].ended);
}

/// `cross_per_mille` returns the id of another request, and `cut_per_mille` truncates the
/// response.
#[tokio::test]
async fn faulty_responses() {
    let crossed = start(Behaviour {
        cross_per_mille: 1_000,
        ..Behaviour::default()
    })
    .await;
    let response = send_request(&crossed, "/", &[("x-waxwing-request", "mine")]).await;
    assert_eq!(
        response.unwrap().headers()["x-waxwing-request"],
        "of-another-request"
    );
    let cut = start(Behaviour {
        cut_per_mille: 1_000,
        ..Behaviour::default()
    })
    .await;
    let response = send_request(&cut, "/", &[]).await;
    assert!(
        matches!(response, Err(waxwingctl::http::Failure::Interrupted(_))),
        "{response:?}"
    );
}

#[tokio::test]
async fn work_beyond_slots_and_queue_is_shed() {
    let behaviour = Behaviour {
        queue: 1,
        ..Behaviour::default()
    };
    let server = start(behaviour).await;
    let calls = (0..3).map(|_| send_request(&server, "/?rig-ms=300", &[]));
    let calls: Vec<_> = calls.collect();
    let mut statuses = Vec::new();
    let [a, b, c] = <[_; 3]>::try_from(calls).ok().unwrap();
    let (a, b, c) = tokio::join!(a, b, c);
    for response in [a, b, c] {
        statuses.push(response.unwrap().status().as_u16());
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503]);
    let stats: Stats = get(server.control_addr, "/rig/stats").await.unwrap();
    assert_eq!(stats.occupancy.highest_running, 1);
    assert_eq!(stats.occupancy.highest_offered, 2);
    assert_eq!(stats.shed, 1);
}

#[tokio::test]
async fn abandoned_work_gives_its_slot_back() {
    let server = start(Behaviour::default()).await;
    let request = Request::get("/?rig-ms=60000")
        .body(Full::default())
        .unwrap();
    let short = Duration::from_millis(50);
    let response = waxwingctl::http::send(server.addr, request, short).await;
    assert_eq!(response.unwrap_err(), waxwingctl::http::Failure::Timeout);
    let free = || async { (server.stats().occupancy.running == 0).then_some(()) };
    wait_until("slot is released", free).await.unwrap();
    assert_eq!(server.stats().ended, 0);
}

#[tokio::test]
async fn request_with_crash_header_ends_the_server() {
    let server = start(Behaviour::default()).await;
    let response = send_request(&server, "/", &[("x-rig-crash", "1")]).await;
    assert!(response.is_err(), "{response:?}");
    server.crashed().await;
}

#[tokio::test]
async fn downloads_are_whole() {
    let server = start(Behaviour {
        body_bytes_per_s: 10_000_000,
        ..Behaviour::default()
    })
    .await;
    let response = send_request(&server, "/?rig-bytes=100001", &[])
        .await
        .unwrap();
    assert_eq!(response.body().len(), 100_001);
}
