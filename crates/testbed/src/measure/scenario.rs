//! Load scenarios: the streams of requests to send and the faults of the backend
//! servers meanwhile.

use std::fmt;
use std::str::FromStr;

use serde_json::json;
use waxwingctl::load::{Profile, Report, Row, Stream, run as run_load};

use super::sample::LoadSamples;
use super::{Experiment, drain, hop};
use crate::site::{Site, key_of};

/// Names of the plans, in descending priority.
const PLANS: [&str; 3] = ["gold", "silver", "tin"];

/// Number of clients, each in an address block of its own.
const CLIENTS: u8 = 32;

/// Factor on the service time of a slowed backend server.
const SLOW_FACTOR: u32 = 5;

/// Load as a share of capacity in the scenarios without overload.
const STEADY_SHARE: f64 = 0.5;

/// Service time that straggler requests specify, milliseconds.
const STRAGGLER_MS: u32 = 600;

/// A load scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scenario {
    /// Short work at half of its capacity.
    Short,
    /// Short work, operations and downloads, each at half of its capacity.
    Mix,
    /// Short work together with downloads at 1.5 times their capacity.
    Downloads,
    /// Short work together with stragglers of the same service.
    Stragglers,
    /// Short work while this percentage of its backend servers is slowed.
    Slowed(u32),
    /// Short work of three plans at this percentage of capacity.
    Overload(u32),
    /// Short work while one backend server is drained.
    Drain,
    /// One client, directly to a backend server and through an entry VM.
    Hop,
    /// Short work in three regions, one of which is lost and returns.
    RegionLoss,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 14] = [
        Self::Short,
        Self::Mix,
        Self::Downloads,
        Self::Stragglers,
        Self::Slowed(0),
        Self::Slowed(10),
        Self::Slowed(25),
        Self::Overload(80),
        Self::Overload(100),
        Self::Overload(150),
        Self::Overload(300),
        Self::Drain,
        Self::Hop,
        Self::RegionLoss,
    ];

    /// Runs the scenario; returns a row and a note for each stream.
    ///
    /// # Errors
    /// When a process of the site doesn't respond.
    pub async fn run(
        self,
        site: &Site,
        experiment: &Experiment,
    ) -> anyhow::Result<Vec<(Row, String)>> {
        match self {
            Self::Drain => drain::run(site, experiment).await,
            Self::Hop => hop::run(site, experiment).await,
            Self::Slowed(percent) => {
                slow(site, experiment, percent, SLOW_FACTOR).await?;
                let rows = self.load(site, experiment).await;
                slow(site, experiment, percent, 1).await?;
                rows
            }
            _ => self.load(site, experiment).await,
        }
    }

    async fn load(
        self,
        site: &Site,
        experiment: &Experiment,
    ) -> anyhow::Result<Vec<(Row, String)>> {
        let streams = self.streams(experiment)?;
        let short = experiment.deployment.short();
        let samples = LoadSamples::new(site, short);
        let (report, samples) = samples.sample_during(run(site, experiment, streams)).await;
        let note = samples.note(site, short).await?;
        let rows = report.rows.into_iter().enumerate();
        let noted = rows.map(|(at, row)| (row, if at == 0 { note.clone() } else { String::new() }));
        Ok(noted.collect())
    }

    fn streams(self, experiment: &Experiment) -> world::Result<Vec<Stream>> {
        let deployment = experiment.deployment;
        let short = deployment.short_stream(STEADY_SHARE)?;
        Ok(match self {
            Self::Mix => vec![
                short,
                deployment.operations_stream(STEADY_SHARE)?,
                deployment.long_stream(STEADY_SHARE)?,
            ],
            Self::Downloads => vec![short, deployment.long_stream(1.5)?],
            Self::Stragglers => {
                let mut stragglers = short.clone().with_path("stragglers", "/long");
                stragglers.path = format!("/long?rig-ms={STRAGGLER_MS}");
                // About as much work as the short requests: each takes longer, at an eighth of
                // the rate.
                stragglers.rate_per_s = short.rate_per_s / 8.0;
                vec![short, stragglers.with_deadline_ms(5_000)]
            }
            Self::Overload(percent) => {
                let all = deployment.short_stream(f64::from(percent) / 100.0)?;
                PLANS.map(|plan| stream_of_plan(&all, plan)).to_vec()
            }
            Self::Short | Self::Slowed(_) | Self::Drain | Self::Hop | Self::RegionLoss => {
                vec![short]
            }
        })
    }
}

/// Returns the part of a stream that one of three plans sends.
fn stream_of_plan(all: &Stream, plan: &str) -> Stream {
    let mut stream = all.clone().with_path(plan, "/");
    stream.rate_per_s = all.rate_per_s / 3.0;
    stream.keys = vec![key_of(plan)];
    stream
}

/// Sends these streams for the length of the experiment's scenarios.
pub async fn run(site: &Site, experiment: &Experiment, streams: Vec<Stream>) -> Report {
    let profile = Profile::new(site.api_addrs(), experiment.seconds, experiment.seed);
    run_load(&profile.with_clients(CLIENTS).with_streams(streams)).await
}

/// Sets the slow factor on this percentage of the backend servers of short work.
async fn slow(site: &Site, e: &Experiment, percent: u32, factor: u32) -> anyhow::Result<()> {
    let short = e.deployment.short();
    let count = site.fleet(short).count();
    let slowed = (count * percent as usize).div_ceil(100);
    // Servers are picked four apart, so that the slowed servers are in both failure
    // domains.
    for backend in site
        .fleet(short)
        .step_by(4)
        .chain(site.fleet(short).skip(1).step_by(4))
        .take(slowed)
    {
        backend
            .set_behaviour(json!({ "slow_factor": factor }))
            .await?;
    }
    Ok(())
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => f.write_str("short"),
            Self::Mix => f.write_str("mix"),
            Self::Downloads => f.write_str("downloads"),
            Self::Stragglers => f.write_str("stragglers"),
            Self::Slowed(percent) => write!(f, "slowed-{percent}"),
            Self::Overload(percent) => write!(f, "overload-{percent}"),
            Self::Drain => f.write_str("drain"),
            Self::Hop => f.write_str("hop"),
            Self::RegionLoss => f.write_str("region-loss"),
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|s| s.to_string() == text);
        found.ok_or_else(|| {
            let all: Vec<String> = Self::ALL.iter().map(ToString::to_string).collect();
            format!("expected one of {}", all.join(", "))
        })
    }
}
