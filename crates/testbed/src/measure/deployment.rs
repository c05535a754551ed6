//! The two deployments that scenarios measure, each as one region with two failure
//! domains and about the full number of backend servers.

use std::str::FromStr;

use waxwingctl::load::Stream;
use world::{Class, Link};

use crate::server::Behaviour;
use crate::site::{Fleet, RegionPlan, SitePlan, keys, service};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Mean service time of short work and operations, milliseconds.
const MEAN_SERVICE_MS: u64 = 100;

/// Shortest service time of short work and operations, milliseconds.
const MIN_SERVICE_MS: u64 = 70;

/// Names of the failure domains of each region.
const DOMAINS: [&str; 2] = ["a", "b"];

/// A deployment that scenarios measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Services: appointment checks, bookings and manuals.
    Brana,
    /// Services: quotes, orders and print-ready files.
    Tolkeleht,
}

/// A service, its deadline and its backend servers.
struct ServiceSpec {
    name: &'static str,
    per_domain: usize,
    slots: u32,
    connections: u32,
    deadline_ms: u64,
}

/// Regions, links and services of a deployment: short work, operations and downloads.
struct DeploymentSpec {
    regions: [&'static str; 3],
    link_bits_per_s: u64,
    link_latency_us: u64,
    short: ServiceSpec,
    operations: ServiceSpec,
    long: ServiceSpec,
    body_bytes: u64,
    body_bytes_per_s: u64,
}

const BRANA: DeploymentSpec = DeploymentSpec {
    regions: ["zapad", "stred", "vychod"],
    link_bits_per_s: 4_000_000_000,
    link_latency_us: 55_000,
    short: ServiceSpec::new("terminy", 4, 10, 400, 1_000),
    operations: ServiceSpec::new("objednavky", 2, 8, 400, 3_000),
    long: ServiceSpec::new("podklady", 2, 3, 400, 10_000),
    body_bytes: 1_048_576,
    body_bytes_per_s: 2_097_152,
};

const TOLKELEHT: DeploymentSpec = DeploymentSpec {
    regions: ["ee-north", "fi-south", "lv-central"],
    link_bits_per_s: 300_000_000,
    link_latency_us: 12_000,
    short: ServiceSpec::new("quotes", 4, 3, 350, 1_000),
    operations: ServiceSpec::new("orders", 2, 3, 350, 3_000),
    long: ServiceSpec::new("deliver", 2, 3, 350, 10_000),
    body_bytes: 524_288,
    body_bytes_per_s: 1_048_576,
};

impl ServiceSpec {
    const fn new(
        name: &'static str,
        per_domain: usize,
        slots: u32,
        connections: u32,
        deadline_ms: u64,
    ) -> Self {
        Self {
            name,
            per_domain,
            slots,
            connections,
            deadline_ms,
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "brana" => Ok(Self::Brana),
            "tolkeleht" => Ok(Self::Tolkeleht),
            _ => Err("expected brana or tolkeleht".into()),
        }
    }
}

impl Deployment {
    fn spec(self) -> &'static DeploymentSpec {
        match self {
            Self::Brana => &BRANA,
            Self::Tolkeleht => &TOLKELEHT,
        }
    }

