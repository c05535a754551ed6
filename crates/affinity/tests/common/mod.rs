//! A balancer with two servers in each of four failure domains.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::sync::Arc;
use std::time::Duration;

use affinity::{AffinityBalancer, AttemptEnd, Choice, Request, Settings};
use discovery::ServerRow;
use tokio::time::Instant;
use world::{DomainName, MachineName, Place, RegionName, ServerName, ServiceName, ServiceTerms};

/// Failure domains and their regions.
pub const DOMAINS: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];

/// The place of a failure domain.
pub fn place(domain: &str) -> Place {
    let (_, region) = DOMAINS.iter().find(|(name, _)| *name == domain).unwrap();
    Place::new(
        RegionName::new(region).unwrap(),
        DomainName::new(domain).unwrap(),
    )
}

/// The only service of the tests.
pub fn service() -> ServiceName {
    ServiceName::new("slots").unwrap()
}

/// The announcement of a server.
pub fn row(name: &str, domain: &str) -> ServerRow {
    ServerRow {
        name: ServerName::new(name).unwrap(),
        service: service(),
        addr: ([10, 0, 0, 1], 80).into(),
        place: place(domain),
        slots: 4,
        draining: false,
        cold_ms: 0,
        born_ms: 1,
        sequence: 1,
    }
}

/// Settings of an entry VM in `north-a`.
pub fn settings(name: &str) -> Settings {
    let domain = |(name, region): &(&str, &str)| {
        (
            DomainName::new(name).unwrap(),
            RegionName::new(region).unwrap(),
        )
    };
    Settings {
        name: MachineName::new(name).unwrap(),
        place: place("north-a"),
        domains: DOMAINS.iter().map(domain).collect(),
        retry_ratio: 0.2,
        retry_slack: 20.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
    }
}

/// Creates a balancer with two servers in each failure domain, for an entry VM
/// that started a minute ago.
pub fn new_balancer(now: Instant) -> AffinityBalancer {
    balancer_started_at(now, now.checked_sub(Duration::from_secs(60)).unwrap())
}

/// Creates the same balancer for an entry VM that started at `started_at`.
pub fn balancer_started_at(now: Instant, started_at: Instant) -> AffinityBalancer {
    let mut balancer = AffinityBalancer::new(settings("entry-1"), started_at);
    let terms = ServiceTerms {
        name: service(),
        health_path: "/health".into(),
        connections: 10,
        warmup_ms: 3_000,
        cold_per_s: 10.0,
    };
    balancer.set_terms([&Arc::new(terms)].into_iter());
    for (domain, _) in DOMAINS {
        for at in 1..=2 {
            balancer.apply_announcement(&row(&format!("{domain}-{at}"), domain), 0, now);
        }
    }
    balancer.advance(now);
    balancer
}

/// Requests a server for an object.
pub fn choose(
    balancer: &mut AffinityBalancer,
    object: u64,
    large: bool,
    now: Instant,
) -> Result<Choice, affinity::Full> {
    let service = service();
    let request = Request {
        service: &service,
        object: Some(object),
        large,
        tried: &[],
        homes: &[],
        time_left: Duration::from_secs(5),
    };
    balancer.choose(&request, now)
}

/// Chooses a server for an object and ends the attempt at once.
pub fn choose_and_end(
    balancer: &mut AffinityBalancer,
    object: u64,
    large: bool,
    now: Instant,
) -> Option<Choice> {
    let choice = choose(balancer, object, large, now).ok()?;
    balancer.end_attempt(
        &choice,
        AttemptEnd::Answered,
        Duration::from_millis(100),
        now,
    );
    Some(choice)
}
