//! What a site on loopback consists of.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use world::{Class, Link, Place, Service};

use crate::server::Behaviour;

/// Backend servers of one service, the same in each failure domain.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The service.
    pub service: Service,
    /// Backend servers in each failure domain.
    pub per_domain: usize,
    /// Slots of each.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
    /// How each behaves at first.
    pub behaviour: Behaviour,
}

/// A region and its failure domains by name.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    /// Name.
    pub name: String,
    /// Names of its failure domains.
    pub domains: Vec<String>,
}

/// A site on loopback.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Regions.
    pub regions: Vec<RegionPlan>,
    /// Links between regions, as settings name them; nothing delays them here.
    pub links: Vec<Link>,
    /// Entry VMs in each failure domain.
    pub entries_per_domain: usize,
    /// Control VMs, spread over the failure domains.
    pub controls: usize,
    /// Backend servers.
    pub fleets: Vec<Fleet>,
    /// Time that callers may keep a look-up's answer, milliseconds.
    pub lookup_ttl_ms: u64,
    /// Length of a backend server's lease, milliseconds.
    pub lease_ms: u64,
    /// Longest time that a shutdown waits for work in flight, milliseconds.
    pub shutdown_ms: u64,
    /// Further fields of the entry VMs' settings.
    pub settings: BTreeMap<String, Value>,
}

impl Fleet {
    /// Backend servers of a service.
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

    /// The same with this behaviour.
    #[must_use]
    pub fn with_behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }
}

/// Connections that a backend server accepts.
const CONNECTIONS: u32 = 400;

impl RegionPlan {
    /// A region.
    #[must_use]
    pub fn new(name: &str, domains: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            domains: domains.iter().map(ToString::to_string).collect(),
        }
    }
}

impl Plan {
    /// A small site: one region with two failure domains, two entry VMs in
    /// each, and three services.
    ///
    /// # Errors
    /// Never: the names fit.
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

    /// The same with these fleets.
    #[must_use]
    pub fn with_fleets(mut self, fleets: Vec<Fleet>) -> Self {
        self.fleets = fleets;
        self
    }

    /// The same with a further field in the entry VMs' settings.
    #[must_use]
    pub fn with_setting(mut self, field: &str, value: Value) -> Self {
        self.settings.insert(field.to_owned(), value);
        self
    }

    /// Every failure domain.
    ///
    /// # Errors
    /// When a name doesn't fit.
    pub fn places(&self) -> world::Result<Vec<Place>> {
        let mut places = Vec::new();
        for region in &self.regions {
            for domain in &region.domains {
                places.push(Place::new(region.name.parse()?, domain.parse()?));
            }
        }
        Ok(places)
    }

    /// The map of the site, as settings have it.
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

/// A service.
///
/// # Errors
/// When the name doesn't fit.
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
