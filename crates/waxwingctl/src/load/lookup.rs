//! Answers of look-ups, kept as long as callers may keep them.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use tokio::time::Instant;
use world::unit::ms;
use world::{EntryVm, Rank, Ranked, ServiceName};

use crate::http::{self, Failure};

/// Longest wait for one desk's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

/// A look-up's answer as a desk gives it.
#[derive(Debug, Deserialize)]
struct Answer {
    entries: Vec<EntryVm>,
    ttl_ms: u64,
}

/// Entry VMs to use for a service, until when.
#[derive(Clone, Debug)]
struct Kept {
    fronts: Arc<[SocketAddr]>,
    until: Instant,
}

/// Look-ups of one run's callers.
#[derive(Debug)]
pub struct Lookups {
    desks: Vec<SocketAddr>,
    client: Option<IpAddr>,
    kept: Ranked<HashMap<ServiceName, Kept>>,
}

impl Lookups {
    /// Look-ups through these desks, for a client.
    #[must_use]
    pub fn new(desks: Vec<SocketAddr>, client: Option<IpAddr>) -> Self {
        Self {
            desks,
            client,
            kept: Ranked::new(Rank::Members, HashMap::new()),
        }
    }

    /// Fronts of the entry VMs to use for a service, best first.
    ///
    /// # Errors
    /// The last desk's failure, when no desk answers before `until`.
    pub async fn fronts(
        &self,
        service: &ServiceName,
        until: Instant,
    ) -> Result<Arc<[SocketAddr]>, Failure> {
        if let Some(kept) = self.kept(service) {
            return Ok(kept);
        }
        let mut last = Failure::Unreachable("no desk was named".into());
        for desk in &self.desks {
            let now = Instant::now();
            if now >= until {
                return Err(Failure::Timeout);
            }
            match self.ask(*desk, service, ANSWER_WAIT.min(until - now)).await {
                Ok(answer) => return Ok(self.keep(service, &answer)),
                Err(failure) => last = failure,
            }
        }
        Err(last)
    }

    /// Forgets what is kept of a service, so that the next call asks again.
    pub fn forget(&self, service: &ServiceName) {
        self.kept.lock().remove(service);
    }

    fn kept(&self, service: &ServiceName) -> Option<Arc<[SocketAddr]>> {
        let kept = self.kept.lock();
        let found = kept.get(service)?;
        (found.until > Instant::now()).then(|| Arc::clone(&found.fronts))
    }

    fn keep(&self, service: &ServiceName, answer: &Answer) -> Arc<[SocketAddr]> {
        let fronts: Arc<[_]> = answer.entries.iter().map(|vm| vm.front_addr).collect();
        let kept = Kept {
            fronts: Arc::clone(&fronts),
            until: Instant::now() + ms(answer.ttl_ms),
        };
        self.kept.lock().insert(service.clone(), kept);
        fronts
    }

    async fn ask(
        &self,
        desk: SocketAddr,
        service: &ServiceName,
        wait: Duration,
    ) -> Result<Answer, Failure> {
        let client = self.client.map(|ip| format!("client={ip}&"));
        let client = client.unwrap_or_default();
        let request = Request::get(format!("/v1/lookup?{client}service={service}"))
            .body(Full::default())
            .map_err(|e| Failure::Unreachable(e.to_string()))?;
        let response = http::send(desk, request, wait).await?;
        serde_json::from_slice(response.body())
            .map_err(|_| Failure::Unreachable(format!("{desk}: {}", response.status())))
    }
}
