//! Shifts of traffic under caps.
//!
//! A home that drains, is lost, overflows or returns gives or takes traffic.
//! Every second only a capped share of it is promised elsewhere, a receiver's
//! intake rises by a capped share of its capacity, and what was promised
//! within the last lifetime of an answer still counts, whether or not a
//! measurement has seen it.

use std::time::Duration;

use tokio::time::Instant;
use world::unit::ms;

use crate::Policy;
use crate::fill::{Filled, fill};
use crate::plan::{Band, Condition, Cutoff, HomePlan, PlaceView, Plan, View};
use crate::window::Peak;

/// Shares that differ by less are taken as equal.
const SAME_SHARE: f64 = 1e-9;

/// Caps on shifts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share of a home's clients that may leave or return in a second.
    pub move_share_per_s: f64,
    /// Share of a receiver's capacity by which its intake may rise in a second.
    pub intake_share_per_s: f64,
    /// Share of a place's capacity that plans may fill.
    pub fill_share: f64,
    /// Longest time for which callers may keep an answer, milliseconds.
    pub ttl_ms: u64,
    /// For how long a fall in measured demand is not believed, milliseconds.
    pub demand_hold_ms: u64,
    /// Longest time that one step may make up for, milliseconds.
    pub step_max_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            move_share_per_s: 0.05,
            intake_share_per_s: 0.05,
            fill_share: 0.9,
            ttl_ms: 5_000,
            demand_hold_ms: 30_000,
            step_max_ms: 1_000,
        }
    }
}

/// Shifts traffic under [`Limits`].
#[derive(Clone, Debug)]
pub struct Capped {
    limits: Limits,
    last: Option<Instant>,
    rows: Vec<Row>,
}

/// What is remembered of one place from step to step.
#[derive(Clone, Debug)]
struct Row {
    kept: f64,
    lent_in_per_s: f64,
    promised: Peak,
    demand: Vec<Band>,
    demand_at: Option<Instant>,
}

/// Bounds of one home's kept share in this step.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    low: f64,
    high: f64,
}

impl Capped {
    /// A policy under these limits, with every client at home.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            last: None,
            rows: Vec::new(),
        }
    }

    /// Starts from shares that another entry VM has in force, so that a
    /// restart in the middle of a shift neither skips nor repeats it.
    #[must_use]
    pub fn with_kept(mut self, kept: &[f64]) -> Self {
        self.rows = kept.iter().map(|k| Row::new(*k, self.limits)).collect();
        self
    }

    /// Share of each home's clients that is steered home.
    pub fn kept(&self) -> impl Iterator<Item = f64> {
        self.rows.iter().map(|row| row.kept)
    }

    fn advance(&mut self, now: Instant) -> f64 {
        let last = self.last.replace(now).unwrap_or(now);
        let max = ms(self.limits.step_max_ms);
        now.saturating_duration_since(last).min(max).as_secs_f64()
    }

    fn bounds(&self, row: &Row, place: &PlaceView, step_s: f64) -> Bounds {
        let limits = &self.limits;
        let demand_per_s = row.demand_per_s();
        let share = limits.move_share_per_s * step_s;
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
        let rise = share.min(ratio(intake, demand_per_s));
        let kept = (row.kept + rise).min(target);
        Bounds {
            low: kept,
            high: kept,
        }
    }

    /// What a place could take of other homes: all it has room for, and the
    /// part of it that the cap on its rise allows now.
    fn offer(&mut self, index: usize, view: &View, now: Instant, step_s: f64) -> (f64, f64) {
        let place = &view.rows[index];
        let limits = self.limits;
        let row = &mut self.rows[index];
        if place.condition != Condition::Serving || row.kept < 1.0 - SAME_SHARE {
            return (0.0, 0.0);
        }
        let cached_per_s = row.promised.highest(now) - row.promised.current();
        let own_per_s = row.demand_per_s() + cached_per_s;
        let room_per_s = (limits.fill_share * place.capacity_per_s - own_per_s).max(0.0);
        let rise_per_s = limits.intake_share_per_s * step_s * place.capacity_per_s;
        (room_per_s, room_per_s.min(row.lent_in_per_s + rise_per_s))
    }

    /// Ends the step: settles the shares and remembers what was promised.
    fn settle(&mut self, now: Instant, view: &View, filled: &Filled, refused: &[f64]) -> Plan {
        let mut plan = Plan {
            homes: Vec::with_capacity(self.rows.len()),
            spare_per_s: filled.left_per_s.clone(),
            open: Vec::with_capacity(self.rows.len()),
        };
        for (index, row) in self.rows.iter().enumerate() {
            plan.homes.push(HomePlan {
                kept: row.kept,
                lent: filled.lent[index].clone(),
                refused_per_s: refused[index],
                cutoff: Cutoff::new(&row.away(), refused[index]),
            });
            plan.open
                .push(view.rows[index].condition == Condition::Serving);
        }
        let demand: Vec<f64> = self.rows.iter().map(Row::demand_per_s).collect();
        let promised = plan.promised_per_s(&demand);
        for (index, row) in self.rows.iter_mut().enumerate() {
            row.promised.set(now, promised[index]);
            row.lent_in_per_s = (promised[index] - row.kept * demand[index]).max(0.0);
        }
        plan
    }
}

impl Policy for Capped {
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
            .map(|index| self.offer(index, view, now, step_s))
            .collect();
        let room: Vec<f64> = offers.iter().map(|o| o.0).collect();
        let intake: Vec<f64> = offers.iter().map(|o| o.1).collect();
        let away: Vec<f64> = self.rows.iter().map(Row::away_per_s).collect();
        let without_caps = fill(&view.places, &away, &room);
        let filled = fill(&view.places, &away, &intake);
        let refused: Vec<f64> = self
            .rows
            .iter_mut()
            .zip(&bounds)
            .enumerate()
            .map(|(index, (row, bound))| {
                let unplaced = filled.unplaced_per_s[index];
                row.keep_back(unplaced, without_caps.unplaced_per_s[index], bound.high)
            })
            .collect();
        self.settle(now, view, &filled, &refused)
    }
}

impl Row {
    fn new(kept: f64, limits: Limits) -> Self {
        Self {
            kept,
            lent_in_per_s: 0.0,
            promised: Peak::new(ms(limits.ttl_ms)),
            demand: Vec::new(),
            demand_at: None,
        }
    }

    /// Takes a measured demand; a fall counts only once it has lasted.
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

    fn away_per_s(&self) -> f64 {
        (1.0 - self.kept) * self.demand_per_s()
    }

    fn away(&self) -> Vec<Band> {
        let part = |band: &Band| Band {
            rate_per_s: band.rate_per_s * (1.0 - self.kept),
            ..*band
        };
        self.demand.iter().map(part).collect()
    }

    /// Keeps at home what only the caps on receivers held up; what fits
    /// nowhere is the refused rate that is returned.
    fn keep_back(&mut self, unplaced_per_s: f64, full_per_s: f64, high: f64) -> f64 {
        let held_up_per_s = (unplaced_per_s - full_per_s).max(0.0);
        let back = ratio(held_up_per_s, self.demand_per_s()).min(high - self.kept);
        if held_up_per_s <= 0.0 || back <= 0.0 {
            return unplaced_per_s;
        }
        self.kept += back;
        (unplaced_per_s - back * self.demand_per_s()).max(0.0)
    }
}

/// `part / whole`; infinite when the whole is nothing.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole <= 0.0 {
        return f64::INFINITY;
    }
    part / whole
}
