//! Messages of the membership protocol, apart from their encoding.

use std::net::SocketAddr;
use std::time::Duration;

use world::MachineName;

use crate::members::domains::{Head, Update};
use crate::members::record::Record;
use crate::members::report::Report;

/// What rides on every probe and answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The sender.
    pub me: Record,
    /// Claims about members of the sender's domain.
    pub news: Vec<Record>,
    /// Hash over the sender's live members; 0: it knows nobody.
    pub table_hash: u64,
    /// On a probe: how new the sender's summaries are. On an answer: only
    /// those that the other side knows better.
    pub heads: Vec<Head>,
    /// Newer parts of summaries.
    pub updates: Vec<Update>,
}

/// A message to another member.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for an answer.
    Ping(Gossip),
    /// Answers a probe.
    Ack(Gossip),
    /// Brings what the other side lacks; wants no answer.
    Push(Gossip),
    /// Asks a helper to probe another member and to pass its answer on.
    Relay {
        /// Address of the member to probe.
        target: SocketAddr,
        /// The asking side.
        gossip: Gossip,
    },
    /// Load of the sender and of those that report to it.
    Report {
        /// The sender.
        from: MachineName,
        /// The load.
        report: Report,
    },
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Action {
    /// Number to give back with the reply; `None`: no reply is wanted.
    pub call: Option<u64>,
    /// Address for the system's own processes.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
    /// How long to wait for the reply.
    pub patience: Duration,
}

/// What to do about a message that arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Nothing.
    None,
    /// Answer with this.
    Now(Message),
    /// Send this, and answer with what comes back, if anything does.
    Forward(Action),
}
