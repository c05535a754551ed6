//! Shifts of every service, stepped from what the members report.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peers::members::{PlaceKey, Report};
use steer::{
    Blocks, Condition, GradualShift, LookupTables, PlaceView, Places, Policy, PriorityDemand,
    ShiftLimits, View,
};
use tokio::time::Instant;
use world::{Config, EntryVm, Place, ServiceName, Zones};

/// After its start a VM takes domains that it has not heard of for serving.
const WARM: Duration = Duration::from_secs(10);

/// What is known of one failure domain.
#[derive(Clone, Debug)]
pub struct DomainSight {
    /// The domain.
    pub place: PlaceKey,
    /// Whether its summary is fresh.
    pub reached: bool,
    /// Its load.
    pub report: Report,
}

/// The policy of each service and what it steps on.
#[derive(Debug)]
pub struct Steering {
    places: Places,
    keys: Vec<PlaceKey>,
    blocks: Arc<Blocks>,
    limits: ShiftLimits,
    policies: HashMap<ServiceName, GradualShift>,
    started_at: Instant,
}

impl Steering {
    /// Steering over a site with these blocks.
    #[must_use]
    pub fn new(zones: &Zones, blocks: Arc<Blocks>, ttl_ms: u64, now: Instant) -> Self {
        let places = Places::new(zones);
        let limits = ShiftLimits {
            ttl_ms,
            ..ShiftLimits::default()
        };
        Self {
            keys: zones.places().map(|place| PlaceKey::of(&place)).collect(),
            places,
            blocks,
            limits,
            policies: HashMap::new(),
            started_at: now,
        }
    }

    /// Look-ups with every client at home.
    #[must_use]
    pub fn at_home(&self, entries: Vec<Arc<EntryVm>>) -> LookupTables {
        LookupTables::new(
            self.places.clone(),
            Arc::clone(&self.blocks),
            self.limits.ttl_ms,
        )
        .with_entries(entries)
    }

    /// Steps every service of the lists; gives the look-ups from now on.
    pub fn step(
        &mut self,
        now: Instant,
        entries: Vec<Arc<EntryVm>>,
        domains: &[DomainSight],
        config: &Config,
    ) -> LookupTables {
        let mut lookups = self.at_home(entries);
        let listed = |name: &ServiceName| config.lists.services.iter().any(|s| s.name == *name);
        self.policies.retain(|name, _| listed(name));
        for service in &config.lists.services {
            let view = self.view(now, &service.name, domains, config);
            let policy = self
                .policies
                .entry(service.name.clone())
                .or_insert_with(|| {
                    // A drain that is older than this VM has already been carried out.
                    let kept: Vec<f64> = view.rows.iter().map(kept_at_start).collect();
                    GradualShift::new(self.limits).with_kept(&kept)
                });
            let plan = policy.step(now, &view);
            lookups = lookups.with_plan(service.name.clone(), plan);
        }
        lookups
    }

    fn view(
        &self,
        now: Instant,
        service: &ServiceName,
        domains: &[DomainSight],
        config: &Config,
    ) -> View {
        let warm = now.duration_since(self.started_at) >= WARM;
        let rows = self
            .places
            .ids()
            .zip(&self.keys)
            .map(|(id, key)| {
                let known = domains.iter().find(|d| d.place == *key);
                let lost = warm && !known.is_some_and(|d| d.reached);
                let place = self.places.place(id);
                PlaceView {
                    condition: condition(lost, place, config),
                    capacity_per_s: known.map_or(0.0, |d| capacity(d, service)),
                    demand: demand(*key, service, domains),
                }
            })
            .collect();
        View {
            places: self.places.clone(),
            rows,
        }
    }
}

fn kept_at_start(row: &PlaceView) -> f64 {
    match row.condition {
        Condition::Serving => 1.0,
        Condition::Draining | Condition::Lost => 0.0,
    }
}

fn condition(lost: bool, place: &Place, config: &Config) -> Condition {
    if lost {
        return Condition::Lost;
    }
    if config.drains_place(place) {
        return Condition::Draining;
    }
    Condition::Serving
}

fn capacity(domain: &DomainSight, service: &ServiceName) -> f64 {
    let load = domain
        .report
        .services
        .iter()
        .find(|s| s.service == *service);
    load.map_or(0.0, |load| load.capacity_per_s)
}

/// Demand of the clients of one home, wherever they are served, by priority.
fn demand(home: PlaceKey, service: &ServiceName, domains: &[DomainSight]) -> Vec<PriorityDemand> {
    let mut bands: Vec<PriorityDemand> = Vec::new();
    for domain in domains {
        let loads = domain.report.services.iter();
        let loads = loads.filter(|s| s.service == *service);
        let all = loads.flat_map(|load| &load.demand);
        for part in all.filter(|d| d.home.unwrap_or(domain.place) == home) {
            match bands.iter_mut().find(|b| b.priority == part.priority) {
                Some(band) => band.rate_per_s += part.rate_per_s,
                None => bands.push(PriorityDemand {
                    priority: part.priority,
                    rate_per_s: part.rate_per_s,
                }),
            }
        }
    }
    bands
}
