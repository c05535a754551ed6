//! Divides the limits that the servers of a service name among the entry VMs.

use std::collections::BTreeMap;

use tokio::time::Instant;
use world::RegionName;

use crate::limit::{RegionDemand, quota};
use crate::service::{Context, EntryVm, OVERFLOW, Service, rank};
use crate::shares;

impl Service {
    /// Computes this entry VM's part of the limit of each server that names one, and ends
    /// limits that were not named for long.
    pub fn divide_limits(&mut self, context: &Context<'_>, now: Instant) {
        if self.servers.values().all(|server| server.limit.is_none()) {
            return;
        }
        let slots = self.slots(context);
        let own_region = &context.place.region;
        let near = context.entries.iter().filter(|e| e.region == *own_region);
        let near: Vec<&EntryVm> = near.collect();
        let mut demands: BTreeMap<RegionName, Option<Demand>> = BTreeMap::new();
        for server in self.servers.values_mut() {
            let Some(limit) = &mut server.limit else {
                continue;
            };
            if limit.is_expired(now) {
                log::info!(
                    target: "belief", server:% = server.name, born_ms = server.born_ms;
                    "limit of a server ended, as nobody has seen it named"
                );
                server.limit = None;
                continue;
            }
            let region = &server.place.region;
            if !demands.contains_key(region) {
                demands.insert(region.clone(), Demand::new(region, &slots, context));
            }
            let demand = demands.get(region).and_then(Option::as_ref);
            limit.quota = demand.map_or(0, |demand| {
                let rank = rank(near.iter().copied(), server.hash, context.own_hash);
                quota(limit.total(), &demand.regions, demand.own, rank)
            });
        }
    }
}

/// How the requests to the servers of one region divide among the entry VMs.
struct Demand {
    regions: Vec<RegionDemand>,
    /// The own region's.
    own: RegionDemand,
}

impl Demand {
    /// Weighs the entry VMs of each region by the share of that region's requests that
    /// falls to `region`. `None` while the entry VMs are not known.
    fn new(
        region: &RegionName,
        slots: &BTreeMap<RegionName, f64>,
        context: &Context<'_>,
    ) -> Option<Self> {
        let mut entry_vms: BTreeMap<&RegionName, usize> = BTreeMap::new();
        for entry in context.entries {
            *entry_vms.entry(&entry.region).or_default() += 1;
        }
        let demand = |(home, entry_vms): (&&RegionName, &usize)| {
            let share = shares::target(home, slots).get(region).copied();
            RegionDemand {
                entry_vms: *entry_vms,
                weight: share.unwrap_or(0.0).max(OVERFLOW.share),
            }
        };
        let regions = entry_vms.iter().map(demand).collect();
        let own = entry_vms.get_key_value(&context.place.region).map(demand)?;
        Some(Self { regions, own })
    }
}
