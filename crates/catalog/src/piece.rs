//! Pieces of the catalog: as many of the rows after a reader's position as fit into a
//! response, so that what was received stays received when a transfer breaks off.

use postcard::experimental::serialized_size;
use serde::{Deserialize, Serialize};

use crate::position::Position;
use crate::state::{Catalog, Row};

/// Rows after a reader's position.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Piece {
    /// The rows, in their order.
    pub rows: Vec<Row>,
    /// Position of a reader that has merged the rows.
    pub next: Position,
    /// Whether the catalog has rows after `next`.
    pub more: bool,
}

impl Catalog {
    /// Returns the rows after `position`: at least one, and further ones up to about
    /// `bytes_max` bytes as encoded.
    #[must_use]
    pub fn piece(&self, position: &Position, bytes_max: usize) -> Piece {
        let mut bytes = 0;
        let mut rows: Vec<Row> = Vec::new();
        for row in self.rows_after(position) {
            bytes += serialized_size(&row).unwrap_or(bytes_max);
            if bytes > bytes_max
                && let Some(last) = rows.last()
            {
                let next = Position {
                    index: last.index,
                    last: Some(last.fact.key()),
                };
                let more = true;
                return Piece { rows, next, more };
            }
            rows.push(row);
        }
        Piece {
            rows,
            // A replica that lags has nothing new for its reader.
            next: Position::at_end_of(self.index()).max(position.clone()),
            more: false,
        }
    }
}
