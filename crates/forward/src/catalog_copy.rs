//! This entry VM's copy of the catalog, which it reads in pieces.

use catalog::{Catalog, Fact, Piece, Position, Table};
use world::{DomainName, ServerName};

/// Copy of the catalog, and how far it was read.
#[derive(Debug, Default)]
pub struct CatalogCopy {
    catalog: Catalog,
    position: Position,
    /// Whether the copy was complete once. Until then no route is in effect: a request
    /// could be handled by a route whose replacement was not read yet.
    was_complete: bool,
    /// Whether rows changed the routes since the last table was built.
    routes_changed: bool,
}

/// What a merged piece changes for the entry VM.
#[derive(Debug, Default)]
pub struct Merged {
    /// Routing table to put into effect.
    pub table: Option<Table>,
    /// Backend servers that leave, each with its start time, Unix milliseconds.
    pub leaving: Vec<(ServerName, u64)>,
}

impl CatalogCopy {
    /// Position up to which the catalog was read.
    #[must_use]
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Merges a piece, if any was sent. `is_complete` tells whether its sender has nothing
    /// else for this entry VM, no announced servers either. `domains` are the failure
    /// domains to check for evacuation.
    pub fn merge(
        &mut self,
        piece: Option<Piece>,
        is_complete: bool,
        domains: impl IntoIterator<Item = DomainName>,
    ) -> Merged {
        let mut leaving = Vec::new();
        let rows = piece.into_iter().flat_map(|piece| {
            self.position = piece.next.max(self.position.clone());
            piece.rows
        });
        for row in rows {
            if let Fact::Leaving { server, born_ms } = &row.fact {
                leaving.push((server.clone(), *born_ms));
                self.catalog.merge(row);
            } else {
                self.routes_changed |= self.catalog.merge(row);
            }
        }
        self.was_complete |= is_complete && !self.catalog.is_empty();
        let table = (self.was_complete && self.routes_changed).then(|| {
            self.routes_changed = false;
            Table::new(&self.catalog, domains)
        });
        Merged { table, leaving }
    }
}