    /// Returns the layout of the deployment's site with one region.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn plan(self) -> world::Result<SitePlan> {
        let spec = self.spec();
        let quick = Behaviour {
            base_us: MIN_SERVICE_MS * MS_PER_S,
            spread_us: (MEAN_SERVICE_MS - MIN_SERVICE_MS) * MS_PER_S,
            ..Behaviour::default()
        };
        let download = Behaviour {
            body_bytes: spec.body_bytes,
            body_bytes_per_s: spec.body_bytes_per_s,
            ..Behaviour::default()
        };
        let fleet = |service_spec: &ServiceSpec, class, idempotent, behaviour: &Behaviour| {
            let service = service(
                service_spec.name,
                class,
                idempotent,
                service_spec.deadline_ms,
            )?;
            let mut fleet = Fleet::new(service, service_spec.per_domain, service_spec.slots);
            fleet.connections = service_spec.connections;
            world::Result::Ok(fleet.with_behaviour(behaviour.clone()))
        };
        let mut plan = SitePlan::small()?.with_fleets(vec![
            fleet(&spec.short, Class::Short, true, &quick)?,
            fleet(&spec.operations, Class::Short, false, &quick)?,
            fleet(&spec.long, Class::Long, true, &download)?,
        ]);
        plan.regions = vec![RegionPlan::new(spec.regions[0], &DOMAINS)];
        Ok(plan)
    }

    /// Returns the layout of a site with all three regions, and one entry VM and one backend
    /// server of short work in each failure domain.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn three_region_plan(self) -> world::Result<SitePlan> {
        let spec = self.spec();
        let mut plan = self.plan()?;
        let region = |name: &&str| RegionPlan::new(name, &DOMAINS);
        plan.regions = spec.regions.iter().map(region).collect();
        plan.entries_per_domain = 1;
        plan.fleets.truncate(1);
        plan.fleets[0].per_domain = 1;
        for from in spec.regions {
            for to in spec.regions.into_iter().filter(|to| *to != from) {
                plan.links.push(Link {
                    from: from.parse()?,
                    to: to.parse()?,
                    rate_bits_per_s: spec.link_bits_per_s,
                    latency_us: spec.link_latency_us,
                });
            }
        }
        Ok(plan)
    }

    /// Returns short work at this share of the capacity of the site with three regions.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn three_region_stream(self, share: f64) -> world::Result<Stream> {
        // Three regions with one server per failure domain, against one region with
        // `per_domain` servers per failure domain.
        let per_domain = self.spec().short.per_domain;
        let part = 3.0 / f64::from(u32::try_from(per_domain).unwrap_or(u32::MAX));
        self.short_stream(share * part)
    }

    /// Returns the name of the service of short work.
    #[must_use]
    pub fn short(self) -> &'static str {
        self.spec().short.name
    }

    /// Returns short work at this share of its backend servers' capacity.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn short_stream(self, share: f64) -> world::Result<Stream> {
        let service_spec = &self.spec().short;
        let stream = Stream::new(
            service_spec.name.parse()?,
            capacity_per_s(service_spec) * share,
            keys(),
        );
        Ok(stream.with_deadline_ms(service_spec.deadline_ms))
    }

    /// Returns operations at this share of their backend servers' capacity.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn operations_stream(self, share: f64) -> world::Result<Stream> {
        let service_spec = &self.spec().operations;
        let stream = Stream::new(
            service_spec.name.parse()?,
            capacity_per_s(service_spec) * share,
            keys(),
        );
        Ok(stream
            .with_operations()
            .with_deadline_ms(service_spec.deadline_ms))
    }

    /// Returns downloads at this share of their backend servers' capacity.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn long_stream(self, share: f64) -> world::Result<Stream> {
        let spec = self.spec();
        let slots = slots(&spec.long);
        let download_s = f64::from(u32::try_from(spec.body_bytes).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(spec.body_bytes_per_s).unwrap_or(u32::MAX));
        let rate_per_s = f64::from(slots) / download_s * share;
        let stream = Stream::new(spec.long.name.parse()?, rate_per_s, keys());
        Ok(stream.with_deadline_ms(spec.long.deadline_ms))
    }
}

/// Returns the slots of a service in the site with one region.
fn slots(service_spec: &ServiceSpec) -> u32 {
    let domains = 2;
    u32::try_from(service_spec.per_domain).unwrap_or(u32::MAX) * domains * service_spec.slots
}

/// Returns the rate of requests that occupies every slot of a service.
fn capacity_per_s(service_spec: &ServiceSpec) -> f64 {
    f64::from(slots(service_spec)) * 1_000.0
        / f64::from(u32::try_from(MEAN_SERVICE_MS).unwrap_or(u32::MAX))
}
