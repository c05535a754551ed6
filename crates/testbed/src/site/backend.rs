//! Stand-in backend servers of a site.

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

/// Longest wait for the control interface.
const WAIT: Duration = Duration::from_secs(10);

/// A stand-in backend server as a process.
#[derive(Debug)]
pub struct Backend {
    /// The process.
    pub process: Process,
    /// Name.
    pub name: String,
    /// Service that it offers.
    pub service: ServiceName,
    /// Where it stands.
    pub place: Place,
    /// Requests it runs at once.
    pub slots: u32,
    control_addr: SocketAddr,
}

impl Backend {
    /// Starts the `number`-th backend server of a fleet in one failure domain.
    ///
    /// # Errors
    /// When the process doesn't start.
    pub async fn start(
        fleet: &Fleet,
        number: usize,
        place: &Place,
        desks: &[SocketAddr],
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
        args.extend(desks.iter().map(|desk| format!("--desk={desk}")));
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

    /// Address that takes requests.
    ///
    /// # Errors
    /// When the process named none.
    pub fn addr(&self) -> anyhow::Result<SocketAddr> {
        self.process.addr("addr")
    }

    /// Counters.
    ///
    /// # Errors
    /// When the process has ended.
    pub async fn stats(&self) -> anyhow::Result<Stats> {
        get(self.control_addr, "/rig/stats").await
    }

    /// Runs of operations that had a key.
    ///
    /// # Errors
    /// When the process has ended.
    pub async fn runs(&self) -> anyhow::Result<Vec<Run>> {
        get(self.control_addr, "/rig/runs").await
    }

    /// Turns some knobs.
    ///
    /// # Errors
    /// When the process has ended or a knob isn't known.
    pub async fn set(&self, knobs: Value) -> anyhow::Result<()> {
        let body = Full::new(Bytes::from(knobs.to_string()));
        let request = Request::post("/rig/behaviour").body(body)?;
        let response = waxwingctl::http::send(self.control_addr, request, WAIT).await?;
        let text = String::from_utf8_lossy(response.body());
        ensure!(response.status().is_success(), "{}: {text}", self.name);
        Ok(())
    }
}
