//! Cache file of the known backend servers, of the findings about them and of the entry
//! VMs, loaded after a restart.
//!
//! Servers and entry VMs are used only until they announce themselves again, and the entry
//! VMs that hold a finding report it again, so an unreadable file is ignored. Each write is
//! synced to disk, because the file is also needed after a power loss on all machines.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use discovery::{EntryRow, Finding, ServerRow};
use serde::de::DeserializeOwned;

/// File name in the data directory.
const FILE_NAME: &str = "servers.cache";

/// Least time for which a server from the cache counts as warming up (cold),
/// milliseconds: until its next announcement reports its state.
const UNCONFIRMED_COLD_MS: u64 = 1_500;

/// Content of the cache file.
#[derive(Clone, Debug, Default)]
pub struct CachedRows {
    /// Known backend servers.
    pub servers: Vec<ServerRow>,
    /// Findings that still count; empty in a file of an earlier version.
    pub findings: Vec<Finding>,
    /// Entry VMs that clients may use; empty in a file of an earlier version.
    pub entries: Vec<EntryRow>,
}

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

    /// Replaces the file's content by `rows`, atomically.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn save(&self, rows: &CachedRows) -> Result<()> {
        let CachedRows {
            servers,
            findings,
            entries,
        } = rows;
        let rows = postcard::to_stdvec(&(servers, findings, entries))?;
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

    /// Returns the rows of the last save. Each server counts as cold for at least
    /// [`UNCONFIRMED_COLD_MS`]. Servers and entry VMs have sequence number 0, so that any
    /// announcement of theirs is newer.
    ///
    /// # Errors
    /// When the file is missing, damaged or in another format.
    pub fn load(&self) -> Result<CachedRows> {
        let bytes = fs::read(&self.path)?;
        let (sum, rows) = bytes.split_at_checked(4).context("the file is too short")?;
        ensure!(
            sum == crc32fast::hash(rows).to_le_bytes(),
            "checksum mismatch"
        );
        let (mut servers, rest) = postcard::take_from_bytes::<Vec<ServerRow>>(rows)?;
        let (findings, rest) = take_list::<Finding>(rest)?;
        let (mut entries, _) = take_list::<EntryRow>(rest)?;
        for row in &mut entries {
            row.sequence = 0;
        }
        for row in &mut servers {
            row.cold_ms = row.cold_ms.max(UNCONFIRMED_COLD_MS);
            row.sequence = 0;
        }
        Ok(CachedRows {
            servers,
            findings,
            entries,
        })
    }
}

/// Reads a list; it is empty if the file, of an earlier version, ends before it.
fn take_list<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<(Vec<T>, &[u8])> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
