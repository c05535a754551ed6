//! Record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{at:8.3} s  {text}").expect("the record is written");
    }
}
