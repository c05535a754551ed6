//! Opening of a connection: each side proves that it has the deployment's secret.

use anyhow::{Context, Result, bail};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use wire::body::{Challenge, Hello, Welcome};
use wire::{Body, Envelope, Frames};
use world::{MachineName, Secret};

/// A stream of envelopes.
pub type Stream = Framed<TcpStream, Frames>;

/// Who this process is and how it proves that.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this machine.
    pub name: MachineName,
    secret: Secret,
}

impl Identity {
    /// An identity in the deployment with this secret.
    #[must_use]
    pub fn new(name: MachineName, secret: Secret) -> Self {
        Self { name, secret }
    }

    fn proof(&self, side: &str, nonce: u64, name: &str) -> bytes::Bytes {
        let digest = self.secret.proof(&format!("{side} {nonce:016x} {name}"));
        bytes::Bytes::copy_from_slice(digest.as_bytes())
    }

    fn proved(&self, side: &str, nonce: u64, name: &str, shown: &[u8]) -> bool {
        let digest = self.secret.proof(&format!("{side} {nonce:016x} {name}"));
        digest.matches_bytes(shown)
    }

    /// Opens the connecting side; gives the other side's name.
    ///
    /// # Errors
    /// When the stream ends or the other side does not prove itself.
    pub async fn open(&self, stream: &mut Stream) -> Result<MachineName> {
        let Body::Challenge(challenge) = next(stream).await? else {
            bail!("expected a challenge");
        };
        let nonce = rand::random();
        let hello = Hello {
            name: self.name.to_string(),
            proof: self.proof("hello", challenge.nonce, self.name.as_str()),
            nonce,
        };
        send(stream, Body::Hello(hello)).await?;
        let Body::Welcome(welcome) = next(stream).await? else {
            bail!("expected a welcome");
        };
        if !self.proved("welcome", nonce, &welcome.name, &welcome.proof) {
            bail!("{} did not prove the deployment's secret", welcome.name);
        }
        Ok(MachineName::new(&welcome.name)?)
    }

    /// Opens the accepting side; gives the other side's name.
    ///
    /// # Errors
    /// When the stream ends or the other side does not prove itself.
    pub async fn accept(&self, stream: &mut Stream) -> Result<MachineName> {
        let nonce = rand::random();
        send(stream, Body::Challenge(Challenge { nonce })).await?;
        let Body::Hello(hello) = next(stream).await? else {
            bail!("expected a hello");
        };
        if !self.proved("hello", nonce, &hello.name, &hello.proof) {
            bail!("{} did not prove the deployment's secret", hello.name);
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
        .context("connection ended while it was opened")?
        .context("could not read while opening")?;
    envelope.body.context("empty message while opening")
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
        .context("could not write while opening")
}
