//! `waxwingctl load`: sends requests at a fixed rate and measures the responses.

use lexopt::prelude::*;
use world::ServiceName;

use super::options::{Options, read_file};
use super::{Outcome, print_json};
use crate::failure::{Failure, FailureKind};
use crate::load::{DURATION_MAX, Profile, RATE_MAX_PER_S, Stream, run as run_profile};

/// Default length of a run, seconds.
const DEFAULT_DURATION_S: f64 = 10.0;

/// Default seed.
const DEFAULT_SEED: u64 = 1;

/// Default deadline, milliseconds after a request is due.
const DEFAULT_DEADLINE_MS: u64 = 1_000;

const HELP: &str = "\
Send requests at a set rate and measure the answers

Usage: waxwingctl load --entry ADDR --key-file FILE --stream SERVICE=RATE... [OPTIONS]
       waxwingctl load --profile FILE [--json]

Requests start at set times however long answers take, and latency counts from
those times. Every answer is checked to belong to its request.

Options:
  --entry ADDR            Desk of an entry VM to ask for look-ups; may be given
                          more than once
  --key-file FILE         File with customers' keys, one a line; each request
                          takes one of them
  --stream SERVICE=RATE   Requests a second for a service; may be given more
                          than once, also as SERVICE/PATH=RATE
  --operations SERVICE=RATE
                          The same as operations with an idempotency key each
  --deadline-ms N         Time that a caller waits [1000]
  --seconds N             Length of the run, at most 600 [10]
  --seed N                Seed of arrivals and customers [1]
  --client IP             Client that look-ups are for, a caller of its own; may
                          be given more than once [this machine]
  --profile FILE          The whole run as JSON in place of the options above
  --json                  Print the report as JSON

Exits with 1 when a request got no good answer.
";

/// Arguments that describe the run.
struct LoadArgs {
    profile: Profile,
    key_file: Option<String>,
    profile_file: Option<String>,
    deadline_ms: u64,
}

/// Runs the subcommand.
///
/// # Errors
/// Wrong usage, a file can't be read, or a request got no good response.
pub async fn run(mut args: lexopt::Parser) -> Outcome {
    let mut options = Options::new("load");
    let mut load_args = LoadArgs {
        profile: Profile::new(Vec::new(), DEFAULT_DURATION_S, DEFAULT_SEED),
        key_file: None,
        profile_file: None,
        deadline_ms: DEFAULT_DEADLINE_MS,
    };
    while let Some(arg) = options.next(&mut args)? {
        match arg {
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Long(name) => {
                let name = name.to_owned();
                load_args.parse_option(&name, &mut options, &mut args)?;
            }
            Short(_) | Value(_) => return Err(options.usage_error(arg.unexpected())),
        }
    }
    let profile = load_args.into_profile(&options)?;
    let report = run_profile(&profile).await;
    if options.json {
        print_json(&report);
    } else {
        print!("{}", report.to_table());
    }
    let failed: u64 = report.rows.iter().map(|row| row.due - row.good).sum();
    if failed == 0 {
        return Ok(());
    }
    let text = format!("{failed} requests got no good answer");
    Err(Failure::new(
        FailureKind::Failed,
        text,
        "the column `others` says why",
    ))
}

impl LoadArgs {
    /// Parses an option of this subcommand or a shared one.
    fn parse_option(
        &mut self,
        name: &str,
        options: &mut Options,
        args: &mut lexopt::Parser,
    ) -> Result<(), Failure> {
        match name {
            "key-file" => self.key_file = Some(options.value(args)?),
            "profile" => self.profile_file = Some(options.value(args)?),
            "deadline-ms" => self.deadline_ms = options.value(args)?,
            "seconds" => self.profile.duration_s = options.value(args)?,
            "seed" => self.profile.seed = options.value(args)?,
            "client" => self.profile.clients.push(options.value(args)?),
            "stream" | "operations" => {
                let text: String = options.value(args)?;
                let stream = parse_stream(&text).map_err(|e| options.usage_error(e))?;
                let stream = if name == "operations" {
                    stream.with_operations()
                } else {
                    stream
                };
                self.profile.streams.push(stream);
            }
            other => options.parse_shared(other, args)?,
        }
        Ok(())
    }

    /// Returns the profile of the run: that of `--profile`, or one made from the
    /// other options.
    fn into_profile(mut self, options: &Options) -> Result<Profile, Failure> {
        if let Some(file) = &self.profile_file {
            let text = read_file(file)?;
            self.profile = serde_json::from_str(&text)
                .map_err(|e| options.usage_error(format!("could not read {file}: {e}")))?;
        } else {
            let Some(file) = &self.key_file else {
                return Err(options.usage_error("--key-file is missing"));
            };
            let text = read_file(file)?;
            let keys: Vec<String> = text.lines().map(|l| l.trim().to_owned()).collect();
            for stream in &mut self.profile.streams {
                stream.keys.clone_from(&keys);
                stream.deadline_ms = self.deadline_ms;
            }
            self.profile.desks.clone_from(&options.entries);
        }
        check_profile(&self.profile).map_err(|e| options.usage_error(e))?;
        Ok(self.profile)
    }
}

/// Parses `SERVICE=RATE` or `SERVICE/PATH=RATE`.
fn parse_stream(text: &str) -> Result<Stream, String> {
    let syntax = "expected SERVICE=RATE or SERVICE/PATH=RATE";
    let (target, rate) = text.rsplit_once('=').ok_or(syntax)?;
    let rate_per_s = rate
        .parse()
        .map_err(|_| format!("{syntax}, found rate {rate:?}"))?;
    let (service, path) = target.split_once('/').unwrap_or((target, ""));
    let service: ServiceName = service.parse().map_err(|e: world::Error| e.detail)?;
    Ok(Stream::new(service, rate_per_s, Vec::new()).with_path(target, &format!("/{path}")))
}

/// Checks that a profile is complete and within the limits of a run.
fn check_profile(profile: &Profile) -> Result<(), String> {
    if profile.desks.is_empty() {
        return Err("--entry is missing".into());
    }
    if profile.streams.is_empty() {
        return Err("--stream or --operations is missing".into());
    }
    let max_s = DURATION_MAX.as_secs_f64();
    if !(profile.duration_s > 0.0 && profile.duration_s <= max_s) {
        return Err(format!("--seconds must be above 0 and at most {max_s}"));
    }
    let is_valid = |rate: f64| rate > 0.0 && rate <= RATE_MAX_PER_S;
    if profile.streams.iter().all(|s| is_valid(s.rate_per_s)) {
        return Ok(());
    }
    Err(format!(
        "a rate must be above 0 and at most {RATE_MAX_PER_S}"
    ))
}
