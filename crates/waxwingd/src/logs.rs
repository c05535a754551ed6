//! Starts logging with the levels of the settings. Logs go to standard error,
//! because standard output is reserved for the line with the addresses.

use anyhow::{Context, Result};
use conf::LogSettings;
use log::LevelFilter;
use logs::Settings;
use world::MachineName;

/// Starts logging with the levels of the settings; dropshot logs only warnings
/// and errors unless the settings name it.
pub fn start(settings: &LogSettings, machine: &MachineName) -> Result<()> {
    let mut targets = vec![("dropshot".into(), LevelFilter::Warn)];
    for (target, text) in &settings.targets {
        targets.push((target.clone(), parse_level(text)?));
    }
    let settings = Settings {
        machine: machine.to_string(),
        level: parse_level(&settings.level)?,
        targets,
    };
    logs::start(settings, std::io::stderr())?;
    Ok(())
}

fn parse_level(text: &str) -> Result<LevelFilter> {
    text.parse()
        .with_context(|| format!("unknown log level {text:?}"))
}
