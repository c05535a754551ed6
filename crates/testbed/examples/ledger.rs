//! Latency of the ledger beside a plain sync of the same disk:
//! `cargo build --release --workspace --examples`, then
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
use testbed::site::{Call, Fleet, Plan, Site, service};
use wire::Body;
use wire::body::LedgerRequest;
use world::{Class, Secret};

const ROUNDS: u64 = 1_000;
const TOGETHER: u64 = 16;
const RECORD_BYTES: usize = 400;
const PATIENCE: Duration = Duration::from_secs(2);

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

    fn note(&mut self, took: Duration) -> Result<()> {
        let us = u64::try_from(took.as_micros())?;
        self.took_us.record(us)?;
        Ok(())
    }

    fn show(&self) {
        let at = |q| self.took_us.value_at_quantile(q);
        let per_s = u128::from(self.took_us.len()) * 1_000_000 / self.total.as_micros();
        println!(
            "| {} | {} | {} | {} | {per_s} |",
            self.name,
            at(0.5),
            at(0.99),
            self.took_us.len()
        );
    }
}

fn plain_sync(dir: &Path) -> Result<Row> {
    let mut row = Row::new("plain write and sync, 400 B")?;
    let mut file = File::create(dir.join("plain"))?;
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        let started = Instant::now();
        file.write_all(&[7; RECORD_BYTES])?;
        file.sync_data()?;
        row.note(started.elapsed())?;
    }
    row.total = begun.elapsed();
    Ok(row)
}

fn begin(number: u64) -> Result<Request> {
    let key = OperationKey::new(&format!("begin-{number}"))?;
    Ok(Request::Begin {
        id: OperationId::new("measure".parse()?, key),
        digest: RequestDigest::new("POST", "objednavky/slots", b"slot 7"),
        attempt: AttemptId::random(),
        asked_ms: u64::MAX,
        run_ms: 1,
    })
}

fn look() -> Result<Request> {
    let key = OperationKey::new("look")?;
    Ok(Request::Lookup {
        id: OperationId::new("measure".parse()?, key),
        digest: RequestDigest::new("POST", "objednavky/slots", b"slot 7"),
    })
}

async fn ask(links: &Links<ClientOnly>, addr: SocketAddr, request: &Request) -> Result<Response> {
    let ask = Body::LedgerRequest(LedgerRequest {
        group: "ledger".into(),
        command: request.to_bytes()?.into(),
    });
    match links.to(addr).call(ask, PATIENCE).await {
        Ok(Body::LedgerResponse(give)) => Ok(Response::from_bytes(&give.outcome)?),
        other => bail!("no reply: {other:?}"),
    }
}

async fn leader(links: &Links<ClientOnly>, site: &Site) -> Result<SocketAddr> {
    for control in &site.controls {
        let addr = control.process.addr("control_link")?;
        if ask(links, addr, &look()?).await.is_ok() {
            return Ok(addr);
        }
    }
    bail!("no control VM leads")
}

async fn begins(site: &Site, name: &'static str, together: u64, from: u64) -> Result<Row> {
    let identity = Identity::new("measure".parse()?, Secret::new("rig-secret"));
    let links = Links::new(identity, Arc::new(ClientOnly));
    let addr = leader(&links, site).await?;
    let mut row = Row::new(name)?;
    let begun = Instant::now();
    for number in (0..ROUNDS).step_by(usize::try_from(together)?) {
        let calls = (0..together).map(|n| {
            let links = &links;
            async move {
                let started = Instant::now();
                let reply = ask(links, addr, &begin(from + number + n)?).await?;
                ensure!(matches!(reply, Response::Granted { .. }), "{reply:?}");
                Ok(started.elapsed())
            }
        });
        for took in join_all(calls).await {
            row.note(took?)?;
        }
    }
    row.total = begun.elapsed();
    Ok(row)
}

async fn looks(site: &Site) -> Result<Row> {
    let identity = Identity::new("measure".parse()?, Secret::new("rig-secret"));
    let links = Links::new(identity, Arc::new(ClientOnly));
    let addr = leader(&links, site).await?;
    let mut row = Row::new("look, one at a time")?;
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        let started = Instant::now();
        ask(&links, addr, &look()?).await?;
        row.note(started.elapsed())?;
    }
    row.total = begun.elapsed();
    Ok(row)
}

async fn calls(site: &Site, name: &'static str, key: Option<&str>, together: u64) -> Result<Row> {
    let front = site.entries[0].front_addr;
    let mut row = Row::new(name)?;
    let begun = Instant::now();
    for number in (0..ROUNDS).step_by(usize::try_from(together)?) {
        let calls = (0..together).map(|n| async move {
            let call = match key {
                Some(key) => Call::new("/objednavky/slots")
                    .with_operation(&format!("{key}-{}", number + n))
                    .with_body("slot 7"),
                None => Call::new("/objednavky/slots"),
            };
            let started = Instant::now();
            let reply = call.send_to(front).await.context("no answer")?;
            ensure!(reply.status == 200, "{}", reply.summary());
            Ok(started.elapsed())
        });
        for took in join_all(calls).await {
            row.note(took?)?;
        }
    }
    row.total = begun.elapsed();
    Ok(row)
}

fn plan(controls: usize) -> Result<Plan> {
    let quick = Behaviour {
        base_us: 0,
        ..Behaviour::default()
    };
    let fleet = Fleet::new(service("objednavky", Class::Short, false, 3_000)?, 4, 16);
    let mut plan = Plan::small()?.with_fleets(vec![fleet.with_behaviour(quick)]);
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
    plain_sync(site.dir())?.show();
    looks(&site).await?.show();
    begins(&site, "begin, one at a time", 1, 0).await?.show();
    begins(&site, "begin, 16 at once", TOGETHER, ROUNDS)
        .await?
        .show();
    calls(&site, "read without the ledger", None, 1)
        .await?
        .show();
    calls(&site, "whole booking, one at a time", Some("a"), 1)
        .await?
        .show();
    calls(&site, "whole booking, 16 at once", Some("b"), TOGETHER)
        .await?
        .show();
    plain_sync(site.dir())?.show();
    Ok(())
}
