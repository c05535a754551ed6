//! Entry VMs and backend servers that fail, shut down or are drained under load must not
//! cause failed requests.

use std::time::Duration;

use testbed::process::wait_until;
use testbed::site::{Backend, Client, ClientRequest, Site, SitePlan, keys};
use waxwingctl::load::{Profile, Report, Stream, run};

/// Maximum time for which a draining backend server receives new requests.
const DRAIN_MAX_MS: u64 = 3_000;
const EXIT_WAIT: Duration = Duration::from_secs(30);

async fn site() -> Site {
    Site::start(SitePlan::small().unwrap()).await.unwrap()
}

/// Sends short work at 100 requests per second.
async fn load(site: &Site, seconds: f64) -> Report {
    let stream = Stream::new("terminy".parse().unwrap(), 100.0, keys()).with_deadline_ms(3_000);
    run(&Profile::new(site.api_addrs(), seconds, 11).with_streams(vec![stream])).await
}

/// Returns the number of requests of short work that the backend servers have started.
async fn started_count(site: &Site) -> u64 {
    let mut sum = 0;
    for backend in site.fleet("terminy") {
        sum += backend.stats().await.map_or(0, |s| s.started);
    }
    sum
}

async fn wait_started(site: &Site, count: u64) {
    let has_started = || async { (started_count(site).await >= count).then_some(()) };
    wait_until("load has started", has_started).await.unwrap();
}

fn assert_none_lost(report: &Report) {
    let lost: u64 = report.rows.iter().map(waxwingctl::load::Row::failed).sum();
    assert_eq!(lost, 0, "\n{}", report.to_table());
}

/// Clients retry idempotent requests through another entry VM when theirs is killed.
#[tokio::test]
async fn killed_entry_vm_loses_no_idempotent_request() {
    let mut site = site().await;
    let (first, others) = (site.entries.remove(0), &site);
    let api_addrs = [vec![first.api_addr], others.api_addrs()].concat();
    let stream = Stream::new("terminy".parse().unwrap(), 100.0, keys()).with_deadline_ms(3_000);
    let profile = Profile::new(api_addrs, 4.0, 11).with_streams(vec![stream]);
    let mut first = first;
    let kill = async {
        wait_started(others, 50).await;
        first.process.kill().await.unwrap();
    };
    let (report, ()) = tokio::join!(run(&profile), kill);
    assert_none_lost(&report);
    assert!(report.rows[0].retried > 0, "\n{}", report.to_table());
}

/// A shutdown must complete the requests in flight before the process exits.
#[tokio::test]
async fn terminated_entry_vm_cuts_no_request() {
    let mut site = site().await;
    let mut first = site.entries.remove(0);
    let slow = ClientRequest::new("/terminy/?rig-ms=700");
    let slow = (0..8).map(|_| slow.send_to(first.front_addr));
    let slow = futures_util::future::join_all(slow);
    let leave = async {
        wait_started(&site, 8).await;
        first.process.terminate().unwrap();
    };
    let (responses, ()) = tokio::join!(slow, leave);
    for response in responses {
        assert_eq!(response.unwrap().status, 200);
    }
    assert!(first.process.wait_exit(EXIT_WAIT).await.unwrap().success());
}

#[tokio::test]
async fn terminated_entry_vm_loses_no_request_under_load() {
    let mut site = site().await;
    let mut first = site.entries.remove(0);
    let api_addrs = [vec![first.api_addr], site.api_addrs()].concat();
    let streams = vec![
        Stream::new("terminy".parse().unwrap(), 100.0, keys()).with_deadline_ms(3_000),
        Stream::new("podklady".parse().unwrap(), 5.0, keys()).with_deadline_ms(10_000),
    ];
    let profile = Profile::new(api_addrs, 4.0, 12).with_streams(streams);
    let leave = async {
        wait_started(&site, 50).await;
        first.process.terminate().unwrap();
    };
    let (report, ()) = tokio::join!(run(&profile), leave);
    assert_none_lost(&report);
    assert!(first.process.wait_exit(EXIT_WAIT).await.unwrap().success());
}

/// Returns the time from the server's age `age_ms` to its last start of a request,
/// milliseconds.
async fn drained_after_ms(backend: &Backend, age_ms: u64) -> u64 {
    let stats = backend.stats().await.unwrap();
    stats.last_started_ms.saturating_sub(age_ms)
}

#[tokio::test]
async fn server_drained_by_operator_gets_nothing_new() {
    let site = site().await;
    let server = site.fleet("terminy").next().unwrap();
    let drain = async {
        wait_started(&site, 50).await;
        let age_ms = server.stats().await.unwrap().age_ms;
        let output = site
            .ctl(&["drain", &format!("server:{}", server.name)])
            .await
            .unwrap();
        assert_eq!(output.exit_code, 0, "{}", output.stderr);
        age_ms
    };
    let (report, age_ms) = tokio::join!(load(&site, 6.0), drain);
    assert_none_lost(&report);
    let after_ms = drained_after_ms(server, age_ms).await;
    assert!(after_ms <= DRAIN_MAX_MS, "new work after {after_ms} ms");
}

#[tokio::test]
async fn server_that_announces_its_leaving_gets_nothing_new() {
    let mut site = site().await;
    let at = site
        .backends
        .iter()
        .position(|b| b.service.as_str() == "terminy");
    let mut server = site.backends.remove(at.unwrap());
    let drain = async {
        // The owner of this server may send it the whole load.
        let has_started = || async {
            let own = server.stats().await.map_or(0, |s| s.started);
            (own + started_count(&site).await >= 50).then_some(())
        };
        wait_until("load has started", has_started).await.unwrap();
        server.process.terminate().unwrap();
        server.process.wait_exit(EXIT_WAIT).await.unwrap()
    };
    let (report, status) = tokio::join!(load(&site, 4.0), drain);
    assert_none_lost(&report);
    assert!(status.success());
}

/// A drain that would leave a service without backend servers is refused unless the
/// operator insists.
#[tokio::test]
async fn last_servers_are_drained_only_when_insisted_on() {
    let site = site().await;
    let output = site.ctl(&["drain", "region:zapad"]).await.unwrap();
    insta::assert_snapshot!(format!("exit code {}\n{}", output.exit_code, output.stderr));
    let insist = ["drain", "region:zapad", "--insist", "--wait", "10"];
    assert_eq!(site.ctl(&insist).await.unwrap().exit_code, 0);
    let response = ClientRequest::new("/terminy/")
        .send_to(site.entries[0].front_addr)
        .await
        .unwrap();
    assert_eq!(response.summary(), "503 no_server not run");
    let undrain = ["undrain", "region:zapad", "--wait", "10"];
    assert_eq!(site.ctl(&undrain).await.unwrap().exit_code, 0);
    let client = Client::new(site.api_addrs()[0], "terminy").await.unwrap();
    let response = client.send(&ClientRequest::new("/terminy/")).await.unwrap();
    assert_eq!(response.status, 200);
}
