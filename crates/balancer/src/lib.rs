//! Choice of a backend server for each piece of work, under load and faults.
//!
//! Plain tables and functions: time is passed in as `now`, chance comes from
//! a seeded generator, and nothing here knows a socket or an encoding.

pub mod budget;
pub mod choice;
pub mod fleet;
mod group;
pub mod hedge;
pub mod latency;
pub mod permit;
pub mod poison;
mod server;
pub mod settings;
pub mod trust;
pub mod work;

pub use budget::{ATTEMPTS_MAX, Budget, BudgetSettings, Retry, RetryBudget};
pub use choice::{Candidate, Choice, LeastCost, Policy, RoundRobin, TwoChoices};
pub use fleet::{Announced, Fleet, ServerView};
pub use hedge::{Hedge, HedgeSettings};
pub use latency::Latency;
pub use permit::{ConnectionPermit, Permit, SharedFleet};
pub use poison::{Mark, Poison, PoisonSettings, Verdict};
pub use settings::FleetSettings;
pub use trust::{ConnectionAge, Trust, TrustSettings};
pub use work::{ConnectionTicket, Crash, Fingerprint, NoSlot, Outcome, Ticket, Work};
