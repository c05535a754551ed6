//! Policies that choose among the servers that could take a piece of work.

use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// A server that could take the work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Position in the service's table; servers are sorted by name.
    pub index: usize,
    /// Expected time to an answer, seconds.
    pub cost_s: f64,
}

/// A way to choose among candidates.
pub trait Choice {
    /// Position of the chosen one in `candidates`, which is not empty.
    ///
    /// `last` is the index that was chosen before for the same service.
    fn choose(&self, rng: &mut SmallRng, last: Option<usize>, candidates: &[Candidate]) -> usize;
}

/// The cheaper of two drawn at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Choice for TwoChoices {
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

/// The cheapest of all, from a random start so that equals take turns.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastCost;

impl Choice for LeastCost {
    fn choose(&self, rng: &mut SmallRng, _last: Option<usize>, candidates: &[Candidate]) -> usize {
        let count = candidates.len();
        let start = rng.random_range(0..count);
        let from_start = (0..count).map(|step| (start + step) % count);
        let cost_s = |at: &usize| candidates[*at].cost_s;
        from_start
            .min_by(|a, b| cost_s(a).total_cmp(&cost_s(b)))
            .unwrap_or(start)
    }
}

/// Baseline: each server in its turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

impl Choice for RoundRobin {
    fn choose(&self, _rng: &mut SmallRng, last: Option<usize>, candidates: &[Candidate]) -> usize {
        let after = |c: &Candidate| last.is_none_or(|last| c.index > last);
        candidates.iter().position(after).unwrap_or(0)
    }
}

/// The policy that the settings name.
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

impl Choice for Policy {
    fn choose(&self, rng: &mut SmallRng, last: Option<usize>, candidates: &[Candidate]) -> usize {
        match self {
            Self::TwoChoices => TwoChoices.choose(rng, last, candidates),
            Self::LeastCost => LeastCost.choose(rng, last, candidates),
            Self::RoundRobin => RoundRobin.choose(rng, last, candidates),
        }
    }
}
