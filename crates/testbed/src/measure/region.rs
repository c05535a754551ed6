//! Loss of a region and its return, over three regions.

use std::time::Duration;

use anyhow::Context;
use tokio::time::sleep;
use waxwingctl::load::{Row, Stream};

use super::sample::Headroom;
use super::{Experiment, Variant, scenario};
use crate::site::Site;

/// Wait after the start of a phase before the region is lost or returns.
const BEFORE: Duration = Duration::from_millis(500);

/// Share of the capacity of all three regions.
const SHARE: f64 = 0.5;

/// Runs three phases: all well, the first region lost, and returned.
///
/// # Errors
/// When the site doesn't start or a process doesn't start again.
pub async fn run(experiment: &Experiment, variant: &Variant) -> anyhow::Result<Vec<(Row, String)>> {
    let mut plan = experiment.deployment.wide_plan()?;
    plan.settings.extend(variant.settings.clone());
    let mut site = Site::start(plan).await?;
    let region = site.plan.regions[0].name.clone();
    let stream = experiment.deployment.wide_stream(SHARE)?;
    let mut rows = vec![phase(&site, experiment, &stream, "before").await?];
    let lost = site.take_region(&region);
    let kill = async {
        sleep(BEFORE).await;
        drop(lost);
    };
    let (row, ()) = tokio::join!(phase(&site, experiment, &stream, "lost"), kill);
    rows.push(row?);
    site.return_region(&region)
        .await
        .context("region did not return")?;
    rows.push(phase(&site, experiment, &stream, "returned").await?);
    Ok(rows)
}

async fn phase(
    site: &Site,
    experiment: &Experiment,
    stream: &Stream,
    name: &str,
) -> anyhow::Result<(Row, String)> {
    let short = experiment.deployment.short();
    let stream = stream.clone().with_path(name, "/");
    let headroom = Headroom::new(site, short);
    let load = scenario::run(site, experiment, vec![stream]);
    let (report, headroom) = headroom.beside(load).await;
    let note = headroom.note(site, short).await?;
    let row = report.rows.into_iter().next().context("no row")?;
    Ok((row, note))
}
