//! Sends one operation to a backend server, over a new connection.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use balancer::{Outcome, Work};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use idempotency::limits::ANSWER_MAX_BYTES;
use idempotency::{Dispatch, DispatchResult, ExecutionGrant, Storable, StoredAnswer};
use tokio::time::{Instant, timeout_at};
use world::{Contract, Error, ErrorKind};

use super::LATE_RESPONSE_TIMEOUT;
use crate::admission_control::Admitted;
use crate::attempt::{AttemptRequest, AttemptResponse, Failure, open, validate_response};
use crate::destination::acquire_destination;
use crate::inbound::InboundRequest;
use crate::open_attempt::OpenAttempt;
use crate::state::State;

/// Largest response of an operation, bytes; it is buffered whole before it is returned.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// An operation that is to be sent to a backend server.
pub struct OperationDispatch {
    pub(super) inbound: InboundRequest,
    pub(super) contract: Contract,
    state: Arc<State>,
    work: Work,
    admitted: Result<Admitted, Error>,
    request: String,
}

/// A whole response of a backend server.
pub struct BufferedResponse {
    /// Status and headers.
    pub head: Parts,
    /// Whole body of the response.
    pub body: Bytes,
}

impl Storable for BufferedResponse {
    fn to_stored(&self) -> Option<StoredAnswer> {
        let mut response = StoredAnswer::new(self.head.status.as_u16(), self.body.to_vec());
        for (name, value) in &self.head.headers {
            response = response.with_header(name.as_str(), value.as_bytes());
        }
        (response.size_bytes() <= ANSWER_MAX_BYTES).then_some(response)
    }
}

impl OperationDispatch {
    /// An operation that a client requested.
    ///
    /// An operation over its plan limit is still looked up in the ledger: the refusal
    /// says "not run", which would be false if an earlier request ran it.
    #[must_use]
    pub fn new(
        state: &Arc<State>,
        inbound: InboundRequest,
        contract: Contract,
        work: Work,
        admitted: Result<Admitted, Error>,
        request: &str,
    ) -> Self {
        Self {
            inbound,
            contract,
            state: Arc::clone(state),
            work,
            admitted,
            request: request.into(),
        }
    }

    fn http_request(
        &self,
        open_attempt: &OpenAttempt,
        grant: &ExecutionGrant,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let attempt_request = AttemptRequest {
            inbound: &self.inbound,
            id: &self.request,
            deadline: grant.deadline,
            fence: Some(grant.fence),
            fingerprint: self.work.fingerprint,
            // Not read by `http`: the connection is open already.
            fresh: false,
            reused: AtomicBool::new(false),
        };
        attempt_request.http(&self.state, &open_attempt.destination, &open_attempt.peer)
    }

    async fn exchange(
        &self,
        mut open_attempt: OpenAttempt,
        request: Request<Full<Bytes>>,
    ) -> DispatchResult<BufferedResponse> {
        let sent = open_attempt.connection.send(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let text = format!("{}: {}", open_attempt.peer.name, error.error());
                if unsent {
                    open_attempt.end(Outcome::ConnectFailed);
                    return DispatchResult::NotRun(Error::new(ErrorKind::NoServer, text));
                }
                open_attempt.end(Outcome::ConnectionLost);
                return DispatchResult::Unknown(Error::new(ErrorKind::ServerFailed, text));
            }
        };
        let peer = open_attempt.peer.clone();
        match validate_response(response, &self.request, &peer, open_attempt) {
            Ok(response) => buffer(response).await,
            Err(failure) => failure_result(failure).await,
        }
    }
}

impl Dispatch for OperationDispatch {
    type Answer = BufferedResponse;
    type Ready = OpenAttempt;

    async fn ready(&mut self, deadline: Instant) -> Result<OpenAttempt, Error> {
        if let Err(error) = &self.admitted {
            return Err(error.clone());
        }
        let destination =
            acquire_destination(&self.state, &self.contract, &self.work, deadline).await?;
        let peer = destination.peer()?;
        let connection = timeout_at(deadline, open(&self.state, &destination, &peer))
            .await
            .map_err(|_| Error::new(ErrorKind::DeadlineWaiting, "no connection in time"))??;
        Ok(OpenAttempt::new(&self.state, destination, peer, connection))
    }

    async fn send(
        &mut self,
        open_attempt: OpenAttempt,
        grant: &ExecutionGrant,
    ) -> DispatchResult<BufferedResponse> {
        let request = match self.http_request(&open_attempt, grant) {
            Ok(request) => request,
            Err(error) => return DispatchResult::NotRun(error),
        };
        if Instant::now() >= grant.expires_at {
            let text = "the right to send ended before the first byte";
            return DispatchResult::NotRun(Error::new(ErrorKind::DeadlineWaiting, text));
        }
        let name = open_attempt.peer.name.clone();
        let gives_up_at = grant.deadline + LATE_RESPONSE_TIMEOUT;
        let exchange = self.exchange(open_attempt, request);
        timeout_at(gives_up_at, exchange).await.unwrap_or_else(|_| {
            let text = format!("{name} was running");
            DispatchResult::Unknown(Error::new(ErrorKind::DeadlineRunning, text))
        })
    }
}

/// Maps a failure to a result: a server's error response is the operation's response,
/// and other failures leave it unknown or not run.
async fn failure_result(failure: Failure) -> DispatchResult<BufferedResponse> {
    match failure.server_response {
        Some(response) => buffer(*response).await,
        None if failure.may_have_run => DispatchResult::Unknown(failure.error),
        None => DispatchResult::NotRun(failure.error),
    }
}

/// Reads the whole response into memory.
async fn buffer(response: AttemptResponse) -> DispatchResult<BufferedResponse> {
    let AttemptResponse {
        mut head,
        body,
        open_attempt,
    } = response;
    match Limited::new(body, RESPONSE_MAX_BYTES).collect().await {
        Ok(body) => {
            open_attempt.finish();
            head.headers.remove(CONTENT_LENGTH);
            let body = body.to_bytes();
            DispatchResult::Answer(BufferedResponse { head, body })
        }
        Err(error) => {
            let name = open_attempt.peer.name.clone();
            open_attempt.end(Outcome::Failed);
            let text = if error.is::<LengthLimitError>() {
                format!("{name}: answer over {RESPONSE_MAX_BYTES} bytes")
            } else {
                format!("{name}: answer cut off: {error}")
            };
            DispatchResult::Unknown(Error::new(ErrorKind::BadAnswer, text))
        }
    }
}
