//! Messages of the membership protocol, independent of their encoding.

use std::net::SocketAddr;
use std::time::Duration;

use world::MachineName;

use crate::members::domains::{SummaryVersion, Update};
use crate::members::record::Record;
use crate::members::report::Report;

/// State that every ping, ping request, ack and push carries.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// The sender.
    pub me: Record,
    /// Records of members of the sender's domain.
    pub records: Vec<Record>,
    /// Hash over the sender's live members; 0: it knows no other member.
    pub table_hash: u64,
    /// On a ping: the sequence numbers of all summaries of the sender. On an ack: only
    /// those of which the receiver of the ack has a newer summary, as a request for it.
    pub versions: Vec<SummaryVersion>,
    /// Parts of summaries that the receiver lacks.
    pub updates: Vec<Update>,
}

/// A message to another member.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The receiver replies with [`Message::Ack`].
    Ping(Gossip),
    /// The reply to a ping.
    Ack(Gossip),
    /// Sends state that the receiver lacks; has no reply.
    Push(Gossip),
    /// Requests that the receiver ping another member and pass its ack back.
    PingReq {
        /// Address of the member to ping.
        target: SocketAddr,
        /// Gossip of the requesting member.
        gossip: Gossip,
    },
    /// Load of the sender and of the members that report to it.
    Report {
        /// The sender.
        from: MachineName,
        /// The load.
        report: Report,
    },
}

/// A message that the caller of [`crate::members::Members`] has to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Action {
    /// Number to pass in with the reply or timeout; `None`: there is no reply.
    pub call: Option<u64>,
    /// Link address of the receiver.
    pub to: SocketAddr,
    /// Message to send to `to`.
    pub message: Message,
    /// Timeout of the call, or of sending a message that has no reply.
    pub timeout: Duration,
}

/// How to respond to a received message.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// No response.
    None,
    /// Respond with this message.
    Now(Message),
    /// Send this message and respond with its reply, if one arrives.
    Forward(Action),
}
