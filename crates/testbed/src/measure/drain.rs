//! Scenario `drain`: measures how long after the drain command a backend server still
//! receives new requests, and how long its requests in flight take.

use std::time::Duration;

use anyhow::{Context, ensure};
use tokio::time::{Instant, sleep};
use waxwingctl::load::Row;
use world::unit::as_ms;

use super::{Experiment, scenario};
use crate::site::{Backend, Site};

/// Delay of the drain after the start of the load.
const DRAIN_DELAY: Duration = Duration::from_secs(1);

/// Interval between two checks of the server's counters.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without running requests after which the server counts as drained.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Drains one backend server under load, and ends the drain afterwards.
///
/// # Errors
/// When the drain is refused or a process doesn't respond.
pub async fn run(site: &Site, experiment: &Experiment) -> anyhow::Result<Vec<(Row, String)>> {
    let short = experiment.deployment.short();
    let server = site.fleet(short).next().context("no backend server")?;
    let stream = experiment.deployment.short_stream(0.5)?;
    let load = scenario::run(site, experiment, vec![stream]);
    let (report, drained) = tokio::join!(load, drain(site, server));
    let note = drained?;
    let output = site
        .ctl(&[
            "undrain",
            &format!("server:{}", server.name),
            "--wait",
            "10",
        ])
        .await?;
    ensure!(output.exit_code == 0, "undrain failed: {}", output.stderr);
    Ok(report
        .rows
        .into_iter()
        .map(|row| (row, note.clone()))
        .collect())
}

/// Drains the server and returns the measured times as a note.
async fn drain(site: &Site, server: &Backend) -> anyhow::Result<String> {
    sleep(DRAIN_DELAY).await;
    let requested_at_ms = server.stats().await?.age_ms;
    let requested_at = Instant::now();
    let output = site
        .ctl(&["drain", &format!("server:{}", server.name)])
        .await?;
    ensure!(output.exit_code == 0, "drain failed: {}", output.stderr);
    let accepted_ms = as_ms(requested_at.elapsed());
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < IDLE_TIME {
        sleep(POLL_INTERVAL).await;
        if server.stats().await?.occupancy.running > 0 {
            idle_since = Instant::now();
        }
    }
    let last_ms = server
        .stats()
        .await?
        .last_started_ms
        .saturating_sub(requested_at_ms);
    let idle_ms = as_ms(idle_since.duration_since(requested_at));
    Ok(format!(
        "accepted after {accepted_ms} ms, last new work after {last_ms} ms, idle after {idle_ms} ms"
    ))
}
