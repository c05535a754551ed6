//! Two operators change the configuration at once; the older of the two calls names a
//! service that does not exist, and arrives last.

use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use super::{APPLIED, LIMITS, await_service, request, route, service, upsert};
use crate::record::Record;
use crate::server::{Handling, Server};
use crate::site::Site;

const REQUESTS: usize = 40;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Option<String>> {
    let site = Site::start(record, 2)?;
    let services = [service("slots"), service("manuals")];
    let routes = [
        route("r-find", "/find/", "safe", "slots", 1_000, 5),
        route("r-look", "/look/", "safe", "slots", 1_000, 5),
    ];
    site.order(
        0,
        "/config/patch",
        &upsert(&services, Some(LIMITS), &routes),
    )?;
    let start = |id, service, zone, at| {
        Server::start(
            id,
            service,
            zone,
            site.server_ip(at),
            site.controls(),
            record,
            |_| Handling::Run,
        )
    };
    let _slots = [
        start("i-slots-0", "slots", "north-a", 0)?,
        start("i-slots-1", "slots", "south-a", 1)?,
    ];
    let manuals = start("i-manuals-0", "manuals", "north-a", 2)?;
    for entry in 0..2 {
        await_service(record, site.front(entry), "GET", "/look/warm")?;
    }
    if trouble {
        // The second operator's change of the first route, which is valid.
        let newer = [route("r-find", "/find/", "safe", "slots", 1_200, 12)];
        let status = site.order(1, "/config/patch", &upsert(&[], None, &newer))?;
        if status != 200 {
            return Err(io::Error::other("a valid change was refused"));
        }
    }
    let invalid = [
        route("r-find", "/find/", "safe", "slotz", 1_000, 9),
        route("r-look", "/look/", "safe", "manuals", 1_000, 9),
    ];
    let status = site.order(0, "/config/patch", &upsert(&[], None, &invalid))?;
    sleep(APPLIED);
    for n in 0..REQUESTS {
        request(
            record,
            site.front(n % 2),
            "GET",
            "/look/7",
            &format!("look-{n}"),
        );
        sleep(Duration::from_millis(25));
    }
    let config = site.config()?;
    record.line(&format!("operator: read back {config}"));
    let misled = manuals.arrivals().len();
    let in_force = config.contains(&invalid[1]);
    let acknowledged = status / 100 == 2;
    Ok((acknowledged || in_force || misled > 0).then(|| {
        format!(
            "CONFIG: an invalid call was answered {status}; a part of it is read back: {in_force}; \
             requests run where only that part sends them: {misled} of {REQUESTS}"
        )
    }))
}
