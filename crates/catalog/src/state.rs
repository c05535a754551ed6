//! The catalog's state machine: rows, and how commands and rows of other replicas
//! change them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use quorum::StateMachine;
use serde::{Deserialize, Serialize};
use world::{DomainName, Error, ErrorKind, Result, ServerName};

use crate::command::{Command, Patch};
use crate::item::{Body, Item, ItemKey};
use crate::position::{Position, RowKey};

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

impl Fact {
    /// Key of the row.
    #[must_use]
    pub fn key(&self) -> RowKey {
        match self {
            Self::Item { key, .. } => key.clone().into(),
            Self::Evacuated { domain, .. } => RowKey::Evacuated(domain.clone()),
            Self::Leaving { server, .. } => RowKey::Leaving(server.clone()),
        }
    }
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
    /// Log index and key of each row.
    #[serde(skip)]
    order: BTreeSet<(u64, RowKey)>,
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

    /// Log index of the command that last started or ended the evacuation of a failure
    /// domain; 0 when none did.
    #[must_use]
    pub fn evacuation_index(&self, domain: &DomainName) -> u64 {
        self.evacuated.get(domain).map_or(0, |(index, _)| *index)
    }

    /// Row that was set at `index`, without the source text of an item.
    fn row(&self, index: u64, key: &RowKey) -> Option<Row> {
        let item = |key| {
            let entry = self.items.get(&key)?;
            let item = entry.item.as_ref().map(Item::without_source);
            let version = entry.version;
            Some(Fact::Item { key, version, item })
        };
        let fact = match key {
            RowKey::Limits => item(ItemKey::Limits)?,
            RowKey::Service(name) => item(ItemKey::Service(name.clone()))?,
            RowKey::Route(name) => item(ItemKey::Route(name.clone()))?,
            RowKey::Evacuated(domain) => Fact::Evacuated {
                domain: domain.clone(),
                on: self.evacuated.get(domain)?.1,
            },
            RowKey::Leaving(server) => Fact::Leaving {
                server: server.clone(),
                born_ms: self.leaving.get(server)?.1,
            },
        };
        Some(Row { index, fact })
    }

    /// Rows after `position` in their order, without the source texts of the items, which
    /// are most of their size.
    pub fn rows_after(&self, position: &Position) -> impl Iterator<Item = Row> {
        let start = match &position.last {
            Some(key) => Bound::Excluded((position.index, key.clone())),
            None => Bound::Included((position.index.saturating_add(1), RowKey::Limits)),
        };
        let keys = self.order.range((start, Bound::Unbounded));
        keys.filter_map(|(index, key)| self.row(*index, key))
    }

    /// Records the place of a row in the order of the rows.
    fn set_order(&mut self, before: Option<u64>, index: u64, key: RowKey) {
        if let Some(before) = before {
            self.order.remove(&(before, key.clone()));
        }
        self.order.insert((index, key));
    }

    /// Order of the rows, which is not part of a snapshot.
    fn rebuild_order(&mut self) {
        let items = self.items.iter();
        let items = items.map(|(key, entry)| (entry.index, key.clone().into()));
        let evacuated = self.evacuated.iter();
        let evacuated =
            evacuated.map(|(domain, (index, _))| (*index, RowKey::Evacuated(domain.clone())));
        let leaving = self.leaving.iter();
        let leaving = leaving.map(|(server, (index, _))| (*index, RowKey::Leaving(server.clone())));
        self.order = items.chain(evacuated).chain(leaving).collect();
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
                let before = current.map(|entry| entry.index);
                let index = row.index;
                let entry = ItemEntry {
                    index,
                    version,
                    item,
                };
                self.set_order(before, index, key.clone().into());
                self.items.insert(key, entry);
                true
            }
            Fact::Evacuated { domain, on } => {
                let current = self.evacuated.get(&domain);
                if current.is_some_and(|(index, _)| *index >= row.index) {
                    return false;
                }
                let before = current.map(|(index, _)| *index);
                self.set_order(before, row.index, RowKey::Evacuated(domain.clone()));
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
        let before = self.leaving.get(&server).map(|(index, _)| *index);
        self.set_order(before, index, RowKey::Leaving(server.clone()));
        self.leaving.insert(server, (index, born_ms));
        while self.leaving.len() > LEAVING_MAX {
            let oldest = self.leaving.iter().min_by_key(|(_, (index, _))| *index);
            let Some((name, index)) = oldest.map(|(name, (index, _))| (name.clone(), *index))
            else {
                break;
            };
            self.leaving.remove(&name);
            self.order.remove(&(index, RowKey::Leaving(name)));
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

impl Catalog {
    fn evacuate(&mut self, index: u64, domain: DomainName, on: bool) {
        if self.is_evacuated(&domain) != on {
            let fact = Fact::Evacuated { domain, on };
            self.merge(Row { index, fact });
        }
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
                self.evacuate(index, domain, on);
                Ok(())
            }
            Command::EvacuateSince { domain, on, known } => {
                if self.is_evacuated(&domain) != on && self.evacuation_index(&domain) != known {
                    let text = format!("another order on {domain} came first");
                    return Err(Error::new(ErrorKind::Outdated, text));
                }
                self.evacuate(index, domain, on);
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
        self.rebuild_order();
        Ok(())
    }
}
