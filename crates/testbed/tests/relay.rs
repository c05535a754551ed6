//! The relay passes, delays, holds, cuts and forgets connections.

use std::time::Duration;

use testbed::relay::{Direction, Mode, Relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(10);

/// A relay before a server that echoes every byte.
async fn echo() -> Relay {
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

async fn round_trip(stream: &mut TcpStream, wait: Duration) -> std::io::Result<bool> {
    stream.write_all(b"ping").await?;
    let mut answer = [0; 4];
    match timeout(wait, stream.read_exact(&mut answer)).await {
        Ok(read) => read.map(|_| true),
        Err(_) => Ok(false),
    }
}

#[tokio::test]
async fn delays_both_ways() {
    let relay = echo().await;
    relay.set_delay(SHORT, SHORT);
    let mut stream = connect(&relay).await;
    let start = Instant::now();
    assert!(round_trip(&mut stream, LONG).await.unwrap());
    assert!(start.elapsed() >= SHORT * 2);
}

#[tokio::test]
async fn holds_and_passes_again() {
    for mode in [
        Mode::Freeze,
        Mode::Hold(Direction::Up),
        Mode::Hold(Direction::Down),
    ] {
        let relay = echo().await;
        let mut stream = connect(&relay).await;
        assert!(round_trip(&mut stream, LONG).await.unwrap());
        relay.set_mode(mode);
        assert!(!round_trip(&mut stream, SHORT).await.unwrap(), "{mode:?}");
        relay.set_mode(Mode::Pass);
        let mut held = [0; 4];
        stream.read_exact(&mut held).await.unwrap();
        assert_eq!(&held, b"ping");
    }
}

#[tokio::test]
async fn cut_resets_old_and_new() {
    let relay = echo().await;
    let mut stream = connect(&relay).await;
    assert!(round_trip(&mut stream, LONG).await.unwrap());
    relay.set_mode(Mode::Cut);
    assert!(stream.read_u8().await.is_err());
    let mut new = connect(&relay).await;
    assert!(new.read_u8().await.is_err());
}

#[tokio::test]
async fn forgotten_connections_are_silent_while_new_ones_work() {
    let relay = echo().await;
    let mut old = connect(&relay).await;
    assert!(round_trip(&mut old, LONG).await.unwrap());
    relay.forget_connections();
    assert!(!round_trip(&mut old, SHORT).await.unwrap());
    let mut new = connect(&relay).await;
    assert!(round_trip(&mut new, LONG).await.unwrap());
    assert!(!round_trip(&mut old, SHORT).await.unwrap());
}
