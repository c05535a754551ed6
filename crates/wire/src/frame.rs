//! Framing: a length, then an envelope.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::body::Envelope;

/// Longest frame in bytes: bounds what a peer can make this process hold.
pub const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Codec of [`Envelope`]s on a stream.
#[derive(Debug)]
pub struct Frames {
    lengths: LengthDelimitedCodec,
}

impl Frames {
    /// A codec with frames of at most [`FRAME_MAX_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl Default for Frames {
    fn default() -> Self {
        Self::new()
    }
}

impl Encoder<Envelope> for Frames {
    type Error = std::io::Error;

    fn encode(&mut self, envelope: Envelope, out: &mut BytesMut) -> Result<(), Self::Error> {
        self.lengths
            .encode(Bytes::from(envelope.encode_to_vec()), out)
    }
}

impl Decoder for Frames {
    type Item = Envelope;
    type Error = std::io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Envelope>, Self::Error> {
        let Some(frame) = self.lengths.decode(input)? else {
            return Ok(None);
        };
        let envelope = Envelope::decode(frame)?;
        Ok(Some(envelope))
    }
}
