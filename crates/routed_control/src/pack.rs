//! Packing of feed messages: large ones are compressed, since rows of routes and servers
//! repeat the names of hosts, services and places.

use std::io::{Read, Write};

use bytes::{BufMut, Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use world::{Error, ErrorKind, Result};

/// Length from which a message is compressed, bytes: a response with a few changes fits
/// into one packet anyway.
const COMPRESSED_MIN_BYTES: usize = 1_024;

/// Most bytes of a message after unpacking, which limits the memory that a peer can make
/// this process allocate.
const UNPACKED_MAX_BYTES: usize = wire::FRAME_MAX_BYTES;

/// First byte of a packed message.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Packs a message.
///
/// # Errors
/// [`ErrorKind::Internal`] when it can't be compressed.
pub fn pack(message: &[u8]) -> Result<Bytes> {
    if message.len() < COMPRESSED_MIN_BYTES {
        let mut packed = BytesMut::with_capacity(1 + message.len());
        packed.put_u8(PLAIN);
        packed.put_slice(message);
        return Ok(packed.freeze());
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    let packed = encoder.write_all(message).and_then(|()| encoder.finish());
    packed
        .map(Bytes::from)
        .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

/// Unpacks a message.
///
/// # Errors
/// [`ErrorKind::BadRequest`] when it is damaged or longer than a frame may be.
pub fn unpack(packed: &Bytes) -> Result<Bytes> {
    match packed.first() {
        Some(&PLAIN) => Ok(packed.slice(1..)),
        Some(&DEFLATED) => inflate(&packed[1..]),
        _ => Err(Error::new(
            ErrorKind::BadRequest,
            "a message packed in an unknown way",
        )),
    }
}

fn inflate(compressed: &[u8]) -> Result<Bytes> {
    let mut message = Vec::new();
    let limit = u64::try_from(UNPACKED_MAX_BYTES).unwrap_or(u64::MAX);
    let mut decoder = DeflateDecoder::new(compressed).take(limit);
    decoder
        .read_to_end(&mut message)
        .map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?;
    if message.len() == UNPACKED_MAX_BYTES {
        let text = format!("a packed message of {UNPACKED_MAX_BYTES} bytes or more");
        return Err(Error::new(ErrorKind::BadRequest, text));
    }
    Ok(message.into())
}
