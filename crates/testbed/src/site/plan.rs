//! Layout of a test site: its regions, machines and settings.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use world::{Class, Link, Place, Service};

use crate::server::Behaviour;

/// Backend servers of one service, equal in each failure domain.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Service that the servers offer.
    pub service: Service,
    /// Number of backend servers in each failure domain.
    pub per_domain: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Maximum number of open connections of each server.
    pub connections: u32,
    /// Initial behaviour of each server.
    pub behaviour: Behaviour,
}

/// A region and its failure domains.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    /// Name of the region.
    pub name: String,
    /// Names of the failure domains.
    pub domains: Vec<String>,
}

/// Layout of a test site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Regions.
    pub regions: Vec<RegionPlan>,
    /// Links between regions for the settings; on loopback nothing delays them.
    pub links: Vec<Link>,
    /// Number of entry VMs in each failure domain.
    pub entries_per_domain: usize,
    /// Number of control VMs, which are spread over the failure domains.
    pub controls: usize,
    /// Backend servers of each service.
    pub fleets: Vec<Fleet>,
    /// Time for which clients may cache the response of a lookup, milliseconds.
    pub lookup_ttl_ms: u64,
    /// Length of a backend server's lease, milliseconds.
    pub lease_ms: u64,
    /// Maximum time for which a shutdown waits for requests in flight, milliseconds.
    pub shutdown_ms: u64,
    /// Additional top-level fields in the settings of entry VMs.
    pub settings: BTreeMap<String, Value>,
}

impl Fleet {
    /// Creates a fleet with the default behaviour and limit of connections.
    #[must_use]
    pub fn new(service: Service, per_domain: usize, slots: u32) -> Self {
        Self {
            service,
            per_domain,
            slots,
            connections: CONNECTIONS,
            behaviour: Behaviour::default(),
        }
    }

    /// Sets the initial behaviour of each server.
    #[must_use]
    pub fn with_behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }
}

/// Default limit of connections of a backend server.
const CONNECTIONS: u32 = 400;

impl RegionPlan {
    /// Creates a region with these failure domains.
    #[must_use]
    pub fn new(name: &str, domains: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            domains: domains.iter().map(ToString::to_string).collect(),
        }
    }
}

impl SitePlan {
    /// Creates a small site: one region with two failure domains, one control VM, two entry
    /// VMs in each failure domain, and three services.
    ///
    /// # Errors
    /// Never, since all names are valid.
    pub fn small() -> world::Result<Self> {
        let quick = Behaviour {
            base_us: 2_000,
            spread_us: 1_000,
            ..Behaviour::default()
        };
        let download = Behaviour {
            body_bytes: 256 * 1024,
            ..quick.clone()
        };
        Ok(Self {
            regions: vec![RegionPlan::new("zapad", &["z1", "z2"])],
            links: Vec::new(),
            entries_per_domain: 2,
            controls: 1,
            fleets: vec![
                Fleet::new(service("terminy", Class::Short, true, 1_000)?, 2, 10)
                    .with_behaviour(quick.clone()),
                Fleet::new(service("objednavky", Class::Short, false, 3_000)?, 2, 8)
                    .with_behaviour(quick),
                Fleet::new(service("podklady", Class::Long, true, 10_000)?, 2, 3)
                    .with_behaviour(download),
            ],
            lookup_ttl_ms: 500,
            lease_ms: 1_000,
            shutdown_ms: 20_000,
            settings: BTreeMap::new(),
        })
    }

    /// Replaces the backend servers.
    #[must_use]
    pub fn with_fleets(mut self, fleets: Vec<Fleet>) -> Self {
        self.fleets = fleets;
        self
    }

    /// Adds a top-level field to the settings of entry VMs.
    #[must_use]
    pub fn with_setting(mut self, field: &str, value: Value) -> Self {
        self.settings.insert(field.to_owned(), value);
        self
    }

    /// Returns every failure domain of the site.
    ///
    /// # Errors
    /// When a name is invalid.
    pub fn places(&self) -> world::Result<Vec<Place>> {
        let mut places = Vec::new();
        for region in &self.regions {
            for domain in &region.domains {
                places.push(Place::new(region.name.parse()?, domain.parse()?));
            }
        }
        Ok(places)
    }

    /// Returns the value of `zones` in the settings.
    #[must_use]
    pub fn zones(&self) -> Value {
        let domain = |name: &String| json!({ "name": name });
        let region = |region: &RegionPlan| {
            let domains: Vec<_> = region.domains.iter().map(domain).collect();
            json!({ "name": region.name, "domains": domains })
        };
        let regions: Vec<_> = self.regions.iter().map(region).collect();
        json!({ "regions": regions, "links": self.links })
    }
}

/// Creates a service.
///
/// # Errors
/// When the name is invalid.
pub fn service(
    name: &str,
    class: Class,
    idempotent: bool,
    deadline_ms: u64,
) -> world::Result<Service> {
    Ok(Service {
        name: name.parse()?,
        class,
        idempotent,
        deadline_ms,
    })
}
