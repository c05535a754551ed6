//! A [`Disk`] that keeps its records in one file.
//!
//! The file is a sequence of frames, one for each batch, and starts with the
//! identity of the disk. A batch is appended and synced. A snapshot starts a
//! new file, which is synced and then renamed over the old one. Since a batch
//! is written only after the previous one is synced, an incomplete frame with
//! no complete frame after it is a write that a crash interrupted, and is
//! truncated; any other invalid frame is reported as damage.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use world::{Error, ErrorKind, Result};

use crate::disk::Disk;
use crate::frame;
use crate::message::DiskId;
use crate::record::{Record, Stored};

const LOG_FILE: &str = "log";
const NEW_LOG_FILE: &str = "log.new";
const LOCK_FILE: &str = "lock";

/// Storage in a folder, which a lock file reserves for one process.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    disk: DiskId,
    log: Option<File>,
    /// Set after a failed write: the content of the file is then unknown, and no
    /// further write is accepted until it has been read back.
    failed: bool,
    _lock: File,
}

impl FileDisk {
    /// Locks the folder for this process, and creates it if it doesn't exist.
    ///
    /// # Errors
    /// [`ErrorKind::Damaged`] when another process has locked the folder, or it can't be
    /// created.
    pub fn new(folder: &Path) -> Result<Self> {
        fs::create_dir_all(folder).map_err(|e| io_error(folder, &e))?;
        let path = folder.join(LOCK_FILE);
        let lock = File::create(&path).map_err(|e| io_error(&path, &e))?;
        lock.try_lock().map_err(|e| {
            let text = format!("{}: another process uses it: {e}", path.display());
            Error::new(ErrorKind::Damaged, text)
        })?;
        Ok(Self {
            folder: folder.into(),
            disk: DiskId(0),
            log: None,
            failed: false,
            _lock: lock,
        })
    }

    /// Creates the file of a new disk, with a random identity.
    fn create_log(&mut self) -> Result<Stored> {
        self.disk = DiskId(rand::random());
        self.replace_log(&[])?;
        Ok(Stored::new(self.disk))
    }

    /// Writes a new file with the identity and `records`, and renames it over the
    /// old one.
    fn replace_log(&mut self, records: &[Record]) -> Result<()> {
        let mut all = vec![Record::Identity(self.disk)];
        all.extend_from_slice(records);
        let path = self.folder.join(NEW_LOG_FILE);
        let bytes = frame::encode(&all)?;
        let log = create_file(&path, &bytes).map_err(|e| io_error(&path, &e))?;
        fs::rename(&path, self.folder.join(LOG_FILE)).map_err(|e| io_error(&path, &e))?;
        let synced = File::open(&self.folder).and_then(|f| f.sync_all());
        synced.map_err(|e| io_error(&self.folder, &e))?;
        self.log = Some(log);
        Ok(())
    }

    /// Appends the records as one frame and syncs the file.
    fn append_batch(&mut self, records: &[Record]) -> Result<()> {
        let path = self.folder.join(LOG_FILE);
        let Some(log) = &mut self.log else {
            let text = format!("{}: not loaded", path.display());
            return Err(Error::new(ErrorKind::Damaged, text));
        };
        let bytes = frame::encode(records)?;
        let written = log.write_all(&bytes).and_then(|()| log.sync_data());
        written.map_err(|e| io_error(&path, &e))
    }

    /// Appends the records. If they hold a snapshot, replaces the whole file by the
    /// records from the last snapshot on, since it makes all records before it obsolete.
    fn write_batch(&mut self, records: &[Record]) -> Result<()> {
        let is_snapshot = |r: &Record| matches!(r, Record::Snapshot(_));
        match records.iter().rposition(is_snapshot) {
            Some(at) => self.replace_log(&records[at..]),
            None => self.append_batch(records),
        }
    }
}

impl Disk for FileDisk {
    fn load(&mut self) -> Result<Stored> {
        let path = self.folder.join(LOG_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return self.create_log(),
            Err(e) => return Err(io_error(&path, &e)),
        };
        let (stored, end) = replay(&path, &bytes)?;
        let log = open_truncated(&path, end).map_err(|e| io_error(&path, &e))?;
        self.disk = stored.disk;
        self.log = Some(log);
        Ok(stored)
    }

    fn store(&mut self, records: &[Record]) -> Result<()> {
        if self.failed {
            let text = format!("{}: an earlier write failed", self.folder.display());
            return Err(Error::new(ErrorKind::Damaged, text));
        }
        let result = self.write_batch(records);
        self.failed = result.is_err();
        result
    }

    /// Copies the content to a new file. After a failed sync the pages of the old one
    /// may count as clean without being on the disk, so that another sync of it would
    /// prove nothing.
    fn recover(&mut self) -> Result<Stored> {
        self.log = None;
        let path = self.folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(|e| io_error(&path, &e))?;
        let (stored, _) = replay(&path, &bytes)?;
        if stored.disk != self.disk {
            let text = format!(
                "{}: disk {}, not {}",
                path.display(),
                stored.disk,
                self.disk
            );
            return Err(Error::new(ErrorKind::Damaged, text));
        }
        self.replace_log(&stored.records())?;
        self.failed = false;
        Ok(stored)
    }
}

/// Replays the frames; also returns the offset at which the last complete one
/// ends.
fn replay(path: &Path, bytes: &[u8]) -> Result<(Stored, usize)> {
    let mut stored = Stored::new(DiskId(0));
    let mut at = 0;
    while at < bytes.len() {
        let Some(payload) = frame::payload(&bytes[at..]) else {
            // A crash can't leave the first frame incomplete: the file was synced
            // before it was renamed into place.
            if at == 0 || frame::contains_frame(&bytes[at + 1..]) {
                return Err(damaged(path, at, "broken frame"));
            }
            log::warn!(
                "{}: truncated an incomplete write at byte {at}",
                path.display()
            );
            break;
        };
        let records: Vec<Record> = postcard::from_bytes(payload)
            .map_err(|e| damaged(path, at, &format!("unreadable records: {e}")))?;
        for record in records {
            stored.replay(record);
        }
        at += frame::len_bytes(payload);
    }
    if at == 0 {
        return Err(damaged(path, 0, "empty file"));
    }
    Ok((stored, at))
}

/// Opens the file for appending and truncates it to `end` bytes.
fn open_truncated(path: &Path, end: usize) -> io::Result<File> {
    let log = OpenOptions::new().append(true).open(path)?;
    log.set_len(end as u64)?;
    log.sync_all()?;
    Ok(log)
}

/// Creates a file with this content and syncs it. Removes an unfinished file
/// that an earlier crash has left, and its own if it can't be written.
fn create_file(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let _ = fs::remove_file(path);
    let mut options = OpenOptions::new();
    let mut file = options.append(true).create_new(true).open(path)?;
    let written = file.write_all(bytes).and_then(|()| file.sync_all());
    if written.is_err() {
        let _ = fs::remove_file(path);
    }
    written.map(|()| file)
}

fn damaged(path: &Path, at: usize, problem: &str) -> Error {
    let text = format!("{} at byte {at}: {problem}", path.display());
    Error::new(ErrorKind::Damaged, text)
}

fn io_error(path: &Path, error: &io::Error) -> Error {
    Error::new(ErrorKind::Damaged, format!("{}: {error}", path.display()))
}
