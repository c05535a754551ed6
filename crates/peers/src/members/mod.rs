//! Gossip membership in the manner of SWIM: which entry VMs are alive, and what
//! load each failure domain has capacity for.
//!
//! Every VM keeps a table of the members of its own failure domain and a summary
//! of every other domain. It pings three partners of its domain in turn, the
//! successors on three rings ordered by hash, and piggybacks changes on the pings. Two
//! delegates of each domain exchange summaries with other domains. The traffic of
//! a VM therefore does not grow with the number of VMs.
//!
//! [`Members`] does no I/O: the caller drives it by [`Members::tick`],
//! [`Members::handle`], [`Members::handle_reply`] and [`Members::handle_timeout`],
//! and sends the messages that these return.

pub mod domains;
pub mod encode;
pub mod gossip_queue;
pub mod message;
pub mod record;
pub mod report;
pub mod ring;
pub mod table;

mod merge;
mod probe;

pub use domains::{DomainLoad, Domains, Roster, SummaryVersion, Update};
pub use message::{Action, Gossip, Message, Reply};
pub use record::{MemberState, PlaceKey, Record};
pub use report::{HomeDemand, Report, ServiceLoad};
pub use table::Members;

use std::time::Duration;

use world::unit::ms;

/// Intervals and timeouts of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two pings that a VM sends within its domain.
    pub ping_interval: Duration,
    /// Timeout of a first, direct ping.
    pub ping_timeout: Duration,
    /// Timeout of a second ping and of the indirect pings through helpers.
    pub second_ping_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time for which the records of dead and departed members are kept.
    pub retention: Duration,
    /// Time between two reports of load.
    pub report_interval: Duration,
    /// A domain whose load was not updated for this long counts as unreachable.
    pub domain_timeout: Duration,
    /// Time between two attempts to reach a seed, a dead member or an unreachable
    /// domain.
    pub reconnect_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ping_interval: ms(500),
            ping_timeout: ms(400),
            second_ping_timeout: ms(800),
            suspicion_timeout: ms(3_000),
            retention: ms(60_000),
            report_interval: ms(3_000),
            domain_timeout: ms(10_000),
            reconnect_interval: ms(4_000),
        }
    }
}
