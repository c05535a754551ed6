//! Structured logs: one line an event, key and value, on standard error.

use std::fmt::Write as _;

use anyhow::{Context, Result};
use conf::LogSettings;
use fern::Dispatch;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use world::MachineName;

/// Starts logging as the settings say.
pub fn start(settings: &LogSettings, machine: &MachineName) -> Result<()> {
    let machine = machine.clone();
    let mut dispatch = Dispatch::new()
        .level(level(&settings.level)?)
        .level_for("dropshot", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(&machine, message, record)));
        })
        .chain(std::io::stderr());
    for (target, text) in &settings.targets {
        dispatch = dispatch.level_for(target.clone(), level(text)?);
    }
    dispatch.apply().context("could not start logging")
}

fn level(text: &str) -> Result<LevelFilter> {
    text.parse()
        .with_context(|| format!("unknown log level {text:?}"))
}

fn line(machine: &MachineName, message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut pairs = Pairs(String::new());
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
        if !text.is_empty() && text.bytes().all(plain) {
            let _ = write!(self.0, " {key}={text}");
        } else {
            let _ = write!(self.0, " {key}={text:?}");
        }
        Ok(())
    }
}
