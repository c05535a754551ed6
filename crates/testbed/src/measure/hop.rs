//! The added cost of the entry hop: one caller, directly to a backend server
//! and through an entry VM, and the entry VM's processor time for a request.

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

/// Requests one after the other.
const REQUESTS: u64 = 2_000;

/// Longest wait for one answer.
const WAIT: Duration = Duration::from_secs(5);

/// Processor time of a clock tick, milliseconds.
const TICK_MS: u64 = 10;

/// Fields of `/proc/PID/stat` after the name that hold user and system ticks.
const TICK_FIELDS: [usize; 2] = [11, 12];

/// Measures both ways.
///
/// # Errors
/// When a process has ended or a request fails.
pub async fn run(site: &Site, experiment: &Experiment) -> anyhow::Result<Vec<(Row, String)>> {
    let short = experiment.deployment.short();
    for backend in site.fleet(short) {
        backend.set(json!({ "base_us": 0, "spread_us": 0 })).await?;
    }
    let server = site.fleet(short).next().context("no backend server")?;
    let entry = &site.entries[0];
    let direct = sequence("direct", server.addr()?, "/").await?;
    let before_ms = busy_ms(entry.process.pid()?)?;
    let through = sequence("through entry", entry.front_addr, &format!("/{short}/")).await?;
    let spent_ms = busy_ms(entry.process.pid()?)? - before_ms;
    let each_us = spent_ms * 1_000 / REQUESTS;
    let per_core = 1_000_000 / each_us.max(1);
    let note = format!(
        "entry VM: {each_us} us of processor time a request, {per_core} requests a second for a core"
    );
    let knobs = &site.plan.fleets[0].behaviour;
    for backend in site.fleet(short) {
        let knobs = json!({ "base_us": knobs.base_us, "spread_us": knobs.spread_us });
        backend.set(knobs).await?;
    }
    Ok(vec![(direct, String::new()), (through, note)])
}

async fn sequence(name: &str, addr: SocketAddr, path: &str) -> anyhow::Result<Row> {
    let mut latency_us = Histogram::<u64>::new(3)?;
    let start = Instant::now();
    let mut connection = Connection::new(addr, start + WAIT).await?;
    let mut good = 0;
    for _ in 0..REQUESTS {
        let request = Request::get(path)
            .header("x-waxwing-key", key_of("gold"))
            .body(Full::<Bytes>::default())?;
        let sent = Instant::now();
        let response = connection.send(request, sent + WAIT).await?;
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

/// Processor time that a process has used.
fn busy_ms(pid: u32) -> anyhow::Result<u64> {
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
