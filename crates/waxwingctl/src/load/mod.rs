//! An open-loop load generator: requests are due at times that don't depend on
//! earlier responses, and latency is measured from those times.

mod client;
mod lookup_cache;
mod pool;
mod profile;
mod tally;

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use client::{Clients, LoadRequest};
pub use client::{GoodResponse, Outcome};
pub use profile::{Profile, Stream};
use tally::Tally;
pub use tally::{Report, Row, ms_text};

/// Maximum number of requests of a stream in flight; further ones are not sent.
const IN_FLIGHT_MAX: usize = 20_000;

/// Maximum length of a run.
pub const DURATION_MAX: Duration = Duration::from_secs(600);

/// Maximum rate of one stream, requests per second.
pub const RATE_MAX_PER_S: f64 = 20_000.0;

/// Runs all streams of a profile and returns the report.
pub async fn run(profile: &Profile) -> Report {
    let clients = Arc::new(Clients::new(profile));
    let start = Instant::now();
    let mut streams = JoinSet::new();
    for (index, stream) in profile.streams.iter().enumerate() {
        let seed = profile.seed.wrapping_add(index as u64);
        let duration = profile.duration().min(DURATION_MAX);
        streams.spawn(run_stream(
            Arc::clone(&clients),
            stream.clone(),
            seed,
            start,
            duration,
        ));
    }
    let mut rows = streams.join_all().await;
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    Report::new(profile, rows, start.elapsed())
}

/// Sends every request of one stream when it is due and counts the outcomes.
async fn run_stream(
    clients: Arc<Clients>,
    stream: Stream,
    seed: u64,
    start: Instant,
    duration: Duration,
) -> Row {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tally = Tally::new(&stream);
    let mut calls = JoinSet::new();
    let mut due = start;
    for number in 0_u64.. {
        due += random_gap(&mut rng, stream.rate_per_s.min(RATE_MAX_PER_S));
        if due >= start + duration {
            break;
        }
        sleep_until(due).await;
        while let Some(Ok(outcome)) = calls.try_join_next() {
            tally.count(&outcome);
        }
        if calls.len() >= IN_FLIGHT_MAX {
            tally.count(&Outcome::NotSent);
            continue;
        }
        let request = LoadRequest::new(&stream, seed, number, due, &mut rng);
        let clients = Arc::clone(&clients);
        calls.spawn(async move { clients.call(request).await });
    }
    while let Some(outcome) = calls.join_next().await {
        tally.count(&outcome.unwrap_or(Outcome::NotSent));
    }
    tally.into_row(duration)
}

/// Random time to the next request, exponentially distributed: arrivals form a
/// Poisson process.
fn random_gap(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let unit: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - unit).ln() / rate_per_s)
}
