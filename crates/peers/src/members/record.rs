//! What is known of one member.

use std::sync::Arc;

use world::{EntryVm, Place};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How a member stands; of two claims about one incarnation the later of
/// these counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Answers.
    Alive,
    /// Did not answer, and may still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Said that it leaves.
    Left,
}

impl Standing {
    /// Whether the member counts as part of the domain.
    #[must_use]
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A claim about one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The machine.
    pub vm: Arc<EntryVm>,
    /// Number that only the machine itself raises, to refute.
    pub incarnation: u64,
    /// How it stands.
    pub standing: Standing,
}

impl Record {
    /// Whether this claim overrides `other` about the same member.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.standing) > (other.incarnation, other.standing)
    }

    /// Hash of what a table must agree on about a live member.
    pub(crate) fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.vm.name.as_str().as_bytes(), self.incarnation)
    }
}

/// A place as a short key; every process computes the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceKey(pub u32);

impl PlaceKey {
    /// The key of a place.
    #[must_use]
    pub fn of(place: &Place) -> Self {
        let hash = xxh3_64(format!("{}/{}", place.region, place.domain).as_bytes());
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}
