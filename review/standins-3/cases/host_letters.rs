//! A change of the configuration adds a route of a host whose name has capital letters.

use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use super::{APPLIED, LIMITS, await_service, request_at, route, service, upsert, upsert_at};
use crate::record::Record;
use crate::server::{Handling, Server};
use crate::site::Site;

const REQUESTS: usize = 40;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Option<String>> {
    let site = Site::start(record, 2)?;
    let first = [route("r-find", "/find/", "safe", "slots", 1_000, 5)];
    site.order(
        0,
        "/config/patch",
        &upsert(&[service("slots")], Some(LIMITS), &first),
    )?;
    let mut servers = Vec::new();
    for (at, zone) in ["north-a", "south-a"].into_iter().enumerate() {
        let (id, ip, handle) = (format!("i-{at}"), site.server_ip(at), |_| Handling::Run);
        servers.push(Server::start(
            &id,
            "slots",
            zone,
            ip,
            site.controls(),
            record,
            handle,
        )?);
    }
    for entry in 0..2 {
        await_service(record, site.front(entry), "GET", "/find/warm")?;
    }
    let host = if trouble {
        "Manuals.Example"
    } else {
        "manuals.example"
    };
    let added = [route("r-manual", "/door/", "safe", "slots", 1_000, 8)];
    let status = site.order(1, "/config/patch", &upsert_at(host, &[], None, &added))?;
    if status != 200 {
        return Err(io::Error::other(format!(
            "the change was refused with {status}"
        )));
    }
    sleep(APPLIED);
    let mut refused = 0;
    for n in 0..REQUESTS {
        let (front, id) = (site.front(n % 2), format!("door-{n}"));
        let response = request_at(host, record, front, "GET", "/door/7", &id);
        refused += usize::from(response.is_some_and(|r| r.status() == 404));
        sleep(Duration::from_millis(25));
    }
    let config = site.config()?;
    record.line(&format!("operator: read back {config}"));
    let is_there = config.contains(&added[0]);
    Ok((refused > 0).then(|| {
        format!(
            "CONFIG: {refused} of {REQUESTS} requests on an acknowledged route were answered 404; \
             the route is read back: {is_there}"
        )
    }))
}
