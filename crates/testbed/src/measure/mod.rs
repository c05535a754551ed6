//! Experiments: load scenarios that run on sites with different settings, such as all
//! policies and their plain baselines, so that one table compares the results.

mod deployment;
mod drain;
mod hop;
mod region;
mod sample;
mod scenario;

use std::collections::BTreeMap;

use serde_json::{Value, json};
use waxwingctl::load::{Row, ms_text};
use waxwingctl::table::format_table;

pub use deployment::Deployment;
pub use scenario::Scenario;

use crate::site::Site;

/// Named settings of the entry VMs, such as a policy that is switched off.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Name in the results.
    pub name: String,
    /// Top-level fields that are added to the settings.
    pub settings: BTreeMap<String, Value>,
}

/// Scenarios to run, the variants to run them on, and their length.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Deployment that the sites model.
    pub deployment: Deployment,
    /// Variants to compare; each runs on a site of its own.
    pub variants: Vec<Variant>,
    /// Scenarios to run.
    pub scenarios: Vec<Scenario>,
    /// Length of each scenario, seconds.
    pub seconds: f64,
    /// Seed of the requests' arrival times.
    pub seed: u64,
}

/// Result of one stream of requests in one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the variant.
    pub variant: String,
    /// Counts and latencies of the stream.
    pub row: Row,
    /// Further results of the scenario, as text.
    pub note: String,
}

impl Variant {
    /// Creates a variant with default settings.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            settings: BTreeMap::new(),
        }
    }

    /// Creates the variant in which every policy is replaced by its plain baseline: round
    /// robin, one queue in order of arrival, no hedges, no credits, no limit on the share of
    /// long work, no ejection.
    #[must_use]
    pub fn plain() -> Self {
        let policy = json!({
            "choice": "round_robin",
            "hedge": { "enabled": false },
            "queue": { "discipline": "fifo" },
            "credits": { "enabled": false },
            "fleet": { "long_share": 1.0, "eject_share": 0.0 },
        });
        Self::new("plain").with_setting("policy", policy)
    }

    /// Adds a top-level field to the settings.
    #[must_use]
    pub fn with_setting(mut self, field: &str, value: Value) -> Self {
        self.settings.insert(field.to_owned(), value);
        self
    }
}

impl Experiment {
    /// Runs every scenario on every variant, and returns the results in order of scenarios.
    ///
    /// # Errors
    /// When a site doesn't start or one of its processes doesn't respond.
    pub async fn run(&self) -> anyhow::Result<Vec<ScenarioResult>> {
        let mut results = Vec::new();
        for variant in &self.variants {
            let mut plan = self.deployment.plan()?;
            plan.settings.extend(variant.settings.clone());
            let site = Site::start(plan).await?;
            for scenario in &self.scenarios {
                log::info!(target: "rig::measure", "running scenario {scenario} on variant {}", variant.name);
                let rows = match scenario {
                    Scenario::RegionLoss => region::run(self, variant).await?,
                    _ => scenario.run(&site, self).await?,
                };
                for (row, note) in rows {
                    results.push(ScenarioResult {
                        scenario: scenario.to_string(),
                        variant: variant.name.clone(),
                        row,
                        note,
                    });
                }
            }
        }
        let place = |result: &ScenarioResult| {
            let mut scenarios = self.scenarios.iter();
            scenarios.position(|s| s.to_string() == result.scenario)
        };
        results.sort_by_key(place);
        Ok(results)
    }
}

/// Formats the results as a Markdown table.
#[must_use]
pub fn to_markdown(results: &[ScenarioResult]) -> String {
    let header = [
        "| scenario",
        "| variant",
        "| stream",
        "| due",
        "| good",
        "| good/s",
        "| p50 ms",
        "| p99 ms",
        "| p99.9 ms",
        "| others",
        "| note",
        "|",
    ];
    let mut rows = vec![vec!["|---".to_owned(); header.len() - 1]];
    rows[0].push("|".into());
    rows.extend(results.iter().map(cells));
    format_table(&header, &rows)
}

fn cells(result: &ScenarioResult) -> Vec<String> {
    let row = &result.row;
    let mut others: Vec<String> = row
        .others
        .iter()
        .map(|(k, n)| format!("{k}: {n}"))
        .collect();
    if row.wrong > 0 {
        others.push(format!("wrong: {}", row.wrong));
    }
    let cells = [
        result.scenario.clone(),
        result.variant.clone(),
        row.name.clone(),
        row.due.to_string(),
        row.good.to_string(),
        format!("{:.1}", row.goodput_per_s),
        ms_text(row.p50_us),
        ms_text(row.p99_us),
        ms_text(row.p999_us),
        others.join(", "),
        result.note.clone(),
    ];
    let mut cells: Vec<String> = cells.iter().map(|cell| format!("| {cell}")).collect();
    cells.push("|".into());
    cells
}
