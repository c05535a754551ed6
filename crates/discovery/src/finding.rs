//! Findings: what an entry VM has learned from backend servers' behaviour and other
//! entry VMs must know too.

use std::time::Duration;

use balancer::{Fingerprint, Mark};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::ServerName;
use world::unit::ms;

/// Time after which a limit no longer counts that no response has named again.
pub const LIMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which a departure counts: longer than a server takes to leave.
const LEAVING_LIFETIME: Duration = Duration::from_secs(600);

/// Time after which entry VMs tell each other anew that a server names its limit: half
/// of the lifetime, so that one report may be late.
const LIMIT_RENEWAL: Duration = Duration::from_secs(5);

/// What an entry VM has learned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Finding {
    /// A request ran on a backend server when that crashed.
    Crash(Mark),
    /// A backend server names a limit, or no longer does.
    Limit(ServerLimit),
    /// A backend server says in its responses that it is leaving.
    Leaving(Departure),
}

/// A backend server that is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of its incarnation, Unix milliseconds.
    pub born_ms: u64,
}

/// The limit that a backend server names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLimit {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of its incarnation, Unix milliseconds.
    pub born_ms: u64,
    /// Requests that it takes from all entry VMs together, in 1,000 s; `None` if it names
    /// no limit.
    pub per_1000_s: Option<u64>,
}

/// Identifies a finding. A later finding with the same key replaces an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum FindingKey {
    /// A request and the crash in which it ran.
    Crash(Fingerprint, u64),
    /// A backend server and the start time of its incarnation.
    Limit(ServerName, u64),
    /// A backend server and the start time of its incarnation.
    Leaving(ServerName, u64),
}

impl Finding {
    /// Returns the key of the finding.
    #[must_use]
    pub fn key(&self) -> FindingKey {
        match self {
            Self::Crash(mark) => FindingKey::Crash(mark.fingerprint, mark.crash_id),
            Self::Limit(limit) => FindingKey::Limit(limit.server.clone(), limit.born_ms),
            Self::Leaving(departure) => {
                FindingKey::Leaving(departure.server.clone(), departure.born_ms)
            }
        }
    }

    /// Returns whether this finding, made at `at`, counts instead of `known`, which has
    /// the same key and was made at `known_at`.
    #[must_use]
    pub fn replaces(&self, at: Instant, known: &Self, known_at: Instant) -> bool {
        match (self, known) {
            (Self::Crash(mark), Self::Crash(known)) => mark.convicted && !known.convicted,
            (Self::Limit(limit), Self::Limit(known)) => {
                let newer = at.saturating_duration_since(known_at);
                if limit.per_1000_s == known.per_1000_s {
                    limit.per_1000_s.is_some() && newer >= LIMIT_RENEWAL
                } else {
                    !newer.is_zero()
                }
            }
            _ => false,
        }
    }

    /// Returns for how long the finding counts.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        match self {
            Self::Crash(mark) => ms(mark.left_ms),
            Self::Limit(_) => LIMIT_LIFETIME,
            Self::Leaving(_) => LEAVING_LIFETIME,
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
            Self::Limit(_) | Self::Leaving(_) => {
                (ms(age_ms) < self.lifetime()).then(|| self.clone())
            }
        }
    }
}
