//! The state machine of the configuration: accepted changes and their ids.

use std::collections::BTreeMap;

use quorum::Machine;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use world::{Change, ChangeId, Config, Error, Kind, Result};

/// Accepted changes whose outcome is kept for resends.
pub const OUTCOMES_KEPT: usize = 16_384;

type ContentDigest = [u8; 32];

/// The configuration in force and the outcomes of the changes that made it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registry {
    config: Config,
    accepted: BTreeMap<u64, Accepted>,
    versions: BTreeMap<ChangeId, u64>,
}

/// A change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Accepted {
    id: ChangeId,
    content: ContentDigest,
}

impl Registry {
    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The command that asks for `change`.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] when the change can't be encoded.
    pub fn command(change: &Change) -> Result<Vec<u8>> {
        serde_json::to_vec(change).map_err(|e| Error::new(Kind::BadRequest, e.to_string()))
    }

    /// Accepts or refuses a change; gives the version that it made.
    ///
    /// # Errors
    /// [`Kind::Conflict`], [`Kind::ChangeIdReused`] or [`Kind::BadLists`].
    pub fn accept(&mut self, change: &Change) -> Result<u64> {
        let content = digest(change)?;
        if let Some(version) = self.versions.get(&change.id) {
            return self.answer_again(*version, content, change);
        }
        self.config = self
            .config
            .with_change(change)
            .map_err(|error| self.name_winner(error, change))?;
        let version = self.config.version;
        let id = change.id.clone();
        self.versions.insert(id.clone(), version);
        self.accepted.insert(version, Accepted { id, content });
        self.forget_oldest();
        Ok(version)
    }

    fn answer_again(&self, version: u64, content: ContentDigest, change: &Change) -> Result<u64> {
        let first = self.accepted.get(&version);
        if first.is_some_and(|a| a.content == content) {
            return Ok(version);
        }
        let text = format!("change id {} was used for another change", change.id);
        Err(Error::new(Kind::ChangeIdReused, text))
    }

    fn name_winner(&self, error: Error, change: &Change) -> Error {
        let taken = change.base_version.saturating_add(1);
        match self.accepted.get(&taken) {
            Some(winner) if error.kind == Kind::Conflict => {
                let text = format!(
                    "{}; change {} made version {taken}",
                    error.detail, winner.id
                );
                Error::new(Kind::Conflict, text)
            }
            _ => error,
        }
    }

    fn forget_oldest(&mut self) {
        while self.accepted.len() > OUTCOMES_KEPT {
            let Some((_, oldest)) = self.accepted.pop_first() else {
                return;
            };
            self.versions.remove(&oldest.id);
        }
    }
}

impl Machine for Registry {
    type Output = Result<u64>;

    fn apply(&mut self, _index: u64, command: &[u8]) -> Result<u64> {
        let change = serde_json::from_slice(command)
            .map_err(|e| Error::new(Kind::BadRequest, format!("unreadable change: {e}")))?;
        self.accept(&change)
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("names and numbers can be encoded")
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        *self = serde_json::from_slice(bytes)
            .map_err(|e| Error::new(Kind::Damaged, format!("unreadable snapshot: {e}")))?;
        Ok(())
    }
}

fn digest(change: &Change) -> Result<ContentDigest> {
    let bytes = Registry::command(change)?;
    Ok(Sha256::digest(bytes).into())
}
