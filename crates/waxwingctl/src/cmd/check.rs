//! `waxwingctl check`: reports every mistake in settings files and lists.

use conf::{Faults, parse_customers, parse_lists, parse_plans, parse_settings};
use lexopt::prelude::*;
use serde::Serialize;

use super::options::{Options, read_file};
use super::{Outcome, print_json};
use crate::failure::{Failure, FailureKind};

const HELP: &str = "\
Check settings files and lists, naming every mistake

Usage: waxwingctl check [OPTIONS] FILE...

A file with a field `customers` is the first list, one with `services` or
`plans` the second, any other a settings file. When one of each list is named,
they are checked against each other too.

Options:
  --json  Print the mistakes as JSON
";

/// Kind of an input file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FileKind {
    Customers,
    Plans,
    Settings,
}

/// A mistake, as it is printed with `--json`.
#[derive(Debug, Serialize)]
struct Mistake<'a> {
    file: &'a str,
    line: usize,
    column: usize,
    field: &'a str,
    text: &'a str,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, a file can't be read, or mistakes were found.
pub fn run(mut args: lexopt::Parser) -> Outcome {
    let mut options = Options::new("check");
    let mut files = Vec::new();
    while let Some(arg) = options.next(&mut args)? {
        match arg {
            Value(file) => files.push(file.to_string_lossy().into_owned()),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Long(name) => {
                let name = name.to_owned();
                options.parse_shared(&name, &mut args)?;
            }
            Short(_) => return Err(options.usage_error(arg.unexpected())),
        }
    }
    if files.is_empty() {
        return Err(options.usage_error("no file was named"));
    }
    let texts = files.iter().map(|f| read_file(f));
    let texts = texts.collect::<Result<Vec<_>, _>>()?;
    let pairs: Vec<_> = files
        .iter()
        .map(String::as_str)
        .zip(texts.iter().map(String::as_str))
        .collect();
    let found = find_mistakes(&pairs);
    report(&found, files.len(), options.json)
}

/// Finds every mistake in these files, given as pairs of name and text.
fn find_mistakes(files: &[(&str, &str)]) -> Vec<Faults> {
    let of_kind = |kind| {
        files
            .iter()
            .copied()
            .filter(move |f| detect_kind(f.1) == kind)
    };
    let customers: Vec<_> = of_kind(FileKind::Customers).collect();
    let plans: Vec<_> = of_kind(FileKind::Plans).collect();
    let mut found: Vec<Faults> = of_kind(FileKind::Settings)
        .filter_map(|(file, text)| parse_settings(file, text).err())
        .collect();
    if let ([customers], [plans]) = (customers.as_slice(), plans.as_slice()) {
        found.extend(parse_lists(*customers, *plans).err().unwrap_or_default());
        return found;
    }
    found.extend(
        customers
            .iter()
            .filter_map(|f| parse_customers(f.0, f.1).err()),
    );
    found.extend(plans.iter().filter_map(|f| parse_plans(f.0, f.1).err()));
    found
}

/// Detects the kind of a file by searching its text for field names, so that a
/// file with syntax errors has a kind too.
fn detect_kind(text: &str) -> FileKind {
    if text.contains("\"customers\"") {
        return FileKind::Customers;
    }
    if text.contains("\"services\"") || text.contains("\"plans\"") {
        return FileKind::Plans;
    }
    FileKind::Settings
}

/// Prints the mistakes; any mistake is a failure.
fn report(found: &[Faults], files: usize, json: bool) -> Outcome {
    let count: usize = found.iter().map(|f| f.faults.len()).sum();
    if json {
        let all = found.iter().flat_map(|f| {
            f.faults.iter().map(|fault| Mistake {
                file: &f.file,
                line: fault.line,
                column: fault.column,
                field: &fault.field,
                text: &fault.text,
            })
        });
        print_json(&all.collect::<Vec<_>>());
    } else {
        for faults in found {
            println!("{faults}");
        }
    }
    if count == 0 {
        if !json {
            println!("{files} files checked, no mistakes");
        }
        return Ok(());
    }
    let text = format!("{count} mistakes found");
    Err(Failure::new(
        FailureKind::Failed,
        text,
        "mend them and check again",
    ))
}
