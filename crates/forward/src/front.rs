//! The callers' front of an entry VM.

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
use world::Limits;
use world::unit::ms;

use crate::dialect::Dialect;
use crate::path;
use crate::state::State;

/// Bounds on callers while no configuration is known.
const LIMITS: Limits = Limits {
    header_bytes: 16 * 1024,
    body_bytes: 1 << 20,
    header_ms: 5_000,
    idle_ms: 60_000,
};

/// Least buffer that the HTTP library accepts, bytes.
const BUFFER_MIN_BYTES: u64 = 8 * 1024;

/// Pause after an accept that failed, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `closing` turns true, then ends what was accepted
/// within `bound`.
pub async fn serve<D: Dialect>(
    listener: TcpListener,
    state: Arc<State<D>>,
    mut closing: watch::Receiver<bool>,
    bound: Duration,
) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => attend(stream, &state, &graceful),
                Err(error) => {
                    log::warn!(target: "forward", error:% = error; "could not accept a caller");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = closed(&mut closing) => break,
        }
    }
    drop(listener);
    if timeout(bound, graceful.shutdown()).await.is_err() {
        log::warn!(target: "forward", "requests were still running when the time to leave was up");
    }
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    // A sender that is gone closes as well.
    let _ = closing.wait_for(|closing| *closing).await;
}

fn attend<D: Dialect>(stream: TcpStream, state: &Arc<State<D>>, graceful: &GracefulShutdown) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "forward", error:% = error; "caller's socket not tuned");
    }
    let limits = state.table.load().limits().unwrap_or(LIMITS);
    let buffer_bytes = limits.header_bytes.max(BUFFER_MIN_BYTES);
    let state = Arc::clone(state);
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(path::answer(state, request).await) }
    });
    // The library starts this clock when it begins to wait for a request, so
    // the idle time counts as well.
    let head_patience = ms(limits.idle_ms + limits.header_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_patience)
        .max_buf_size(usize::try_from(buffer_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "forward", error:% = error; "caller's connection ended");
        }
    });
}
