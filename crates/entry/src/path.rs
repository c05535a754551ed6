//! The path of a request through an entry VM.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use balancer::{Fingerprint, Work};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::time::Instant;
use world::unit::{as_us, ms};
use world::{Contract, Error, Kind};

use crate::answer::refuse;
use crate::arrival::Arrival;
use crate::ask::Ask;
use crate::attempt::Answered;
use crate::body::{AnswerBody, Stream};
use crate::booking::{self, Exchange};
use crate::gate::Admitted;
use crate::headers;
use crate::metrics::Labels;
use crate::state::{InForce, State};
use crate::tries::Tries;

/// Answers one request.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started_at = Instant::now();
    let in_force = state.in_force();
    let (id, arrival) = match Arrival::read(&state, request.headers()) {
        Ok(Some(arrival)) => (arrival.id.clone(), Ok(Some(arrival))),
        other => (format!("{:016x}", rand::random::<u64>()), other),
    };
    let mut labels = Labels::default();
    let ran = match arrival {
        Ok(arrival) => run(&state, &in_force, request, (&id, arrival), &mut labels).await,
        Err(error) => Err(error),
    };
    let mut response = ran.unwrap_or_else(|error| {
        log::info!(target: "entry", request = id.as_str(), error:% = error; "refused");
        state.metrics.refused(&labels, error.kind);
        refuse(&error, &id)
    });
    stamp(&mut response, &in_force, &id);
    let took = started_at.elapsed();
    state.metrics.answered(&labels, took);
    log::debug!(
        target: "entry",
        request = id.as_str(),
        status = response.status().as_u16(),
        took_us = as_us(took);
        "answered"
    );
    response
}

/// Refuses while no configuration has come here: whom it would take for
/// unknown may well be known.
///
/// # Errors
/// [`Kind::Leaving`], so that the caller goes to another entry VM at once.
pub fn known(in_force: &InForce) -> Result<(), Error> {
    if in_force.config.version > 0 {
        return Ok(());
    }
    let text = "this entry VM is starting and has no configuration yet";
    Err(Error::new(Kind::Leaving, text))
}

fn stamp(response: &mut Response<AnswerBody>, in_force: &InForce, id: &str) {
    let stamped = response.headers_mut();
    stamped.insert(headers::CONFIG, in_force.config.version.into());
    if let Ok(value) = HeaderValue::from_str(id) {
        stamped.insert(headers::REQUEST, value);
    }
}

async fn run(
    state: &Arc<State>,
    in_force: &InForce,
    request: Request<Incoming>,
    (id, arrival): (&str, Option<Arrival>),
    labels: &mut Labels,
) -> Result<Response<AnswerBody>, Error> {
    known(in_force)?;
    let client = request.extensions().get::<IpAddr>().copied();
    let ask = Ask::read(request).await?;
    let contract = in_force.book.contract(&ask.key, &ask.service)?;
    *labels = Labels::of(&contract);
    let deadline = ask.arrived_at + deadline(&ask, &contract);
    let work = work(state, &ask, &contract, arrival.as_ref())?;
    if let Some(arrival) = arrival {
        let answered = arrival.run(state, &ask, &contract, &work, deadline).await?;
        return Ok(passed_on(answered, None));
    }
    if let Some(client) = client
        && let Err(refused) = state.arrived(client, &contract)
        && !state.gate.has_room(&contract.service)
    {
        // What the plan of shifts has no room for may have found some since.
        return Err(refused);
    }
    let admitted = state.gate.pass(Instant::now(), &contract);
    if booking::concerns(&ask, &contract) {
        let exchange = Exchange::new(state, ask, contract, work, admitted, id);
        return state.bookings()?.answer(exchange, deadline).await;
    }
    let admitted = admitted?;
    let tries = Tries {
        state,
        ask: &ask,
        contract: &contract,
        id,
        deadline,
    };
    let answered = tries.run(work).await?;
    Ok(passed_on(answered, Some(admitted)))
}

fn passed_on(answered: Answered, admitted: Option<Admitted>) -> Response<AnswerBody> {
    let Answered { head, body, flow } = answered;
    let stream = Stream::new(body, flow, admitted);
    Response::from_parts(head, AnswerBody::Stream(Box::new(stream)))
}

/// The request as the choice of a backend server sees it.
fn work(
    state: &State,
    ask: &Ask,
    contract: &Contract,
    arrival: Option<&Arrival>,
) -> Result<Work, Error> {
    let fingerprint = Fingerprint::of(&[
        contract.customer.as_str().as_bytes(),
        ask.method.as_str().as_bytes(),
        ask.service.as_bytes(),
        ask.rest.as_bytes(),
        &ask.body,
    ]);
    if let Some(arrival) = arrival {
        arrival.mark(state, fingerprint);
    }
    let alone = state.gate.alone(Instant::now(), fingerprint)?;
    let work = Work::new(contract.service.class, fingerprint)
        .with_idempotent(contract.service.idempotent || ask.method.is_safe())
        .with_alone(alone);
    Ok(work)
}

fn deadline(ask: &Ask, contract: &Contract) -> Duration {
    let longest = ms(contract.service.deadline_ms);
    ask.deadline.map_or(longest, |given| given.min(longest))
}
