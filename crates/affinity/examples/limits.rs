//! Measures what it costs an entry VM to divide the limits of backend servers anew.
//!
//! Usage: `limits [ENTRY_VMS] [LIMITED_SERVERS]`, by default 680 and 100, in 4 regions.

use std::env;
use std::time::Duration;

use affinity::{AffinityBalancer, Settings};
use anyhow::{Context, Result};
use discovery::ServerRow;
use tokio::time::Instant;
use world::{DomainName, MachineName, Place, RegionName, ServerName, ServiceName};

/// Regions over which servers and entry VMs are spread.
const REGIONS: usize = 4;

/// Steps that are measured.
const STEPS: u32 = 100;

fn place(at: usize) -> Result<Place> {
    let region = RegionName::new(&format!("region-{}", at % REGIONS))?;
    let domain = DomainName::new(&format!("domain-{}", at % REGIONS))?;
    Ok(Place::new(region, domain))
}

fn server(at: usize) -> Result<ServerRow> {
    Ok(ServerRow {
        name: ServerName::new(&format!("server-{at}"))?,
        service: ServiceName::new("service")?,
        addr: ([10, 0, 0, 1], 80).into(),
        place: place(at)?,
        slots: 9,
        draining: false,
        cold_ms: 0,
        born_ms: 1,
        sequence: 1,
    })
}

/// Time of one step of the balancer's maintenance, with or without limits.
fn step(balancer: &mut AffinityBalancer, now: Instant) -> Duration {
    let started_at = std::time::Instant::now();
    for _ in 0..STEPS {
        balancer.advance(now);
    }
    started_at.elapsed() / STEPS
}

fn main() -> Result<()> {
    let mut sizes = env::args().skip(1).map(|text| text.parse::<usize>());
    let mut next = |default| sizes.next().unwrap_or(Ok(default));
    let entry_vms = next(680).context("number of entry VMs")?;
    let servers = next(100).context("number of servers")?;
    let started_at = Instant::now();
    let now = started_at + Duration::from_secs(60);
    let settings = Settings {
        name: MachineName::new("entry-0")?,
        place: place(0)?,
        domains: (0..REGIONS)
            .map(|at| place(at).map(|place| (place.domain, place.region)))
            .collect::<Result<_>>()?,
        retry_ratio: 0.2,
        retry_slack: 60.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
    };
    let mut balancer = AffinityBalancer::new(settings, started_at);
    for at in 1..entry_vms {
        let name = MachineName::new(&format!("entry-{at}"))?;
        balancer.update_entry_vm(&name, &place(at)?.region, false, now);
    }
    for at in 0..servers {
        balancer.apply_announcement(&server(at)?, 0, now);
    }
    let plain = step(&mut balancer, now);
    for at in 0..servers {
        let name = ServerName::new(&format!("server-{at}"))?;
        balancer.set_limit(&name, 1, Some(10_000), now, now);
    }
    let limited = step(&mut balancer, now);
    println!("{entry_vms} entry VMs, {servers} servers: {plain:?} a step, {limited:?} with limits");
    Ok(())
}
