//! Cases of the third review: each runs a small deployment of the project's own programs
//! with stand-in servers, clients and operators, and checks a rule.
//!
//! `standins CASE RECORD` writes the record of the run to a file. It exits with 1 if the
//! rule was broken, with 0 if it held and with 2 if the case could not run. `TROUBLE=0`
//! leaves the disruption out.

mod cases;
mod http;
mod record;
mod server;
mod site;

use std::env;
use std::io;
use std::panic;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn run() -> io::Result<Option<String>> {
    let usage = || io::Error::other("usage: standins CASE RECORD");
    let mut args = env::args().skip(1);
    let (case, path) = (
        args.next().ok_or_else(usage)?,
        args.next().ok_or_else(usage)?,
    );
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&path)?);
    record.line(&format!("case {case}, disruption: {trouble}"));
    let broken = match case.as_str() {
        "chunked-uploads" => cases::chunked_uploads::run(&record, trouble)?,
        "false-promise" => cases::false_promise::run(&record, trouble)?,
        "invalid-call" => cases::invalid_call::run(&record, trouble)?,
        "host-letters" => cases::host_letters::run(&record, trouble)?,
        _ => return Err(usage()),
    };
    record.line(broken.as_deref().unwrap_or("the rule held"));
    Ok(broken)
}

fn main() -> ExitCode {
    // A panic is no verdict on the rule.
    let ended = panic::catch_unwind(run);
    match ended.unwrap_or_else(|_| Err(io::Error::other("the stand-ins failed"))) {
        Ok(None) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            println!("{broken}");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
