//! Counts arriving requests by service, home place (the place that the client's address
//! block is assigned to) and priority, and reports the load of this VM.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use peers::members::{HomeDemand, PlaceKey, Report, ServiceLoad};
use steer::PlaceId;
use tokio::time::Instant;
use world::{Contract, Error, ErrorKind, LockRank, RankedMutex, Service, ServiceName};

use crate::state::State;

/// Period over which arrivals are counted.
const COUNT_PERIOD: Duration = Duration::from_secs(3);

/// Latency assumed before any has been observed, seconds.
const DEFAULT_LATENCY_S: f64 = 0.1;

type Key = (ServiceName, PlaceId, u8);

/// Counters of arriving requests.
pub struct Traffic {
    counts: RankedMutex<Counts>,
}

struct Counts {
    since: Instant,
    arrivals: HashMap<Key, u32>,
    rates_per_s: HashMap<Key, f64>,
}

impl Traffic {
    /// Creates counters that start at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let counts = Counts {
            since: now,
            arrivals: HashMap::new(),
            rates_per_s: HashMap::new(),
        };
        Self {
            counts: RankedMutex::new(LockRank::Stats, counts),
        }
    }

    fn count(&self, key: Key) {
        *self.counts.lock().arrivals.entry(key).or_default() += 1;
    }

    /// Rates of the last complete period, requests per second.
    fn rates(&self, now: Instant) -> HashMap<Key, f64> {
        let mut counts = self.counts.lock();
        let span = now.duration_since(counts.since);
        if span >= COUNT_PERIOD {
            let arrivals = std::mem::take(&mut counts.arrivals);
            let rate = |count: u32| f64::from(count) / span.as_secs_f64();
            counts.rates_per_s = arrivals.into_iter().map(|(k, c)| (k, rate(c))).collect();
            counts.since = now;
        }
        counts.rates_per_s.clone()
    }
}

impl State {
    /// Counts a client's request and checks it against the shift plan, which states where
    /// the clients of each home place are served.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] when the client was shifted here from its home place and
    /// the shift plan refuses requests of this priority; the request has not run.
    pub fn admit_client(&self, client: IpAddr, contract: &Contract) -> Result<(), Error> {
        let lookups = self.site.lookups();
        let Some(home) = lookups.home(client) else {
            return Ok(());
        };
        let service = &contract.service.name;
        let priority = contract.priority;
        self.traffic.count((service.clone(), home, priority));
        let is_outside_home = *lookups.places().place(home) != self.me.place;
        let request = rand::random();
        if is_outside_home && lookups.refuses(service.as_str(), client, priority, request) {
            let text = "the client's home is closed and its traffic doesn't fit elsewhere";
            return Err(Error::new(ErrorKind::Overloaded, text));
        }
        Ok(())
    }

    /// Load report of this VM.
    #[must_use]
    pub fn load(&self, now: Instant) -> Report {
        let lookups = self.site.lookups();
        let rates = self.traffic.rates(now);
        let active_config = self.active_config();
        let services = active_config.config.lists.services.iter().map(|service| {
            let demand = rates
                .iter()
                .filter(|((name, ..), _)| *name == service.name)
                .map(|((_, home, priority), rate_per_s)| {
                    let place = lookups.places().place(*home);
                    let is_here = *place == self.me.place;
                    HomeDemand {
                        home: (!is_here).then(|| PlaceKey::of(place)),
                        priority: *priority,
                        rate_per_s: *rate_per_s,
                    }
                });
            ServiceLoad {
                service: service.name.clone(),
                capacity_per_s: self.capacity_per_s(now, service),
                demand: demand.collect(),
            }
        });
        Report {
            members: 1,
            config_version_min: self.version(),
            behind: Vec::new(),
            services: services.collect(),
        }
    }

    /// Estimated capacity of a service here: slots divided by the typical latency.
    fn capacity_per_s(&self, now: Instant, service: &Service) -> f64 {
        let fleet = self.admission.fleet().table().lock();
        let (slots, _) = fleet.slots(now, service.name.as_str());
        let latency_s = fleet.latency_s(service.name.as_str(), service.class);
        f64::from(slots) / latency_s.filter(|s| *s > 0.0).unwrap_or(DEFAULT_LATENCY_S)
    }
}
