//! Load reports, which are summed along a tree of the domain's members.

use std::collections::BTreeMap;

use world::{MachineName, ServiceName};

use crate::members::record::PlaceKey;

/// Most members that one report lists in [`Report::behind`].
pub const BEHIND_MAX: usize = 8;

/// Demand of the clients with one home domain and one priority.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeDemand {
    /// Home domain of the clients; `None`: the reporting domain.
    pub home: Option<PlaceKey>,
    /// Priority of their plans.
    pub priority: u8,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// Load of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: ServiceName,
    /// Requests per second that the backend servers can run.
    pub capacity_per_s: f64,
    /// Rate of arriving requests, by home and priority.
    pub demand: Vec<HomeDemand>,
}

/// Sum of the load of a member and of the members below it in the tree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of members in the sum.
    pub members: u32,
    /// Lowest version of the configuration among the members in the sum.
    pub config_version_min: u64,
    /// Some of the members whose version is lower than the highest version they know of.
    pub behind: Vec<MachineName>,
    /// Load of each service.
    pub services: Vec<ServiceLoad>,
}

impl Report {
    /// Adds the report of another part of the tree.
    pub fn add(&mut self, other: &Self) {
        if other.members == 0 {
            return;
        }
        self.config_version_min = match self.members {
            0 => other.config_version_min,
            _ => self.config_version_min.min(other.config_version_min),
        };
        self.members += other.members;
        self.behind.extend_from_slice(&other.behind);
        self.behind.truncate(BEHIND_MAX);
        let mut services: BTreeMap<ServiceName, ServiceLoad> = std::mem::take(&mut self.services)
            .into_iter()
            .map(|load| (load.service.clone(), load))
            .collect();
        for load in &other.services {
            services
                .entry(load.service.clone())
                .and_modify(|sum| sum.add(load))
                .or_insert_with(|| load.clone());
        }
        self.services = services.into_values().collect();
    }
}

impl ServiceLoad {
    fn add(&mut self, other: &Self) {
        self.capacity_per_s += other.capacity_per_s;
        for demand in &other.demand {
            let is_same =
                |d: &&mut HomeDemand| d.home == demand.home && d.priority == demand.priority;
            match self.demand.iter_mut().find(is_same) {
                Some(sum) => sum.rate_per_s += demand.rate_per_s,
                None => self.demand.push(demand.clone()),
            }
        }
    }
}
