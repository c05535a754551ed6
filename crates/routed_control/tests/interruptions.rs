//! When an order that was just read may have waited unread.

use std::time::Duration;

use routed_control::interruptions::{Interruptions, OBSERVATION_INTERVAL};

/// Plays a process that starts at 0 and looks at the clock every 100 ms, but not in the
/// times of `suspended`, and is in contact but for the times of `cut`. Returns the times at
/// which orders begin and cease to count as old, milliseconds.
fn play(suspended: &[(u64, u64)], cut: &[(u64, u64)]) -> Vec<(u64, bool)> {
    let within =
        |times: &[(u64, u64)], at| times.iter().any(|(from, to)| (*from..*to).contains(&at));
    let mut interruptions = Interruptions::new(Duration::ZERO);
    let mut changes: Vec<(u64, bool)> = Vec::new();
    let step_ms = u64::try_from(OBSERVATION_INTERVAL.as_millis()).unwrap();
    for at in (step_ms..30_000).step_by(100) {
        if within(suspended, at) {
            continue;
        }
        let old = interruptions.observe(Duration::from_millis(at), !within(cut, at));
        if changes.last().is_none_or(|(_, before)| *before != old) {
            changes.push((at, old));
        }
    }
    changes
}

/// Guards against orders that lay unread while this process was suspended or cut off, and
/// that are carried out behind newer ones of senders that went on.
#[test]
fn orders_count_as_old_after_an_interruption() {
    let cases = [
        ("none", play(&[], &[])),
        ("short suspension", play(&[(5_000, 5_500)], &[])),
        ("suspension", play(&[(5_000, 8_000)], &[])),
        ("cut", play(&[], &[(5_000, 8_000)])),
        ("long cut", play(&[], &[(5_000, 15_000)])),
        (
            "cut and suspended",
            play(&[(6_000, 7_000)], &[(5_000, 8_000)]),
        ),
        (
            "two suspensions",
            play(&[(5_000, 8_000), (9_000, 10_000)], &[]),
        ),
        ("late contact after the start", play(&[], &[(0, 2_000)])),
    ];
    insta::assert_debug_snapshot!(cases);
}
