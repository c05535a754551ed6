//! How long an entry VM waits for connections while its own link is busy.

use std::time::Duration;

use affinity::round_trip::RoundTrip;

/// Times until connections of one entry VM were established, milliseconds, by the load of
/// its link: large responses queue up at once with the 64th connection, for seconds.
fn queue_ms(connection: u32) -> f64 {
    let noise = f64::from(connection * 37 % 50);
    match connection {
        64..200 => 230.0 + noise * 4.0,
        200..230 => 60.0 + noise,
        _ => 3.0,
    }
}

/// Plays the connections; returns how many were not established in time, and the timeout at
/// some of them, milliseconds.
fn play(mut round_trip: RoundTrip) -> (usize, Vec<u128>) {
    let (mut late, mut timeouts_ms) = (0, Vec::new());
    for connection in 0..300 {
        let timeout = round_trip.connect_timeout();
        if connection % 30 == 29 {
            timeouts_ms.push(timeout.as_millis());
        }
        let took_ms = queue_ms(connection);
        if Duration::from_secs_f64(took_ms / 1_000.0) < timeout {
            round_trip.record(took_ms);
        } else {
            round_trip.record_timeout();
            late += 1;
        }
    }
    (late, timeouts_ms)
}

/// By twice the mean and a margin none of the 136 connections of the busy time is
/// established in time, and the mean does not learn from those.
#[test]
fn connections_over_a_busy_link_are_waited_for() {
    let (late, timeouts_ms) = play(RoundTrip::new(0.0));
    assert!(late <= 3, "{late} connections given up");
    insta::assert_debug_snapshot!(timeouts_ms);
}

/// Servers that are down while others answer keep their short timeout.
#[test]
fn single_servers_that_are_down_are_given_up_soon() {
    let mut round_trip = RoundTrip::new(0.0);
    for _ in 0..50 {
        round_trip.record(3.0);
        round_trip.record_timeout();
        round_trip.record(4.0);
    }
    assert!(round_trip.connect_timeout().as_millis() < 250);
}
