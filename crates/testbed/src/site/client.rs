//! A caller for tests: one request at a time, with every header in its hands.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use serde::Deserialize;
use serde_json::Value;
use tokio::time::Instant;
use waxwingctl::http::{Failure, send};
use world::EntryVm;
use world::unit::as_ms;

use super::files::key_of;

/// A request as a caller makes it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Service and path, as `/terminy/slots`.
    pub path: String,
    /// Customer's key.
    pub key: String,
    /// Idempotency key.
    pub operation: Option<String>,
    /// Time that the caller waits.
    pub deadline: Duration,
    /// Body.
    pub body: Bytes,
}

/// An answer, as a caller sees it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Code of the error kind.
    pub error: Option<String>,
    /// Whether the work ran.
    pub ran: Option<String>,
    /// Id of the request.
    pub request: String,
    /// Body.
    pub body: Bytes,
}

/// A caller that looks up entry VMs and tries each in turn.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<EntryVm>,
}

#[derive(Debug, Deserialize)]
struct Lookup {
    entries: Vec<EntryVm>,
}

/// Longest wait for a look-up.
const LOOKUP_WAIT: Duration = Duration::from_secs(5);

impl Call {
    /// A request of the most important customer.
    #[must_use]
    pub fn new(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            key: key_of("gold"),
            operation: None,
            deadline: Duration::from_secs(5),
            body: Bytes::new(),
        }
    }

    /// The same as an operation with this idempotency key.
    #[must_use]
    pub fn with_operation(mut self, key: &str) -> Self {
        self.method = Method::POST;
        self.operation = Some(key.to_owned());
        self
    }

    /// The same with another customer's key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// The same with another deadline.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// The same with a body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request to one entry VM's front.
    ///
    /// # Errors
    /// That no whole answer came before the deadline.
    pub async fn send_to(&self, front: SocketAddr) -> Result<Reply, Failure> {
        self.send_until(front, Instant::now() + self.deadline).await
    }

    async fn send_until(&self, front: SocketAddr, until: Instant) -> Result<Reply, Failure> {
        let left = until.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("x-waxwing-key", &self.key)
            .header("x-waxwing-deadline-ms", as_ms(left));
        if let Some(operation) = &self.operation {
            request = request.header("idempotency-key", operation);
        }
        let request = request
            .body(Full::new(self.body.clone()))
            .map_err(|e| Failure::Unreachable(e.to_string()))?;
        Ok(Reply::new(&send(front, request, left).await?))
    }
}

impl Reply {
    fn new(response: &Response<Bytes>) -> Self {
        let text = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Self {
            status: response.status().as_u16(),
            error: text("x-waxwing-error"),
            ran: text("x-waxwing-ran"),
            request: text("x-waxwing-request").unwrap_or_default(),
            body: response.body().clone(),
        }
    }

    /// The body as JSON; `Null` when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Status, error and whether the work ran, in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        let or_dash = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".into());
        format!(
            "{} {} {}",
            self.status,
            or_dash(&self.error),
            or_dash(&self.ran)
        )
    }
}

impl Client {
    /// Asks one desk which entry VMs to use.
    ///
    /// # Errors
    /// When it can't be reached or refuses.
    pub async fn new(desk: SocketAddr, service: &str) -> anyhow::Result<Self> {
        Self::ask(desk, &format!("/v1/lookup?service={service}")).await
    }

    /// As [`Self::new`], for a client at this address.
    ///
    /// # Errors
    /// When it can't be reached or refuses.
    pub async fn at(desk: SocketAddr, service: &str, client: IpAddr) -> anyhow::Result<Self> {
        let path = format!("/v1/lookup?service={service}&client={client}");
        Self::ask(desk, &path).await
    }

    async fn ask(desk: SocketAddr, path: &str) -> anyhow::Result<Self> {
        let request = Request::get(path);
        let response = send(desk, request.body(Full::default())?, LOOKUP_WAIT).await?;
        let text = String::from_utf8_lossy(response.body());
        let lookup: Lookup = serde_json::from_str(&text)
            .with_context(|| format!("could not read look-up {text:?}"))?;
        Ok(Self {
            entries: lookup.entries,
        })
    }

    /// Entry VMs to use, best first.
    #[must_use]
    pub fn entries(&self) -> &[EntryVm] {
        &self.entries
    }

    /// Makes a call through each entry VM in turn until one answers; a
    /// refusal that says to go elsewhere at once counts as no answer.
    ///
    /// # Errors
    /// The last failure, when the deadline passed or none answered.
    pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let until = Instant::now() + call.deadline;
        let mut last = Failure::Unreachable("no entry VM is known".into());
        for entry in &self.entries {
            match call.send_until(entry.front_addr, until).await {
                Ok(reply) if reply.error.as_deref() != Some("leaving") => return Ok(reply),
                Ok(reply) => last = Failure::Broken(reply.summary()),
                Err(Failure::Timeout) => return Err(Failure::Timeout),
                Err(failure) => last = failure,
            }
        }
        Err(last)
    }
}
