//! For some seconds a server fails part of the requests that it runs, with a 503 of its own
//! that does not say that the request did not run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::{LIMITS, await_service, request, route, service, upsert};
use crate::record::Record;
use crate::server::{Handling, Server};
use crate::site::{Site, ZONES};

/// Servers, one of which fails requests: a share of 0.125.
const SERVERS: usize = 8;

/// Of this many requests at the failing server one fails: a share of 0.33.
const FAILS_ONE_IN: usize = 3;

/// Time for which it fails them.
const FAILING: Duration = Duration::from_secs(6);

const CLIENTS: usize = 24;

/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(20);

/// Statuses that promise that a request has not run and won't.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Option<String>> {
    let site = Site::start(record, 2)?;
    let routes = [route(
        "r-confirm",
        "/confirm/",
        "unsafe",
        "bookings",
        1_500,
        5,
    )];
    site.order(
        0,
        "/config/patch",
        &upsert(&[service("bookings")], Some(LIMITS), &routes),
    )?;
    let is_failing = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let is_failing = Arc::clone(&is_failing);
        let handle = move |n: usize| {
            let fails = at == 0 && is_failing.load(Ordering::SeqCst) && n % FAILS_ONE_IN == 0;
            if fails {
                Handling::FailWith503
            } else {
                Handling::Run
            }
        };
        let (id, zone, ip) = (
            format!("i-{at}"),
            ZONES[at % ZONES.len()].0,
            site.server_ip(at),
        );
        servers.push(Server::start(
            &id,
            "bookings",
            zone,
            ip,
            site.controls(),
            record,
            handle,
        )?);
    }
    for entry in 0..2 {
        await_service(record, site.front(entry), "POST", "/confirm/warm")?;
    }
    sleep(Duration::from_secs(2));
    is_failing.store(trouble, Ordering::SeqCst);
    let until = Instant::now() + FAILING;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, front) = (Arc::clone(record), site.front(client % 2));
            spawn(move || confirm_until(&record, front, client, until))
        })
        .collect();
    let mut sent = 0;
    let mut promised = Vec::new();
    for client in clients {
        let (count, ids) = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        sent += count;
        promised.extend(ids);
    }
    let arrivals: Vec<_> = servers
        .iter()
        .flat_map(|server| server.arrivals())
        .collect();
    promised.retain(|id| arrivals.contains(id));
    for id in &promised {
        record.line(&format!(
            "{id} has run and its client was promised that it has not"
        ));
    }
    Ok((!promised.is_empty()).then(|| {
        let broken = promised.len();
        format!("REFUSED: {broken} of {sent} unsafe requests were answered 503 and have run")
    }))
}

/// Sends requests; returns their number and the ids of those that were answered with a
/// promise that they have not run.
fn confirm_until(
    record: &Arc<Record>,
    front: SocketAddr,
    client: usize,
    until: Instant,
) -> (usize, Vec<String>) {
    let mut promised = Vec::new();
    let mut sent = 0;
    while Instant::now() < until {
        let id = format!("booking-{client}-{sent}");
        let response = request(record, front, "POST", "/confirm/7", &id);
        if response.is_some_and(|r| PROMISES.contains(&r.status())) {
            promised.push(id);
        }
        sent += 1;
        sleep(PAUSE);
    }
    (sent, promised)
}
