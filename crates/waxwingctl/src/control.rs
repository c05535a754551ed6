//! Client of the control API, and of the status endpoint of entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use world::{Change, Config, ErrorKind, Lifecycle, MachineName, Place, ServerName, ServiceName};

use crate::failure::{Failure, FailureKind};
use crate::http;

const KEY_HEADER: &str = "x-waxwing-key";

/// Timeout of one request to one VM.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a call, over all attempts at all control VMs.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before all control VMs are tried once more.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client of the control VMs, which authenticates with an operator's key.
#[derive(Clone, Debug)]
pub struct ControlClient {
    addrs: Vec<SocketAddr>,
    key: String,
}

/// Response of a control VM to an accepted change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// Version that the change created.
    pub version: u64,
}

/// Status that a control VM or an entry VM reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the machine.
    pub name: MachineName,
    /// Version of the configuration in effect on the machine.
    pub config_version: u64,
    /// Entry VMs known to the machine.
    #[serde(default)]
    pub entries: Vec<Entry>,
    /// Backend servers known to the machine.
    #[serde(default)]
    pub servers: Vec<BackendServer>,
    /// Backend servers owned by the machine.
    #[serde(default)]
    pub owned: Vec<ServerName>,
    /// All other reported fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// An entry VM, as reported in a status.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Name of the VM.
    pub name: MachineName,
    /// Address of its API.
    pub desk_addr: SocketAddr,
}

/// A backend server, as reported in a status.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BackendServer {
    /// Name of the backend server.
    pub name: ServerName,
    /// Service it provides.
    pub service: ServiceName,
    /// Its failure domain and region.
    pub place: Place,
    /// Whether it accepts new work.
    #[serde(default)]
    pub lifecycle: Lifecycle,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    error: String,
    #[serde(default)]
    detail: String,
}

/// Result of one attempt at one control VM.
enum Attempt<T> {
    Success(T),
    /// Refused in a way that no other control VM would decide differently.
    Refused(Failure),
    /// Another control VM or a later attempt may succeed. Holds the cause, and
    /// whether this attempt may have taken effect.
    Retryable(String, bool),
}

impl ControlClient {
    /// Creates a client of the control VMs whose APIs listen on these addresses.
    #[must_use]
    pub fn new(addrs: Vec<SocketAddr>, key: impl Into<String>) -> Self {
        Self {
            addrs,
            key: key.into(),
        }
    }

    /// Fetches the configuration in effect.
    ///
    /// # Errors
    /// If the request is refused or no control VM can be reached.
    pub async fn config(&self) -> Result<Config, Failure> {
        self.call("GET", "/v1/config", Bytes::new()).await
    }

    /// Requests a change. The same change may be sent again: its id makes it take
    /// effect at most once.
    ///
    /// # Errors
    /// If the change is refused, no control VM can be reached, or the outcome
    /// is unknown.
    pub async fn change(&self, change: &Change) -> Result<Accepted, Failure> {
        let body = serde_json::to_vec(change).map_err(|e| {
            let text = format!("could not write change: {e}");
            Failure::new(FailureKind::Failed, text, "report this fault")
        })?;
        self.call("POST", "/v1/changes", body.into()).await
    }

    /// Fetches the status of every control VM, in the order of the addresses.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Result<Status, Failure>)> {
        statuses(&self.addrs).await
    }

    /// Sends a request to each control VM in turn until one returns a definite
    /// response.
    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut may_have_run = false;
        loop {
            let mut last_cause = String::from("no control VM was named");
            for addr in &self.addrs {
                match self.attempt(*addr, method, path, body.clone()).await {
                    Attempt::Success(response) => return Ok(response),
                    Attempt::Refused(failure) => return Err(failure),
                    Attempt::Retryable(cause, attempt_may_have_run) => {
                        may_have_run |= attempt_may_have_run;
                        last_cause = cause;
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(self.no_response(&last_cause, may_have_run));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Failure of a call that got no definite response from any control VM.
    fn no_response(&self, last_cause: &str, may_have_run: bool) -> Failure {
        let tried = self.addrs.len();
        if may_have_run {
            return Failure::new(
                FailureKind::Unknown,
                format!("no control VM gave a definite answer ({tried} tried): {last_cause}"),
                "send it again with the same --id; it takes effect once at most",
            );
        }
        Failure::new(
            FailureKind::Unreachable,
            format!(
                "could not reach a control VM that takes the call ({tried} tried): {last_cause}"
            ),
            "check --control and that a majority of control VMs is running; nothing was changed",
        )
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Attempt<T> {
        let is_change = method == "POST";
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(KEY_HEADER, &self.key)
            .header("content-type", "application/json")
            .body(Full::new(body));
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                let text = format!("could not make the call: {e}");
                let next = "check that --key-file holds one line of plain text";
                return Attempt::Refused(Failure::new(FailureKind::Usage, text, next));
            }
        };
        match http::send(addr, request, RESPONSE_TIMEOUT).await {
            Ok(response) => classify(addr, &response, is_change),
            Err(e) => {
                let may_have_run = is_change && !matches!(e, http::Failure::Unreachable(_));
                Attempt::Retryable(format!("{addr}: {e}"), may_have_run)
            }
        }
    }
}

/// Fetches the status of each of these machines, in the order of the addresses.
pub async fn statuses(addrs: &[SocketAddr]) -> Vec<(SocketAddr, Result<Status, Failure>)> {
    let mut all = Vec::new();
    for addr in addrs {
        all.push((*addr, status(*addr).await));
    }
    all
}

/// Fetches the status of a control VM or an entry VM.
///
/// # Errors
/// If the machine can't be reached or the response is not a status.
pub async fn status(addr: SocketAddr) -> Result<Status, Failure> {
    let next = "check the address and that the process is running";
    let failed = |e: String| Failure::new(FailureKind::Unreachable, format!("{addr}: {e}"), next);
    let request = Request::get("/v1/status")
        .body(Full::default())
        .map_err(|e| failed(e.to_string()))?;
    let response = http::send(addr, request, RESPONSE_TIMEOUT)
        .await
        .map_err(|e| failed(e.to_string()))?;
    serde_json::from_slice(response.body()).map_err(|e| failed(format!("bad status: {e}")))
}

/// Turns a response into the result of the attempt. Without a definite response a
/// change may have run.
fn classify<T: DeserializeOwned>(
    addr: SocketAddr,
    response: &Response<Bytes>,
    is_change: bool,
) -> Attempt<T> {
    if response.status().is_success() {
        return match serde_json::from_slice(response.body()) {
            Ok(body) => Attempt::Success(body),
            Err(e) => Attempt::Retryable(format!("{addr}: bad answer: {e}"), is_change),
        };
    }
    let Ok(refusal) = serde_json::from_slice::<Refusal>(response.body()) else {
        let cause = format!("{addr}: answered {}", response.status());
        return Attempt::Retryable(cause, is_change);
    };
    let Some(kind) = ErrorKind::from_code(&refusal.error) else {
        let cause = format!("{addr}: unknown error {:?}", refusal.error);
        return Attempt::Retryable(cause, is_change);
    };
    match kind {
        ErrorKind::NotLeader | ErrorKind::Leaving | ErrorKind::Unreachable => {
            Attempt::Retryable(format!("{addr}: {kind}: {}", refusal.detail), false)
        }
        ErrorKind::NoQuorum | ErrorKind::Internal => {
            Attempt::Retryable(format!("{addr}: {kind}: {}", refusal.detail), is_change)
        }
        _ => Attempt::Refused(Failure::refused(kind, &refusal.detail)),
    }
}
