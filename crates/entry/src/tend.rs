//! What comes about with time alone: slots that open, connections that age.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::state::State;

/// Time between two looks.
pub const TEND_EVERY: Duration = Duration::from_millis(25);

/// Looks between two clearings of the pool.
const LOOKS_PER_CLEARING: u32 = 40;

/// Tends the tables until the task is dropped.
pub async fn tend(state: Arc<State>) {
    let mut beat = interval(TEND_EVERY);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut looks: u32 = 0;
    loop {
        beat.tick().await;
        state.gate.wake_all();
        looks = looks.wrapping_add(1);
        if looks.is_multiple_of(LOOKS_PER_CLEARING) {
            state.pool.expire();
        }
    }
}
