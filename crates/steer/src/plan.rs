//! What is known of the places, and the plan made from it.

use crate::hash::{Purpose, unit};
use crate::places::{PlaceId, Places};

/// Whether a place takes traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Takes traffic.
    Serving,
    /// An operator has announced that it is leaving; it still serves.
    Draining,
    /// Nothing there answers.
    Lost,
}

/// Demand of the clients on plans of one priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Band {
    /// Priority of the plans; higher is refused later.
    pub priority: u8,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// What is known of one place, for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceView {
    /// Whether it takes traffic.
    pub condition: Condition,
    /// Requests a second that its backend servers can run.
    pub capacity_per_s: f64,
    /// Demand of the clients whose home it is, wherever they are served.
    pub demand: Vec<Band>,
}

impl PlaceView {
    /// Demand over all priorities, requests a second.
    #[must_use]
    pub fn demand_per_s(&self) -> f64 {
        self.demand.iter().map(|band| band.rate_per_s).sum()
    }
}

/// What is known of all places, for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The site's places.
    pub places: Places,
    /// One row a place.
    pub rows: Vec<PlaceView>,
}

/// Traffic of one home that another place takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lent {
    /// Receiver.
    pub to: PlaceId,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// The part of a home's traffic away from home that is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cutoff {
    /// Everything of a lower priority is refused.
    pub priority: u8,
    /// Share refused of what has exactly this priority.
    pub share: f64,
}

impl Cutoff {
    /// The cutoff that refuses `refused_per_s` of these bands, lowest priority first.
    #[must_use]
    pub fn new(bands: &[Band], refused_per_s: f64) -> Self {
        let mut sorted = bands.to_vec();
        sorted.sort_by_key(|band| band.priority);
        let mut left_per_s = refused_per_s;
        let mut cutoff = Self::default();
        for band in sorted.iter().filter(|b| b.rate_per_s > 0.0) {
            if left_per_s <= 0.0 {
                break;
            }
            let share = (left_per_s / band.rate_per_s).min(1.0);
            cutoff = cutoff.join(band.priority, share, band.rate_per_s, &sorted);
            left_per_s -= band.rate_per_s;
        }
        cutoff
    }

    /// Whether a request with this key is refused.
    #[must_use]
    pub fn refuses(&self, priority: u8, key: u64) -> bool {
        priority < self.priority
            || (priority == self.priority && unit(key, Purpose::Refuse) < self.share)
    }

    /// Bands of one priority may stand more than once; their shares add up.
    fn join(self, priority: u8, share: f64, rate_per_s: f64, all: &[Band]) -> Self {
        let same: f64 = all
            .iter()
            .filter(|b| b.priority == priority)
            .map(|b| b.rate_per_s)
            .sum();
        let part = share * rate_per_s / same;
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
    /// Share of the clients that are steered home.
    pub kept: f64,
    /// Where the others go.
    pub lent: Vec<Lent>,
    /// Requests a second of the others that fit nowhere.
    pub refused_per_s: f64,
    /// Which of the others are refused.
    pub cutoff: Cutoff,
}

/// The plan for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// One row a home place.
    pub homes: Vec<HomePlan>,
    /// Requests a second that each place could still take.
    pub spare_per_s: Vec<f64>,
    /// Whether each place takes new clients.
    pub open: Vec<bool>,
}

impl Plan {
    /// A plan that keeps every client at home, for a site with `places`.
    #[must_use]
    pub fn at_home(places: usize) -> Self {
        let home = HomePlan {
            kept: 1.0,
            ..HomePlan::default()
        };
        Self {
            homes: vec![home; places],
            spare_per_s: vec![1.0; places],
            open: vec![true; places],
        }
    }

    /// Requests a second promised to each place, given the homes' demand.
    #[must_use]
    pub fn promised_per_s(&self, demand_per_s: &[f64]) -> Vec<f64> {
        let mut promised = vec![0.0; self.homes.len()];
        for (index, home) in self.homes.iter().enumerate() {
            promised[index] += home.kept * demand_per_s[index];
            for lent in &home.lent {
                promised[lent.to.index()] += lent.rate_per_s;
            }
        }
        promised
    }
}
