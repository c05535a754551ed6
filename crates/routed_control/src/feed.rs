//! Requests and responses of the feed, by which control VMs publish changes to entry
//! VMs and to each other.
//!
//! A reader sends its cursor and receives the changes after it, by long polling: at once
//! when there are any, else after a short wait. The request also announces the reader.
//!
//! Responses are bounded in size, so that a reader on a slow link keeps what it has when
//! a response does not arrive, and goes on from there with any control VM.

use bytes::Bytes;
use catalog::{Piece, Position};
use discovery::{Row, Update};
use serde::{Deserialize, Serialize};
use wire::body::Feed;
use world::{Error, ErrorKind, MachineName, Result};

use crate::pack::unpack;

/// Role of a reader of the feed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reader {
    /// An entry VM; it receives the catalog and the rows that affect forwarding.
    Entry,
    /// Another control VM; it receives the rows announced here since its cursor.
    Control,
}

/// Most bytes of the rows of one part of a response, before packing: a second's share of a
/// link of 3.3 Mbit/s that carries much else.
pub const PIECE_BYTES_MAX: usize = 64 * 1024;

/// How a reader takes changes that don't fit into one response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Paging {
    /// Position up to which the reader has the catalog; replaces `catalog_index`.
    pub position: Position,
    /// Whether the reader takes rows now. One that receives them from another control VM
    /// only announces itself and asks how far this one is.
    pub takes_rows: bool,
    /// Whether the last response left rows out, so that the next one is due at once.
    pub continued: bool,
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
    /// How the reader takes many changes; `None` for a reader of an earlier version, which
    /// takes all at once.
    #[serde(skip)]
    pub paging: Option<Paging>,
}

impl FeedRequest {
    /// Whether the reader takes rows now.
    #[must_use]
    pub fn takes_rows(&self) -> bool {
        self.paging.as_ref().is_none_or(|paging| paging.takes_rows)
    }

    /// Whether the last response to the reader left rows out.
    #[must_use]
    pub fn is_continued(&self) -> bool {
        self.paging.as_ref().is_some_and(|paging| paging.continued)
    }

    /// Position up to which the reader has the catalog.
    #[must_use]
    pub fn position(&self) -> Position {
        let position = self.paging.as_ref().map(|paging| paging.position.clone());
        position.unwrap_or_else(|| Position::at_end_of(self.catalog_index))
    }
}

/// Changes after the reader's cursor, with the next cursor.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts of the message"
)]
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
    /// Catalog index of this control VM; 0 in a response to a control VM.
    pub catalog_index: u64,
    /// Changed rows of the catalog, without source texts; empty for a reader that takes
    /// pieces, which come beside this message.
    pub catalog: Vec<catalog::Row>,
    /// Changed rows of the registry, without findings.
    pub news: Vec<Update>,
    /// Changed findings.
    #[serde(skip)]
    pub findings: Vec<Update>,
    /// Whether the registry has changes after `cursor`.
    #[serde(skip)]
    pub more: bool,
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
        let has_paging = self.paging.is_some();
        let has_relayed = !self.relayed.is_empty() || has_paging;
        if !self.findings.is_empty() || has_relayed {
            bytes.extend(postcard::to_stdvec(&self.findings)?);
        }
        if has_relayed {
            bytes.extend(postcard::to_stdvec(&self.relayed)?);
        }
        if has_paging {
            bytes.extend(postcard::to_stdvec(&self.paging)?);
        }
        Ok(())
    }

    fn read_later_fields(&mut self, rest: &[u8]) -> postcard::Result<()> {
        if rest.is_empty() {
            return Ok(());
        }
        let (findings, rest) = postcard::take_from_bytes(rest)?;
        self.findings = findings;
        if rest.is_empty() {
            return Ok(());
        }
        let (relayed, rest) = postcard::take_from_bytes(rest)?;
        self.relayed = relayed;
        if !rest.is_empty() {
            self.paging = postcard::from_bytes(rest)?;
        }
        Ok(())
    }
}

impl WithLaterFields for FeedResponse {
    fn append_later_fields(&self, bytes: &mut Vec<u8>) -> postcard::Result<()> {
        if !self.findings.is_empty() || self.more {
            bytes.extend(postcard::to_stdvec(&self.findings)?);
        }
        if self.more {
            bytes.extend(postcard::to_stdvec(&self.more)?);
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
            self.more = postcard::from_bytes(rest)?;
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

/// Encodes a feed request.
///
/// # Errors
/// [`ErrorKind::Internal`] when it can't be encoded.
pub fn encode_request(request: &FeedRequest) -> Result<Feed> {
    Ok(Feed {
        payload: encode(request)?,
        ..Feed::default()
    })
}

/// A response with its piece of the catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedPage {
    /// The response, without rows of the catalog.
    pub response: FeedResponse,
    /// Rows of the catalog; `None` when the control VM has none for this reader.
    pub catalog: Option<Piece>,
}

impl FeedPage {
    /// Decodes a response, also one of an earlier version, which has all rows at once.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] when it can't be decoded.
    pub fn decode(feed: &Feed) -> Result<Self> {
        if !feed.packed {
            let mut response: FeedResponse = decode(&feed.payload)?;
            let catalog = Piece {
                rows: std::mem::take(&mut response.catalog),
                next: Position::at_end_of(response.catalog_index),
                more: false,
            };
            return Ok(Self {
                response,
                catalog: Some(catalog),
            });
        }
        let response = decode(&unpack(&feed.payload)?)?;
        let catalog = if feed.catalog.is_empty() {
            None
        } else {
            let piece = postcard::from_bytes(&unpack(&feed.catalog)?);
            Some(piece.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))?)
        };
        Ok(Self { response, catalog })
    }

    /// Whether the control VM has rows after those of this response.
    #[must_use]
    pub fn has_more(&self) -> bool {
        self.response.more || self.catalog.as_ref().is_some_and(|piece| piece.more)
    }
}
