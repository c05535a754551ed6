//! Measures the latency of the ledger and of bookings, compared with a plain write and sync
//! on the same disk: `cargo build --release --workspace --examples`, then
//! `target/release/examples/ledger CONTROLS`.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use idempotency::{AttemptId, OperationId, OperationKey, Request, RequestDigest, Response};
use peers::{ClientOnly, Identity, Links};
use testbed::server::Behaviour;
use testbed::site::{ClientRequest, Fleet, Site, SitePlan, service};
use wire::Body;
use wire::body::LedgerRequest;
use world::{Class, Secret};

const ROUNDS: u64 = 1_000;
const CONCURRENT: u64 = 16;
const RECORD_BYTES: usize = 400;
const TIMEOUT: Duration = Duration::from_secs(2);

struct Row {
    name: &'static str,
    took_us: Histogram<u64>,
    total: Duration,
}

impl Row {
    fn new(name: &'static str) -> Result<Self> {
        Ok(Self {
            name,
            took_us: Histogram::new(3)?,
            total: Duration::ZERO,
        })
    }

    fn record(&mut self, elapsed: Duration) -> Result<()> {
        let us = u64::try_from(elapsed.as_micros())?;
        self.took_us.record(us)?;
        Ok(())
    }

    fn print(&self) {
        let quantile = |q| self.took_us.value_at_quantile(q);
        let per_s = u128::from(self.took_us.len()) * 1_000_000 / self.total.as_micros();
        println!(
            "| {} | {} | {} | {} | {per_s} |",
            self.name,
            quantile(0.5),
            quantile(0.99),
            self.took_us.len()
        );
    }
}

/// Measures writes of records to a file, each followed by a sync.
fn plain_sync(dir: &Path) -> Result<Row> {
    let mut row = Row::new("plain write and sync, 400 B")?;
    let mut file = File::create(dir.join("plain"))?;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let call_start = Instant::now();
        file.write_all(&[7; RECORD_BYTES])?;
        file.sync_data()?;
        row.record(call_start.elapsed())?;
    }
    row.total = start.elapsed();
    Ok(row)
}

/// Creates a request that stores the start of an operation.
fn begin_request(number: u64) -> Result<Request> {
    let key = OperationKey::new(&format!("begin-{number}"))?;
    Ok(Request::Begin {
        id: OperationId::new("measure".parse()?, key),
        digest: RequestDigest::new("POST", "objednavky/slots", b"slot 7"),
        attempt: AttemptId::random(),
        asked_ms: u64::MAX,
        run_ms: 1,
    })
}

/// Creates a request that looks up an operation that was never started.
fn lookup_request() -> Result<Request> {
    let key = OperationKey::new("look")?;
    Ok(Request::Lookup {
        id: OperationId::new("measure".parse()?, key),
        digest: RequestDigest::new("POST", "objednavky/slots", b"slot 7"),
    })
}

/// Sends a request to the ledger at a control VM.
async fn call_ledger(
    links: &Links<ClientOnly>,
    addr: SocketAddr,
    request: &Request,
) -> Result<Response> {
    let body = Body::LedgerRequest(LedgerRequest {
        group: "ledger".into(),
        command: request.to_bytes()?.into(),
    });
    match links.to(addr).call(body, TIMEOUT).await {
        Ok(Body::LedgerResponse(response)) => Ok(Response::from_bytes(&response.outcome)?),
        other => bail!("unexpected response: {other:?}"),
    }
}

/// Returns the address of the control VM that leads the ledger.
async fn leader(links: &Links<ClientOnly>, site: &Site) -> Result<SocketAddr> {
    for control in &site.controls {
        let addr = control.process.addr("control_link")?;
        if call_ledger(links, addr, &lookup_request()?).await.is_ok() {
            return Ok(addr);
        }
    }
    bail!("no control VM leads")
}

