//! Accept loop for client connections.

use std::convert::Infallible;
use std::net::IpAddr;
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
use world::unit::ms;

use crate::handler;
use crate::state::State;

/// Timeout for reading the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head of a request, bytes.
pub const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Pause after a failed accept, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves clients until `leaving` becomes true, then closes the listener and waits for
/// requests in flight, at most the configured shutdown time.
pub async fn serve(listener: TcpListener, state: Arc<State>, mut leaving: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => spawn_connection(stream, from.ip(), &state, &graceful),
                Err(error) => {
                    log::warn!(target: "entry", error:% = error; "could not accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = wait_until_leaving(&mut leaving) => break,
        }
    }
    drop(listener);
    let bound = ms(state.times.shutdown_ms);
    if timeout(bound, graceful.shutdown()).await.is_err() {
        log::warn!(target: "entry", "shutdown timeout expired: requests in flight are cut off");
    }
}

async fn wait_until_leaving(leaving: &mut watch::Receiver<bool>) {
    let _ = leaving.wait_for(|leaving| *leaving).await;
}

fn spawn_connection(
    stream: TcpStream,
    client: IpAddr,
    state: &Arc<State>,
    graceful: &GracefulShutdown,
) {
    let _ = stream.set_nodelay(true);
    let state = Arc::clone(state);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(client);
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handler::handle(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "entry", error:% = error; "client connection closed with an error");
        }
    });
}
