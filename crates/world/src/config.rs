//! The versioned configuration (the two lists and the active drains) and changes to it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::contract::Lists;
use crate::kind::{Error, ErrorKind};
use crate::name::{ChangeId, MachineName, RegionName, ServerName};
use crate::zone::Place;

/// What an operator takes out of service: it finishes its work and gets no new work.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// A backend server.
    Server(ServerName),
    /// An entry VM.
    Entry(MachineName),
    /// Every machine in a failure domain.
    Domain(Place),
    /// Every machine in a region.
    Region(RegionName),
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Config {
    /// Version number; each accepted change increments it by one. 0: no change was accepted yet.
    pub version: u64,
    /// The list of customers and the list of plans.
    pub lists: Lists,
    /// Active drains, sorted.
    pub drains: Vec<Drain>,
}

/// The effect of a change.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Replaces both lists.
    Lists(Lists),
    /// Starts a drain.
    Drain(Drain),
    /// Ends a drain.
    Undrain(Drain),
}

/// A change of the configuration, as requested by an operator.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id chosen by the operator; a resent change carries the same id, so that it is applied once.
    pub id: ChangeId,
    /// Version of the configuration that the operator edited.
    pub base_version: u64,
    /// The effect of the change.
    pub action: Action,
}

impl Config {
    /// Returns the configuration that results from `change`.
    ///
    /// # Errors
    /// [`ErrorKind::Conflict`] if `base_version` isn't the current version;
    /// [`ErrorKind::BadLists`] if the new lists have mistakes.
    pub fn with_change(&self, change: &Change) -> Result<Self, Error> {
        if change.base_version != self.version {
            return Err(Error::new(
                ErrorKind::Conflict,
                format!(
                    "change {} was made from version {}, in force is version {}",
                    change.id, change.base_version, self.version
                ),
            ));
        }
        let mut next = self.clone();
        next.version += 1;
        match &change.action {
            Action::Lists(lists) => {
                lists.check()?;
                next.lists = lists.clone();
            }
            Action::Drain(drain) => {
                if let Err(position) = next.drains.binary_search(drain) {
                    next.drains.insert(position, drain.clone());
                }
            }
            Action::Undrain(drain) => next.drains.retain(|d| d != drain),
        }
        Ok(next)
    }

    /// Whether an active drain covers this failure domain or its region.
    #[must_use]
    pub fn drains_place(&self, place: &Place) -> bool {
        self.drains.iter().any(|drain| match drain {
            Drain::Domain(p) => p == place,
            Drain::Region(r) => *r == place.region,
            Drain::Server(_) | Drain::Entry(_) => false,
        })
    }

    /// Whether an active drain covers this backend server or its place.
    #[must_use]
    pub fn drains_server(&self, name: &ServerName, place: &Place) -> bool {
        let matches_name = |d: &Drain| matches!(d, Drain::Server(n) if n == name);
        self.drains.iter().any(matches_name) || self.drains_place(place)
    }

    /// Whether an active drain covers this entry VM or its place.
    #[must_use]
    pub fn drains_entry(&self, name: &MachineName, place: &Place) -> bool {
        let matches_name = |d: &Drain| matches!(d, Drain::Entry(n) if n == name);
        self.drains.iter().any(matches_name) || self.drains_place(place)
    }
}
