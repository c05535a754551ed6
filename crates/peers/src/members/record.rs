//! Records of members and the rule by which newer ones override older ones.

use std::sync::Arc;

use world::{EntryVm, Place};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// State of a member. Of two records of one incarnation the one with the state
/// further down this list overrides the other.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// Replies to pings.
    Alive,
    /// Did not reply to pings, and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member counts as part of the domain.
    #[must_use]
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// What is known about one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The machine.
    pub vm: Arc<EntryVm>,
    /// Incarnation number; only the machine itself raises it, to refute a wrong record.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

impl Record {
    /// Whether this record overrides `other`, a record of the same member.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Hash of the name and incarnation of a live member, for comparing tables.
    pub(crate) fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.vm.name.as_str().as_bytes(), self.incarnation)
    }
}

/// A short key of a place, computed equally by every process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceKey(pub u32);

impl PlaceKey {
    /// Computes the key of a place.
    #[must_use]
    pub fn of(place: &Place) -> Self {
        let hash = xxh3_64(format!("{}/{}", place.region, place.domain).as_bytes());
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}
