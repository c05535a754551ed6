//! Admission control: plan limits, queues of waiting requests, credits for
//! requests between regions, and byte budgets of links.
//!
//! The types here do no I/O and no encoding; callers pass the time as `now`.

pub mod bucket;
pub mod credit;
pub mod fair_queue;
pub mod holder;

pub mod limit;
pub mod link;
pub mod queue;
pub mod share;

pub use bucket::Bucket;
pub use credit::{Claim, CreditId, CreditSettings, Grant, Issuer};
pub use holder::{Holder, PendingRequest};
pub use limit::{Limits, PlanPermit};
pub use link::{LinkBudget, LinkSettings, Traffic};
pub use queue::{Discipline, Queue, QueueSettings, Waiting};
pub use share::{Demand, ShareSettings, Shares};
