//! Counters and histograms of an entry VM.

use std::time::Duration;

use affinity::{AttemptEnd, Choice};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};
use world::Route;

/// Bounds of the latency histograms, seconds: from an answer within a zone to
/// the longest deadlines.
const BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 10.0];

/// Counters and histograms.
pub struct Stats {
    /// Where they are gathered.
    pub registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    sends: IntCounterVec,
    again: IntCounterVec,
    link_busy: IntGauge,
}

impl Stats {
    /// Counters at zero.
    ///
    /// # Errors
    /// When two of them have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let latency = HistogramOpts::new("request_seconds", "Time to the answer of a request")
            .buckets(BUCKETS_S.to_vec());
        let stats = Self {
            registry: Registry::new(),
            requests: counter("requests_total", "Requests", &["kind", "result"])?,
            latency: HistogramVec::new(latency, &["kind"])?,
            sends: counter("sends_total", "Sends to servers", &["service", "end"])?,
            again: counter("second_sends_total", "Second sends", &["after"])?,
            link_busy: IntGauge::new("link_busy_percent", "Share of the link that is used")?,
        };
        stats.registry.register(Box::new(stats.requests.clone()))?;
        stats.registry.register(Box::new(stats.latency.clone()))?;
        stats.registry.register(Box::new(stats.sends.clone()))?;
        stats.registry.register(Box::new(stats.again.clone()))?;
        stats.registry.register(Box::new(stats.link_busy.clone()))?;
        Ok(stats)
    }

    pub(crate) fn request(&self, route: Option<&Route>, result: &str, took: Duration) {
        let kind = route.map_or("none", |route| route.kind.as_str());
        self.requests.with_label_values(&[kind, result]).inc();
        self.latency
            .with_label_values(&[kind])
            .observe(took.as_secs_f64());
    }

    pub(crate) fn sent(&self, pick: &Choice, end: AttemptEnd) {
        let labels = [pick.service.as_str(), end.as_str()];
        self.sends.with_label_values(&labels).inc();
    }

    pub(crate) fn link_busy(&self, percent: u32) {
        self.link_busy.set(i64::from(percent));
    }

    pub(crate) fn again(&self, after: AttemptEnd) {
        self.again.with_label_values(&[after.as_str()]).inc();
    }
}
