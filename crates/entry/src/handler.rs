//! Handles a client's request: authentication, admission, attempts, response.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use balancer::{Fingerprint, Work};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::time::Instant;
use world::unit::{as_us, ms};
use world::{Contract, Error, ErrorKind};

use crate::admission_control::Admitted;
use crate::attempt::AttemptResponse;
use crate::body::{ResponseBody, Stream};
use crate::forwarded::ForwardHeaders;
use crate::headers;
use crate::inbound::InboundRequest;
use crate::metrics::Labels;
use crate::operations::{self, OperationDispatch};
use crate::refusal::refuse;
use crate::retry::RetryLoop;
use crate::state::{ActiveConfig, State};

/// Handles one request; errors become refusals.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<ResponseBody> {
    let started_at = Instant::now();
    let active_config = state.active_config();
    let (id, forwarded) = match ForwardHeaders::read(&state, request.headers()) {
        Ok(Some(forwarded)) => (forwarded.id.clone(), Ok(Some(forwarded))),
        other => (format!("{:016x}", rand::random::<u64>()), other),
    };
    let mut labels = Labels::default();
    let result = match forwarded {
        Ok(forwarded) => {
            process(
                &state,
                &active_config,
                request,
                (&id, forwarded),
                &mut labels,
            )
            .await
        }
        Err(error) => Err(error),
    };
    let mut response = result.unwrap_or_else(|error| {
        log::info!(target: "entry", request = id.as_str(), error:% = error; "refused");
        state.metrics.count_refusal(&labels, error.kind);
        refuse(&error, &id)
    });
    add_headers(&mut response, &active_config, &id);
    let took = started_at.elapsed();
    state.metrics.observe_response(&labels, took);
    log::debug!(
        target: "entry",
        request = id.as_str(),
        status = response.status().as_u16(),
        took_us = as_us(took);
        "answered"
    );
    response
}

/// Refuses requests until the first configuration has been received: before that, a
/// valid customer would be refused as unknown.
///
/// # Errors
/// [`ErrorKind::Leaving`], so that the client tries another entry VM at once.
pub fn require_config(active_config: &ActiveConfig) -> Result<(), Error> {
    if active_config.config.version > 0 {
        return Ok(());
    }
    let text = "this entry VM is starting and has no configuration yet";
    Err(Error::new(ErrorKind::Leaving, text))
}

fn add_headers(response: &mut Response<ResponseBody>, active_config: &ActiveConfig, id: &str) {
    let response_headers = response.headers_mut();
    response_headers.insert(headers::CONFIG, active_config.config.version.into());
    if let Ok(value) = HeaderValue::from_str(id) {
        response_headers.insert(headers::REQUEST, value);
    }
}

/// Runs the request: one attempt if it was forwarded, through the ledger if it is a
/// non-idempotent operation, else in the retry loop.
async fn process(
    state: &Arc<State>,
    active_config: &ActiveConfig,
    request: Request<Incoming>,
    (id, forwarded): (&str, Option<ForwardHeaders>),
    labels: &mut Labels,
) -> Result<Response<ResponseBody>, Error> {
    require_config(active_config)?;
    let client = request.extensions().get::<IpAddr>().copied();
    let inbound = InboundRequest::read(request).await?;
    let contract = active_config
        .book
        .contract(&inbound.key, &inbound.service)?;
    *labels = Labels::of(&contract);
    let deadline = inbound.arrived_at + request_timeout(&inbound, &contract);
    let work = work(state, &inbound, &contract, forwarded.as_ref())?;
    if let Some(forwarded) = forwarded {
        let response = forwarded
            .run(state, &inbound, &contract, &work, deadline)
            .await?;
        return Ok(stream_response(response, None));
    }
    if let Some(client) = client
        && let Err(refused) = state.admit_client(client, &contract)
        && !state.admission.has_capacity(&contract.service)
    {
        // The shift plan that `admit_client` checks may be out of date, so its refusal
        // counts only if this VM has no free slot.
        return Err(refused);
    }
    let admitted = state.admission.admit_request(Instant::now(), &contract);
    if operations::requires_ledger(&inbound, &contract) {
        let dispatch = OperationDispatch::new(state, inbound, contract, work, admitted, id);
        return state.operation_runner()?.run(dispatch, deadline).await;
    }
    let admitted = admitted?;
    let retry_loop = RetryLoop {
        state,
        inbound: &inbound,
        contract: &contract,
        id,
        deadline,
    };
    let response = retry_loop.run(work).await?;
    Ok(stream_response(response, Some(admitted)))
}

fn stream_response(
    response: AttemptResponse,
    admitted: Option<Admitted>,
) -> Response<ResponseBody> {
    let AttemptResponse {
        head,
        body,
        open_attempt,
    } = response;
    let stream = Stream::new(body, open_attempt, admitted);
    Response::from_parts(head, ResponseBody::Stream(Box::new(stream)))
}

/// Describes the request for the choice of a backend server.
fn work(
    state: &State,
    inbound: &InboundRequest,
    contract: &Contract,
    forwarded: Option<&ForwardHeaders>,
) -> Result<Work, Error> {
    let fingerprint = Fingerprint::of(&[
        contract.customer.as_str().as_bytes(),
        inbound.method.as_str().as_bytes(),
        inbound.service.as_bytes(),
        inbound.rest.as_bytes(),
        &inbound.body,
    ]);
    if let Some(forwarded) = forwarded {
        forwarded.mark(state, fingerprint);
    }
    let alone = state.admission.runs_alone(Instant::now(), fingerprint)?;
    let work = Work::new(contract.service.class, fingerprint)
        .with_idempotent(contract.service.idempotent || inbound.method.is_safe())
        .with_alone(alone);
    Ok(work)
}

/// Timeout of a request: the client's, but no longer than the service's.
fn request_timeout(inbound: &InboundRequest, contract: &Contract) -> Duration {
    let longest = ms(contract.service.deadline_ms);
    inbound.timeout.map_or(longest, |given| given.min(longest))
}
