//! Questions and answers of the feed.
//!
//! A reader says how far it is and gets what changed since, at once when there
//! is something and after a short wait when there is not. The question also
//! announces the reader itself.

use bytes::Bytes;
use discovery::{News, Row};
use serde::{Deserialize, Serialize};
use world::{Error, Kind, Result};

/// Who reads the feed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reader {
    /// An entry VM: catalog, and rows that matter to forwarding.
    Entry,
    /// Another control VM: every row that was heard of.
    Control,
}

/// A question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Who asks.
    pub reader: Reader,
    /// The asking machine as it is now.
    pub me: Row,
    /// Start of the answering hub that `cursor` belongs to; 0: none yet.
    pub boot: u64,
    /// Last number of the roster that the reader has.
    pub cursor: u64,
    /// Last index of the catalog that the reader has.
    pub catalog_index: u64,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Give {
    /// Start of this hub.
    pub boot: u64,
    /// Number of the roster up to which `news` goes.
    pub cursor: u64,
    /// Whether `news` holds the whole roster and not changes only.
    pub whole: bool,
    /// Whether this hub hears of a leader of the catalog.
    pub current: bool,
    /// Whether this hub has run long enough to have heard of every server.
    pub settled: bool,
    /// Index of the catalog here.
    pub catalog_index: u64,
    /// Rows of the catalog.
    pub catalog: Vec<catalog::Row>,
    /// Rows of the roster.
    pub news: Vec<News>,
}

/// Encodes a message of the feed.
///
/// # Errors
/// [`Kind::Internal`] when it can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = postcard::to_stdvec(message);
    bytes
        .map(Bytes::from)
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))
}

/// Decodes a message of the feed.
///
/// # Errors
/// [`Kind::BadRequest`] when it can't be read.
pub fn decode<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T> {
    postcard::from_bytes(payload).map_err(|e| Error::new(Kind::BadRequest, e.to_string()))
}
