//! Links between the system's processes.

pub mod accept;
pub mod hello;
pub mod link;
pub mod links;
pub mod members;
pub mod owner;
pub mod serve;

pub use accept::accept;
pub use hello::Identity;
pub use link::{CallError, Link};
pub use links::Links;
pub use serve::{Serve, Silent};

use std::time::Duration;

/// Time between heartbeats on a link.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// A link that was silent for so long is replaced: two heartbeats missed.
pub const SILENCE: Duration = Duration::from_millis(1_250);

/// A link that carried no call for so long is closed; the next call opens it.
pub const IDLE: Duration = Duration::from_secs(10);

/// First bound on a connection to come about: three ways there and back between
/// regions. A machine that is only just starting answers the next try.
pub const CONNECT_MIN: Duration = Duration::from_millis(400);

/// Bound on a connection after tries that failed, each of which doubles it:
/// answers may wait in the queue of a link that is full.
pub const CONNECT_MAX: Duration = Duration::from_millis(1_200);

/// Bound on opening a connection, both proofs included.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages that may wait to be sent on one link.
pub const SEND_QUEUE: usize = 1_024;
