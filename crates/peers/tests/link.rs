//! Links over real sockets: calls, the handshake, a silent peer, and connection
//! attempts that are slow or get no reply.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use peers::{CallError, Identity, Link, Serve, accept};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use wire::body::{ConfigRequest, ConfigResponse};
use wire::{Body, Envelope};
use world::unit::ms;
use world::{MachineName, Secret};

struct Echo {
    received_version: AtomicU64,
}

impl Serve for Echo {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
        let Body::ConfigRequest(request) = body else {
            return None;
        };
        Some(Body::ConfigResponse(ConfigResponse {
            version: request.have_version + 1,
            config_json: bytes::Bytes::new(),
        }))
    }

    fn config_version(&self) -> u64 {
        42
    }

    fn on_config_version(&self, _from: &MachineName, version: u64) {
        self.received_version.store(version, Ordering::SeqCst);
    }
}

fn echo() -> Arc<Echo> {
    Arc::new(Echo {
        received_version: AtomicU64::new(0),
    })
}

fn identity(name: &str, secret: &str) -> Identity {
    Identity::new(MachineName::new(name).expect("name"), Secret::new(secret))
}

async fn pair(secret: &str) -> (Arc<Link<Echo>>, Arc<Echo>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    tokio::spawn(accept(listener, identity("server", "s"), echo()));
    let serve = echo();
    let link = Link::new(addr, identity("client", secret), Arc::clone(&serve));
    (Arc::new(link), serve)
}

fn config_request(have_version: u64) -> Body {
    Body::ConfigRequest(ConfigRequest {
        have_version,
        confirmed: false,
    })
}

#[tokio::test]
async fn calls_get_their_own_replies() {
    let (link, serve) = pair("s").await;
    let calls = (0..32).map(|n| {
        let link = Arc::clone(&link);
        tokio::spawn(async move { (n, link.call(config_request(n), ms(5_000)).await) })
    });
    for call in calls.collect::<Vec<_>>() {
        let (n, reply) = call.await.expect("join");
        let Ok(Body::ConfigResponse(response)) = reply else {
            panic!("no reply to {n}: {reply:?}");
        };
        assert_eq!(response.version, n + 1);
    }
    assert_eq!(serve.received_version.load(Ordering::SeqCst), 42);
    assert_eq!(link.peer().map(|p| p.to_string()), Some("server".into()));
}

#[tokio::test]
async fn a_wrong_secret_is_refused() {
    let (link, _) = pair("other").await;
    assert_eq!(
        link.call(config_request(1), ms(5_000)).await,
        Err(CallError::NotSent)
    );
}

#[tokio::test]
async fn a_peer_that_goes_silent_loses_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    let server = identity("server", "s");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accept");
        let mut stream = peers::handshake::framed(stream).expect("framed");
        server.accept(&mut stream).await.expect("open");
        std::future::pending::<()>().await;
        drop(stream);
    });
    let link = Arc::new(Link::new(addr, identity("client", "s"), echo()));
    assert_eq!(
        link.call(config_request(1), ms(60_000)).await,
        Err(CallError::Lost)
    );
}

/// A process whose own network link is busy or not.
struct Busy(bool);

impl Serve for Busy {
    async fn serve(self: &Arc<Self>, _from: &MachineName, _body: Body) -> Option<Body> {
        None
    }

    fn config_version(&self) -> u64 {
        42
    }

    fn on_config_version(&self, _from: &MachineName, _version: u64) {}

    fn patience(&self) -> Duration {
        ms(if self.0 { 1_250 } else { 0 })
    }
}

/// Guards against a connection that is dropped and made anew, in several round trips, while
/// the bytes of its peer wait on this machine's own network link.
#[rstest::rstest]
#[case::busy(true)]
#[case::idle(false)]
#[tokio::test]
async fn a_silent_peer_is_given_longer_while_the_own_link_is_busy(#[case] is_busy: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    let server = identity("server", "s");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accept");
        let mut stream = peers::handshake::framed(stream).expect("framed");
        server.accept(&mut stream).await.expect("open");
        // Nothing arrives for longer than the silence timeout.
        sleep(ms(1_750)).await;
        while let Some(Ok(envelope)) = stream.next().await {
            let config_json = bytes::Bytes::new();
            let version = 1;
            let body = Body::ConfigResponse(ConfigResponse {
                version,
                config_json,
            });
            let reply = Envelope {
                body: Some(body),
                ..envelope
            };
            if reply.call > 0 && stream.send(reply).await.is_err() {
                return;
            }
        }
    });
    let link = Arc::new(Link::new(
        addr,
        identity("client", "s"),
        Arc::new(Busy(is_busy)),
    ));
    let reply = link.call(config_request(1), ms(10_000)).await;
    assert_eq!(reply.is_ok(), is_busy, "{reply:?}");
}

/// Answers with a configuration of a fixed size.
struct Large;

/// Size of the answer of [`Large`], bytes.
const LARGE_BYTES: usize = 200_000;

impl Serve for Large {
    async fn serve(self: &Arc<Self>, _from: &MachineName, _body: Body) -> Option<Body> {
        Some(Body::ConfigResponse(ConfigResponse {
            version: 1,
            config_json: vec![0; LARGE_BYTES].into(),
        }))
    }

    fn config_version(&self) -> u64 {
        42
    }

    fn on_config_version(&self, _from: &MachineName, _version: u64) {}
}

