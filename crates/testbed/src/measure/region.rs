//! Scenario `region-loss`: measures the loss and the return of one of three regions.

use std::time::Duration;

use anyhow::Context;
use tokio::time::sleep;
use waxwingctl::load::{Row, Stream};

use super::sample::LoadSamples;
use super::{Experiment, Variant, scenario};
use crate::site::Site;

/// Delay of the region's loss after the start of its phase.
const LOSS_DELAY: Duration = Duration::from_millis(500);

/// Load as a share of the capacity of all three regions.
const LOAD_SHARE: f64 = 0.5;

/// Runs three phases: before the loss of the first region, during its loss, and after
/// its return.
///
/// # Errors
/// When the site doesn't start, the region doesn't return, or a process doesn't respond.
pub async fn run(experiment: &Experiment, variant: &Variant) -> anyhow::Result<Vec<(Row, String)>> {
    let mut plan = experiment.deployment.three_region_plan()?;
    plan.settings.extend(variant.settings.clone());
    let mut site = Site::start(plan).await?;
    let region = site.plan.regions[0].name.clone();
    let stream = experiment.deployment.three_region_stream(LOAD_SHARE)?;
    let mut rows = vec![phase(&site, experiment, &stream, "before").await?];
    let lost = site.take_region(&region);
    let kill = async {
        sleep(LOSS_DELAY).await;
        drop(lost);
    };
    let (row, ()) = tokio::join!(phase(&site, experiment, &stream, "lost"), kill);
    rows.push(row?);
    site.restart_region(&region)
        .await
        .context("region did not return")?;
    rows.push(phase(&site, experiment, &stream, "returned").await?);
    Ok(rows)
}

/// Runs the stream for one phase; returns its row and a note on the free slots.
async fn phase(
    site: &Site,
    experiment: &Experiment,
    stream: &Stream,
    name: &str,
) -> anyhow::Result<(Row, String)> {
    let short = experiment.deployment.short();
    let stream = stream.clone().with_path(name, "/");
    let samples = LoadSamples::new(site, short);
    let load = scenario::run(site, experiment, vec![stream]);
    let (report, samples) = samples.sample_during(load).await;
    let note = samples.note(site, short).await?;
    let row = report.rows.into_iter().next().context("no row")?;
    Ok((row, note))
}
