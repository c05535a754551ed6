//! Load balancing over backend servers: slots, leases, ejection, retries,
//! hedges and poison requests.
//!
//! The entry VM uses this crate to decide where each request runs. The crate does
//! no I/O: callers pass the current time as `now`, except when a permit is dropped,
//! and random choices come from a seeded generator, so that tests are repeatable.

pub mod budget;
pub mod choice;
pub mod connection_trust;
pub mod fleet;
mod group;
pub mod hedge;
pub mod latency;
pub mod permit;
pub mod poison;
mod server;
pub mod settings;
pub mod work;

pub use budget::{ATTEMPTS_MAX, Budget, BudgetSettings, Retry, RetryBudget};
pub use choice::{Candidate, LeastCost, LoadBalancingPolicy, Policy, RoundRobin, TwoChoices};
pub use connection_trust::{ConnectionAge, ConnectionTrust, ConnectionTrustSettings};
pub use fleet::{Announced, Fleet, ServerView};
pub use hedge::{Hedge, HedgeSettings};
pub use latency::Latency;
pub use permit::{ConnectionPermit, Permit, SharedFleet};
pub use poison::{Mark, Poison, PoisonSettings, Verdict};
pub use settings::FleetSettings;
pub use work::{ConnectionTicket, Crash, Fingerprint, NoSlot, Outcome, Ticket, Work};
