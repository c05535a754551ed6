//! Calls to the desks of control VMs and entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use world::{Change, Config, Kind, Lifecycle, MachineName, Place, ServerName, ServiceName};

use crate::failure::{Failure, Sort};
use crate::http;

const KEY: &str = "x-waxwing-key";

/// Longest wait for one answer.
const ANSWER_WAIT: Duration = Duration::from_secs(5);

/// Time within which some control VM has to give a definite answer.
const TRY_FOR: Duration = Duration::from_secs(15);

/// Wait before the control VMs are tried again.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Control VMs and the operator's key.
#[derive(Clone, Debug)]
pub struct Control {
    addrs: Vec<SocketAddr>,
    key: String,
}

/// What a control VM answers to an accepted change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// Version that the change made.
    pub version: u64,
}

/// What a desk says about itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the machine.
    pub name: MachineName,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Entry VMs that it knows.
    #[serde(default)]
    pub entries: Vec<Entry>,
    /// Backend servers that it knows.
    #[serde(default)]
    pub servers: Vec<Backend>,
    /// Backend servers that it owns.
    #[serde(default)]
    pub owned: Vec<ServerName>,
    /// Everything else that it says.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// An entry VM as a desk knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Name.
    pub name: MachineName,
    /// Address of its desk.
    pub desk_addr: SocketAddr,
}

/// A backend server as a desk knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Backend {
    /// Name.
    pub name: ServerName,
    /// Service it offers.
    pub service: ServiceName,
    /// Where it stands.
    pub place: Place,
    /// Whether it takes new work.
    #[serde(default)]
    pub lifecycle: Lifecycle,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    error: String,
    #[serde(default)]
    detail: String,
}

/// What one attempt at one control VM came to.
enum Attempt<T> {
    Done(T),
    Refused(Failure),
    /// Try another; whether the call may have taken effect.
    Another(String, bool),
}

impl Control {
    /// Control VMs by the addresses of their desks.
    #[must_use]
    pub fn new(addrs: Vec<SocketAddr>, key: impl Into<String>) -> Self {
        Self {
            addrs,
            key: key.into(),
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// A refusal, or that no control VM could be reached.
    pub async fn config(&self) -> Result<Config, Failure> {
        self.call("GET", "/v1/config", Bytes::new()).await
    }

    /// Asks for a change; a resend of the same one is harmless.
    ///
    /// # Errors
    /// A refusal, that no control VM could be reached, or that the outcome
    /// isn't known.
    pub async fn change(&self, change: &Change) -> Result<Accepted, Failure> {
        let body = serde_json::to_vec(change).map_err(|e| {
            let text = format!("could not write change: {e}");
            Failure::new(Sort::Failed, text, "report this fault")
        })?;
        self.call("POST", "/v1/changes", body.into()).await
    }

    /// Status of every control VM, in order of the addresses.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Result<Status, Failure>)> {
        statuses(&self.addrs).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        let until = Instant::now() + TRY_FOR;
        let mut in_doubt = false;
        loop {
            let mut last = String::from("no control VM was named");
            for addr in &self.addrs {
                match self.attempt(*addr, method, path, body.clone()).await {
                    Attempt::Done(answer) => return Ok(answer),
                    Attempt::Refused(failure) => return Err(failure),
                    Attempt::Another(why, doubt) => {
                        in_doubt |= doubt;
                        last = why;
                    }
                }
            }
            if Instant::now() + RETRY_WAIT >= until {
                return Err(self.nobody(&last, in_doubt));
            }
            sleep(RETRY_WAIT).await;
        }
    }

    fn nobody(&self, last: &str, in_doubt: bool) -> Failure {
        let tried = self.addrs.len();
        if in_doubt {
            return Failure::new(
                Sort::Unknown,
                format!("no control VM gave a definite answer ({tried} tried): {last}"),
                "send it again with the same --id; it takes effect once at most",
            );
        }
        Failure::new(
            Sort::Unreachable,
            format!("could not reach a control VM that takes the call ({tried} tried): {last}"),
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
            .header(KEY, &self.key)
            .header("content-type", "application/json")
            .body(Full::new(body));
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                let text = format!("could not make the call: {e}");
                let next = "check that --key-file holds one line of plain text";
                return Attempt::Refused(Failure::new(Sort::Usage, text, next));
            }
        };
        match http::send(addr, request, ANSWER_WAIT).await {
            Ok(response) => read(addr, &response, is_change),
            Err(e) => {
                let doubt = is_change && !matches!(e, http::Failure::Unreachable(_));
                Attempt::Another(format!("{addr}: {e}"), doubt)
            }
        }
    }
}

/// Status of every desk, in order of the addresses.
pub async fn statuses(addrs: &[SocketAddr]) -> Vec<(SocketAddr, Result<Status, Failure>)> {
    let mut all = Vec::new();
    for addr in addrs {
        all.push((*addr, status(*addr).await));
    }
    all
}

/// Status of one desk.
///
/// # Errors
/// That it can't be reached, or answers something else.
pub async fn status(addr: SocketAddr) -> Result<Status, Failure> {
    let next = "check the address and that the process is running";
    let failed = |e: String| Failure::new(Sort::Unreachable, format!("{addr}: {e}"), next);
    let request = Request::get("/v1/status")
        .body(Full::default())
        .map_err(|e| failed(e.to_string()))?;
    let response = http::send(addr, request, ANSWER_WAIT)
        .await
        .map_err(|e| failed(e.to_string()))?;
    serde_json::from_slice(response.body()).map_err(|e| failed(format!("bad status: {e}")))
}

fn read<T: DeserializeOwned>(
    addr: SocketAddr,
    response: &Response<Bytes>,
    is_change: bool,
) -> Attempt<T> {
    if response.status().is_success() {
        return match serde_json::from_slice(response.body()) {
            Ok(answer) => Attempt::Done(answer),
            Err(e) => Attempt::Another(format!("{addr}: bad answer: {e}"), is_change),
        };
    }
    let Ok(refusal) = serde_json::from_slice::<Refusal>(response.body()) else {
        let why = format!("{addr}: answered {}", response.status());
        return Attempt::Another(why, is_change);
    };
    let Some(kind) = Kind::from_code(&refusal.error) else {
        let why = format!("{addr}: unknown error {:?}", refusal.error);
        return Attempt::Another(why, is_change);
    };
    match kind {
        Kind::NotLeader | Kind::Leaving | Kind::Unreachable => {
            Attempt::Another(format!("{addr}: {kind}: {}", refusal.detail), false)
        }
        Kind::NoQuorum | Kind::Internal => {
            Attempt::Another(format!("{addr}: {kind}: {}", refusal.detail), is_change)
        }
        _ => Attempt::Refused(Failure::refused(kind, &refusal.detail)),
    }
}
