//! A stand-in backend server of a site, as a process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::ensure;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use world::{Place, ServiceName};

use super::files::SECRET;
use super::plan::Fleet;
use crate::process::{Process, get};
use crate::server::{Run, Stats};

/// Timeout of a change of the behaviour.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in backend server that runs as a process.
#[derive(Debug)]
pub struct Backend {
    /// Process of `rig backend`.
    pub process: Process,
    /// Name of the server.
    pub name: String,
    /// Service that the server offers.
    pub service: ServiceName,
    /// Failure domain of the server.
    pub place: Place,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    control_addr: SocketAddr,
}

impl Backend {
    /// Starts the `number`-th backend server of a fleet in one failure domain.
    ///
    /// The server announces itself to `api_addrs`, with the address `advertise` instead of its
    /// own if given. Its log goes to `dir`.
    ///
    /// # Errors
    /// When the process doesn't start.
    pub async fn start(
        fleet: &Fleet,
        number: usize,
        place: &Place,
        api_addrs: &[SocketAddr],
        advertise: Option<SocketAddr>,
        dir: &Path,
    ) -> anyhow::Result<Self> {
        let service = &fleet.service.name;
        let name = format!("{service}-{}-{}-{number}", place.region, place.domain);
        let mut args = vec![
            "backend".to_owned(),
            format!("--name={name}"),
            format!("--service={service}"),
            format!("--region={}", place.region),
            format!("--domain={}", place.domain),
            format!("--slots={}", fleet.slots),
            format!("--connections={}", fleet.connections),
            format!("--secret={SECRET}"),
            format!("--seed={number}"),
            format!("--behaviour={}", serde_json::to_string(&fleet.behaviour)?),
        ];
        args.extend(api_addrs.iter().map(|api| format!("--desk={api}")));
        args.extend(advertise.map(|addr| format!("--advertise={addr}")));
        let process = Process::start("rig", &name, args, dir).await?;
        let control_addr = process.addr("control_addr")?;
        Ok(Self {
            process,
            name,
            service: service.clone(),
            place: place.clone(),
            slots: fleet.slots,
            control_addr,
        })
    }

    /// Returns the address that serves requests.
    ///
    /// # Errors
    /// When the ready line of the process has no such address.
    pub fn addr(&self) -> anyhow::Result<SocketAddr> {
        self.process.addr("addr")
    }

    /// Fetches the server's counters.
    ///
    /// # Errors
    /// When the process doesn't respond.
    pub async fn stats(&self) -> anyhow::Result<Stats> {
        get(self.control_addr, "/rig/stats").await
    }

    /// Fetches the runs of requests with an idempotency key.
    ///
    /// # Errors
    /// When the process doesn't respond.
    pub async fn runs(&self) -> anyhow::Result<Vec<Run>> {
        get(self.control_addr, "/rig/runs").await
    }

    /// Changes the given settings of the server's behaviour.
    ///
    /// # Errors
    /// When the process doesn't respond or refuses a setting.
    pub async fn set_behaviour(&self, settings: Value) -> anyhow::Result<()> {
        let body = Full::new(Bytes::from(settings.to_string()));
        let request = Request::post("/rig/behaviour").body(body)?;
        let response = waxwingctl::http::send(self.control_addr, request, CHANGE_TIMEOUT).await?;
        let text = String::from_utf8_lossy(response.body());
        ensure!(response.status().is_success(), "{}: {text}", self.name);
        Ok(())
    }
}
