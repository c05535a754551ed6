//! State of the places, and the plan that a policy makes from it.

use crate::hash::{Purpose, unit};
use crate::places::{PlaceId, Places};

/// Whether a place takes traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The place takes traffic.
    Serving,
    /// An operator is draining the place. It still serves.
    Draining,
    /// Nothing in the place responds.
    Lost,
}

/// Demand of one priority band: of the clients on plans of one priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityDemand {
    /// Priority of the plans; the lowest is refused first.
    pub priority: u8,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// State of one place, for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceView {
    /// Whether the place takes traffic.
    pub condition: Condition,
    /// Capacity of its backend servers, requests per second.
    pub capacity_per_s: f64,
    /// Demand of the clients whose home is this place, wherever they are served.
    pub demand: Vec<PriorityDemand>,
}

impl PlaceView {
    /// Returns the demand over all priorities, requests per second.
    #[must_use]
    pub fn demand_per_s(&self) -> f64 {
        self.demand.iter().map(|band| band.rate_per_s).sum()
    }
}

/// State of all places, for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Places of the site.
    pub places: Places,
    /// State of each place.
    pub rows: Vec<PlaceView>,
}

/// Traffic of a home that is shifted to another place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftedTraffic {
    /// Receiving place.
    pub to: PlaceId,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// Which part of a home's shifted traffic is refused, by priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cutoff {
    /// Requests of a lower priority are all refused.
    pub priority: u8,
    /// Share of the requests of exactly this priority that is refused.
    pub share: f64,
}

impl Cutoff {
    /// Returns the cutoff that refuses `refused_per_s` of the demand in `bands`,
    /// lowest priority first.
    #[must_use]
    pub fn new(bands: &[PriorityDemand], refused_per_s: f64) -> Self {
        let mut sorted = bands.to_vec();
        sorted.sort_by_key(|band| band.priority);
        let mut to_refuse_per_s = refused_per_s;
        let mut cutoff = Self::default();
        for band in sorted.iter().filter(|b| b.rate_per_s > 0.0) {
            if to_refuse_per_s <= 0.0 {
                break;
            }
            let share = (to_refuse_per_s / band.rate_per_s).min(1.0);
            cutoff = cutoff.add_band(band.priority, share, band.rate_per_s, &sorted);
            to_refuse_per_s -= band.rate_per_s;
        }
        cutoff
    }

    /// Returns whether a request with this key is refused.
    #[must_use]
    pub fn refuses(&self, priority: u8, key: u64) -> bool {
        priority < self.priority
            || (priority == self.priority && unit(key, Purpose::Refuse) < self.share)
    }

    /// Adds the refused share of one band. Several bands may have the same priority;
    /// their refused shares are summed.
    fn add_band(self, priority: u8, share: f64, rate_per_s: f64, all: &[PriorityDemand]) -> Self {
        let same_priority_per_s: f64 = all
            .iter()
            .filter(|b| b.priority == priority)
            .map(|b| b.rate_per_s)
            .sum();
        let part = share * rate_per_s / same_priority_per_s;
        let before = if self.priority == priority {
            self.share
        } else {
            0.0
        };
        Self {
            priority,
            share: (before + part).min(1.0),
        }
    }
}

/// The plan for the clients of one home.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomePlan {
    /// Share of the clients that are steered to the home.
    pub kept: f64,
    /// Places that get the traffic of the other clients.
    pub shifted: Vec<ShiftedTraffic>,
    /// Traffic of the other clients for which no place has capacity, requests per
    /// second.
    pub refused_per_s: f64,
    /// Which requests of the other clients are refused.
    pub cutoff: Cutoff,
}

/// The plan for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Plan for the clients of each home place.
    pub homes: Vec<HomePlan>,
    /// Free capacity of each place, requests per second.
    pub free_per_s: Vec<f64>,
    /// Whether each place takes new clients.
    pub open: Vec<bool>,
}

impl Plan {
    /// Returns a plan that keeps every client at home, for a site with this number
    /// of places.
    #[must_use]
    pub fn at_home(places: usize) -> Self {
        let home = HomePlan {
            kept: 1.0,
            ..HomePlan::default()
        };
        Self {
            homes: vec![home; places],
            // Equal weights, as no capacity is known.
            free_per_s: vec![1.0; places],
            open: vec![true; places],
        }
    }

    /// Returns the traffic that the plan assigns to each place for the given demand
    /// of each home, requests per second.
    #[must_use]
    pub fn assigned_per_s(&self, demand_per_s: &[f64]) -> Vec<f64> {
        let mut assigned = vec![0.0; self.homes.len()];
        for (index, home) in self.homes.iter().enumerate() {
            assigned[index] += home.kept * demand_per_s[index];
            for shifted in &home.shifted {
                assigned[shifted.to.index()] += shifted.rate_per_s;
            }
        }
        assigned
    }
}
