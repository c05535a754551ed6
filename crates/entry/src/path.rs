//! The path of a request through an entry VM.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::time::Instant;
use world::unit::{as_us, ms};
use world::{Contract, Error};

use crate::answer::{CONFIG_HEADER, REQUEST_HEADER, refuse};
use crate::ask::Ask;
use crate::back;
use crate::body::{AnswerBody, Slot};
use crate::booking;
use crate::state::{InForce, State};

/// Answers one request.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<AnswerBody> {
    let id = format!("{:016x}", rand::random::<u64>());
    let started_at = Instant::now();
    let in_force = state.in_force();
    let mut response = match run(&state, &in_force, request, &id).await {
        Ok(response) => response,
        Err(error) => {
            log::info!(target: "entry", request = id.as_str(), error:% = error; "refused");
            refuse(&error, &id)
        }
    };
    let headers = response.headers_mut();
    headers.insert(CONFIG_HEADER, in_force.config.version.into());
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_HEADER, value);
    }
    log::debug!(
        target: "entry",
        request = id.as_str(),
        status = response.status().as_u16(),
        took_us = as_us(started_at.elapsed());
        "answered"
    );
    response
}

async fn run(
    state: &Arc<State>,
    in_force: &InForce,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<AnswerBody>, Error> {
    let ask = Ask::read(request).await?;
    let contract = in_force.book.contract(&ask.key, &ask.service)?;
    let deadline = ask.arrived_at + deadline(&ask, &contract);
    if booking::concerns(&ask, &contract) {
        let bookings = state.bookings()?;
        return bookings.answer(state, ask, &contract, id, deadline).await;
    }
    let server = state
        .leases
        .lock()
        .take(Instant::now(), &ask.service, |s| {
            !in_force.config.drains_server(&s.name, &s.place)
        })?;
    let slot = Slot::new(Arc::clone(state), server.name.clone());
    back::send(&server, &ask, id, deadline, slot).await
}

fn deadline(ask: &Ask, contract: &Contract) -> std::time::Duration {
    let longest = ms(contract.service.deadline_ms);
    ask.deadline.map_or(longest, |given| given.min(longest))
}
