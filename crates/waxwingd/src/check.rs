//! `--check`: reads the settings and names every mistake.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};
use conf::{Settings, parse_settings};

/// Reads and checks the settings at `path`.
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

/// Checks the settings at `path` and says that they are good.
pub fn run(path: &Path) -> Result<()> {
    let settings = load(path)?;
    println!("{}: settings of {} are good", path.display(), settings.name);
    Ok(())
}
