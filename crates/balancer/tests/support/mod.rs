//! Test servers, work and a simulation of one entry VM's backend servers.
#![allow(dead_code, reason = "each test file uses some of these")]

pub mod sim;

use balancer::{Fingerprint, Fleet, FleetSettings, Policy, Work};
use tokio::time::Instant;
use world::{BackendServer, Class, Lifecycle, Load, Place, ServerName, ServiceName};

/// Service of all test servers.
pub fn service() -> ServiceName {
    ServiceName::new("terminy").expect("name")
}

/// Name of the test server with this number.
pub fn server_name(number: u32) -> ServerName {
    ServerName::new(&format!("s{number:02}")).expect("name")
}

/// Announcement of a serving server without load, whose connection limit is not
/// reached.
pub fn server(number: u32, slots: u32) -> BackendServer {
    BackendServer {
        name: server_name(number),
        service: service(),
        place: Place::new("zapad".parse().expect("name"), "a".parse().expect("name")),
        addr: "127.0.0.1:9".parse().expect("address"),
        slots,
        connections: 400,
        incarnation: 1,
        lifecycle: Lifecycle::Serving,
        load: Load::default(),
    }
}

/// Fleet of `count` announced servers with a fixed seed.
pub fn fleet(now: Instant, settings: FleetSettings, count: u32, slots: u32) -> Fleet {
    let mut fleet = Fleet::new(settings, Policy::default(), 7);
    for number in 0..count {
        fleet.announce(now, &server(number, slots));
    }
    fleet
}

/// Idempotent short work.
pub fn short(fingerprint: u64) -> Work {
    Work::new(Class::Short, Fingerprint(fingerprint))
}

/// Idempotent long work.
pub fn long(fingerprint: u64) -> Work {
    Work::new(Class::Long, Fingerprint(fingerprint))
}
