//! The accepted configuration: the two lists and the drains in force.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::contract::Lists;
use crate::kind::{Error, Kind};
use crate::name::{ChangeId, MachineName, RegionName, ServerName};
use crate::zone::Place;

/// Something that an operator has announced to be leaving.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// One backend server.
    Server(ServerName),
    /// One entry VM.
    Entry(MachineName),
    /// A failure domain.
    Domain(Place),
    /// A region.
    Region(RegionName),
}

/// The configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Config {
    /// Version; grows by one with each accepted change. 0: nothing accepted yet.
    pub version: u64,
    /// The two lists.
    pub lists: Lists,
    /// Drains in force, sorted.
    pub drains: Vec<Drain>,
}

/// What a change does.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Puts new lists in place of the old ones.
    Lists(Lists),
    /// Announces a drain.
    Drain(Drain),
    /// Ends a drain.
    Undrain(Drain),
}

/// One change of the configuration, as an operator asks for it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id chosen by the operator; a resend carries the same one.
    pub id: ChangeId,
    /// Version that the change was made from.
    pub base_version: u64,
    /// What it does.
    pub action: Action,
}

impl Config {
    /// The configuration after `change`.
    ///
    /// # Errors
    /// [`Kind::Conflict`] when the change was made from another version;
    /// [`Kind::BadLists`] when its lists have mistakes.
    pub fn with_change(&self, change: &Change) -> Result<Self, Error> {
        if change.base_version != self.version {
            return Err(Error::new(
                Kind::Conflict,
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
                if let Err(at) = next.drains.binary_search(drain) {
                    next.drains.insert(at, drain.clone());
                }
            }
            Action::Undrain(drain) => next.drains.retain(|d| d != drain),
        }
        Ok(next)
    }

    /// Whether a drain covers this place.
    #[must_use]
    pub fn drains_place(&self, place: &Place) -> bool {
        self.drains.iter().any(|drain| match drain {
            Drain::Domain(p) => p == place,
            Drain::Region(r) => *r == place.region,
            Drain::Server(_) | Drain::Entry(_) => false,
        })
    }

    /// Whether a drain covers this backend server.
    #[must_use]
    pub fn drains_server(&self, name: &ServerName, place: &Place) -> bool {
        let named = |d: &Drain| matches!(d, Drain::Server(n) if n == name);
        self.drains.iter().any(named) || self.drains_place(place)
    }

    /// Whether a drain covers this entry VM.
    #[must_use]
    pub fn drains_entry(&self, name: &MachineName, place: &Place) -> bool {
        let named = |d: &Drain| matches!(d, Drain::Entry(n) if n == name);
        self.drains.iter().any(named) || self.drains_place(place)
    }
}
