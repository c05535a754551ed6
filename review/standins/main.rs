//! Stand-ins for the platform, operators, clients and backend servers, and the cases
//! that use them: `standins CASE RECORD`. Exit code 0: the rule held; 1: it was broken;
//! 2: the case could not run. `TROUBLE=0` runs a case without its disruption.

mod http;
mod log_growth;
mod operator;
mod platform;
mod record;
mod replaced;
mod server;
mod uploads;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::{env, fs};

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(case, Path::new(path), trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(path)?);
    let dir = env::temp_dir().join(format!("waxwing-review-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    record.line(&format!("case {case}, disruption: {trouble}"));
    let result = match case {
        "log-growth" => log_growth::run(&dir, &record, trouble),
        "replaced" => replaced::run(&dir, &record, trouble),
        "uploads" => uploads::run(&dir, &record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match &result {
        Ok(Verdict::Held) => record.line("the rule held"),
        Ok(Verdict::Broken) => record.line("the rule was broken"),
        Err(error) => record.line(&format!("the case could not run: {error}")),
    }
    if env::var_os("KEEP").is_none() {
        fs::remove_dir_all(&dir)?;
    }
    result
}
