//! Counts the outcomes of a load run and reports them with the latencies.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use world::unit::as_us;

use super::client::Outcome;
use super::profile::{Profile, Stream};
use crate::http::Failure;
use crate::table::format_table;

/// Highest latency that the histogram can record, microseconds; longer ones are
/// recorded as this.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Counts the outcomes of one stream during the run.
#[derive(Debug)]
pub struct Tally {
    latency_us: Histogram<u64>,
    row: Row,
}

/// Result of one stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Name of the stream.
    pub name: String,
    /// Number of requests that were due.
    pub due: u64,
    /// Number of good responses.
    pub good: u64,
    /// Good responses per second of the run.
    pub goodput_per_s: f64,
    /// Number of good responses that took more than one attempt.
    pub retried: u64,
    /// Median latency of good responses, microseconds.
    pub p50_us: u64,
    /// 99th percentile of that latency, microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of that latency, microseconds.
    pub p999_us: u64,
    /// Maximum of that latency, microseconds.
    pub max_us: u64,
    /// Number of responses that belong to another request.
    pub wrong: u64,
    /// Numbers of other outcomes, by description.
    pub others: BTreeMap<String, u64>,
}

/// Result of a load run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Time from the start of the run to the last response, seconds.
    pub took_s: f64,
    /// Results of the streams, sorted by name.
    pub rows: Vec<Row>,
}

impl Tally {
    /// Creates a tally without outcomes.
    ///
    /// # Panics
    /// Never: the bounds of the histogram are valid constants.
    #[must_use]
    pub fn new(stream: &Stream) -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS);
        Self {
            latency_us: latency_us.expect("bounds fit"),
            row: Row {
                name: stream.name.clone(),
                ..Row::default()
            },
        }
    }

    /// Counts one outcome.
    pub fn count(&mut self, outcome: &Outcome) {
        self.row.due += 1;
        let other = match outcome {
            Outcome::Good(response) => {
                self.row.good += 1;
                self.row.retried += u64::from(response.attempts > 1);
                self.latency_us.saturating_record(as_us(response.latency));
                return;
            }
            Outcome::Wrong => {
                self.row.wrong += 1;
                return;
            }
            Outcome::Refused(kind) => kind.to_string(),
            Outcome::Status(status) => format!("status {status}"),
            Outcome::Failed(Failure::Unreachable(_)) => "no connection".into(),
            Outcome::Failed(Failure::Interrupted(_)) => "connection broke".into(),
            Outcome::Failed(Failure::Timeout) => "no answer in time".into(),
            Outcome::NotSent => "not sent".into(),
        };
        *self.row.others.entry(other).or_default() += 1;
    }

    /// Returns the result of a run of this length.
    #[must_use]
    pub fn into_row(mut self, duration: Duration) -> Row {
        let good = u32::try_from(self.row.good).unwrap_or(u32::MAX);
        self.row.goodput_per_s = f64::from(good) / duration.as_secs_f64();
        self.row.p50_us = self.latency_us.value_at_quantile(0.5);
        self.row.p99_us = self.latency_us.value_at_quantile(0.99);
        self.row.p999_us = self.latency_us.value_at_quantile(0.999);
        self.row.max_us = self.latency_us.max();
        self.row
    }
}

impl Row {
    /// Number of requests without a good response.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.due - self.good
    }

    /// Formats the cells of the row in [`Report::to_table`].
    fn cells(&self) -> Vec<String> {
        let others = self
            .others
            .iter()
            .map(|(outcome, count)| format!("{outcome}: {count}"));
        vec![
            self.name.clone(),
            self.due.to_string(),
            self.good.to_string(),
            format!("{:.1}", self.goodput_per_s),
            ms_text(self.p50_us),
            ms_text(self.p99_us),
            ms_text(self.p999_us),
            ms_text(self.max_us),
            self.wrong.to_string(),
            others.collect::<Vec<_>>().join(", "),
        ]
    }
}

impl Report {
    /// Creates the report of a run of `profile` that took `took`.
    #[must_use]
    pub fn new(profile: &Profile, rows: Vec<Row>, took: Duration) -> Self {
        Self {
            seed: profile.seed,
            took_s: took.as_secs_f64(),
            rows,
        }
    }

    /// Returns the result of the stream with this name.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.name == name)
    }

    /// Formats the report as a table.
    #[must_use]
    pub fn to_table(&self) -> String {
        let header = [
            "stream", "due", "good", "good/s", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "wrong",
            "others",
        ];
        let rows: Vec<_> = self.rows.iter().map(Row::cells).collect();
        format_table(&header, &rows)
    }
}

/// Formats microseconds as milliseconds with two decimals, rounded down.
#[must_use]
pub fn ms_text(us: u64) -> String {
    format!("{}.{:02}", us / 1_000, us % 1_000 / 10)
}
