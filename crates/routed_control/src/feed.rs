//! Requests and responses of the feed, by which control VMs publish changes to entry
//! VMs and to each other.
//!
//! A reader sends its cursor and receives the changes after it, by long polling: at once
//! when there are any, else after a short wait. The request also announces the reader.

use bytes::Bytes;
use discovery::{Row, Update};
use serde::{Deserialize, Serialize};
use world::{Error, ErrorKind, MachineName, Result};

/// Role of a reader of the feed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reader {
    /// An entry VM; it receives the catalog and the rows that affect forwarding.
    Entry,
    /// Another control VM; it receives the rows announced here since its cursor.
    Control,
}

/// Announces the reader and requests the changes after its cursor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FeedRequest {
    /// Role of the reader.
    pub reader: Reader,
    /// Current announcement of the reader's machine.
    pub me: Row,
    /// Random id of the control VM's start that `cursor` belongs to; 0: no cursor yet.
    pub boot: u64,
    /// Registry version up to which the reader has changes.
    pub cursor: u64,
    /// Catalog index up to which the reader has changes.
    pub catalog_index: u64,
    /// Findings of an entry VM that it has not reported to this control VM yet.
    #[serde(skip)]
    pub findings: Vec<Update>,
    /// Control VMs that the reader, a control VM, can't reach. It needs their rows from
    /// this one.
    #[serde(skip)]
    pub relayed: Vec<MachineName>,
}

/// Changes after the reader's cursor, with the next cursor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FeedResponse {
    /// Random id of this control VM's start, to be sent with `cursor`.
    pub boot: u64,
    /// Registry version up to which `news` reaches.
    pub cursor: u64,
    /// Whether `news` holds the whole registry instead of changes only.
    pub whole: bool,
    /// Whether this control VM is in contact with a leader of the catalog.
    pub current: bool,
    /// Whether this control VM has run long enough for every backend server to have
    /// announced itself.
    pub settled: bool,
    /// Catalog index up to which `catalog` reaches; 0 for a control VM.
    pub catalog_index: u64,
    /// Changed rows of the catalog, without source texts.
    pub catalog: Vec<catalog::Row>,
    /// Changed rows of the registry, without findings.
    pub news: Vec<Update>,
    /// Changed findings.
    #[serde(skip)]
    pub findings: Vec<Update>,
}

/// A message with fields that follow those of the first version: a process of an earlier
/// version ignores them, and its own messages end before them.
pub trait WithLaterFields {
    /// Appends the fields to the encoded message, up to the last one that is not empty.
    ///
    /// # Errors
    /// When a field can't be encoded.
    fn append_later_fields(&self, bytes: &mut Vec<u8>) -> postcard::Result<()>;

    /// Reads the fields from what follows the encoded message.
    ///
    /// # Errors
    /// When a field can't be decoded.
    fn read_later_fields(&mut self, rest: &[u8]) -> postcard::Result<()>;
}

impl WithLaterFields for FeedRequest {
    fn append_later_fields(&self, bytes: &mut Vec<u8>) -> postcard::Result<()> {
        if !self.findings.is_empty() || !self.relayed.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.findings)?);
        }
        if !self.relayed.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.relayed)?);
        }
        Ok(())
    }

    fn read_later_fields(&mut self, rest: &[u8]) -> postcard::Result<()> {
        if rest.is_empty() {
            return Ok(());
        }
        let (findings, rest) = postcard::take_from_bytes(rest)?;
        self.findings = findings;
        if !rest.is_empty() {
            self.relayed = postcard::from_bytes(rest)?;
        }
        Ok(())
    }
}

impl WithLaterFields for FeedResponse {
    fn append_later_fields(&self, bytes: &mut Vec<u8>) -> postcard::Result<()> {
        if !self.findings.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.findings)?);
        }
        Ok(())
    }

    fn read_later_fields(&mut self, rest: &[u8]) -> postcard::Result<()> {
        if !rest.is_empty() {
            self.findings = postcard::from_bytes(rest)?;
        }
        Ok(())
    }
}

/// Encodes a feed request or response.
///
/// # Errors
/// [`ErrorKind::Internal`] when the message can't be encoded.
pub fn encode<T: Serialize + WithLaterFields>(message: &T) -> Result<Bytes> {
    let encoded = postcard::to_stdvec(message).and_then(|mut bytes| {
        message.append_later_fields(&mut bytes)?;
        Ok(bytes.into())
    });
    encoded.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

/// Decodes a feed request or response.
///
/// # Errors
/// [`ErrorKind::BadRequest`] when the payload can't be decoded.
pub fn decode<'a, T: Deserialize<'a> + WithLaterFields>(payload: &'a [u8]) -> Result<T> {
    let decoded = postcard::take_from_bytes::<T>(payload).and_then(|(mut message, rest)| {
        message.read_later_fields(rest)?;
        Ok(message)
    });
    decoded.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))
}
