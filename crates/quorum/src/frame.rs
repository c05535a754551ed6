//! Frames of a log file. A frame holds one batch of records, preceded by a
//! magic number, the length of the batch and a checksum.

use world::{Error, ErrorKind, Result};

use crate::record::Record;

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"WXQ1";

/// Length of the header: magic, payload length and checksum, 4 bytes each.
const HEADER_BYTES: usize = 12;

/// Encodes `records` as one frame.
///
/// # Errors
/// [`ErrorKind::Internal`] when the records can't be encoded, [`ErrorKind::TooLarge`]
/// when they are over 4 GiB.
pub fn encode(records: &[Record]) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(records).map_err(|e| {
        Error::new(
            ErrorKind::Internal,
            format!("records can't be encoded: {e}"),
        )
    })?;
    let length = u32::try_from(payload.len())
        .map_err(|_| Error::new(ErrorKind::TooLarge, "batch of records is over 4 GiB"))?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&checksum(&length.to_le_bytes(), &payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Returns the payload of the frame at the start of `bytes`, if that frame is
/// complete and its checksum matches.
pub fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = read_u32(&header[4..8])?;
    let end = HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let payload = bytes.get(HEADER_BYTES..end)?;
    let sum = read_u32(&header[8..])?;
    (checksum(&header[4..8], payload) == sum).then_some(payload)
}

/// Length in bytes of the frame that holds `payload`.
pub fn len_bytes(payload: &[u8]) -> usize {
    HEADER_BYTES + payload.len()
}

/// Whether a complete frame starts at any offset in `bytes`.
pub fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| payload(&bytes[at..]).is_some())
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}
