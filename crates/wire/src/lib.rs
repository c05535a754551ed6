//! Protobuf messages between the system's processes, and their framing.
//!
//! Every message is sent in an [`Envelope`], length-delimited on a TCP stream.
//! An envelope carries the version of the sender's configuration, so that any
//! message shows a process with an older configuration that a newer one exists.

pub mod body;
pub mod frame;
pub mod members;

pub use body::{Body, Envelope, Refusal};
pub use frame::{EnvelopeCodec, FRAME_MAX_BYTES, PartialFrame};
