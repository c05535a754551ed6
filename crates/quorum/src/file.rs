//! A [`Disk`] in one file of a folder.
//!
//! The file is a row of frames, one for each batch, and begins with the
//! identity of the disk. A batch is appended and synced. A snapshot begins a
//! new file, which is synced and then renamed over the old one. Since a batch
//! is written only after the one before it is synced, a broken frame with
//! nothing whole after it is a write that a crash cut short, and is dropped;
//! any other broken frame is damage.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use world::{Error, Kind, Result};

use crate::disk::Disk;
use crate::frame;
use crate::message::DiskId;
use crate::record::{Record, Stored};

const LOG_FILE: &str = "log";
const NEW_FILE: &str = "log.new";
const LOCK_FILE: &str = "lock";

/// Storage in a folder that one process at a time may use.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    disk: DiskId,
    log: Option<File>,
    failed: bool,
    _lock: File,
}

impl FileDisk {
    /// Takes the folder for this process, making it where needed.
    ///
    /// # Errors
    /// [`Kind::Damaged`] when another process has it or it can't be made.
    pub fn new(folder: &Path) -> Result<Self> {
        fs::create_dir_all(folder).map_err(|e| fault(folder, &e))?;
        let path = folder.join(LOCK_FILE);
        let lock = File::create(&path).map_err(|e| fault(&path, &e))?;
        lock.try_lock().map_err(|e| {
            let text = format!("{}: another process uses it: {e}", path.display());
            Error::new(Kind::Damaged, text)
        })?;
        Ok(Self {
            folder: folder.into(),
            disk: DiskId(0),
            log: None,
            failed: false,
            _lock: lock,
        })
    }

    fn create(&mut self) -> Result<Stored> {
        self.disk = DiskId(rand::random());
        self.replace(&[])?;
        Ok(Stored::new(self.disk))
    }

    /// Writes a new file with the identity and `records`, and puts it in place.
    fn replace(&mut self, records: &[Record]) -> Result<()> {
        let mut all = vec![Record::Identity(self.disk)];
        all.extend_from_slice(records);
        let path = self.folder.join(NEW_FILE);
        let bytes = frame::encode(&all)?;
        let log = write_new(&path, &bytes).map_err(|e| fault(&path, &e))?;
        fs::rename(&path, self.folder.join(LOG_FILE)).map_err(|e| fault(&path, &e))?;
        let synced = File::open(&self.folder).and_then(|f| f.sync_all());
        synced.map_err(|e| fault(&self.folder, &e))?;
        self.log = Some(log);
        Ok(())
    }

    fn append(&mut self, records: &[Record]) -> Result<()> {
        let path = self.folder.join(LOG_FILE);
        let Some(log) = &mut self.log else {
            let text = format!("{}: not loaded", path.display());
            return Err(Error::new(Kind::Damaged, text));
        };
        let bytes = frame::encode(records)?;
        let written = log.write_all(&bytes).and_then(|()| log.sync_data());
        written.map_err(|e| fault(&path, &e))
    }

    fn write(&mut self, records: &[Record]) -> Result<()> {
        let is_snapshot = |r: &Record| matches!(r, Record::Snapshot(_));
        match records.iter().rposition(is_snapshot) {
            Some(at) => self.replace(&records[at..]),
            None => self.append(records),
        }
    }
}

impl Disk for FileDisk {
    fn load(&mut self) -> Result<Stored> {
        let path = self.folder.join(LOG_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return self.create(),
            Err(e) => return Err(fault(&path, &e)),
        };
        let (stored, end) = replay(&path, &bytes)?;
        let log = open_at(&path, end).map_err(|e| fault(&path, &e))?;
        self.disk = stored.disk;
        self.log = Some(log);
        Ok(stored)
    }

    fn store(&mut self, records: &[Record]) -> Result<()> {
        if self.failed {
            let text = format!("{}: an earlier write failed", self.folder.display());
            return Err(Error::new(Kind::Damaged, text));
        }
        let result = self.write(records);
        self.failed = result.is_err();
        result
    }
}

/// What the frames hold, and where the last whole one ends.
fn replay(path: &Path, bytes: &[u8]) -> Result<(Stored, usize)> {
    let mut stored = Stored::new(DiskId(0));
    let mut at = 0;
    while at < bytes.len() {
        let Some(payload) = frame::payload(&bytes[at..]) else {
            // The first frame was whole before the file got its name.
            if at == 0 || frame::any_whole(&bytes[at + 1..]) {
                return Err(damaged(path, at, "broken frame"));
            }
            log::warn!("{}: cut at byte {at}, an unfinished write", path.display());
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

fn open_at(path: &Path, end: usize) -> io::Result<File> {
    let log = OpenOptions::new().append(true).open(path)?;
    log.set_len(end as u64)?;
    log.sync_all()?;
    Ok(log)
}

fn write_new(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let _ = fs::remove_file(path);
    let mut options = OpenOptions::new();
    let mut file = options.append(true).create_new(true).open(path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    Ok(file)
}

fn damaged(path: &Path, at: usize, what: &str) -> Error {
    let text = format!("{} at byte {at}: {what}", path.display());
    Error::new(Kind::Damaged, text)
}

fn fault(path: &Path, error: &io::Error) -> Error {
    Error::new(Kind::Damaged, format!("{}: {error}", path.display()))
}
