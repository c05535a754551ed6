//! Load balancing policies: least cost, two random choices and round robin.

use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// A server that may take the work now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Index in the service's server list, which is sorted by name.
    pub index: usize,
    /// Expected time to the response, seconds.
    pub cost_s: f64,
}

/// A load balancing policy.
pub trait LoadBalancingPolicy {
    /// Position of the chosen candidate in `candidates`, which is not empty.
    ///
    /// `last` is the [`Candidate::index`] of the previous choice for this service.
    fn choose(&self, rng: &mut SmallRng, last: Option<usize>, candidates: &[Candidate]) -> usize;
}

/// Chooses the cheaper of two random candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl LoadBalancingPolicy for TwoChoices {
    fn choose(&self, rng: &mut SmallRng, _last: Option<usize>, candidates: &[Candidate]) -> usize {
        let count = candidates.len();
        if count < 2 {
            return 0;
        }
        let first = rng.random_range(0..count);
        let second = (first + rng.random_range(1..count)) % count;
        if candidates[second].cost_s < candidates[first].cost_s {
            second
        } else {
            first
        }
    }
}

/// Chooses the cheapest candidate; a random starting point breaks ties.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastCost;

impl LoadBalancingPolicy for LeastCost {
    fn choose(&self, rng: &mut SmallRng, _last: Option<usize>, candidates: &[Candidate]) -> usize {
        let count = candidates.len();
        let start = rng.random_range(0..count);
        let positions = (0..count).map(|step| (start + step) % count);
        let cost_s = |at: &usize| candidates[*at].cost_s;
        positions
            .min_by(|a, b| cost_s(a).total_cmp(&cost_s(b)))
            .unwrap_or(start)
    }
}

/// Chooses servers in turn, as a baseline for comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

impl LoadBalancingPolicy for RoundRobin {
    fn choose(&self, _rng: &mut SmallRng, last: Option<usize>, candidates: &[Candidate]) -> usize {
        let is_next = |c: &Candidate| last.is_none_or(|last| c.index > last);
        candidates.iter().position(is_next).unwrap_or(0)
    }
}

/// Load balancing policy selected in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// [`LeastCost`].
    #[default]
    LeastCost,
    /// [`TwoChoices`].
    TwoChoices,
    /// [`RoundRobin`].
    RoundRobin,
}

impl LoadBalancingPolicy for Policy {
    fn choose(&self, rng: &mut SmallRng, last: Option<usize>, candidates: &[Candidate]) -> usize {
        match self {
            Self::TwoChoices => TwoChoices.choose(rng, last, candidates),
            Self::LeastCost => LeastCost.choose(rng, last, candidates),
            Self::RoundRobin => RoundRobin.choose(rng, last, candidates),
        }
    }
}
