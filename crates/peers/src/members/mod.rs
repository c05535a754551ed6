//! Membership: which entry VMs are alive, and what each failure domain can take.
//!
//! Every VM keeps a table of its own failure domain and a summary of each
//! other one. Within a domain it probes three partners, its successors on
//! three rings ordered by hash, and changes spread on the probes. Two
//! delegates of a domain exchange summaries with other domains. What a node
//! sends does not grow with the number of nodes.
//!
//! [`Members`] knows no sockets: it is driven by `tick`, `handle`, `replied`
//! and `missed`, and gives back the messages to send.

pub mod domains;
pub mod encode;
pub mod message;
pub mod news;
pub mod record;
pub mod report;
pub mod ring;
pub mod table;

mod merge;
mod probe;

pub use domains::{DomainLoad, Domains, Head, Roster, Update};
pub use message::{Action, Gossip, Message, Reply};
pub use record::{PlaceKey, Record, Standing};
pub use report::{HomeDemand, Report, ServiceLoad};
pub use table::Members;

use std::time::Duration;

use world::unit::ms;

/// Times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two probes of a VM.
    pub probe: Duration,
    /// Wait for the answer to a first probe.
    pub direct: Duration,
    /// Wait for the answers to a second probe and to those through helpers.
    pub indirect: Duration,
    /// Time that a suspect has to refute.
    pub suspicion: Duration,
    /// Time for which the dead and the departed are remembered.
    pub memory: Duration,
    /// Time between two reports of load.
    pub report: Duration,
    /// A domain whose summary has not advanced for so long is cut off or lost.
    pub domain_silence: Duration,
    /// Time between two attempts to reach a seed or a silent domain.
    pub reconnect: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe: ms(500),
            direct: ms(400),
            indirect: ms(800),
            suspicion: ms(3_000),
            memory: ms(60_000),
            report: ms(3_000),
            domain_silence: ms(10_000),
            reconnect: ms(4_000),
        }
    }
}
