//! Messages between the system's processes and their framing, and nothing else.
//!
//! Every message travels in an [`Envelope`], length-delimited on a TCP stream.
//! An envelope carries the version of the sender's configuration, so that a
//! process that is behind learns of it from any message.

pub mod body;
pub mod frame;
pub mod members;

pub use body::{Body, Envelope, Refusal};
pub use frame::{FRAME_MAX_BYTES, Frames};
