//! Starts the HTTP server of an API and reads request headers.

use std::net::SocketAddr;

use anyhow::{Result, anyhow};
use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, RequestContext, ServerBuilder,
    ServerContext,
};
use slog::Drain as _;

use crate::BODY_MAX_BYTES;

/// Starts an HTTP server for `api` on `addr`; with port 0 the operating system
/// chooses a free port.
///
/// # Errors
/// If the address can't be bound.
pub fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    addr: SocketAddr,
) -> Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: addr,
        default_request_body_max_bytes: BODY_MAX_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    ServerBuilder::new(api, context, log)
        .config(config)
        .start()
        .map_err(|error| anyhow!("could not start the desk on {addr}: {error}"))
}

/// Returns a header of the request as text; empty if it is absent or not text.
#[must_use]
pub fn header<'a, C: ServerContext>(request: &'a RequestContext<C>, name: &str) -> &'a str {
    request
        .request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
