//! Baseline for comparison with [`GradualShift`](crate::GradualShift).

use tokio::time::Instant;

use crate::Policy;
use crate::places::PlaceId;
use crate::plan::{Condition, Cutoff, HomePlan, Plan, ShiftedTraffic, View};

/// Shifts all traffic of a place that doesn't serve to the next one that does,
/// in one step.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllAtOnce;

impl Policy for AllAtOnce {
    fn step(&mut self, _now: Instant, view: &View) -> Plan {
        let open: Vec<bool> = view
            .rows
            .iter()
            .map(|row| row.condition == Condition::Serving)
            .collect();
        let home = |index: usize| {
            let next = next_open(&open, index);
            let leaves_home = !open[index];
            HomePlan {
                kept: if leaves_home { 0.0 } else { 1.0 },
                shifted: next
                    .filter(|_| leaves_home)
                    .map(|to| ShiftedTraffic {
                        to,
                        rate_per_s: view.rows[index].demand_per_s(),
                    })
                    .into_iter()
                    .collect(),
                refused_per_s: 0.0,
                cutoff: Cutoff::default(),
            }
        };
        Plan {
            homes: (0..open.len()).map(home).collect(),
            // Equal weights, as this policy computes no free capacity.
            free_per_s: vec![1.0; open.len()],
            open,
        }
    }
}

fn next_open(open: &[bool], from: usize) -> Option<PlaceId> {
    let count = open.len();
    (1..count)
        .map(|step| (from + step) % count)
        .find(|index| open[*index])
        .map(PlaceId::new)
}
