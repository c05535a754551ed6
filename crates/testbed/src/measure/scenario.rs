//! Scenarios: what is sent, and what the backend servers do meanwhile.

use std::fmt;
use std::str::FromStr;

use serde_json::json;
use waxwingctl::load::{Profile, Report, Row, Stream, run as run_load};

use super::sample::Headroom;
use super::{Experiment, drain, hop};
use crate::site::{Site, key_of};

/// Plans, the most important first.
const PLANS: [&str; 3] = ["gold", "silver", "tin"];

/// Callers, each from a client block of its own.
const CLIENTS: u8 = 32;

/// Times longer that a slowed backend server takes.
const SLOW_FACTOR: u32 = 5;

/// Share of short work's capacity in the scenarios that aren't about overload.
const STEADY: f64 = 0.5;

/// Service time of a straggler that its caller asks for, milliseconds.
const STRAGGLER_MS: u32 = 600;

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scenario {
    /// Short work alone at half of capacity.
    Short,
    /// Every class at half of capacity.
    Mix,
    /// Short work beside downloads at 1.5 times their capacity.
    Downloads,
    /// Short work beside stragglers of the same service.
    Stragglers,
    /// Short work while this many per cent of its backend servers are slowed.
    Slowed(u32),
    /// Short work of three plans at this many per cent of capacity.
    Overload(u32),
    /// Short work while one backend server is drained.
    Drain,
    /// One caller, directly and through an entry VM.
    Hop,
    /// Short work over three regions, one of which is lost and returns.
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

    /// Runs the scenario; gives a row and a note for each stream.
    ///
    /// # Errors
    /// When a process of the site has ended.
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
        let headroom = Headroom::new(site, short);
        let (report, headroom) = headroom.beside(run(site, experiment, streams)).await;
        let note = headroom.note(site, short).await?;
        let rows = report.rows.into_iter().enumerate();
        let noted = rows.map(|(at, row)| (row, if at == 0 { note.clone() } else { String::new() }));
        Ok(noted.collect())
    }

    fn streams(self, experiment: &Experiment) -> world::Result<Vec<Stream>> {
        let deployment = experiment.deployment;
        let short = deployment.short_stream(STEADY)?;
        Ok(match self {
            Self::Mix => vec![
                short,
                deployment.operations_stream(STEADY)?,
                deployment.long_stream(STEADY)?,
            ],
            Self::Downloads => vec![short, deployment.long_stream(1.5)?],
            Self::Stragglers => {
                let mut long = short.clone().with_path("stragglers", "/long");
                long.path = format!("/long?rig-ms={STRAGGLER_MS}");
                // As much work again, in fewer and longer pieces.
                long.rate_per_s = short.rate_per_s / 8.0;
                vec![short, long.with_deadline_ms(5_000)]
            }
            Self::Overload(percent) => {
                let all = deployment.short_stream(f64::from(percent) / 100.0)?;
                PLANS.map(|plan| of_plan(&all, plan)).to_vec()
            }
            Self::Short | Self::Slowed(_) | Self::Drain | Self::Hop | Self::RegionLoss => {
                vec![short]
            }
        })
    }
}

/// A third of a stream, for one plan.
fn of_plan(all: &Stream, plan: &str) -> Stream {
    let mut stream = all.clone().with_path(plan, "/");
    stream.rate_per_s = all.rate_per_s / 3.0;
    stream.keys = vec![key_of(plan)];
    stream
}

/// Sends these streams for as long as the experiment says.
pub async fn run(site: &Site, experiment: &Experiment, streams: Vec<Stream>) -> Report {
    let profile = Profile::new(site.desks(), experiment.seconds, experiment.seed);
    run_load(&profile.with_clients(CLIENTS).with_streams(streams)).await
}

async fn slow(site: &Site, e: &Experiment, percent: u32, factor: u32) -> anyhow::Result<()> {
    let short = e.deployment.short();
    let count = site.fleet(short).count();
    let slowed = (count * percent as usize).div_ceil(100);
    // Every fourth is slowed, so that each failure domain has its part.
    for backend in site
        .fleet(short)
        .step_by(4)
        .chain(site.fleet(short).skip(1).step_by(4))
        .take(slowed)
    {
        backend.set(json!({ "slow_factor": factor })).await?;
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
