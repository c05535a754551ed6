//! The catalog's state machine: rows, and how commands and rows of other replicas
//! change them.

use std::collections::BTreeMap;

use quorum::StateMachine;
use serde::{Deserialize, Serialize};
use world::{DomainName, Error, ErrorKind, Result, ServerName};

use crate::command::{Command, Patch};
use crate::item::{Body, Item, ItemKey};

/// Most leaving backend servers that are stored; the oldest are removed first. Enough
/// for several releases of a whole site of 600 servers.
pub const LEAVING_MAX: usize = 4_096;

/// Content of a row of the catalog.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// An item or its removal.
    Item {
        /// Key of the item.
        key: ItemKey,
        /// Version of the item or of its removal.
        version: u64,
        /// The item; `None` when it is removed.
        item: Option<Item>,
    },
    /// Whether a failure domain is evacuated.
    Evacuated {
        /// The failure domain.
        domain: DomainName,
        /// Whether the domain is evacuated, so that it gets no work.
        on: bool,
    },
    /// A leaving backend server.
    Leaving {
        /// Name of the server.
        server: ServerName,
        /// Start time of the server, Unix milliseconds.
        born_ms: u64,
    },
}

/// A row with the index of the command that set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Log index of the command.
    pub index: u64,
    /// Content.
    pub fact: Fact,
}

/// State of an item. A removed item keeps its entry, so that it stays
/// removed up to that version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ItemEntry {
    index: u64,
    version: u64,
    item: Option<Item>,
}

/// The replicated catalog. Each entry holds the log index of the command that set it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    index: u64,
    items: BTreeMap<ItemKey, ItemEntry>,
    /// Log index and whether the domain is evacuated.
    evacuated: BTreeMap<DomainName, (u64, bool)>,
    /// Log index and start time of the server, Unix milliseconds.
    leaving: BTreeMap<ServerName, (u64, u64)>,
}

