//! The stand-in backend server does what its knobs say.

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

async fn call(
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

fn shown(answer: &Response<Bytes>) -> String {
    let header = |name: &str| {
        let value = answer.headers().get(name).map(|v| v.to_str().unwrap());
        format!("{name}: {}", value.unwrap_or("-"))
    };
    format!(
        "{}\n{}\n{}\n{}",
        answer.status(),
        header("x-waxwing-request"),
        header("x-waxwing-ran"),
        String::from_utf8_lossy(answer.body())
    )
}

#[tokio::test]
async fn answer_and_refusals() {
    let server = start(Behaviour::default()).await;
    let id = ("x-waxwing-request", "r-1");
    let key = ("idempotency-key", "k-1");
    let mut answers = Vec::new();
    for headers in [
        vec![id],
        vec![id, ("x-waxwing-deadline-ms", "0")],
        vec![id, key, ("x-waxwing-fence", "5")],
        vec![id, key, ("x-waxwing-fence", "4")],
    ] {
        answers.push(shown(
            &call(&server, "/slots?day=1", &headers).await.unwrap(),
        ));
    }
    insta::assert_snapshot!(answers.join("\n\n"));
    let runs: Vec<Run> = get(server.control_addr, "/rig/runs").await.unwrap();
    assert_eq!(runs, server.runs());
    assert_eq!(runs.len(), 1);
    assert!(runs[0].ended);
}

#[tokio::test]
async fn wrong_answers_on_purpose() {
    let crossed = start(Behaviour {
        cross_per_mille: 1_000,
        ..Behaviour::default()
    })
    .await;
    let answer = call(&crossed, "/", &[("x-waxwing-request", "mine")]).await;
    assert_eq!(
        answer.unwrap().headers()["x-waxwing-request"],
        "of-another-request"
    );
    let cut = start(Behaviour {
        cut_per_mille: 1_000,
        ..Behaviour::default()
    })
    .await;
    let answer = call(&cut, "/", &[]).await;
    assert!(
        matches!(answer, Err(waxwingctl::http::Failure::Broken(_))),
        "{answer:?}"
    );
}

#[tokio::test]
async fn work_beyond_slots_and_queue_is_shed() {
    let behaviour = Behaviour {
        queue: 1,
        ..Behaviour::default()
    };
    let server = start(behaviour).await;
    let calls = (0..3).map(|_| call(&server, "/?rig-ms=300", &[]));
    let calls: Vec<_> = calls.collect();
    let mut statuses = Vec::new();
    let [a, b, c] = <[_; 3]>::try_from(calls).ok().unwrap();
    let (a, b, c) = tokio::join!(a, b, c);
    for answer in [a, b, c] {
        statuses.push(answer.unwrap().status().as_u16());
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503]);
    let stats: Stats = get(server.control_addr, "/rig/stats").await.unwrap();
    assert_eq!(stats.crowd.highest_running, 1);
    assert_eq!(stats.crowd.highest_offered, 2);
    assert_eq!(stats.shed, 1);
}

#[tokio::test]
async fn abandoned_work_gives_its_slot_back() {
    let server = start(Behaviour::default()).await;
    let request = Request::get("/?rig-ms=60000")
        .body(Full::default())
        .unwrap();
    let short = Duration::from_millis(50);
    let answer = waxwingctl::http::send(server.addr, request, short).await;
    assert_eq!(answer.unwrap_err(), waxwingctl::http::Failure::Timeout);
    let free = || async { (server.stats().crowd.running == 0).then_some(()) };
    wait_until("slot is free again", free).await.unwrap();
    assert_eq!(server.stats().ended, 0);
}

#[tokio::test]
async fn marked_request_crashes() {
    let server = start(Behaviour::default()).await;
    let answer = call(&server, "/", &[("x-rig-crash", "1")]).await;
    assert!(answer.is_err(), "{answer:?}");
    server.crashed().await;
}

#[tokio::test]
async fn downloads_are_whole() {
    let server = start(Behaviour {
        body_bytes_per_s: 10_000_000,
        ..Behaviour::default()
    })
    .await;
    let answer = call(&server, "/?rig-bytes=100001", &[]).await.unwrap();
    assert_eq!(answer.body().len(), 100_001);
}
