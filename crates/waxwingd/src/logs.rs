//! Logging as the settings say, on standard error: standard output carries the
//! line with the addresses.

use anyhow::{Context, Result};
use conf::LogSettings;
use log::LevelFilter;
use logs::Settings;
use world::MachineName;

/// Starts logging.
pub fn start(settings: &LogSettings, machine: &MachineName) -> Result<()> {
    let mut targets = vec![("dropshot".into(), LevelFilter::Warn)];
    for (target, text) in &settings.targets {
        targets.push((target.clone(), level(text)?));
    }
    let settings = Settings {
        machine: machine.to_string(),
        level: level(&settings.level)?,
        targets,
    };
    logs::start(settings, std::io::stderr())?;
    Ok(())
}

fn level(text: &str) -> Result<LevelFilter> {
    text.parse()
        .with_context(|| format!("unknown log level {text:?}"))
}
