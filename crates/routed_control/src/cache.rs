//! Cache file of the known backend servers, loaded after a restart.
//!
//! It is used only until the servers announce themselves again, so an unreadable
//! file is ignored. Each write is synced to disk, because the file is also needed
//! after a power loss on all machines.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use discovery::ServerRow;

/// File name in the data directory.
const FILE_NAME: &str = "servers.cache";

/// Least time for which a server from the cache counts as warming up (cold),
/// milliseconds: until its next announcement reports its state.
const UNCONFIRMED_COLD_MS: u64 = 1_500;

/// The cache file in a data directory.
#[derive(Clone, Debug)]
pub struct Cache {
    dir: PathBuf,
    path: PathBuf,
}

impl Cache {
    /// Creates a handle to the cache file in `dir`; opens nothing.
    #[must_use]
    pub fn new(dir: &Path) -> Self {
        Self {
            dir: dir.to_path_buf(),
            path: dir.join(FILE_NAME),
        }
    }

    /// Replaces the file's content by `servers`, atomically.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn save(&self, servers: &[ServerRow]) -> Result<()> {
        let rows = postcard::to_stdvec(servers)?;
        let mut bytes = crc32fast::hash(&rows).to_le_bytes().to_vec();
        bytes.extend_from_slice(&rows);
        let new = self.path.with_extension("new");
        let written = File::create(&new).and_then(|mut file| {
            file.write_all(&bytes)?;
            file.sync_all()
        });
        written.with_context(|| format!("failed to write {}", new.display()))?;
        fs::rename(&new, &self.path)?;
        File::open(&self.dir)?.sync_all()?;
        Ok(())
    }

    /// Returns the servers of the last save. Each counts as cold for at least
    /// [`UNCONFIRMED_COLD_MS`] and has sequence number 0, so that any announcement of it is newer.
    ///
    /// # Errors
    /// When the file is missing, damaged or in another format.
    pub fn load(&self) -> Result<Vec<ServerRow>> {
        let bytes = fs::read(&self.path)?;
        let (sum, rows) = bytes.split_at_checked(4).context("the file is too short")?;
        ensure!(
            sum == crc32fast::hash(rows).to_le_bytes(),
            "checksum mismatch"
        );
        let mut servers: Vec<ServerRow> = postcard::from_bytes(rows)?;
        for row in &mut servers {
            row.cold_ms = row.cold_ms.max(UNCONFIRMED_COLD_MS);
            row.sequence = 0;
        }
        Ok(servers)
    }
}
