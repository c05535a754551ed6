//! Shifts clients between places, per service, from the load that members report.

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

/// Time after the start before a domain without a fresh report counts as lost.
const WARM_UP: Duration = Duration::from_secs(10);

/// State of one failure domain as its members report it.
#[derive(Clone, Debug)]
pub struct DomainView {
    /// The failure domain.
    pub place: PlaceKey,
    /// Whether the domain's report is fresh; always true for this VM's domain.
    pub fresh: bool,
    /// Load of the domain.
    pub report: Report,
}

/// Shift policy of each service.
#[derive(Debug)]
pub struct ClientShift {
    places: Places,
    keys: Vec<PlaceKey>,
    blocks: Arc<Blocks>,
    limits: ShiftLimits,
    policies: HashMap<ServiceName, GradualShift>,
    started_at: Instant,
}

impl ClientShift {
    /// Creates the shift policies of a site with these client address blocks.
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

    /// Lookup tables that send every client to its home place.
    #[must_use]
    pub fn home_tables(&self, entries: Vec<Arc<EntryVm>>) -> LookupTables {
        LookupTables::new(
            self.places.clone(),
            Arc::clone(&self.blocks),
            self.limits.ttl_ms,
        )
        .with_entries(entries)
    }

    /// Runs one step of the policy of every service; returns the new lookup tables.
    pub fn step(
        &mut self,
        now: Instant,
        entries: Vec<Arc<EntryVm>>,
        domains: &[DomainView],
        config: &Config,
    ) -> LookupTables {
        let mut lookups = self.home_tables(entries);
        let listed = |name: &ServiceName| config.lists.services.iter().any(|s| s.name == *name);
        self.policies.retain(|name, _| listed(name));
        for service in &config.lists.services {
            let view = self.view(now, &service.name, domains, config);
            let policy = self
                .policies
                .entry(service.name.clone())
                .or_insert_with(|| {
                    // A drain that precedes this VM's start has been carried out: its
                    // place starts without clients instead of shifting them again.
                    let kept: Vec<f64> = view.rows.iter().map(initial_kept_share).collect();
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
        domains: &[DomainView],
        config: &Config,
    ) -> View {
        let warmed_up = now.duration_since(self.started_at) >= WARM_UP;
        let rows = self
            .places
            .ids()
            .zip(&self.keys)
            .map(|(id, key)| {
                let known = domains.iter().find(|d| d.place == *key);
                let lost = warmed_up && !known.is_some_and(|d| d.fresh);
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

/// Share of its clients that a place keeps when this VM starts.
fn initial_kept_share(row: &PlaceView) -> f64 {
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

fn capacity(domain: &DomainView, service: &ServiceName) -> f64 {
    let load = domain
        .report
        .services
        .iter()
        .find(|s| s.service == *service);
    load.map_or(0.0, |load| load.capacity_per_s)
}

/// Demand of the clients of one home place, at all places, by priority.
fn demand(home: PlaceKey, service: &ServiceName, domains: &[DomainView]) -> Vec<PriorityDemand> {
    let mut by_priority: Vec<PriorityDemand> = Vec::new();
    for domain in domains {
        let loads = domain.report.services.iter();
        let loads = loads.filter(|s| s.service == *service);
        let all = loads.flat_map(|load| &load.demand);
        for part in all.filter(|d| d.home.unwrap_or(domain.place) == home) {
            match by_priority.iter_mut().find(|b| b.priority == part.priority) {
                Some(demand) => demand.rate_per_s += part.rate_per_s,
                None => by_priority.push(PriorityDemand {
                    priority: part.priority,
                    rate_per_s: part.rate_per_s,
                }),
            }
        }
    }
    by_priority
}
