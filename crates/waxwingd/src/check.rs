//! Reads the settings file and reports all its mistakes; implements `--check`.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};
use conf::{Settings, parse_settings};

/// Reads and validates the settings file at `path`.
pub fn load(path: &Path) -> Result<Settings> {
    let text =
        fs::read_to_string(path).with_context(|| format!("could not open {}", path.display()))?;
    match parse_settings(&path.display().to_string(), &text) {
        Ok(settings) => Ok(settings),
        Err(faults) => bail!(
            "the settings have {} mistakes\n{faults}",
            faults.faults.len()
        ),
    }
}

/// Validates the settings file at `path` and prints that it has no mistakes.
pub fn run(path: &Path) -> Result<()> {
    let settings = load(path)?;
    println!("{}: settings of {} are good", path.display(), settings.name);
    Ok(())
}
