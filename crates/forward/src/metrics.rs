//! Metrics of an entry VM.

use std::time::Duration;

use affinity::{AttemptEnd, Choice};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};
use world::Route;

/// Bucket bounds of the latency histogram, seconds: from a response within a
/// zone to the longest deadlines.
const BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 10.0];

/// Counters and histograms of requests, attempts and link usage, with their
/// registry.
pub struct Metrics {
    /// Registry with all metrics below.
    pub registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    crashes: IntCounterVec,
    link_busy: IntGauge,
    held_bytes: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// When two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let latency = HistogramOpts::new("request_seconds", "Time to the answer of a request")
            .buckets(BUCKETS_S.to_vec());
        let metrics = Self {
            registry: Registry::new(),
            requests: counter("requests_total", "Requests", &["kind", "result"])?,
            latency: HistogramVec::new(latency, &["kind"])?,
            attempts: counter("sends_total", "Sends to servers", &["service", "end"])?,
            retries: counter("second_sends_total", "Second sends", &["after"])?,
            crashes: counter(
                "server_crashes_total",
                "Servers that ended while they ran requests",
                &["service"],
            )?,
            link_busy: IntGauge::new("link_busy_percent", "Share of the link that is used")?,
            held_bytes: IntGauge::new("body_bytes_held", "Memory that bodies take")?,
        };
        metrics
            .registry
            .register(Box::new(metrics.requests.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.latency.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.attempts.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.retries.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.crashes.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.link_busy.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.held_bytes.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn record_request(&self, route: Option<&Route>, result: &str, took: Duration) {
        let kind = route.map_or("none", |route| route.kind.as_str());
        self.requests.with_label_values(&[kind, result]).inc();
        self.latency
            .with_label_values(&[kind])
            .observe(took.as_secs_f64());
    }

    pub(crate) fn record_attempt(&self, choice: &Choice, end: AttemptEnd) {
        let labels = [choice.service.as_str(), end.as_str()];
        self.attempts.with_label_values(&labels).inc();
    }

    pub(crate) fn record_crash(&self, choice: &Choice) {
        let labels = [choice.service.as_str()];
        self.crashes.with_label_values(&labels).inc();
    }

    pub(crate) fn set_link_busy(&self, percent: u32) {
        self.link_busy.set(i64::from(percent));
    }

    pub(crate) fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_retry(&self, after: AttemptEnd) {
        self.retries.with_label_values(&[after.as_str()]).inc();
    }
}
