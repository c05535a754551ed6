//! Scenario `hop`: measures the cost that an entry VM adds, by the latency of one client
//! directly to a backend server and through an entry VM, and by the entry VM's CPU time
//! per request.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::time::Instant;
use waxwingctl::http::Connection;
use waxwingctl::load::Row;
use world::unit::as_us;

use super::Experiment;
use crate::site::{Site, key_of};

/// Number of requests, sent one after the other.
const REQUESTS: u64 = 2_000;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Length of a tick of CPU time in `/proc`, milliseconds.
const TICK_MS: u64 = 10;

/// Indexes of the user and system ticks among the fields of `/proc/PID/stat` after the
/// process name.
const TICK_FIELDS: [usize; 2] = [11, 12];

/// Measures requests directly to a backend server and through an entry VM.
///
/// # Errors
/// When a process doesn't respond or a request fails.
pub async fn run(site: &Site, experiment: &Experiment) -> anyhow::Result<Vec<(Row, String)>> {
    let short = experiment.deployment.short();
    for backend in site.fleet(short) {
        backend
            .set_behaviour(json!({ "base_us": 0, "spread_us": 0 }))
            .await?;
    }
    let server = site.fleet(short).next().context("no backend server")?;
    let entry = &site.entries[0];
    let direct = sequence("direct", server.addr()?, "/").await?;
    let before_ms = cpu_ms(entry.process.pid()?)?;
    let via_entry = sequence("through entry", entry.front_addr, &format!("/{short}/")).await?;
    let used_ms = cpu_ms(entry.process.pid()?)? - before_ms;
    let per_request_us = used_ms * 1_000 / REQUESTS;
    let per_core = 1_000_000 / per_request_us.max(1);
    let note = format!(
        "entry VM: {per_request_us} us of processor time a request, {per_core} requests a second for a core"
    );
    let settings = &site.plan.fleets[0].behaviour;
    for backend in site.fleet(short) {
        let settings = json!({ "base_us": settings.base_us, "spread_us": settings.spread_us });
        backend.set_behaviour(settings).await?;
    }
    Ok(vec![(direct, String::new()), (via_entry, note)])
}

/// Sends the requests to one address and returns their latencies.
async fn sequence(name: &str, addr: SocketAddr, path: &str) -> anyhow::Result<Row> {
    let mut latency_us = Histogram::<u64>::new(3)?;
    let start = Instant::now();
    let mut connection = Connection::new(addr, start + REQUEST_TIMEOUT).await?;
    let mut good = 0;
    for _ in 0..REQUESTS {
        let request = Request::get(path)
            .header("x-waxwing-key", key_of("gold"))
            .body(Full::<Bytes>::default())?;
        let sent = Instant::now();
        let response = connection.send(request, sent + REQUEST_TIMEOUT).await?;
        latency_us.record(as_us(sent.elapsed()))?;
        good += u64::from(response.status().is_success());
    }
    Ok(Row {
        name: name.to_owned(),
        due: REQUESTS,
        good,
        goodput_per_s: f64::from(u32::try_from(good)?) / start.elapsed().as_secs_f64(),
        p50_us: latency_us.value_at_quantile(0.5),
        p99_us: latency_us.value_at_quantile(0.99),
        p999_us: latency_us.value_at_quantile(0.999),
        max_us: latency_us.max(),
        ..Row::default()
    })
}

/// Returns the CPU time that a process has used, milliseconds.
fn cpu_ms(pid: u32) -> anyhow::Result<u64> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).with_context(|| format!("could not open {path}"))?;
    let (_, after_name) = text.rsplit_once(')').context("no name in stat")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let mut ticks = 0;
    for field in TICK_FIELDS {
        ticks += fields.get(field).context("stat is short")?.parse::<u64>()?;
    }
    Ok(ticks * TICK_MS)
}
