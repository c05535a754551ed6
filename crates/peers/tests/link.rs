//! Links over real sockets: calls, proofs, a peer that comes back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use peers::{CallError, Identity, Link, Serve, accept};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use wire::Body;
use wire::body::{ConfigAsk, ConfigGive};
use world::unit::ms;
use world::{MachineName, Secret};

struct Echo {
    heard_version: AtomicU64,
}

impl Serve for Echo {
    async fn serve(self: &Arc<Self>, _from: &MachineName, body: Body) -> Option<Body> {
        let Body::ConfigAsk(ask) = body else {
            return None;
        };
        Some(Body::ConfigGive(ConfigGive {
            version: ask.have_version + 1,
            config_json: bytes::Bytes::new(),
        }))
    }

    fn config_version(&self) -> u64 {
        42
    }

    fn heard_version(&self, _from: &MachineName, version: u64) {
        self.heard_version.store(version, Ordering::SeqCst);
    }
}

fn echo() -> Arc<Echo> {
    Arc::new(Echo {
        heard_version: AtomicU64::new(0),
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

fn ask(have_version: u64) -> Body {
    Body::ConfigAsk(ConfigAsk {
        have_version,
        confirmed: false,
    })
}

#[tokio::test]
async fn calls_get_their_own_replies() {
    let (link, serve) = pair("s").await;
    let calls = (0..32).map(|n| {
        let link = Arc::clone(&link);
        tokio::spawn(async move { (n, link.call(ask(n), ms(5_000)).await) })
    });
    for call in calls.collect::<Vec<_>>() {
        let (n, reply) = call.await.expect("join");
        let Ok(Body::ConfigGive(give)) = reply else {
            panic!("no reply to {n}: {reply:?}");
        };
        assert_eq!(give.version, n + 1);
    }
    assert_eq!(serve.heard_version.load(Ordering::SeqCst), 42);
    assert_eq!(link.peer().map(|p| p.to_string()), Some("server".into()));
}

#[tokio::test]
async fn a_wrong_secret_is_refused() {
    let (link, _) = pair("other").await;
    assert_eq!(link.call(ask(1), ms(5_000)).await, Err(CallError::NotSent));
}

#[tokio::test]
async fn a_peer_that_goes_silent_loses_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    let server = identity("server", "s");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accept");
        let mut stream = tokio_util::codec::Framed::new(stream, wire::Frames::new());
        server.accept(&mut stream).await.expect("open");
        std::future::pending::<()>().await;
        drop(stream);
    });
    let link = Arc::new(Link::new(addr, identity("client", "s"), echo()));
    assert_eq!(link.call(ask(1), ms(60_000)).await, Err(CallError::Lost));
}

/// A listener that answers no more openings until some are accepted.
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

#[tokio::test]
async fn an_opening_that_nobody_answers_is_tried_anew() {
    let (listener, waiting) = full_listener().await;
    let addr = listener.local_addr().expect("addr");
    let link = Arc::new(Link::new(addr, identity("client", "s"), echo()));
    let calls = async { while link.call(ask(1), ms(2_000)).await.is_err() {} };
    let machine = async {
        // The system itself opens again after a second.
        sleep(ms(200)).await;
        drop(waiting);
        tokio::spawn(accept(listener, identity("server", "s"), echo()));
    };
    let both = async { tokio::join!(calls, machine) };
    assert!(timeout(ms(900), both).await.is_ok());
}

/// Passes connections on to `target` after a while; counts them.
async fn slow_way(target: SocketAddr, after_ms: u64, count: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("addr");
    tokio::spawn(async move {
        loop {
            let (mut near, _) = listener.accept().await.expect("accept");
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                sleep(ms(after_ms)).await;
                let mut far = TcpStream::connect(target).await.expect("connect");
                // It ends with the test.
                let _ = copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });
    addr
}

#[tokio::test]
async fn an_opening_goes_on_when_its_caller_gives_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let target = listener.local_addr().expect("addr");
    tokio::spawn(accept(listener, identity("server", "s"), echo()));
    let opened = Arc::new(AtomicU64::new(0));
    let addr = slow_way(target, 300, Arc::clone(&opened)).await;
    let link = Arc::new(Link::new(addr, identity("client", "s"), echo()));
    let mut failed = 0;
    while link.call(ask(1), ms(100)).await.is_err() {
        failed += 1;
        assert!(failed < 50, "no call came through");
    }
    assert!(failed >= 2, "{failed} callers gave up");
    assert_eq!(opened.load(Ordering::SeqCst), 1, "one opening served all");
}
