//! An open-loop load generator: requests start at set times, however long the
//! answers take, and latency counts from those times.

mod caller;
mod lookup;
mod pool;
mod profile;
mod tally;

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

pub use caller::{Answered, Outcome};
use caller::{Callers, Order};
pub use profile::{Profile, Stream};
use tally::Tally;
pub use tally::{Report, Row, ms_text};

/// Requests of a stream that may be in flight at once; those beyond aren't sent.
const IN_FLIGHT_MAX: usize = 20_000;

/// Longest run.
pub const DURATION_MAX: Duration = Duration::from_secs(600);

/// Highest rate of one stream.
pub const RATE_MAX_PER_S: f64 = 20_000.0;

/// Runs a profile to its end and reports what came of it.
pub async fn run(profile: &Profile) -> Report {
    let callers = Arc::new(Callers::new(profile));
    let start = Instant::now();
    let mut streams = JoinSet::new();
    for (at, stream) in profile.streams.iter().enumerate() {
        let seed = profile.seed.wrapping_add(at as u64);
        let time = profile.duration().min(DURATION_MAX);
        streams.spawn(drive(
            Arc::clone(&callers),
            stream.clone(),
            seed,
            start,
            time,
        ));
    }
    let mut rows = streams.join_all().await;
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    Report::new(profile, rows, start.elapsed())
}

/// Starts every request of one stream at its time and counts the outcomes.
async fn drive(
    callers: Arc<Callers>,
    stream: Stream,
    seed: u64,
    start: Instant,
    time: Duration,
) -> Row {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tally = Tally::new(&stream);
    let mut calls = JoinSet::new();
    let mut due = start;
    for number in 0_u64.. {
        due += gap(&mut rng, stream.rate_per_s.min(RATE_MAX_PER_S));
        if due >= start + time {
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
        let order = Order::new(&stream, seed, number, due, &mut rng);
        let callers = Arc::clone(&callers);
        calls.spawn(async move { callers.call(order).await });
    }
    while let Some(outcome) = calls.join_next().await {
        tally.count(&outcome.unwrap_or(Outcome::NotSent));
    }
    tally.row(time)
}

/// Time to the next request: arrivals are independent of each other.
fn gap(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let unit: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - unit).ln() / rate_per_s)
}
