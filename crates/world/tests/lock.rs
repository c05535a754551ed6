//! Debug builds panic when a thread takes locks out of order, before that can deadlock.

use world::{LockRank, RankedMutex};

#[test]
fn locks_in_order_pass() {
    let config = RankedMutex::new(LockRank::Config, 1);
    let fleet = RankedMutex::new(LockRank::Fleet, 2);
    let outer = config.lock();
    let inner = fleet.lock();
    assert_eq!(*outer + *inner, 3);
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock Config taken while Fleet is held")]
fn locks_out_of_order_panic() {
    let config = RankedMutex::new(LockRank::Config, 1);
    let fleet = RankedMutex::new(LockRank::Fleet, 2);
    let _inner = fleet.lock();
    let _outer = config.lock();
}
