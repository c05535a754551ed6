//! Structured logging: one line of `key=value` pairs per event.
//!
//! A separate thread writes the lines, which it receives through a bounded queue,
//! so that a blocked output doesn't block the threads that log. When the queue is
//! full, lines are dropped and counted.

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

/// Capacity of the queue in lines: about 1 MiB at 250 bytes per line.
const QUEUE_MAX_LINES: usize = 4_096;

/// Settings of the logger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this machine, written on every line.
    pub machine: String,
    /// Level of all targets that are not in `targets`.
    pub level: LevelFilter,
    /// Levels by log target.
    pub targets: Vec<(String, LevelFilter)>,
}

/// Counter of lines that were dropped because the queue was full or the writer had stopped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Number of lines dropped since logging started.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts logging to `out`.
///
/// # Errors
/// If logging was started before, or the writer thread can't be started.
pub fn start<W: Write + Send + 'static>(settings: Settings, out: W) -> Result<DroppedLines> {
    let (lines, queue) = sync_channel(QUEUE_MAX_LINES);
    thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_lines(&queue, out))
        .context("could not start the thread that writes logs")?;
    let dropped = DroppedLines::default();
    let counter = dropped.clone();
    let machine = settings.machine;
    let mut dispatch = Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", format_line(&machine, message, record)));
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

fn enqueue(lines: &SyncSender<String>, line: &Arguments<'_>, dropped: &DroppedLines) {
    if lines.try_send(format!("{line}\n")).is_err() {
        dropped.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes queued lines to `out` and flushes whenever the queue is empty. Returns when a write
/// fails or all senders are dropped.
fn write_lines<W: Write>(queue: &Receiver<String>, out: W) {
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

/// Formats an event as a line without newline.
#[must_use]
pub fn format_line(machine: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut pairs = PairWriter(String::new());
    // Writing to a `String` can't fail.
    let _ = record.key_values().visit(&mut pairs);
    format!(
        "level={} machine={machine} target={} event={:?}{}",
        record.level().as_str().to_lowercase(),
        record.target(),
        message.to_string(),
        pairs.0
    )
}

/// Appends ` key=value` pairs to a string. A value that is empty or has a space, a quote, `=`, a
/// control character or a non-ASCII character is quoted.
struct PairWriter(String);

impl<'kvs> VisitSource<'kvs> for PairWriter {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let is_plain = |b: u8| b.is_ascii_graphic() && b != b'"' && b != b'=';
        let written = if !text.is_empty() && text.bytes().all(is_plain) {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(|_| Error::msg("could not write a key-value pair"))
    }
}
