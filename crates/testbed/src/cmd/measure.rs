//! `rig measure`: runs load scenarios on a site and prints the results as a table.

use std::process::ExitCode;

use anyhow::{Context, ensure};
use lexopt::prelude::*;
use serde_json::{Map, Value};

use crate::measure::{Deployment, Experiment, Scenario, Variant, to_markdown};

/// Default length of a scenario, seconds.
const DEFAULT_SECONDS: f64 = 8.0;

/// Maximum length of a scenario, seconds.
const SECONDS_MAX: f64 = 120.0;

const HELP: &str = "\
Run scenarios on a site and print the measures as a Markdown table

Usage: rig measure [OPTIONS]

Options:
  --deployment NAME      brana or tolkeleht [brana]
  --scenario NAME        A scenario; may be given more than once [all]
  --variant NAME=JSON    Fields put into the entry VMs' settings; may be given
                         more than once, each runs on a site of its own
                         [policy={} and plain, with every policy off]
  --seconds N            Length of a scenario [8]
  --seed N               Seed of arrivals [1]

Scenarios: short, mix, downloads, stragglers, slowed-0, slowed-10, slowed-25,
overload-80, overload-100, overload-150, overload-300, drain, hop, region-loss
";

/// Runs `rig measure`.
///
/// # Errors
/// When the usage is wrong or a site doesn't start.
pub async fn run(mut args: lexopt::Parser) -> anyhow::Result<ExitCode> {
    let mut experiment = Experiment {
        deployment: Deployment::Brana,
        variants: Vec::new(),
        scenarios: Vec::new(),
        seconds: DEFAULT_SECONDS,
        seed: 1,
    };
    while let Some(arg) = args.next()? {
        match arg {
            Long("deployment") => experiment.deployment = args.value()?.parse()?,
            Long("scenario") => experiment.scenarios.push(args.value()?.parse()?),
            Long("variant") => experiment.variants.push(variant(&args.value()?.string()?)?),
            Long("seconds") => experiment.seconds = args.value()?.parse()?,
            Long("seed") => experiment.seed = args.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(
        experiment.seconds > 0.0 && experiment.seconds <= SECONDS_MAX,
        "--seconds must be above 0 and at most {SECONDS_MAX}"
    );
    if experiment.variants.is_empty() {
        experiment.variants = vec![Variant::new("policy"), Variant::plain()];
    }
    if experiment.scenarios.is_empty() {
        experiment.scenarios = Scenario::ALL.to_vec();
    }
    let lines = experiment.run().await?;
    print!("{}", to_markdown(&lines));
    Ok(ExitCode::SUCCESS)
}

/// Parses a variant of the form `NAME=JSON`.
fn variant(text: &str) -> anyhow::Result<Variant> {
    let (name, json) = text.split_once('=').context("expected NAME=JSON")?;
    let fields: Map<String, Value> = serde_json::from_str(json).context("bad JSON of a variant")?;
    let mut variant = Variant::new(name);
    variant.settings.extend(fields);
    Ok(variant)
}
