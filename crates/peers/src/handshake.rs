//! Handshake on a new connection: each side proves to the other that it knows the
//! deployment's secret, as a keyed digest over the other side's nonce.

use anyhow::{Context, Result, bail};
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;

use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use wire::body::{Challenge, Hello, Welcome};
use wire::{Body, Envelope, EnvelopeCodec};
use world::{MachineName, Secret};

use crate::progress::{Monitored, Progress};

/// A TCP connection framed into envelopes.
pub type Stream = Framed<Monitored<TcpStream>, EnvelopeCodec>;

/// Frames a new TCP connection.
///
/// # Errors
/// When the connection has ended.
pub fn framed(stream: TcpStream) -> Result<Stream> {
    stream.set_nodelay(true)?;
    let codec = EnvelopeCodec::new();
    let progress = Progress::new(codec.partial_frame());
    let stream = Monitored::new(stream, Arc::new(progress));
    Ok(Framed::new(stream, codec))
}

/// This machine's name and the deployment's secret, used in handshakes.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this machine.
    pub name: MachineName,
    secret: Secret,
}

impl Identity {
    /// Creates the identity of machine `name` in the deployment with `secret`.
    #[must_use]
    pub fn new(name: MachineName, secret: Secret) -> Self {
        Self { name, secret }
    }

    /// Computes this machine's proof. `side` is `hello` or `welcome`, so that the
    /// proof of one side can't be replayed as the other's.
    fn proof(&self, side: &str, nonce: u64, name: &str) -> bytes::Bytes {
        let digest = self.secret.proof(&format!("{side} {nonce:016x} {name}"));
        bytes::Bytes::copy_from_slice(digest.as_bytes())
    }

    fn verify_proof(&self, side: &str, nonce: u64, name: &str, received: &[u8]) -> bool {
        let digest = self.secret.proof(&format!("{side} {nonce:016x} {name}"));
        digest.matches_bytes(received)
    }

    /// Performs the connecting side of the handshake and returns the peer's name.
    ///
    /// # Errors
    /// When the stream ends or the peer's proof is wrong.
    pub async fn open(&self, stream: &mut Stream) -> Result<MachineName> {
        let Body::Challenge(challenge) = next(stream).await? else {
            bail!("expected a Challenge message");
        };
        let nonce = rand::random();
        let hello = Hello {
            name: self.name.to_string(),
            proof: self.proof("hello", challenge.nonce, self.name.as_str()),
            nonce,
        };
        send(stream, Body::Hello(hello)).await?;
        let Body::Welcome(welcome) = next(stream).await? else {
            bail!("expected a Welcome message");
        };
        if !self.verify_proof("welcome", nonce, &welcome.name, &welcome.proof) {
            bail!(
                "{} sent a wrong proof of the deployment's secret",
                welcome.name
            );
        }
        Ok(MachineName::new(&welcome.name)?)
    }

    /// Performs the accepting side of the handshake and returns the peer's name.
    ///
    /// # Errors
    /// When the stream ends or the peer's proof is wrong.
    pub async fn accept(&self, stream: &mut Stream) -> Result<MachineName> {
        let nonce = rand::random();
        send(stream, Body::Challenge(Challenge { nonce })).await?;
        let Body::Hello(hello) = next(stream).await? else {
            bail!("expected a Hello message");
        };
        if !self.verify_proof("hello", nonce, &hello.name, &hello.proof) {
            bail!(
                "{} sent a wrong proof of the deployment's secret",
                hello.name
            );
        }
        let welcome = Welcome {
            name: self.name.to_string(),
            proof: self.proof("welcome", hello.nonce, self.name.as_str()),
        };
        send(stream, Body::Welcome(welcome)).await?;
        Ok(MachineName::new(&hello.name)?)
    }
}

async fn next(stream: &mut Stream) -> Result<Body> {
    let envelope = stream
        .next()
        .await
        .context("connection closed during the handshake")?
        .context("failed to read during the handshake")?;
    envelope.body.context("empty message during the handshake")
}

async fn send(stream: &mut Stream, body: Body) -> Result<()> {
    let envelope = Envelope {
        call: 0,
        config_version: 0,
        body: Some(body),
    };
    stream
        .send(envelope)
        .await
        .context("failed to write during the handshake")
}
