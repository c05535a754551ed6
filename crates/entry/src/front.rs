//! The callers' front of an entry VM.

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

use crate::path;
use crate::state::State;

/// Bound on the time that a caller may take to send a request's head.
pub const HEAD_PATIENCE: Duration = Duration::from_secs(5);

/// Largest head of a request, bytes.
pub const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Pause after an accept that failed, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `leaving` turns true, then ends what was accepted.
pub async fn serve(listener: TcpListener, state: Arc<State>, mut leaving: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => attend(stream, from.ip(), &state, &graceful),
                Err(error) => {
                    log::warn!(target: "entry", error:% = error; "could not accept a caller");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = left(&mut leaving) => break,
        }
    }
    drop(listener);
    let bound = ms(state.times.shutdown_ms);
    if timeout(bound, graceful.shutdown()).await.is_err() {
        log::warn!(target: "entry", "shutdown cut requests that ran over its bound");
    }
}

async fn left(leaving: &mut watch::Receiver<bool>) {
    let _ = leaving.wait_for(|leaving| *leaving).await;
}

fn attend(stream: TcpStream, client: IpAddr, state: &Arc<State>, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let state = Arc::clone(state);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(client);
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(path::answer(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_PATIENCE)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "entry", error:% = error; "caller's connection ended");
        }
    });
}
