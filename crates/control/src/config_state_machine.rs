//! The configuration as the state machine of a replicated log. It remembers the
//! outcomes of accepted changes by id, so that a resent change gets the same
//! response and takes effect once.

use std::collections::BTreeMap;

use quorum::StateMachine;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use world::{Change, ChangeId, Config, Error, ErrorKind, Result};

/// Number of accepted changes whose outcome is kept for resent changes; the
/// oldest are dropped first.
pub const OUTCOMES_KEPT: usize = 16_384;

/// SHA-256 of an encoded change.
type ContentDigest = [u8; 32];

/// The configuration in effect and the changes that led to it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigStateMachine {
    config: Config,
    /// Accepted changes by the version that they created.
    accepted: BTreeMap<u64, Accepted>,
    /// Versions by the id of the change that created them.
    versions: BTreeMap<ChangeId, u64>,
}

/// An accepted change: enough to recognise it when it is resent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Accepted {
    id: ChangeId,
    content: ContentDigest,
}

impl ConfigStateMachine {
    /// Returns the configuration in effect.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Encodes `change` as a command of the replicated log.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] if the change can't be encoded.
    pub fn command(change: &Change) -> Result<Vec<u8>> {
        serde_json::to_vec(change).map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()))
    }

    /// Applies a change; returns the version that it created. A resent change gets
    /// the version it created the first time.
    ///
    /// # Errors
    /// [`ErrorKind::Conflict`] if the change was made from another version,
    /// [`ErrorKind::ChangeIdReused`] if another change has the same id, or
    /// [`ErrorKind::BadLists`].
    pub fn accept(&mut self, change: &Change) -> Result<u64> {
        let content = digest(change)?;
        if let Some(version) = self.versions.get(&change.id) {
            return self.outcome_of_resent(*version, content, change);
        }
        self.config = self
            .config
            .with_change(change)
            .map_err(|error| self.with_conflicting_change(error, change))?;
        let version = self.config.version;
        let id = change.id.clone();
        self.versions.insert(id.clone(), version);
        self.accepted.insert(version, Accepted { id, content });
        self.drop_oldest_outcomes();
        Ok(version)
    }

    /// Outcome of a change whose id was used by the change that created `version`.
    fn outcome_of_resent(
        &self,
        version: u64,
        content: ContentDigest,
        change: &Change,
    ) -> Result<u64> {
        let original = self.accepted.get(&version);
        if original.is_some_and(|a| a.content == content) {
            return Ok(version);
        }
        let text = format!("change id {} was used for another change", change.id);
        Err(Error::new(ErrorKind::ChangeIdReused, text))
    }

    /// Adds to a conflict the id of the change that created the version after the
    /// base version.
    fn with_conflicting_change(&self, error: Error, change: &Change) -> Error {
        let next_version = change.base_version.saturating_add(1);
        match self.accepted.get(&next_version) {
            Some(other) if error.kind == ErrorKind::Conflict => {
                let text = format!(
                    "{}; change {} made version {next_version}",
                    error.detail, other.id
                );
                Error::new(ErrorKind::Conflict, text)
            }
            _ => error,
        }
    }

    fn drop_oldest_outcomes(&mut self) {
        while self.accepted.len() > OUTCOMES_KEPT {
            let Some((_, oldest)) = self.accepted.pop_first() else {
                return;
            };
            self.versions.remove(&oldest.id);
        }
    }
}

impl StateMachine for ConfigStateMachine {
    type Output = Result<u64>;

    fn apply(&mut self, _index: u64, command: &[u8]) -> Result<u64> {
        let change = serde_json::from_slice(command)
            .map_err(|e| Error::new(ErrorKind::BadRequest, format!("unreadable change: {e}")))?;
        self.accept(&change)
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("names and numbers can be encoded")
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        *self = serde_json::from_slice(bytes)
            .map_err(|e| Error::new(ErrorKind::Damaged, format!("unreadable snapshot: {e}")))?;
        Ok(())
    }
}

fn digest(change: &Change) -> Result<ContentDigest> {
    let bytes = ConfigStateMachine::command(change)?;
    Ok(Sha256::digest(bytes).into())
}
