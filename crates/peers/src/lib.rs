//! Communication between the system's processes: authenticated links that
//! carry calls, gossip membership of the entry VMs, and the ownership of backend
//! servers that follows from the membership.

pub mod accept;
pub mod handshake;
pub mod link;
pub mod links;
pub mod members;
pub mod owner;
pub mod progress;
pub mod serve;
pub mod suspension;

pub use accept::accept;
pub use handshake::Identity;
pub use link::{CallError, Link};
pub use links::Links;
pub use serve::{ClientOnly, Serve};

use std::time::Duration;

/// Time between heartbeat messages on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A link that received no byte for this long, or that took none of a message to send, is
/// closed: two heartbeats were missed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_250);

/// An accepted link that received no byte for this long is closed. Longer than
/// [`SILENCE_TIMEOUT`], since heartbeats may wait on the peer's busy network link; whether
/// the peer is lost is decided elsewhere.
pub const ACCEPTED_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// A link that carried no call for this long is closed; the next call reopens it.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// TCP connect timeout of a first attempt: three round trips between regions.
/// A machine that is still starting up is reached by a later attempt.
pub const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(400);

/// Upper bound of the TCP connect timeout, which doubles with each attempt that
/// times out: on a saturated network interface the SYN-ACK waits in a queue.
pub const CONNECT_TIMEOUT_MAX: Duration = Duration::from_millis(1_200);

/// Timeout of the handshake on a new connection, in which each side proves that it knows
/// the secret.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of the send queue of one link, in messages.
pub const SEND_QUEUE_MAX: usize = 1_024;