/// Measures ledger requests that store the start of an operation; the numbers in their keys
/// begin at `from`.
async fn measure_begins(
    site: &Site,
    name: &'static str,
    concurrent: u64,
    from: u64,
) -> Result<Row> {
    let identity = Identity::new("measure".parse()?, Secret::new("rig-secret"));
    let links = Links::new(identity, Arc::new(ClientOnly));
    let addr = leader(&links, site).await?;
    let mut row = Row::new(name)?;
    let start = Instant::now();
    for number in (0..ROUNDS).step_by(usize::try_from(concurrent)?) {
        let requests = (0..concurrent).map(|n| {
            let links = &links;
            async move {
                let call_start = Instant::now();
                let response = call_ledger(links, addr, &begin_request(from + number + n)?).await?;
                ensure!(matches!(response, Response::Granted { .. }), "{response:?}");
                Ok(call_start.elapsed())
            }
        });
        for elapsed in join_all(requests).await {
            row.record(elapsed?)?;
        }
    }
    row.total = start.elapsed();
    Ok(row)
}

/// Measures lookups in the ledger.
async fn measure_lookups(site: &Site) -> Result<Row> {
    let identity = Identity::new("measure".parse()?, Secret::new("rig-secret"));
    let links = Links::new(identity, Arc::new(ClientOnly));
    let addr = leader(&links, site).await?;
    let mut row = Row::new("lookup, one at a time")?;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let call_start = Instant::now();
        call_ledger(&links, addr, &lookup_request()?).await?;
        row.record(call_start.elapsed())?;
    }
    row.total = start.elapsed();
    Ok(row)
}

/// Measures requests through an entry VM: bookings if `key` is given, otherwise reads.
async fn measure_requests(
    site: &Site,
    name: &'static str,
    key: Option<&str>,
    concurrent: u64,
) -> Result<Row> {
    let front = site.entries[0].front_addr;
    let mut row = Row::new(name)?;
    let start = Instant::now();
    for number in (0..ROUNDS).step_by(usize::try_from(concurrent)?) {
        let requests = (0..concurrent).map(|n| async move {
            let request = match key {
                Some(key) => ClientRequest::new("/objednavky/slots")
                    .with_operation(&format!("{key}-{}", number + n))
                    .with_body("slot 7"),
                None => ClientRequest::new("/objednavky/slots"),
            };
            let call_start = Instant::now();
            let response = request.send_to(front).await.context("no response")?;
            ensure!(response.status == 200, "{}", response.summary());
            Ok(call_start.elapsed())
        });
        for elapsed in join_all(requests).await {
            row.record(elapsed?)?;
        }
    }
    row.total = start.elapsed();
    Ok(row)
}

/// Returns a small site with this number of control VMs and one service.
fn plan(controls: usize) -> Result<SitePlan> {
    let quick = Behaviour {
        base_us: 0,
        ..Behaviour::default()
    };
    let fleet = Fleet::new(service("objednavky", Class::Short, false, 3_000)?, 4, 16);
    let mut plan = SitePlan::small()?.with_fleets(vec![fleet.with_behaviour(quick)]);
    plan.controls = controls;
    Ok(plan)
}

#[tokio::main]
async fn main() -> Result<()> {
    let controls = std::env::args().nth(1).map_or(Ok(3), |n| n.parse())?;
    let site = Site::start(plan(controls)?).await?;
    println!("{controls} control VMs\n");
    println!("| what | p50, us | p99, us | count | per second |");
    println!("|---|---|---|---|---|");
    plain_sync(site.dir())?.print();
    measure_lookups(&site).await?.print();
    measure_begins(&site, "begin, one at a time", 1, 0)
        .await?
        .print();
    measure_begins(&site, "begin, 16 at once", CONCURRENT, ROUNDS)
        .await?
        .print();
    measure_requests(&site, "read without the ledger", None, 1)
        .await?
        .print();
    measure_requests(&site, "whole booking, one at a time", Some("a"), 1)
        .await?
        .print();
    measure_requests(&site, "whole booking, 16 at once", Some("b"), CONCURRENT)
        .await?
        .print();
    plain_sync(site.dir())?.print();
    Ok(())
}
