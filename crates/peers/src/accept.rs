//! The accepting side of links: answers calls from other processes.

use std::sync::Arc;

use anyhow::{Context, Result};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::body::Pong;
use wire::{Body, Envelope};
use world::MachineName;

use crate::handshake::{Identity, Stream, framed};
use crate::progress::timeout_without_progress;
use crate::serve::Serve;
use crate::{ACCEPTED_SILENCE_TIMEOUT, HANDSHAKE_TIMEOUT, SEND_QUEUE_MAX, SILENCE_TIMEOUT};

/// Runs the accept loop until the task is dropped; each connection gets a task
/// of its own.
pub async fn accept<S: Serve>(listener: TcpListener, identity: Identity, serve: Arc<S>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "peers", error:% = error; "failed to accept a connection");
                tokio::time::sleep(SILENCE_TIMEOUT).await;
                continue;
            }
        };
        let identity = identity.clone();
        let serve = Arc::clone(&serve);
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, identity, serve).await {
                log::debug!(target: "peers", error:% = error; "accepted link closed");
            }
        });
    }
}

async fn serve_connection<S: Serve>(
    stream: TcpStream,
    identity: Identity,
    serve: Arc<S>,
) -> Result<()> {
    let mut stream = framed(stream)?;
    let peer = timeout(HANDSHAKE_TIMEOUT, identity.accept(&mut stream))
        .await
        .context("handshake timed out")??;
    message_loop(stream, &peer, &serve).await
}

async fn message_loop<S: Serve>(stream: Stream, peer: &MachineName, serve: &Arc<S>) -> Result<()> {
    let progress = stream.get_ref().progress();
    let (mut sink, mut source) = stream.split();
    let (reply_queue, mut queued_replies) = mpsc::channel(SEND_QUEUE_MAX);
    loop {
        tokio::select! {
            Some(envelope) = queued_replies.recv() => {
                let sending = sink.send(envelope);
                let sent_at = || Some(progress.sent_at());
                timeout_without_progress(ACCEPTED_SILENCE_TIMEOUT, sent_at, sending)
                    .await
                    .context("peer takes no bytes")??;
            }
            envelope = timeout_without_progress(
                ACCEPTED_SILENCE_TIMEOUT, || Some(progress.received_at()), source.next(),
            ) => {
                let Some(envelope) = envelope.context("peer is silent")? else { return Ok(()) };
                let envelope = envelope?;
                serve.on_config_version(peer, envelope.config_version);
                handle_message(envelope, peer, serve, &reply_queue);
            }
        }
    }
}

fn handle_message<S: Serve>(
    envelope: Envelope,
    peer: &MachineName,
    serve: &Arc<S>,
    reply_queue: &mpsc::Sender<Envelope>,
) {
    let Some(body) = envelope.body else { return };
    let call = envelope.call;
    if let Body::Ping(_) = body {
        let pong = reply_envelope(serve, call, Body::Pong(Pong {}));
        let _ = reply_queue.try_send(pong);
        return;
    }
    let peer = peer.clone();
    let serve = Arc::clone(serve);
    let reply_queue = reply_queue.clone();
    tokio::spawn(async move {
        let Some(body) = serve.serve(&peer, body).await else {
            return;
        };
        let _ = reply_queue.send(reply_envelope(&serve, call, body)).await;
    });
}

fn reply_envelope<S: Serve>(serve: &Arc<S>, call: u64, body: Body) -> Envelope {
    Envelope {
        call,
        config_version: serve.config_version(),
        body: Some(body),
    }
}
