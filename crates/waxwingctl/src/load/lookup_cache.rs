//! Cache of lookups: which entry VMs to use for a service, for as long as the
//! response allows.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use tokio::time::Instant;
use world::unit::ms;
use world::{EntryVm, LockRank, RankedMutex, ServiceName};

use crate::http::{self, Failure};

/// Timeout of a lookup at one entry VM.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Response of an entry VM to a lookup.
#[derive(Debug, Deserialize)]
struct LookupResponse {
    entries: Vec<EntryVm>,
    ttl_ms: u64,
}

/// Cached entry VMs of a service.
#[derive(Clone, Debug)]
struct CachedLookup {
    /// Addresses that accept client requests, in preference order.
    fronts: Arc<[SocketAddr]>,
    expires_at: Instant,
}

/// Lookups of one client, cached by service.
#[derive(Debug)]
pub struct LookupCache {
    /// API addresses of entry VMs, in the order in which they are tried.
    api_addrs: Vec<SocketAddr>,
    /// Address passed in lookups in place of that of the connection.
    client_addr: Option<IpAddr>,
    by_service: RankedMutex<HashMap<ServiceName, CachedLookup>>,
}

impl LookupCache {
    /// Creates an empty cache. `api_addrs` are API addresses of entry VMs;
    /// `client_addr` is passed in lookups in place of the address of the connection.
    #[must_use]
    pub fn new(api_addrs: Vec<SocketAddr>, client_addr: Option<IpAddr>) -> Self {
        Self {
            api_addrs,
            client_addr,
            by_service: RankedMutex::new(LockRank::Members, HashMap::new()),
        }
    }

    /// Returns the addresses to send a service's requests to, in preference order.
    ///
    /// # Errors
    /// The failure of the last lookup, if none succeeds; [`Failure::Timeout`] if
    /// `deadline` passes.
    pub async fn fronts(
        &self,
        service: &ServiceName,
        deadline: Instant,
    ) -> Result<Arc<[SocketAddr]>, Failure> {
        if let Some(fronts) = self.cached(service) {
            return Ok(fronts);
        }
        let mut last_failure = Failure::Unreachable("no desk was named".into());
        for api_addr in &self.api_addrs {
            let now = Instant::now();
            if now >= deadline {
                return Err(Failure::Timeout);
            }
            match self
                .fetch(*api_addr, service, LOOKUP_TIMEOUT.min(deadline - now))
                .await
            {
                Ok(response) => return Ok(self.insert(service, &response)),
                Err(failure) => last_failure = failure,
            }
        }
        Err(last_failure)
    }

    /// Removes a service from the cache, so that the next call does a new lookup.
    pub fn invalidate(&self, service: &ServiceName) {
        self.by_service.lock().remove(service);
    }

    fn cached(&self, service: &ServiceName) -> Option<Arc<[SocketAddr]>> {
        let by_service = self.by_service.lock();
        let lookup = by_service.get(service)?;
        (lookup.expires_at > Instant::now()).then(|| Arc::clone(&lookup.fronts))
    }

    fn insert(&self, service: &ServiceName, response: &LookupResponse) -> Arc<[SocketAddr]> {
        let fronts: Arc<[_]> = response.entries.iter().map(|vm| vm.front_addr).collect();
        let lookup = CachedLookup {
            fronts: Arc::clone(&fronts),
            expires_at: Instant::now() + ms(response.ttl_ms),
        };
        self.by_service.lock().insert(service.clone(), lookup);
        fronts
    }

    async fn fetch(
        &self,
        api_addr: SocketAddr,
        service: &ServiceName,
        timeout: Duration,
    ) -> Result<LookupResponse, Failure> {
        let client_param = self.client_addr.map(|ip| format!("client={ip}&"));
        let client_param = client_param.unwrap_or_default();
        let request = Request::get(format!("/v1/lookup?{client_param}service={service}"))
            .body(Full::default())
            .map_err(|e| Failure::Unreachable(e.to_string()))?;
        let response = http::send(api_addr, request, timeout).await?;
        serde_json::from_slice(response.body())
            .map_err(|_| Failure::Unreachable(format!("{api_addr}: {}", response.status())))
    }
}
