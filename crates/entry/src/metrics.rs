//! Metrics of an entry VM.

use std::collections::HashSet;
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use world::{Class, Contract, CustomerName, Error, ErrorKind, LockRank, RankedMutex, ServiceName};

/// Number of customers with a time series of their own; all others share one.
const CUSTOMERS_MAX: usize = 200;

/// Label of customers over [`CUSTOMERS_MAX`].
const OTHERS: &str = "_others";

/// Label of requests without a known contract.
const UNKNOWN: &str = "_unknown";

/// Upper bounds of the histogram's buckets, seconds.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Metric labels of a request.
#[derive(Clone, Debug, Default)]
pub struct Labels {
    known: Option<(CustomerName, ServiceName, Class)>,
}

impl Labels {
    /// Labels of requests under a contract.
    #[must_use]
    pub fn of(contract: &Contract) -> Self {
        let service = &contract.service;
        let known = (
            contract.customer.clone(),
            service.name.clone(),
            service.class,
        );
        Self { known: Some(known) }
    }
}

/// Metrics of one entry VM.
pub struct Metrics {
    registry: Registry,
    request_seconds: HistogramVec,
    refusals: IntCounterVec,
    waiting: IntGaugeVec,
    slots: IntGaugeVec,
    config_version: IntGauge,
    customers: RankedMutex<HashSet<CustomerName>>,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when two metrics clash.
    pub fn new() -> Result<Self, Error> {
        Self::try_new().map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
    }

    fn try_new() -> prometheus::Result<Self> {
        let latency = HistogramOpts::new(
            "waxwing_request_seconds",
            "Time from a request's arrival to the head of its answer",
        );
        let latency = latency.buckets(BUCKETS_S.to_vec());
        let refusals = Opts::new("waxwing_refusals_total", "Requests refused, by kind");
        let waiting = Opts::new("waxwing_waiting", "Requests that wait for a slot");
        let slots = Opts::new("waxwing_slots", "Slots of owned backend servers");
        let metrics = Self {
            registry: Registry::new(),
            request_seconds: HistogramVec::new(latency, &["customer", "service", "class"])?,
            refusals: IntCounterVec::new(refusals, &["service", "kind"])?,
            waiting: IntGaugeVec::new(waiting, &["service"])?,
            slots: IntGaugeVec::new(slots, &["service", "state"])?,
            config_version: IntGauge::new(
                "waxwing_config_version",
                "Version of the configuration in force",
            )?,
            customers: RankedMutex::new(LockRank::Stats, HashSet::new()),
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        self.registry
            .register(Box::new(self.request_seconds.clone()))?;
        self.registry.register(Box::new(self.refusals.clone()))?;
        self.registry.register(Box::new(self.waiting.clone()))?;
        self.registry.register(Box::new(self.slots.clone()))?;
        self.registry
            .register(Box::new(self.config_version.clone()))
    }

    /// Records the latency of a response or refusal.
    pub fn observe_response(&self, labels: &Labels, took: Duration) {
        let Some((customer, service, class)) = &labels.known else {
            return;
        };
        let customer = if self.has_series(customer) {
            customer.as_str()
        } else {
            OTHERS
        };
        self.request_seconds
            .with_label_values(&[customer, service.as_str(), class.as_str()])
            .observe(took.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, labels: &Labels, kind: ErrorKind) {
        let service = labels
            .known
            .as_ref()
            .map_or(UNKNOWN, |known| known.1.as_str());
        self.refusals
            .with_label_values(&[service, kind.response().code])
            .inc();
    }

    /// Sets the gauges of one service.
    pub fn set_service(&self, service: &ServiceName, waiting: usize, slots: (u32, u32)) {
        let service = service.as_str();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.waiting.with_label_values(&[service]).set(waiting);
        let (all, taken) = slots;
        let gauge = |state| self.slots.with_label_values(&[service, state]);
        gauge("all").set(all.into());
        gauge("taken").set(taken.into());
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when they can't be encoded.
    pub fn render(&self, config_version: u64) -> Result<Vec<u8>, Error> {
        self.config_version
            .set(i64::try_from(config_version).unwrap_or(i64::MAX));
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        Ok(page)
    }

    fn has_series(&self, customer: &CustomerName) -> bool {
        let mut customers = self.customers.lock();
        if customers.contains(customer) {
            return true;
        }
        if customers.len() >= CUSTOMERS_MAX {
            return false;
        }
        customers.insert(customer.clone())
    }
}
