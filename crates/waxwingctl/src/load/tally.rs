//! Counts and latencies of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use world::unit::as_us;

use super::caller::Outcome;
use super::profile::{Profile, Stream};
use crate::http::Failure;
use crate::table::lay_out;

/// Highest latency that is told apart, microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Outcomes of one stream.
#[derive(Debug)]
pub struct Tally {
    latency_us: Histogram<u64>,
    row: Row,
}

/// Outcomes of one stream, as they are reported.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Name of the stream.
    pub name: String,
    /// Requests that were due.
    pub due: u64,
    /// Good answers.
    pub good: u64,
    /// Good answers a second of the run.
    pub goodput_per_s: f64,
    /// Good answers that took more than one attempt.
    pub retried: u64,
    /// Median latency of good answers, microseconds.
    pub p50_us: u64,
    /// 99th percentile, microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, microseconds.
    pub p999_us: u64,
    /// Longest, microseconds.
    pub max_us: u64,
    /// Answers that belong to another request.
    pub wrong: u64,
    /// Everything else, by what it was.
    pub others: BTreeMap<String, u64>,
}

/// Report of a whole run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Time from the first request to the last answer, seconds.
    pub took_s: f64,
    /// One row for each stream.
    pub rows: Vec<Row>,
}

impl Tally {
    /// Nothing counted yet.
    ///
    /// # Panics
    /// Never: the bounds of the histogram are constants that fit.
    #[must_use]
    pub fn new(stream: &Stream) -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, DIGITS);
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
            Outcome::Good(answered) => {
                self.row.good += 1;
                self.row.retried += u64::from(answered.attempts > 1);
                self.latency_us.saturating_record(as_us(answered.latency));
                return;
            }
            Outcome::Wrong => {
                self.row.wrong += 1;
                return;
            }
            Outcome::Refused(kind) => kind.to_string(),
            Outcome::Status(status) => format!("status {status}"),
            Outcome::Failed(Failure::Unreachable(_)) => "no connection".into(),
            Outcome::Failed(Failure::Broken(_)) => "connection broke".into(),
            Outcome::Failed(Failure::Timeout) => "no answer in time".into(),
            Outcome::NotSent => "not sent".into(),
        };
        *self.row.others.entry(other).or_default() += 1;
    }

    /// The row of a run of this length.
    #[must_use]
    pub fn row(mut self, time: Duration) -> Row {
        let good = u32::try_from(self.row.good).unwrap_or(u32::MAX);
        self.row.goodput_per_s = f64::from(good) / time.as_secs_f64();
        self.row.p50_us = self.latency_us.value_at_quantile(0.5);
        self.row.p99_us = self.latency_us.value_at_quantile(0.99);
        self.row.p999_us = self.latency_us.value_at_quantile(0.999);
        self.row.max_us = self.latency_us.max();
        self.row
    }
}

impl Row {
    /// Requests without a good answer.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.due - self.good
    }

    fn cells(&self) -> Vec<String> {
        let others = self.others.iter().map(|(what, n)| format!("{what}: {n}"));
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
    /// The report of a run.
    #[must_use]
    pub fn new(profile: &Profile, rows: Vec<Row>, took: Duration) -> Self {
        Self {
            seed: profile.seed,
            took_s: took.as_secs_f64(),
            rows,
        }
    }

    /// The row of a stream.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.name == name)
    }

    /// The report as a table.
    #[must_use]
    pub fn to_table(&self) -> String {
        let header = [
            "stream", "due", "good", "good/s", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "wrong",
            "others",
        ];
        let rows: Vec<_> = self.rows.iter().map(Row::cells).collect();
        lay_out(&header, &rows)
    }
}

/// Milliseconds of a number of microseconds, as text.
#[must_use]
pub fn ms_text(us: u64) -> String {
    format!("{}.{:02}", us / 1_000, us % 1_000 / 10)
}
