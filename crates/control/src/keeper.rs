//! The accepted configuration and the outcomes of changes, on a disk.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};
use world::{Change, ChangeId, Config, Error, Kind, Rank, Ranked};

const FILE: &str = "config.json";
const FILE_NEW: &str = "config.json.new";

/// What is kept on the disk.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Kept {
    config: Config,
    accepted: BTreeMap<ChangeId, Accepted>,
}

/// A change that was accepted.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Accepted {
    change: Change,
    version: u64,
}

/// The configuration in force and its place on the disk.
pub struct Keeper {
    dir: PathBuf,
    kept: Ranked<Arc<Kept>>,
}

impl Keeper {
    /// Opens the folder, making it if there is none.
    ///
    /// # Errors
    /// When the folder or the file in it can't be read.
    pub fn open(dir: PathBuf) -> Result<Self> {
        fs::create_dir_all(&dir).with_context(|| format!("could not make {}", dir.display()))?;
        let path = dir.join(FILE);
        let kept = match fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes)
                .with_context(|| format!("could not read {}", path.display()))?,
            Err(error) if error.kind() == ErrorKind::NotFound => Kept::default(),
            Err(error) => {
                return Err(error).with_context(|| format!("could not open {}", path.display()));
            }
        };
        Ok(Self {
            dir,
            kept: Ranked::new(Rank::Log, Arc::new(kept)),
        })
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Config {
        self.kept.lock().config.clone()
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.kept.lock().config.version
    }

    /// Accepts a change once it is on the disk; gives its version. Blocks.
    ///
    /// # Errors
    /// [`Kind::Conflict`], [`Kind::ChangeIdReused`], [`Kind::BadLists`], or
    /// [`Kind::Internal`] when the disk fails.
    pub fn accept(&self, change: &Change) -> world::Result<u64> {
        let mut kept = self.kept.lock();
        if let Some(first) = kept.accepted.get(&change.id) {
            return first.answer_again(change);
        }
        let config = kept.config.with_change(change)?;
        let version = config.version;
        let mut next = Kept {
            config,
            accepted: kept.accepted.clone(),
        };
        let accepted = Accepted {
            change: change.clone(),
            version,
        };
        next.accepted.insert(change.id.clone(), accepted);
        self.write(&next)
            .map_err(|error| Error::new(Kind::Internal, format!("{error:#}")))?;
        *kept = Arc::new(next);
        Ok(version)
    }

    fn write(&self, kept: &Kept) -> Result<()> {
        let path = self.dir.join(FILE_NEW);
        let mut file = File::create(&path)?;
        file.write_all(&serde_json::to_vec(kept)?)?;
        file.sync_all()?;
        fs::rename(&path, self.dir.join(FILE))?;
        File::open(&self.dir)?.sync_all()?;
        Ok(())
    }
}

impl Accepted {
    fn answer_again(&self, change: &Change) -> world::Result<u64> {
        if self.change == *change {
            return Ok(self.version);
        }
        Err(Error::new(
            Kind::ChangeIdReused,
            format!("change id {} was used for another change", change.id),
        ))
    }
}
