//! Allocates traffic that is shifted away from its home to the free capacity of
//! other places.

use crate::places::{PlaceId, Places};
use crate::plan::ShiftedTraffic;

/// Rates up to this are treated as zero, requests per second.
const NEGLIGIBLE_PER_S: f64 = 1e-9;

/// Allocation of the shifted traffic of each home.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// For each home, the receiving places and their rates.
    pub shifted: Vec<Vec<ShiftedTraffic>>,
    /// For each home, the requests per second for which no place has capacity.
    pub unplaced_per_s: Vec<f64>,
    /// For each place, the capacity that remains free, requests per second.
    pub free_per_s: Vec<f64>,
}

/// Allocates the traffic `shifted_per_s` of each home to the capacity `intake_per_s`
/// of each place.
///
/// Places in the region of the home come first, then all places, each time in
/// proportion to their free capacity, so that no receiver is favoured.
#[must_use]
pub fn allocate(places: &Places, shifted_per_s: &[f64], intake_per_s: &[f64]) -> Allocation {
    let mut allocation = Allocation {
        shifted: vec![Vec::new(); shifted_per_s.len()],
        unplaced_per_s: shifted_per_s.to_vec(),
        free_per_s: intake_per_s.to_vec(),
    };
    let all: Vec<PlaceId> = places.ids().collect();
    for group in all.chunk_by(|a, b| places.same_region(*a, *b)) {
        allocation.allocate_within(group);
    }
    allocation.allocate_within(&all);
    allocation
}

impl Allocation {
    /// Allocates the unplaced traffic of the group's homes to the group's places.
    fn allocate_within(&mut self, group: &[PlaceId]) {
        let total = |rates: &[f64]| group.iter().map(|p| rates[p.index()]).sum::<f64>();
        let wanted_per_s = total(&self.unplaced_per_s);
        let offered_per_s = total(&self.free_per_s);
        if wanted_per_s <= NEGLIGIBLE_PER_S || offered_per_s <= NEGLIGIBLE_PER_S {
            return;
        }
        let placed_share = (offered_per_s / wanted_per_s).min(1.0);
        let used_share = (wanted_per_s / offered_per_s).min(1.0);
        for home in group {
            let rate_per_s = self.unplaced_per_s[home.index()] * placed_share;
            for to in group {
                let part = self.free_per_s[to.index()] / offered_per_s;
                self.add_shifted(*home, *to, rate_per_s * part);
            }
            self.unplaced_per_s[home.index()] -= rate_per_s;
        }
        for to in group {
            self.free_per_s[to.index()] *= 1.0 - used_share;
        }
    }

    fn add_shifted(&mut self, home: PlaceId, to: PlaceId, rate_per_s: f64) {
        if rate_per_s > NEGLIGIBLE_PER_S {
            self.shifted[home.index()].push(ShiftedTraffic { to, rate_per_s });
        }
    }
}
