//! The accepting side of links.

use std::sync::Arc;

use anyhow::{Context, Result};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use wire::body::Pong;
use wire::{Body, Envelope, Frames};
use world::MachineName;

use crate::hello::{Identity, Stream};
use crate::serve::Serve;
use crate::{OPEN_TIMEOUT, SEND_QUEUE, SILENCE};

/// Accepts links until the task is dropped.
pub async fn accept<S: Serve>(listener: TcpListener, identity: Identity, serve: Arc<S>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "peers", error:% = error; "could not accept a link");
                tokio::time::sleep(SILENCE).await;
                continue;
            }
        };
        let identity = identity.clone();
        let serve = Arc::clone(&serve);
        tokio::spawn(async move {
            if let Err(error) = attend(stream, identity, serve).await {
                log::debug!(target: "peers", error:% = error; "accepted link closed");
            }
        });
    }
}

async fn attend<S: Serve>(stream: TcpStream, identity: Identity, serve: Arc<S>) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, Frames::new());
    let peer = timeout(OPEN_TIMEOUT, identity.accept(&mut stream))
        .await
        .context("opening took too long")??;
    pump(stream, &peer, &serve).await
}

async fn pump<S: Serve>(stream: Stream, peer: &MachineName, serve: &Arc<S>) -> Result<()> {
    let (mut sink, mut source) = stream.split();
    let (replies, mut queue) = mpsc::channel(SEND_QUEUE);
    loop {
        tokio::select! {
            Some(envelope) = queue.recv() => {
                timeout(SILENCE, sink.send(envelope)).await??;
            }
            envelope = timeout(SILENCE, source.next()) => {
                let Some(envelope) = envelope.context("silent")? else { return Ok(()) };
                let envelope = envelope?;
                serve.heard_version(peer, envelope.config_version);
                answer(envelope, peer, serve, &replies);
            }
        }
    }
}

fn answer<S: Serve>(
    envelope: Envelope,
    peer: &MachineName,
    serve: &Arc<S>,
    replies: &mpsc::Sender<Envelope>,
) {
    let Some(body) = envelope.body else { return };
    let call = envelope.call;
    if let Body::Ping(_) = body {
        let pong = reply(serve, call, Body::Pong(Pong {}));
        let _ = replies.try_send(pong);
        return;
    }
    let peer = peer.clone();
    let serve = Arc::clone(serve);
    let replies = replies.clone();
    tokio::spawn(async move {
        let Some(body) = serve.serve(&peer, body).await else {
            return;
        };
        let _ = replies.send(reply(&serve, call, body)).await;
    });
}

fn reply<S: Serve>(serve: &Arc<S>, call: u64, body: Body) -> Envelope {
    Envelope {
        call,
        config_version: serve.config_version(),
        body: Some(body),
    }
}
