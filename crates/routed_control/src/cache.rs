//! Backend servers as they were known before a restart.
//!
//! The file only bridges the time until the servers announce themselves again,
//! so one that can't be read is left aside. It is synced, since the time after
//! all machines lost power is one that it has to bridge.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use discovery::ServerRow;

/// Name of the file in the data folder.
const FILE: &str = "servers.cache";

/// How long a server counts as cold that is known from before a restart,
/// milliseconds: until its next announcement tells how it stands.
const DOUBT_MS: u64 = 1_500;

/// The file.
#[derive(Clone, Debug)]
pub struct Cache {
    dir: PathBuf,
    path: PathBuf,
}

impl Cache {
    /// The file in this folder.
    #[must_use]
    pub fn new(dir: &Path) -> Self {
        Self {
            dir: dir.to_path_buf(),
            path: dir.join(FILE),
        }
    }

    /// Writes the servers in place of those before.
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
        written.with_context(|| format!("could not write {}", new.display()))?;
        fs::rename(&new, &self.path)?;
        File::open(&self.dir)?.sync_all()?;
        Ok(())
    }

    /// The servers that were saved last, each in doubt and at the very
    /// beginning of its announcements, so that any announcement replaces it.
    ///
    /// # Errors
    /// When the file is missing, torn or of another version.
    pub fn load(&self) -> Result<Vec<ServerRow>> {
        let bytes = fs::read(&self.path)?;
        let (sum, rows) = bytes.split_at_checked(4).context("the file is too short")?;
        ensure!(
            sum == crc32fast::hash(rows).to_le_bytes(),
            "the file is torn"
        );
        let mut servers: Vec<ServerRow> = postcard::from_bytes(rows)?;
        for row in &mut servers {
            row.cold_ms = row.cold_ms.max(DOUBT_MS);
            row.sequence = 0;
        }
        Ok(servers)
    }
}
