//! Positions of readers in the order of the catalog's rows.
//!
//! Rows are ordered by the log index of the command that set them, then by key. The order
//! is the same at all replicas, so a reader may go on at another replica, also in the
//! middle of a command that set many rows.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use world::{DomainName, RouteName, ServerName, ServiceName};

use crate::item::ItemKey;

/// Key of a row. What routes refer to comes before the routes.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RowKey {
    /// The limits on clients.
    Limits,
    /// A service.
    Service(ServiceName),
    /// Whether a failure domain is evacuated.
    Evacuated(DomainName),
    /// A leaving backend server.
    Leaving(ServerName),
    /// A route.
    Route(RouteName),
}

impl From<ItemKey> for RowKey {
    fn from(key: ItemKey) -> Self {
        match key {
            ItemKey::Route(name) => Self::Route(name),
            ItemKey::Service(name) => Self::Service(name),
            ItemKey::Limits => Self::Limits,
        }
    }
}

/// Position up to which a reader has the rows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Log index up to which rows were read.
    pub index: u64,
    /// Key of the last row that was read at `index`; `None` when all were.
    pub last: Option<RowKey>,
}

impl Position {
    /// Position of a reader that has all rows up to a log index.
    #[must_use]
    pub fn at_end_of(index: u64) -> Self {
        Self { index, last: None }
    }

    /// Log index up to which the reader has all rows.
    #[must_use]
    pub fn whole_index(&self) -> u64 {
        match self.last {
            None => self.index,
            Some(_) => self.index.saturating_sub(1),
        }
    }

    /// Whether the reader has all rows up to `index`.
    #[must_use]
    pub fn covers(&self, index: u64) -> bool {
        *self >= Self::at_end_of(index)
    }
}

impl Ord for Position {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_key = || match (&self.last, &other.last) {
            (None, None) => Ordering::Equal,
            (None, Some(_)) => Ordering::Greater,
            (Some(_), None) => Ordering::Less,
            (Some(key), Some(other)) => key.cmp(other),
        };
        self.index.cmp(&other.index).then_with(by_key)
    }
}

impl PartialOrd for Position {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
