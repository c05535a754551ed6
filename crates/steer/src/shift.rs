//! Shifts traffic between places at a limited rate.
//!
//! Traffic moves away from a home that drains, is lost or is overloaded, and back
//! when it recovers. Per second, only a limited share of a home's clients is
//! shifted, and the traffic of other homes that a place takes (its intake) grows
//! only by a limited share of its capacity. Traffic that was assigned to a place
//! within the last lifetime of an answer still counts against its capacity, whether
//! or not it shows in the measured demand yet.

use std::time::Duration;

use tokio::time::Instant;
use world::unit::ms;

use crate::Policy;
use crate::allocation::{Allocation, allocate};
use crate::plan::{Condition, Cutoff, HomePlan, PlaceView, Plan, PriorityDemand, View};
use crate::sliding_max::SlidingMax;

/// Shares that differ by less than this are treated as equal.
const SAME_SHARE: f64 = 1e-9;

/// Limits on shifts of traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftLimits {
    /// Share of a home's clients that may be shifted away or return per second.
    pub shift_share_per_s: f64,
    /// Share of a receiver's capacity by which its intake may grow per second.
    pub intake_share_per_s: f64,
    /// Share of a place's capacity that plans may use.
    pub fill_share: f64,
    /// Longest time for which clients may cache an answer, milliseconds.
    pub ttl_ms: u64,
    /// Time for which a decrease in measured demand is ignored, milliseconds.
    pub demand_hold_ms: u64,
    /// Cap on the time since the last step that counts towards the limits,
    /// milliseconds.
    pub step_max_ms: u64,
}

impl Default for ShiftLimits {
    fn default() -> Self {
        Self {
            shift_share_per_s: 0.05,
            intake_share_per_s: 0.05,
            fill_share: 0.9,
            ttl_ms: 5_000,
            demand_hold_ms: 30_000,
            step_max_ms: 1_000,
        }
    }
}

/// Policy that shifts traffic gradually, within [`ShiftLimits`].
#[derive(Clone, Debug)]
pub struct GradualShift {
    limits: ShiftLimits,
    last: Option<Instant>,
    rows: Vec<Row>,
}

/// State of one place that is kept between steps.
#[derive(Clone, Debug)]
struct Row {
    kept: f64,
    /// Traffic of other homes that the last plan assigned to the place.
    shifted_in_per_s: f64,
    /// All traffic that recent plans assigned to the place.
    assigned: SlidingMax,
    demand: Vec<PriorityDemand>,
    /// When `demand` was last applied.
    demand_at: Option<Instant>,
}

/// Range of a home's kept share in one step.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    low: f64,
    high: f64,
}

impl GradualShift {
    /// Creates a policy that starts with every client at home.
    #[must_use]
    pub fn new(limits: ShiftLimits) -> Self {
        Self {
            limits,
            last: None,
            rows: Vec::new(),
        }
    }

    /// Sets the kept shares to those that another entry VM has in effect, so that an
    /// entry VM that restarts during a shift neither skips nor repeats a part of it.
    #[must_use]
    pub fn with_kept(mut self, kept: &[f64]) -> Self {
        self.rows = kept.iter().map(|k| Row::new(*k, self.limits)).collect();
        self
    }

    /// Returns the share of each home's clients that is steered to the home.
    pub fn kept(&self) -> impl Iterator<Item = f64> {
        self.rows.iter().map(|row| row.kept)
    }

    /// Returns the time since the last step, up to the cap, in seconds.
    fn advance(&mut self, now: Instant) -> f64 {
        let last = self.last.replace(now).unwrap_or(now);
        let max_step = ms(self.limits.step_max_ms);
        now.saturating_duration_since(last)
            .min(max_step)
            .as_secs_f64()
    }

    /// Returns the range in which a home's kept share may be after this step.
    fn bounds(&self, row: &Row, place: &PlaceView, step_s: f64) -> Bounds {
        let limits = &self.limits;
        let demand_per_s = row.demand_per_s();
        let share = limits.shift_share_per_s * step_s;
        let target = match place.condition {
            Condition::Lost => {
                return Bounds {
                    low: 0.0,
                    high: 0.0,
                };
            }
            Condition::Draining => 0.0,
            Condition::Serving => {
                ratio(limits.fill_share * place.capacity_per_s, demand_per_s).min(1.0)
            }
        };
        if target < row.kept {
            return Bounds {
                low: (row.kept - share).max(target),
                high: row.kept,
            };
        }
        let intake = limits.intake_share_per_s * step_s * place.capacity_per_s;
        let kept_rise = share.min(ratio(intake, demand_per_s));
        let kept = (row.kept + kept_rise).min(target);
        Bounds {
            low: kept,
            high: kept,
        }
    }

    /// Returns how much traffic a place could take from other homes, requests per
    /// second: its free capacity, and the part of it that the limit on the growth
    /// of its intake allows in this step.
    fn offered_capacity(
        &mut self,
        index: usize,
        view: &View,
        now: Instant,
        step_s: f64,
    ) -> (f64, f64) {
        let place = &view.rows[index];
        let limits = self.limits;
        let row = &mut self.rows[index];
        if place.condition != Condition::Serving || row.kept < 1.0 - SAME_SHARE {
            return (0.0, 0.0);
        }
        let still_cached_per_s = row.assigned.highest(now) - row.assigned.current();
        let own_per_s = row.demand_per_s() + still_cached_per_s;
        let free_per_s = (limits.fill_share * place.capacity_per_s - own_per_s).max(0.0);
        let rise_per_s = limits.intake_share_per_s * step_s * place.capacity_per_s;
        (
            free_per_s,
            free_per_s.min(row.shifted_in_per_s + rise_per_s),
        )
    }

