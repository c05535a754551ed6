//! Commands of the replicated log that change the catalog.

use serde::{Deserialize, Serialize};
use world::{DomainName, Error, Kind, Result, ServerName};

use crate::item::{Item, ItemKey};

/// Takes an item out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Removal {
    /// Name of the item.
    pub key: ItemKey,
    /// Version of the removal.
    pub version: u64,
}

/// Items to set and items to take out, all or none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Patch {
    /// Items to set.
    pub upserts: Vec<Item>,
    /// Items to take out.
    pub removals: Vec<Removal>,
}

/// One change of the catalog.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Sets and takes out items.
    Patch(Patch),
    /// Empties a failure domain or takes it back.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// Whether it gets no work.
        on: bool,
    },
    /// A backend server that gets no new work and will end.
    Leave {
        /// The server.
        server: ServerName,
        /// Its start, Unix milliseconds.
        born_ms: u64,
    },
}

impl Command {
    /// The command as it goes into the log.
    ///
    /// # Errors
    /// [`Kind::Internal`] when it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| Error::new(Kind::Internal, e.to_string()))
    }
}
