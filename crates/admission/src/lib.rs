//! Admission: plan limits, queues, credits between regions, link budgets.
//!
//! Plain tables and functions: time is passed in as `now`, and nothing here
//! knows a socket or an encoding.

pub mod bucket;
pub mod credit;
pub mod holder;
pub mod lane;
pub mod limit;
pub mod link;
pub mod queue;
pub mod share;

pub use bucket::Bucket;
pub use credit::{Claim, CreditId, CreditSettings, Grant, Issuer};
pub use holder::{Ask, Holder};
pub use limit::{Limits, Pass};
pub use link::{LinkBudget, LinkSettings, Traffic};
pub use queue::{Discipline, Queue, QueueSettings, Waiting};
pub use share::{Demand, ShareSettings, Shares};