/// Passes on `bytes_max` bytes of what the server sends, at 80 kB a second: the answer of
/// [`Large`] takes 2.5 s, twice the silence timeout.
async fn narrow_relay(mut client: TcpStream, mut server: TcpStream, bytes_max: usize) {
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    let downstream = async {
        let mut buffer = [0; 4_000];
        let mut passed = 0;
        while passed < bytes_max {
            let read = from_server.read(&mut buffer).await.unwrap_or(0);
            if read == 0 || to_client.write_all(&buffer[..read]).await.is_err() {
                return;
            }
            passed += read;
            sleep(ms(50)).await;
        }
        std::future::pending::<()>().await;
    };
    tokio::join!(
        tokio::io::copy(&mut from_client, &mut to_server),
        downstream
    )
    .0
    .ok();
}

/// Creates a link to [`Large`] over a link that passes on `bytes_max` bytes.
async fn narrow_link(bytes_max: usize) -> Arc<Link<Echo>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let server = listener.local_addr().expect("addr");
    tokio::spawn(accept(listener, identity("server", "s"), Arc::new(Large)));
    let relay = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = relay.local_addr().expect("addr");
    tokio::spawn(async move {
        loop {
            let (client, _) = relay.accept().await.expect("accept");
            let server = TcpStream::connect(server).await.expect("connect");
            tokio::spawn(narrow_relay(client, server, bytes_max));
        }
    });
    Arc::new(Link::new(addr, identity("client", "s"), echo()))
}

/// Guards against a transfer that starts over whenever it takes longer than a timeout,
/// and so never ends on a slow link.
#[tokio::test]
async fn a_reply_that_takes_longer_than_the_silence_timeout_arrives() {
    let link = narrow_link(usize::MAX).await;
    let bounded_by_progress = link.call_while_receiving(config_request(1), ms(1_500));
    let bounded = link.call(config_request(2), ms(60_000));
    let (bounded_by_progress, bounded) = tokio::join!(bounded_by_progress, bounded);
    for reply in [bounded_by_progress, bounded] {
        let Ok(Body::ConfigResponse(response)) = reply else {
            panic!("no reply: {reply:?}");
        };
        assert_eq!(response.config_json.len(), LARGE_BYTES);
    }
}

/// A reply that stops half-way is given up after the time without a byte.
#[tokio::test]
async fn a_reply_that_stops_on_the_way_is_lost() {
    let link = narrow_link(LARGE_BYTES / 2).await;
    let call = link.call_while_receiving(config_request(1), ms(1_500));
    let reply = timeout(ms(5_000), call).await.expect("given up");
    assert_eq!(reply, Err(CallError::Lost));
}

/// Creates a listener whose backlog is full: it ignores further connection attempts
/// until some of the waiting connections are accepted.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .bind("127.0.0.1:0".parse().expect("addr"))
        .expect("bind");
    let listener = socket.listen(1).expect("listen");
    let addr = listener.local_addr().expect("addr");
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(ms(100), TcpStream::connect(addr)).await {
        waiting.push(stream.expect("connect"));
    }
    (listener, waiting)
}

/// A connection attempt whose SYN is dropped must time out early and be repeated by
/// the link. The kernel retransmits only after a second, which is over the limit here.
#[tokio::test]
async fn a_connection_attempt_without_reply_is_repeated() {
    let (listener, waiting) = full_listener().await;
    let addr = listener.local_addr().expect("addr");
    let link = Arc::new(Link::new(addr, identity("client", "s"), echo()));
    let calls = async { while link.call(config_request(1), ms(2_000)).await.is_err() {} };
    let peer_start = async {
        // The kernel retransmits the SYN only after a second.
        sleep(ms(200)).await;
        drop(waiting);
        tokio::spawn(accept(listener, identity("server", "s"), echo()));
    };
    let calls_and_start = async { tokio::join!(calls, peer_start) };
    assert!(timeout(ms(900), calls_and_start).await.is_ok());
}

/// Starts a proxy that forwards connections to `target` after a delay, and counts them.
async fn slow_proxy(target: SocketAddr, after_ms: u64, count: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    tokio::spawn(async move {
        loop {
            let (mut inbound, _) = listener.accept().await.expect("accept");
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                sleep(ms(after_ms)).await;
                let mut outbound = TcpStream::connect(target).await.expect("connect");
                // The connection may end in any way when the test ends.
                let _ = copy_bidirectional(&mut inbound, &mut outbound).await;
            });
        }
    });
    addr
}

/// A connection attempt must continue when the call that started it times out.
/// Otherwise no call succeeds whose timeout (100 ms) is below the time to connect
/// (300 ms).
#[tokio::test]
async fn a_connection_attempt_outlives_its_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let target = listener.local_addr().expect("addr");
    tokio::spawn(accept(listener, identity("server", "s"), echo()));
    let connections = Arc::new(AtomicU64::new(0));
    let addr = slow_proxy(target, 300, Arc::clone(&connections)).await;
    let link = Arc::new(Link::new(addr, identity("client", "s"), echo()));
    let mut failed = 0;
    while link.call(config_request(1), ms(100)).await.is_err() {
        failed += 1;
        assert!(failed < 50, "no call succeeded");
    }
    assert!(failed >= 2, "{failed} calls timed out");
    assert_eq!(
        connections.load(Ordering::SeqCst),
        1,
        "every call used the one connection"
    );
}
