//! Framing of envelopes on a byte stream: a length prefix, then the encoded envelope.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::body::Envelope;

/// Maximum length of a frame in bytes, which limits the memory that a peer can make
/// this process allocate.
pub const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Codec that reads and writes length-delimited [`Envelope`]s.
#[derive(Debug)]
pub struct EnvelopeCodec {
    length_codec: LengthDelimitedCodec,
}

impl EnvelopeCodec {
    /// Creates a codec that rejects frames longer than [`FRAME_MAX_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        Self { length_codec }
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
        let Some(frame) = self.length_codec.decode(input)? else {
            return Ok(None);
        };
        let envelope = Envelope::decode(frame)?;
        Ok(Some(envelope))
    }
}
