//! Structured logs: one line an event, key and value.
//!
//! Lines go through a bounded queue to a thread of their own, so a reader that
//! has stopped holds up nobody. Lines that find the queue full are dropped and
//! counted.

use std::fmt::{Arguments, Write as _};
use std::io::{BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use anyhow::{Context, Result};
use fern::{Dispatch, Output};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

/// Lines that may wait to be written: about 1 MiB at 250 bytes a line.
const QUEUE_MAX: usize = 4_096;

/// What is logged.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this machine, on every line.
    pub machine: String,
    /// Least level that is logged.
    pub level: LevelFilter,
    /// Levels of single targets.
    pub targets: Vec<(String, LevelFilter)>,
}

/// Lines that were dropped because the queue was full.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Their number since the start.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts logging to `out`.
///
/// # Errors
/// When logging was started before, or the thread can't be started.
pub fn start<W: Write + Send + 'static>(settings: Settings, out: W) -> Result<Dropped> {
    let (lines, queue) = sync_channel(QUEUE_MAX);
    thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_on(&queue, out))
        .context("could not start the thread that writes logs")?;
    let dropped = Dropped::default();
    let counter = dropped.clone();
    let machine = settings.machine;
    let mut dispatch = Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(&machine, message, record)));
        })
        .chain(Output::call(move |record| {
            enqueue(&lines, record.args(), &counter);
        }));
    for (target, level) in settings.targets {
        dispatch = dispatch.level_for(target, level);
    }
    dispatch.apply().context("could not start logging")?;
    Ok(dropped)
}

fn enqueue(lines: &SyncSender<String>, line: &Arguments<'_>, dropped: &Dropped) {
    if lines.try_send(format!("{line}\n")).is_err() {
        dropped.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes what waits in one go. Ends when the reader is gone.
fn write_on<W: Write>(queue: &Receiver<String>, out: W) {
    let mut out = BufWriter::new(out);
    while let Ok(first) = queue.recv() {
        let mut written = out.write_all(first.as_bytes());
        while let (Ok(()), Ok(next)) = (&written, queue.try_recv()) {
            written = out.write_all(next.as_bytes());
        }
        if written.and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// One event as a line.
#[must_use]
pub fn line(machine: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut pairs = Pairs(String::new());
    // Writing to a string does not fail.
    let _ = record.key_values().visit(&mut pairs);
    format!(
        "level={} machine={machine} target={} event={:?}{}",
        record.level().as_str().to_lowercase(),
        record.target(),
        message.to_string(),
        pairs.0
    )
}

struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let plain = |b: u8| b.is_ascii_graphic() && b != b'"' && b != b'=';
        let written = if !text.is_empty() && text.bytes().all(plain) {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(|_| Error::msg("a pair could not be written"))
    }
}
