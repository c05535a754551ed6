//! The process harness starts, freezes, resumes and terminates processes, and shows the
//! log of a process that fails to start.

use std::time::Duration;

use testbed::process::{Process, get, wait_until};
use testbed::server::Stats;

const BACKEND: [&str; 9] = [
    "backend",
    "--name",
    "a-1",
    "--service",
    "a",
    "--region",
    "r",
    "--domain",
    "d",
];
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn start_freeze_thaw_and_terminate() {
    let dir = tempfile::tempdir().unwrap();
    let mut backend = Process::start("rig", "a-1", BACKEND, dir.path())
        .await
        .unwrap();
    let control = backend.addr("control_addr").unwrap();
    let stats: Stats = get(control, "/rig/stats").await.unwrap();
    assert_eq!(stats.started, 0);
    backend.freeze().unwrap();
    backend.wait_frozen().await.unwrap();
    let request = hyper::Request::get("/rig/stats").body(http_body_util::Full::default());
    let short = Duration::from_millis(100);
    let response = waxwingctl::http::send(control, request.unwrap(), short).await;
    assert!(response.is_err());
    backend.thaw().unwrap();
    let alive = || async { get::<Stats>(control, "/rig/stats").await.ok() };
    wait_until("backend server responds again", alive)
        .await
        .unwrap();
    backend.terminate().unwrap();
    assert!(backend.wait_exit(EXIT_TIMEOUT).await.unwrap().success());
}

#[tokio::test]
async fn failed_start_shows_the_log() {
    let dir = tempfile::tempdir().unwrap();
    let failed = Process::start("rig", "bad", ["backend", "--nonsense"], dir.path()).await;
    let text = format!("{:#}", failed.unwrap_err());
    insta::assert_snapshot!(text);
}
