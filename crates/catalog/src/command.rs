//! Commands that change the catalog, as they are proposed to the replicated log.

use serde::{Deserialize, Serialize};
use world::{DomainName, Error, ErrorKind, Result, ServerName};

use crate::item::{Item, ItemKey};

/// Removal of an item.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Removal {
    /// Key of the item.
    pub key: ItemKey,
    /// Version of the removal; the item stays removed up to this version.
    pub version: u64,
}

/// Items to set and to remove. An invalid patch changes nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Patch {
    /// Items to set.
    pub upserts: Vec<Item>,
    /// Items to remove.
    pub removals: Vec<Removal>,
}

/// A change of the catalog.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Sets and removes items.
    Patch(Patch),
    /// Starts or ends the evacuation of a failure domain. Only in logs of earlier versions.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// Whether the domain is evacuated, so that it gets no work.
        on: bool,
    },
    /// Marks a backend server as leaving: it gets no new work and will stop.
    Leave {
        /// Name of the server.
        server: ServerName,
        /// Start time of the server, Unix milliseconds.
        born_ms: u64,
    },
    /// As [`Self::Evacuate`], unless the failure domain was changed since the order came.
    EvacuateSince {
        /// The failure domain.
        domain: DomainName,
        /// Whether the domain is evacuated, so that it gets no work.
        on: bool,
        /// Log index of the domain's last change that the receiver of the order knew.
        known: u64,
    },
}

impl Command {
    /// Encodes the command for the replicated log.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the command can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
    }
}
