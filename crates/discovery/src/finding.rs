//! Findings: what an entry VM has learned from backend servers' behaviour and other
//! entry VMs must know too.

use std::time::Duration;

use balancer::{Fingerprint, Mark};
use serde::{Deserialize, Serialize};
use world::unit::ms;

/// What an entry VM has learned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Finding {
    /// A request ran on a backend server when that crashed.
    Crash(Mark),
}

/// Identifies a finding. A later finding with the same key replaces an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum FindingKey {
    /// A request and the crash in which it ran.
    Crash(Fingerprint, u64),
}

impl Finding {
    /// Returns the key of the finding.
    #[must_use]
    pub fn key(&self) -> FindingKey {
        match self {
            Self::Crash(mark) => FindingKey::Crash(mark.fingerprint, mark.crash_id),
        }
    }

    /// Returns the rank of the finding among those with the same key; the greater one
    /// is newer.
    pub(crate) fn order(&self) -> (u64, u64) {
        match self {
            Self::Crash(mark) => (u64::from(mark.convicted), 0),
        }
    }

    /// Returns whether this finding is newer than `known`, which has the same key.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        self.order() > known.order()
    }

    /// Returns for how long the finding counts.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        match self {
            Self::Crash(mark) => ms(mark.left_ms),
        }
    }

    /// Returns the finding as it is `age_ms` later; `None` if it no longer counts.
    #[must_use]
    pub fn aged(&self, age_ms: u64) -> Option<Self> {
        match self {
            Self::Crash(mark) => {
                let left_ms = mark.left_ms.checked_sub(age_ms).filter(|left| *left > 0)?;
                Some(Self::Crash(Mark { left_ms, ..*mark }))
            }
        }
    }
}
