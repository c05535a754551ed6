//! Steering: which entry VMs a client should use.
//!
//! A client's address leads to a home place ([`Blocks`]). A [`Policy`] turns
//! what is known of the places ([`View`]) into a [`Plan`]: the share of each
//! home's clients that stays, where the rest goes, and what is refused.
//! [`Steer`] answers look-ups from these tables. All of it is plain functions
//! of their inputs: two entry VMs with the same inputs answer alike.

pub mod baseline;
pub mod blocks;
pub mod fill;
pub mod hash;
pub mod lookup;
pub mod places;
pub mod plan;
pub mod shift;
pub mod window;

pub use baseline::AllAtOnce;
pub use blocks::{BlockList, Blocks};
pub use lookup::{Answer, Steer};
pub use places::{PlaceId, Places};
pub use plan::{Band, Condition, Cutoff, HomePlan, Lent, PlaceView, Plan, View};
pub use shift::{Capped, Limits};

use tokio::time::Instant;

/// Decides how the traffic of one service is spread over the places.
pub trait Policy {
    /// The plan in force from `now` on, given what is known of the places.
    fn step(&mut self, now: Instant, view: &View) -> Plan;
}
