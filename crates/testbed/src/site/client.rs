//! A test client that looks up entry VMs and sends single requests, with control over
//! each header.

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

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: Method,
    /// Service and path, such as `/terminy/slots`.
    pub path: String,
    /// Key of the customer.
    pub customer_key: String,
    /// Idempotency key; `None` for a request that is no operation.
    pub idempotency_key: Option<String>,
    /// Time until the deadline, counted from the sending.
    pub deadline: Duration,
    /// Body.
    pub body: Bytes,
}

/// A response as a client receives it.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Code of the error kind, when the entry VM refused or failed the request.
    pub error: Option<String>,
    /// Whether the request ran: `ran`, `not run` or `unknown`.
    pub ran: Option<String>,
    /// Id that the entry VM gave the request.
    pub request_id: String,
    /// Body.
    pub body: Bytes,
}

/// A client that has looked up entry VMs and sends requests through them.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<EntryVm>,
}

/// Response of a lookup, reduced to the fields that the client uses.
#[derive(Debug, Deserialize)]
struct Lookup {
    entries: Vec<EntryVm>,
}

/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

impl ClientRequest {
    /// Creates a GET request of the customer with the highest priority and a deadline of
    /// 5 s.
    #[must_use]
    pub fn new(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            customer_key: key_of("gold"),
            idempotency_key: None,
            deadline: Duration::from_secs(5),
            body: Bytes::new(),
        }
    }

    /// Makes the request a POST operation with this idempotency key.
    #[must_use]
    pub fn with_operation(mut self, key: &str) -> Self {
        self.method = Method::POST;
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Sets the customer's key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.customer_key);
        self
    }

    /// Sets the time until the deadline.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request to the address of one entry VM for clients' requests.
    ///
    /// # Errors
    /// When no complete response is received before the deadline.
    pub async fn send_to(&self, front: SocketAddr) -> Result<ClientResponse, Failure> {
        self.send_until(front, Instant::now() + self.deadline).await
    }

    async fn send_until(
        &self,
        front: SocketAddr,
        until: Instant,
    ) -> Result<ClientResponse, Failure> {
        let remaining = until.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("x-waxwing-key", &self.customer_key)
            .header("x-waxwing-deadline-ms", as_ms(remaining));
        if let Some(idempotency_key) = &self.idempotency_key {
            request = request.header("idempotency-key", idempotency_key);
        }
        let request = request
            .body(Full::new(self.body.clone()))
            .map_err(|e| Failure::Unreachable(e.to_string()))?;
        Ok(ClientResponse::new(&send(front, request, remaining).await?))
    }
}

impl ClientResponse {
    fn new(response: &Response<Bytes>) -> Self {
        let text = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Self {
            status: response.status().as_u16(),
            error: text("x-waxwing-error"),
            ran: text("x-waxwing-ran"),
            request_id: text("x-waxwing-request").unwrap_or_default(),
            body: response.body().clone(),
        }
    }

    /// Parses the body as JSON; `Null` when it is no JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the status, the error code and whether the request ran, in one line.
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
    /// Looks up the entry VMs for a service at the API of one entry VM.
    ///
    /// # Errors
    /// When the entry VM can't be reached or refuses the lookup.
    pub async fn new(api: SocketAddr, service: &str) -> anyhow::Result<Self> {
        Self::look_up(api, &format!("/v1/lookup?service={service}")).await
    }

    /// Looks up the entry VMs as [`Self::new`] does, for a client at this address.
    ///
    /// # Errors
    /// When the entry VM can't be reached or refuses the lookup.
    pub async fn new_for(api: SocketAddr, service: &str, client: IpAddr) -> anyhow::Result<Self> {
        let path = format!("/v1/lookup?service={service}&client={client}");
        Self::look_up(api, &path).await
    }

    async fn look_up(api: SocketAddr, path: &str) -> anyhow::Result<Self> {
        let request = Request::get(path);
        let response = send(api, request.body(Full::default())?, LOOKUP_TIMEOUT).await?;
        let text = String::from_utf8_lossy(response.body());
        let lookup: Lookup = serde_json::from_str(&text)
            .with_context(|| format!("could not read lookup {text:?}"))?;
        Ok(Self {
            entries: lookup.entries,
        })
    }

    /// Returns the entry VMs in preference order.
    #[must_use]
    pub fn entries(&self) -> &[EntryVm] {
        &self.entries
    }

    /// Sends a request through each entry VM in turn until one responds.
    ///
    /// The refusal of an entry VM that is starting or shutting down counts as no response.
    ///
    /// # Errors
    /// The last failure, when the deadline has passed or no entry VM responded.
    pub async fn send(&self, request: &ClientRequest) -> Result<ClientResponse, Failure> {
        let until = Instant::now() + request.deadline;
        let mut last = Failure::Unreachable("no entry VM is known".into());
        for entry in &self.entries {
            match request.send_until(entry.front_addr, until).await {
                Ok(response) if response.error.as_deref() != Some("leaving") => {
                    return Ok(response);
                }
                Ok(response) => last = Failure::Interrupted(response.summary()),
                Err(Failure::Timeout) => return Err(Failure::Timeout),
                Err(failure) => last = failure,
            }
        }
        Err(last)
    }
}