impl Catalog {
    /// Highest log index of a merged row.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether any item was ever set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The items in effect.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().filter_map(|entry| entry.item.as_ref())
    }

    /// Whether any route may be served only in certain regions.
    #[must_use]
    pub fn binds_to_regions(&self) -> bool {
        let is_bound =
            |item: &Item| matches!(&item.body, Body::Route(route) if !route.homes.is_empty());
        self.items().any(is_bound)
    }

    /// Whether the backend server that started at `born_ms`, or a later start of it, is
    /// leaving.
    #[must_use]
    pub fn is_leaving(&self, server: &ServerName, born_ms: u64) -> bool {
        let row = self.leaving.get(server);
        row.is_some_and(|(_, born)| *born >= born_ms)
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuated.get(domain).is_some_and(|(_, on)| *on)
    }

    /// Rows set after `index`.
    #[must_use]
    pub fn since(&self, index: u64) -> Vec<Row> {
        let items = self.items.iter().filter(|(_, entry)| entry.index > index);
        let items = items.map(|(key, entry)| {
            let fact = Fact::Item {
                key: key.clone(),
                version: entry.version,
                item: entry.item.clone(),
            };
            Row {
                index: entry.index,
                fact,
            }
        });
        let evacuated = self.evacuated.iter().filter(|(_, (at, _))| *at > index);
        let evacuated = evacuated.map(|(domain, (index, on))| Row {
            index: *index,
            fact: Fact::Evacuated {
                domain: domain.clone(),
                on: *on,
            },
        });
        let leaving = self.leaving.iter().filter(|(_, (at, _))| *at > index);
        let leaving = leaving.map(|(server, (index, born_ms))| Row {
            index: *index,
            fact: Fact::Leaving {
                server: server.clone(),
                born_ms: *born_ms,
            },
        });
        items.chain(evacuated).chain(leaving).collect()
    }

    /// As [`Self::since`], without the source texts of the items, which are most of their
    /// size. For readers that don't return items to operators.
    #[must_use]
    pub fn since_without_source(&self, index: u64) -> Vec<Row> {
        let mut rows = self.since(index);
        for row in &mut rows {
            if let Fact::Item {
                item: Some(item), ..
            } = &mut row.fact
            {
                item.source = "".into();
            }
        }
        rows
    }

    /// Merges a row, from a command or from another replica. Returns whether it changed the
    /// catalog.
    pub fn merge(&mut self, row: Row) -> bool {
        self.index = self.index.max(row.index);
        match row.fact {
            Fact::Item { key, version, item } => {
                let current = self.items.get(&key);
                if current.is_some_and(|entry| entry.version >= version) {
                    return false;
                }
                let index = row.index;
                let entry = ItemEntry {
                    index,
                    version,
                    item,
                };
                self.items.insert(key, entry);
                true
            }
            Fact::Evacuated { domain, on } => {
                let current = self.evacuated.get(&domain);
                if current.is_some_and(|(index, _)| *index >= row.index) {
                    return false;
                }
                self.evacuated.insert(domain, (row.index, on));
                true
            }
            Fact::Leaving { server, born_ms } => self.leave(server, born_ms, row.index),
        }
    }

    fn leave(&mut self, server: ServerName, born_ms: u64, index: u64) -> bool {
        if self.is_leaving(&server, born_ms) {
            return false;
        }
        self.leaving.insert(server, (index, born_ms));
        while self.leaving.len() > LEAVING_MAX {
            let oldest = self.leaving.iter().min_by_key(|(_, (index, _))| *index);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                break;
            };
            self.leaving.remove(&name);
        }
        true
    }

    /// Validates a patch, including its references to services, against the items in
    /// effect.
    ///
    /// # Errors
    /// [`ErrorKind::BadLists`] with the reason.
    pub fn check(&self, patch: &Patch) -> Result<()> {
        for item in &patch.upserts {
            item.check()?;
        }
        let has_key = |item: &Item, key: &ItemKey| item.key() == *key;
        for item in patch.upserts.iter().filter(|item| self.is_newer(item)) {
            let Body::Route(route) = &item.body else {
                continue;
            };
            for part in &route.parts {
                let key = ItemKey::Service(part.service.clone());
                let is_known = self.items.get(&key).is_some_and(|e| e.item.is_some());
                if !is_known && !patch.upserts.iter().any(|i| has_key(i, &key)) {
                    let text = format!("route {}: no service {}", route.name, part.service);
                    return Err(Error::new(ErrorKind::BadLists, text));
                }
            }
        }
        Ok(())
    }

    /// Removes from a patch what changes nothing, since the catalog has the same or a
    /// higher version. Items that are not in effect stay, as others may refer to them.
    #[must_use]
    pub fn without_known(&self, mut patch: Patch) -> Patch {
        let is_known = |item: &Item| {
            let entry = self.items.get(&item.key());
            entry.is_some_and(|entry| entry.version >= item.version && entry.item.is_some())
        };
        patch.upserts.retain(|item| !is_known(item));
        patch.removals.retain(|removal| {
            let entry = self.items.get(&removal.key);
            entry.is_none_or(|entry| entry.version < removal.version)
        });
        patch
    }

    fn is_newer(&self, item: &Item) -> bool {
        let entry = self.items.get(&item.key());
        entry.is_none_or(|entry| entry.version < item.version)
    }

    fn patch(&mut self, index: u64, patch: Patch) -> Result<()> {
        self.check(&patch)?;
        let upserts = patch.upserts.into_iter().map(|item| {
            let (key, version) = (item.key(), item.version);
            (key, version, Some(item))
        });
        let removals = patch.removals.into_iter();
        let removals = removals.map(|removal| (removal.key, removal.version, None));
        for (key, version, item) in upserts.chain(removals).collect::<Vec<_>>() {
            let fact = Fact::Item { key, version, item };
            self.merge(Row { index, fact });
        }
        Ok(())
    }
}

impl StateMachine for Catalog {
    type Output = Result<()>;

    fn apply(&mut self, index: u64, command: &[u8]) -> Result<()> {
        let command = postcard::from_bytes(command)
            .map_err(|error| Error::new(ErrorKind::Damaged, error.to_string()))?;
        match command {
            Command::Patch(patch) => self.patch(index, patch),
            Command::Evacuate { domain, on } => {
                if self.is_evacuated(&domain) != on {
                    let fact = Fact::Evacuated { domain, on };
                    self.merge(Row { index, fact });
                }
                Ok(())
            }
            Command::Leave { server, born_ms } => {
                let fact = Fact::Leaving { server, born_ms };
                self.merge(Row { index, fact });
                Ok(())
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_else(|error| {
            log::error!(target: "catalog", error:% = error; "the catalog could not be encoded");
            Vec::new()
        })
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        *self = postcard::from_bytes(bytes)
            .map_err(|error| Error::new(ErrorKind::Damaged, error.to_string()))?;
        Ok(())
    }
}
