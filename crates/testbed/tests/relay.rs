//! The relay forwards, delays, holds, resets and silences connections as its mode says.

use std::time::Duration;

use testbed::relay::{Direction, Mode, Relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(10);

/// Starts a relay to a server that echoes every byte.
async fn relay_to_echo() -> Relay {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let relay = Relay::start().await.unwrap();
    relay.set_target(listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    relay
}

async fn connect(relay: &Relay) -> TcpStream {
    TcpStream::connect(relay.addr).await.unwrap()
}

/// Sends four bytes; returns whether they are echoed within `wait`.
async fn echo_returns(stream: &mut TcpStream, wait: Duration) -> std::io::Result<bool> {
    stream.write_all(b"ping").await?;
    let mut echoed_bytes = [0; 4];
    match timeout(wait, stream.read_exact(&mut echoed_bytes)).await {
        Ok(read) => read.map(|_| true),
        Err(_) => Ok(false),
    }
}

#[tokio::test]
async fn delays_both_ways() {
    let relay = relay_to_echo().await;
    relay.set_delay(SHORT, SHORT);
    let mut stream = connect(&relay).await;
    let start = Instant::now();
    assert!(echo_returns(&mut stream, LONG).await.unwrap());
    assert!(start.elapsed() >= SHORT * 2);
}

#[tokio::test]
async fn holds_and_passes_again() {
    for mode in [
        Mode::HoldAll,
        Mode::Hold(Direction::Up),
        Mode::Hold(Direction::Down),
    ] {
        let relay = relay_to_echo().await;
        let mut stream = connect(&relay).await;
        assert!(echo_returns(&mut stream, LONG).await.unwrap());
        relay.set_mode(mode);
        assert!(!echo_returns(&mut stream, SHORT).await.unwrap(), "{mode:?}");
        relay.set_mode(Mode::Pass);
        let mut echoed = [0; 4];
        stream.read_exact(&mut echoed).await.unwrap();
        assert_eq!(&echoed, b"ping");
    }
}

#[tokio::test]
async fn cut_resets_old_and_new() {
    let relay = relay_to_echo().await;
    let mut stream = connect(&relay).await;
    assert!(echo_returns(&mut stream, LONG).await.unwrap());
    relay.set_mode(Mode::Reset);
    assert!(stream.read_u8().await.is_err());
    let mut new = connect(&relay).await;
    assert!(new.read_u8().await.is_err());
}

#[tokio::test]
async fn forgotten_connections_are_silent_while_new_ones_work() {
    let relay = relay_to_echo().await;
    let mut old = connect(&relay).await;
    assert!(echo_returns(&mut old, LONG).await.unwrap());
    relay.silence_connections();
    assert!(!echo_returns(&mut old, SHORT).await.unwrap());
    let mut new = connect(&relay).await;
    assert!(echo_returns(&mut new, LONG).await.unwrap());
    assert!(!echo_returns(&mut old, SHORT).await.unwrap());
}
