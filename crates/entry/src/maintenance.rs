//! Periodic maintenance: slots that become free by time, and expired connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::state::State;

/// Interval between two maintenance rounds.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(25);

/// Maintenance rounds between two sweeps of the connection pool.
const ROUNDS_PER_POOL_SWEEP: u32 = 40;

/// Runs maintenance until the task is dropped.
pub async fn run_maintenance(state: Arc<State>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut rounds: u32 = 0;
    loop {
        ticks.tick().await;
        state.admission.assign_all_slots();
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(ROUNDS_PER_POOL_SWEEP) {
            state.pool.expire();
        }
    }
}
