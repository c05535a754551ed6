//! Framing of envelopes on a byte stream: a length prefix, then the encoded envelope.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::body::Envelope;

/// Maximum length of a frame in bytes, which limits the memory that a peer can make
/// this process allocate.
pub const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Whether a codec has received part of a frame and waits for the rest.
#[derive(Clone, Debug, Default)]
pub struct PartialFrame(Arc<AtomicBool>);

impl PartialFrame {
    /// Whether the rest of a frame is awaited.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Codec that reads and writes length-delimited [`Envelope`]s.
#[derive(Debug)]
pub struct EnvelopeCodec {
    length_codec: LengthDelimitedCodec,
    partial: PartialFrame,
}

impl EnvelopeCodec {
    /// Creates a codec that rejects frames longer than [`FRAME_MAX_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        Self {
            length_codec,
            partial: PartialFrame::default(),
        }
    }

    /// Returns a handle that tells whether this codec waits for the rest of a frame.
    #[must_use]
    pub fn partial_frame(&self) -> PartialFrame {
        self.partial.clone()
    }
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Encoder<Envelope> for EnvelopeCodec {
    type Error = std::io::Error;

    fn encode(&mut self, envelope: Envelope, out: &mut BytesMut) -> Result<(), Self::Error> {
        self.length_codec
            .encode(Bytes::from(envelope.encode_to_vec()), out)
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = std::io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Envelope>, Self::Error> {
        let frame = self.length_codec.decode(input)?;
        let is_partial = frame.is_none() && !input.is_empty();
        self.partial.0.store(is_partial, Ordering::Relaxed);
        let Some(frame) = frame else {
            return Ok(None);
        };
        let envelope = Envelope::decode(frame)?;
        Ok(Some(envelope))
    }
}
