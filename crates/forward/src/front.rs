//! The HTTP listener of an entry VM for clients.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use world::RequestLimits;
use world::unit::ms;

use crate::dialect::Dialect;
use crate::handler;
use crate::state::State;

/// Limits on client requests while no configuration is known.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    header_bytes: 16 * 1024,
    body_bytes: 1 << 20,
    header_ms: 5_000,
    idle_ms: 60_000,
};

/// Smallest buffer that the HTTP library accepts, bytes.
const BUFFER_MIN_BYTES: u64 = 8 * 1024;

/// Pause after a failed accept, so that the accept loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves clients until `closing` turns true, then waits up to `shutdown_grace`
/// for the running requests.
pub async fn serve<D: Dialect>(
    listener: TcpListener,
    state: Arc<State<D>>,
    mut closing: watch::Receiver<bool>,
    shutdown_grace: Duration,
) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(stream, &state, &graceful),
                Err(error) => {
                    log::warn!(target: "forward", error:% = error; "could not accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = wait_closing(&mut closing) => break,
        }
    }
    drop(listener);
    if timeout(shutdown_grace, graceful.shutdown()).await.is_err() {
        log::warn!(target: "forward", "requests still running at the end of the shutdown grace");
    }
}

async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    // A dropped sender also means closing.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Spawns the task of one client connection.
fn spawn_connection<D: Dialect>(
    stream: TcpStream,
    state: &Arc<State<D>>,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "forward", error:% = error; "could not set options of a client socket");
    }
    let limits = state.routes.load().limits().unwrap_or(DEFAULT_LIMITS);
    let buffer_bytes = limits.header_bytes.max(BUFFER_MIN_BYTES);
    let state = Arc::clone(state);
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handler::handle(state, request).await) }
    });
    // The library's header timeout starts when it begins to wait for a request,
    // so it includes the idle time.
    let head_timeout = ms(limits.idle_ms + limits.header_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(usize::try_from(buffer_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "forward", error:% = error; "client connection failed");
        }
    });
}
