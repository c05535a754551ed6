//! Plan limits at one entry VM: the rate and the requests in flight of each
//! customer and service. Rates are this entry VM's share of the plan's rate
//! ([`crate::share`]).

use std::collections::HashMap;

use tokio::time::Instant;
use world::{Contract, CustomerName, Error, ErrorKind, ServiceName};

use crate::bucket::Bucket;

/// Most requests of a plan's burst that an entry VM allows even if its share of
/// the burst is smaller.
const UNSHARED_BURST_MAX: u32 = 10;

/// Permission to run one request, until it is released.
#[derive(Debug)]
#[must_use = "the request counts as in flight until the permit is released"]
pub struct PlanPermit {
    customer: CustomerName,
    service: ServiceName,
}

/// Limits and demand of one customer for one service.
#[derive(Debug)]
struct CustomerServiceState {
    bucket: Bucket,
    rate_per_s: u32,
    burst: u32,
    share: f64,
    in_flight: u32,
    /// Requests since the demand was last returned, admitted or not.
    observed: u32,
    measured_at: Instant,
}

/// Demand of one customer for one service at this entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedDemand {
    /// Customer.
    pub customer: CustomerName,
    /// Service.
    pub service: ServiceName,
    /// Requests per second since the last measurement, admitted or not.
    pub rate_per_s: f64,
}

/// Token buckets and numbers of requests in flight, by customer and service.
#[derive(Debug)]
pub struct Limits {
    share: f64,
    states: HashMap<CustomerName, HashMap<ServiceName, CustomerServiceState>>,
}

impl Limits {
    /// Creates empty limits. `share` is this entry VM's share of every rate limit
    /// until [`Limits::set_share`] sets another for a customer and service.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            states: HashMap::new(),
        }
    }

    /// Admits one request under its contract.
    ///
    /// # Errors
    /// [`ErrorKind::OverPlan`] if the rate or the number of requests in flight is at
    /// its limit.
    pub fn admit(&mut self, now: Instant, contract: &Contract) -> Result<PlanPermit, Error> {
        let state = self.state(now, contract);
        state.observed = state.observed.saturating_add(1);
        if state.in_flight >= contract.usage.in_flight {
            return Err(over_plan(contract, "requests in flight"));
        }
        if !state.bucket.take(now, 1.0) {
            return Err(over_plan(contract, "requests a second"));
        }
        state.in_flight += 1;
        Ok(PlanPermit {
            customer: contract.customer.clone(),
            service: contract.service.name.clone(),
        })
    }

    /// Ends an admitted request.
    pub fn release(&mut self, permit: PlanPermit) {
        let PlanPermit { customer, service } = permit;
        let state = self
            .states
            .get_mut(&customer)
            .and_then(|services| services.get_mut(&service));
        if let Some(state) = state {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Sets this entry VM's share of one customer's rate limit for one service.
    pub fn set_share(&mut self, now: Instant, customer: &str, service: &str, share: f64) {
        let services = self.states.get_mut(customer);
        if let Some(state) = services.and_then(|s| s.get_mut(service)) {
            state.share = share;
            state.resize(now);
        }
    }

    /// Returns the demand since the last call, sorted by customer and service.
    pub fn take_demand(&mut self, now: Instant) -> Vec<ObservedDemand> {
        let mut rows = Vec::new();
        for (customer, services) in &mut self.states {
            for (service, state) in services {
                rows.push(ObservedDemand {
                    customer: customer.clone(),
                    service: service.clone(),
                    rate_per_s: state.take_demand(now),
                });
            }
        }
        rows.sort_by(|a, b| (&a.customer, &a.service).cmp(&(&b.customer, &b.service)));
        rows
    }

    /// Returns the number of a customer's requests in flight for a service.
    #[must_use]
    pub fn in_flight(&self, customer: &str, service: &str) -> u32 {
        let services = self.states.get(customer);
        services
            .and_then(|s| s.get(service))
            .map_or(0, |a| a.in_flight)
    }

    fn state(&mut self, now: Instant, contract: &Contract) -> &mut CustomerServiceState {
        let usage = &contract.usage;
        let share = self.share;
        if !self.states.contains_key(&contract.customer) {
            self.states
                .insert(contract.customer.clone(), HashMap::new());
        }
        let services = self
            .states
            .get_mut(&contract.customer)
            .expect("inserted above");
        let state = services
            .entry(contract.service.name.clone())
            .or_insert_with(|| {
                CustomerServiceState::new(now, usage.rate_per_s, usage.burst, share)
            });
        if (state.rate_per_s, state.burst) != (usage.rate_per_s, usage.burst) {
            state.rate_per_s = usage.rate_per_s;
            state.burst = usage.burst;
            state.resize(now);
        }
        state
    }
}

impl CustomerServiceState {
    fn new(now: Instant, rate_per_s: u32, burst: u32, share: f64) -> Self {
        let bucket = Bucket::new(now, f64::from(rate_per_s) * share, burst_size(burst, share));
        Self {
            bucket,
            rate_per_s,
            burst,
            share,
            in_flight: 0,
            observed: 0,
            measured_at: now,
        }
    }

    fn resize(&mut self, now: Instant) {
        let rate_per_s = f64::from(self.rate_per_s) * self.share;
        self.bucket
            .resize(now, rate_per_s, burst_size(self.burst, self.share));
    }

    fn take_demand(&mut self, now: Instant) -> f64 {
        let age_s = now
            .saturating_duration_since(self.measured_at)
            .as_secs_f64();
        let rate_per_s = f64::from(self.observed) / age_s.max(f64::EPSILON);
        self.observed = 0;
        self.measured_at = now;
        rate_per_s
    }
}

/// Returns the bucket size for a share of the plan's burst, at least the burst up
/// to [`UNSHARED_BURST_MAX`], so that a client's small burst passes at any entry VM.
fn burst_size(burst: u32, share: f64) -> f64 {
    let floor = f64::from(burst.clamp(1, UNSHARED_BURST_MAX));
    (f64::from(burst) * share).max(floor)
}

fn over_plan(contract: &Contract, what: &str) -> Error {
    let text = format!(
        "{} is over its plan's {what} for {}",
        contract.customer, contract.service.name
    );
    Error::new(ErrorKind::OverPlan, text)
}
