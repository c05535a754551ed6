//! Spreads traffic that leaves its home over what other places can take.

use crate::places::{PlaceId, Places};
use crate::plan::Lent;

/// Rates below this count as nothing, requests a second.
const DUST_PER_S: f64 = 1e-9;

/// Where the traffic of each home goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Filled {
    /// One row a home: the receivers and their rates.
    pub lent: Vec<Vec<Lent>>,
    /// One row a home: requests a second that fit nowhere.
    pub unplaced_per_s: Vec<f64>,
    /// One row a place: requests a second it could still take.
    pub left_per_s: Vec<f64>,
}

/// Spreads `moved_per_s` of each home over `intake_per_s` of each place.
///
/// The region's other places come first, then all other places, each time in
/// proportion to what a receiver can take, so that no receiver is favoured.
#[must_use]
pub fn fill(places: &Places, moved_per_s: &[f64], intake_per_s: &[f64]) -> Filled {
    let mut filled = Filled {
        lent: vec![Vec::new(); moved_per_s.len()],
        unplaced_per_s: moved_per_s.to_vec(),
        left_per_s: intake_per_s.to_vec(),
    };
    let all: Vec<PlaceId> = places.ids().collect();
    for group in all.chunk_by(|a, b| places.same_region(*a, *b)) {
        filled.spread(group);
    }
    filled.spread(&all);
    filled
}

impl Filled {
    /// Spreads what is unplaced of this group's homes over the group.
    fn spread(&mut self, group: &[PlaceId]) {
        let total = |rates: &[f64]| group.iter().map(|p| rates[p.index()]).sum::<f64>();
        let wanted_per_s = total(&self.unplaced_per_s);
        let offered_per_s = total(&self.left_per_s);
        if wanted_per_s <= DUST_PER_S || offered_per_s <= DUST_PER_S {
            return;
        }
        let placed = (offered_per_s / wanted_per_s).min(1.0);
        let used = (wanted_per_s / offered_per_s).min(1.0);
        for home in group {
            let rate_per_s = self.unplaced_per_s[home.index()] * placed;
            for to in group {
                let part = self.left_per_s[to.index()] / offered_per_s;
                self.lend(*home, *to, rate_per_s * part);
            }
            self.unplaced_per_s[home.index()] -= rate_per_s;
        }
        for to in group {
            self.left_per_s[to.index()] *= 1.0 - used;
        }
    }

    fn lend(&mut self, home: PlaceId, to: PlaceId, rate_per_s: f64) {
        if rate_per_s > DUST_PER_S {
            self.lent[home.index()].push(Lent { to, rate_per_s });
        }
    }
}