    /// Ends the step: builds the plan and records the traffic assigned to each place.
    fn finish_step(
        &mut self,
        now: Instant,
        view: &View,
        allocation: &Allocation,
        refused: &[f64],
    ) -> Plan {
        let mut plan = Plan {
            homes: Vec::with_capacity(self.rows.len()),
            free_per_s: allocation.free_per_s.clone(),
            open: Vec::with_capacity(self.rows.len()),
        };
        for (index, row) in self.rows.iter().enumerate() {
            plan.homes.push(HomePlan {
                kept: row.kept,
                shifted: allocation.shifted[index].clone(),
                refused_per_s: refused[index],
                cutoff: Cutoff::new(&row.shifted_demand(), refused[index]),
            });
            plan.open
                .push(view.rows[index].condition == Condition::Serving);
        }
        let demand: Vec<f64> = self.rows.iter().map(Row::demand_per_s).collect();
        let assigned = plan.assigned_per_s(&demand);
        for (index, row) in self.rows.iter_mut().enumerate() {
            row.assigned.set(now, assigned[index]);
            row.shifted_in_per_s = (assigned[index] - row.kept * demand[index]).max(0.0);
        }
        plan
    }
}

impl Policy for GradualShift {
    fn step(&mut self, now: Instant, view: &View) -> Plan {
        let step_s = self.advance(now);
        let limits = self.limits;
        self.rows
            .resize_with(view.rows.len(), || Row::new(1.0, limits));
        let mut bounds = Vec::with_capacity(view.rows.len());
        for (index, place) in view.rows.iter().enumerate() {
            self.rows[index].measure(now, place, ms(limits.demand_hold_ms));
            bounds.push(self.bounds(&self.rows[index], place, step_s));
        }
        for (row, bound) in self.rows.iter_mut().zip(&bounds) {
            row.kept = bound.low;
        }
        let offers: Vec<(f64, f64)> = (0..view.rows.len())
            .map(|index| self.offered_capacity(index, view, now, step_s))
            .collect();
        let free: Vec<f64> = offers.iter().map(|o| o.0).collect();
        let intake: Vec<f64> = offers.iter().map(|o| o.1).collect();
        let shifted_rates: Vec<f64> = self.rows.iter().map(Row::shifted_per_s).collect();
        let without_growth_limits = allocate(&view.places, &shifted_rates, &free);
        let allocation = allocate(&view.places, &shifted_rates, &intake);
        let refused: Vec<f64> = self
            .rows
            .iter_mut()
            .zip(&bounds)
            .enumerate()
            .map(|(index, (row, bound))| {
                let unplaced = allocation.unplaced_per_s[index];
                row.keep_delayed_at_home(
                    unplaced,
                    without_growth_limits.unplaced_per_s[index],
                    bound.high,
                )
            })
            .collect();
        self.finish_step(now, view, &allocation, &refused)
    }
}

impl Row {
    fn new(kept: f64, limits: ShiftLimits) -> Self {
        Self {
            kept,
            shifted_in_per_s: 0.0,
            assigned: SlidingMax::new(ms(limits.ttl_ms)),
            demand: Vec::new(),
            demand_at: None,
        }
    }

    /// Updates the demand. A decrease applies only after `hold` without a higher
    /// measurement.
    fn measure(&mut self, now: Instant, place: &PlaceView, hold: Duration) {
        let recent = self.demand_at.is_some_and(|at| now < at + hold);
        if recent && place.demand_per_s() < self.demand_per_s() {
            return;
        }
        self.demand.clone_from(&place.demand);
        self.demand_at = Some(now);
    }

    fn demand_per_s(&self) -> f64 {
        self.demand.iter().map(|band| band.rate_per_s).sum()
    }

    fn shifted_per_s(&self) -> f64 {
        (1.0 - self.kept) * self.demand_per_s()
    }

    fn shifted_demand(&self) -> Vec<PriorityDemand> {
        let part = |band: &PriorityDemand| PriorityDemand {
            rate_per_s: band.rate_per_s * (1.0 - self.kept),
            ..*band
        };
        self.demand.iter().map(part).collect()
    }

    /// Keeps at home, as far as the bound `high` on the kept share allows, the traffic
    /// that is unplaced only because of the limits on the growth of intakes: the
    /// excess over `unplaced_without_limits_per_s`. Returns the remaining unplaced
    /// rate, which is refused, requests per second.
    fn keep_delayed_at_home(
        &mut self,
        unplaced_per_s: f64,
        unplaced_without_limits_per_s: f64,
        high: f64,
    ) -> f64 {
        let delayed_per_s = (unplaced_per_s - unplaced_without_limits_per_s).max(0.0);
        let kept_more = ratio(delayed_per_s, self.demand_per_s()).min(high - self.kept);
        if delayed_per_s <= 0.0 || kept_more <= 0.0 {
            return unplaced_per_s;
        }
        self.kept += kept_more;
        (unplaced_per_s - kept_more * self.demand_per_s()).max(0.0)
    }
}

/// Returns `part / whole`, or infinity if the whole is not positive.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole <= 0.0 {
        return f64::INFINITY;
    }
    part / whole
}
