//! Drain time: how long after its announcement a backend server still gets new
//! work, and how long its work in flight takes to end.

use std::time::Duration;

use anyhow::{Context, ensure};
use tokio::time::{Instant, sleep};
use waxwingctl::load::Row;
use world::unit::as_ms;

use super::{Experiment, scenario};
use crate::site::{Backend, Site};

/// Wait before the drain, so that the load is under way.
const BEFORE: Duration = Duration::from_secs(1);

/// Time between two looks at the server.
const LOOK: Duration = Duration::from_millis(20);

/// Time without work that counts as drained.
const QUIET: Duration = Duration::from_secs(2);

/// Drains one backend server under load and ends the drain afterwards.
///
/// # Errors
/// When the drain is refused or a process has ended.
pub async fn run(site: &Site, experiment: &Experiment) -> anyhow::Result<Vec<(Row, String)>> {
    let short = experiment.deployment.short();
    let server = site.fleet(short).next().context("no backend server")?;
    let stream = experiment.deployment.short_stream(0.5)?;
    let load = scenario::run(site, experiment, vec![stream]);
    let (report, drained) = tokio::join!(load, drain(site, server));
    let note = drained?;
    let said = site
        .ctl(&[
            "undrain",
            &format!("server:{}", server.name),
            "--wait",
            "10",
        ])
        .await?;
    ensure!(said.code == 0, "undrain failed: {}", said.err);
    Ok(report
        .rows
        .into_iter()
        .map(|row| (row, note.clone()))
        .collect())
}

async fn drain(site: &Site, server: &Backend) -> anyhow::Result<String> {
    sleep(BEFORE).await;
    let asked_ms = server.stats().await?.age_ms;
    let asked_at = Instant::now();
    let said = site
        .ctl(&["drain", &format!("server:{}", server.name)])
        .await?;
    ensure!(said.code == 0, "drain failed: {}", said.err);
    let accepted_ms = as_ms(asked_at.elapsed());
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < QUIET {
        sleep(LOOK).await;
        if server.stats().await?.crowd.running > 0 {
            idle_since = Instant::now();
        }
    }
    let last_ms = server
        .stats()
        .await?
        .last_started_ms
        .saturating_sub(asked_ms);
    let idle_ms = as_ms(idle_since.duration_since(asked_at));
    Ok(format!(
        "accepted after {accepted_ms} ms, last new work after {last_ms} ms, idle after {idle_ms} ms"
    ))
}
