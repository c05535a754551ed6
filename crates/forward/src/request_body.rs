//! Reads request bodies, within the memory for bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};
use world::{Error, ErrorKind};

use crate::dialect::Dialect;
use crate::memory::Held;
use crate::refusal::Refusal;
use crate::state::State;

/// Reads the complete body of a request, whose client waits until `deadline`. A body that
/// does not fit is refused at once.
pub(crate) async fn read<D: Dialect>(
    state: &State<D>,
    mut body: Incoming,
    max_bytes: u64,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let mut held = state.memory.hold();
    match timeout_at(deadline, collect(&mut body, &mut held, max_bytes)).await {
        Ok(Ok(whole)) => Ok(held.attach(whole)),
        Ok(Err(End::NoMemory)) => {
            drop(held);
            // A client that is still sending would lose the refusal with its connection.
            tokio::spawn(async move {
                let drained = async { while let Some(Ok(_)) = body.frame().await {} };
                let _ = timeout_at(deadline, drained).await;
            });
            Err(no_memory(state))
        }
        Ok(Err(End::TooLarge)) => Err(Refusal::new(
            ErrorKind::TooLarge,
            format!("the body is over its bound of {max_bytes} bytes"),
        )),
        Ok(Err(End::Broken(error))) => Err(Refusal::new(ErrorKind::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(
            ErrorKind::SlowCaller,
            "the body came too slowly",
        )),
    }
}

/// Why a body was not read to its end.
enum End {
    TooLarge,
    NoMemory,
    Broken(hyper::Error),
}

async fn collect(body: &mut Incoming, held: &mut Held, max_bytes: usize) -> Result<Bytes, End> {
    let expected = body.size_hint().lower();
    let expected = usize::try_from(expected).unwrap_or(usize::MAX);
    if expected > max_bytes {
        return Err(End::TooLarge);
    }
    if !held.grow(expected) {
        return Err(End::NoMemory);
    }
    let mut whole = BytesMut::with_capacity(expected);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(End::Broken)?.into_data() else {
            continue;
        };
        let len = whole.len() + data.len();
        if len > max_bytes {
            return Err(End::TooLarge);
        }
        if !held.grow(len) {
            return Err(End::NoMemory);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn no_memory<D: Dialect>(state: &State<D>) -> Refusal {
    let held = state.memory.held_bytes();
    let text = format!("no memory for the body: {held} bytes of other bodies are held");
    Refusal {
        error: Error::new(ErrorKind::Overloaded, text),
        retry_after_ms: Some(state.memory.retry_after_ms()),
    }
}
