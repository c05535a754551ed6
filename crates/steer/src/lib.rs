//! Traffic steering: which entry VMs a client should use.
//!
//! [`Blocks`] maps a client's address to its home place. A [`Policy`] turns the
//! state of the places ([`View`]) into a [`Plan`]: the share of each home's
//! clients that stays there, the places that get the others, and the requests to
//! refuse. [`LookupTables`] answers lookups from these tables. Results depend only on
//! the inputs, so two entry VMs with the same inputs return the same.

pub mod allocation;
pub mod baseline;
pub mod blocks;
pub mod hash;
pub mod lookup;
pub mod places;
pub mod plan;
pub mod shift;
pub mod sliding_max;

pub use baseline::AllAtOnce;
pub use blocks::{BlockList, Blocks};
pub use lookup::{Answer, LookupTables};
pub use places::{PlaceId, Places};
pub use plan::{
    Condition, Cutoff, HomePlan, PlaceView, Plan, PriorityDemand, ShiftedTraffic, View,
};
pub use shift::{GradualShift, ShiftLimits};

use tokio::time::Instant;

/// Distributes the traffic of one service over the places.
pub trait Policy {
    /// Returns the plan in effect from `now` on, for the given state of the places.
    fn step(&mut self, now: Instant, view: &View) -> Plan;
}
