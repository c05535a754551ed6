//! Experiments on a site: the measures that the users ask for, with each
//! policy and its plain baseline in one run.

mod deployment;
mod drain;
mod hop;
mod region;
mod sample;
mod scenario;

use std::collections::BTreeMap;

use serde_json::{Value, json};
use waxwingctl::load::{Row, ms_text};
use waxwingctl::table::lay_out;

pub use deployment::Deployment;
pub use scenario::Scenario;

use crate::site::Site;

/// Settings of the entry VMs under a name, such as a policy switched off.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Fields that are put into the settings.
    pub settings: BTreeMap<String, Value>,
}

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The deployment.
    pub deployment: Deployment,
    /// Variants, each on a site of its own.
    pub variants: Vec<Variant>,
    /// Scenarios.
    pub scenarios: Vec<Scenario>,
    /// Length of each scenario, seconds.
    pub seconds: f64,
    /// Seed of arrivals.
    pub seed: u64,
}

/// One line of the result.
#[derive(Clone, Debug)]
pub struct Line {
    /// Scenario.
    pub scenario: String,
    /// Variant.
    pub variant: String,
    /// Outcomes of one stream.
    pub row: Row,
    /// What else was seen.
    pub note: String,
}

impl Variant {
    /// Settings as they are by default.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            settings: BTreeMap::new(),
        }
    }

    /// Every policy replaced by its plain baseline: round robin, one queue in
    /// order of arrival, no hedges, no credits, no share for long work, no
    /// ejection.
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

    /// The same with this field.
    #[must_use]
    pub fn with_setting(mut self, field: &str, value: Value) -> Self {
        self.settings.insert(field.to_owned(), value);
        self
    }
}

impl Experiment {
    /// Runs every scenario on every variant.
    ///
    /// # Errors
    /// When a site doesn't start or a process of it ends.
    pub async fn run(&self) -> anyhow::Result<Vec<Line>> {
        let mut lines = Vec::new();
        for variant in &self.variants {
            let mut plan = self.deployment.plan()?;
            plan.settings.extend(variant.settings.clone());
            let site = Site::start(plan).await?;
            for scenario in &self.scenarios {
                log::info!(target: "rig::measure", "scenario {scenario} of variant {}", variant.name);
                let rows = match scenario {
                    Scenario::RegionLoss => region::run(self, variant).await?,
                    _ => scenario.run(&site, self).await?,
                };
                for (row, note) in rows {
                    lines.push(Line {
                        scenario: scenario.to_string(),
                        variant: variant.name.clone(),
                        row,
                        note,
                    });
                }
            }
        }
        let place = |line: &Line| {
            let mut scenarios = self.scenarios.iter();
            scenarios.position(|s| s.to_string() == line.scenario)
        };
        lines.sort_by_key(place);
        Ok(lines)
    }
}

/// Lines as a Markdown table.
#[must_use]
pub fn to_markdown(lines: &[Line]) -> String {
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
    rows.extend(lines.iter().map(cells));
    lay_out(&header, &rows)
}

fn cells(line: &Line) -> Vec<String> {
    let row = &line.row;
    let mut others: Vec<String> = row
        .others
        .iter()
        .map(|(k, n)| format!("{k}: {n}"))
        .collect();
    if row.wrong > 0 {
        others.push(format!("wrong: {}", row.wrong));
    }
    let cells = [
        line.scenario.clone(),
        line.variant.clone(),
        row.name.clone(),
        row.due.to_string(),
        row.good.to_string(),
        format!("{:.1}", row.goodput_per_s),
        ms_text(row.p50_us),
        ms_text(row.p99_us),
        ms_text(row.p999_us),
        others.join(", "),
        line.note.clone(),
    ];
    let mut cells: Vec<String> = cells.iter().map(|cell| format!("| {cell}")).collect();
    cells.push("|".into());
    cells
}
