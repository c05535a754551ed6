//! Requests credits from other entry VMs, so that work can be forwarded to the owner of
//! a backend server with a free slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use admission::{CreditId, Grant};
use peers::Links;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::{CreditRequest, CreditResponse};
use world::{EntryVm, LockRank, RankedMutex, RegionName, ServiceName};

use crate::admission_control::AdmissionControl;
use crate::state::State;

/// Header with the credit that forwarded work uses.
pub const CREDIT_HEADER: &str = "x-waxwing-credit";

/// Header with the region of the VM that forwards the work.
pub const REGION_HEADER: &str = "x-waxwing-region";

/// Header with the poison mark of the request: id of the crash, and the mark's
/// remaining lifetime in milliseconds.
pub const SUSPECT_HEADER: &str = "x-waxwing-suspect";

/// Purpose that the secret proof of a forwarding VM is bound to.
pub const FORWARD_PURPOSE: &str = "forward";

/// Interval between rounds of credit requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of one credit request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Permit to forward one request to another entry VM.
#[derive(Clone, Debug)]
pub struct CrossVmPermit {
    /// The VM that owns the backend servers.
    pub owner: EntryVm,
    /// The owner's credit that the work uses.
    pub credit: CreditId,
}

/// Requests credits from other entry VMs, in one round per service at a time.
pub struct CreditRequester {
    links: Arc<Links<State>>,
    round_locks: RankedMutex<HashMap<ServiceName, Arc<Mutex<()>>>>,
}

impl CreditRequester {
    /// Creates a requester that sends over `links`.
    #[must_use]
    pub fn new(links: Arc<Links<State>>) -> Self {
        Self {
            links,
            round_locks: RankedMutex::new(LockRank::Links, HashMap::new()),
        }
    }

    /// Waits for a permit to forward one request. The caller must bound the wait.
    pub async fn obtain(&self, state: &State, service: &ServiceName) -> CrossVmPermit {
        loop {
            if let Some(permit) = self.request_round(state, service).await {
                return permit;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Spends a credit that is held, or requests one from each owner in turn, nearest
    /// first.
    async fn request_round(&self, state: &State, service: &ServiceName) -> Option<CrossVmPermit> {
        let round_lock = self.round_lock(service);
        let _round = round_lock.lock().await;
        let owners = possible_owners(state);
        if let Some(permit) = spend_held(state, &owners, service) {
            return Some(permit);
        }
        for owner in owners {
            let may_request =
                state
                    .admission
                    .credits()
                    .lock()
                    .may_request(Instant::now(), &owner.name, service);
            if !may_request {
                continue;
            }
            self.request_credits(state, &owner, service).await;
            let this_owner = std::slice::from_ref(&owner);
            if let Some(permit) = spend_held(state, this_owner, service) {
                return Some(permit);
            }
        }
        None
    }

    /// Requests a credit for each queued request, at least one, and records the response.
    async fn request_credits(&self, state: &State, owner: &EntryVm, service: &ServiceName) {
        let now = Instant::now();
        let wanted = u32::try_from(state.admission.queue_len(service)).unwrap_or(u32::MAX);
        let request = admission::PendingRequest {
            requested_at: now,
            wanted: wanted.max(1),
        };
        let body = Body::CreditRequest(CreditRequest {
            service: service.to_string(),
            wanted: request.wanted,
            region: state.me.place.region.to_string(),
        });
        let link = self.links.to(owner.link_addr);
        let response = match link.call(body, REQUEST_TIMEOUT).await {
            Ok(Body::CreditResponse(response)) => (grant_from(&response), response.slots),
            _ => (None, 0),
        };
        let mut credits = state.admission.credits().lock();
        credits.record_response(Instant::now(), &owner.name, service, request, response);
    }

    fn round_lock(&self, service: &ServiceName) -> Arc<Mutex<()>> {
        let mut round_locks = self.round_locks.lock();
        Arc::clone(round_locks.entry(service.clone()).or_default())
    }
}

/// Handles a credit request at the owner.
#[must_use]
pub fn grant_credits(
    admission: &AdmissionControl,
    from: &world::MachineName,
    request: &CreditRequest,
) -> CreditResponse {
    let none = |slots| CreditResponse {
        epoch: 0,
        first: 0,
        count: 0,
        ttl_ms: 0,
        bytes: 0,
        slots,
    };
    let (Ok(service), Ok(region)) = (
        ServiceName::new(&request.service),
        RegionName::new(&request.region),
    ) else {
        return none(0);
    };
    let (grant, slots) = admission.grant(
        Instant::now(),
        &service,
        from,
        region.as_str(),
        request.wanted,
    );
    let Some(grant) = grant else {
        return none(slots);
    };
    CreditResponse {
        epoch: grant.first.epoch,
        first: grant.first.number,
        count: grant.count,
        ttl_ms: grant.ttl_ms,
        bytes: grant.bytes,
        slots,
    }
}

fn grant_from(response: &CreditResponse) -> Option<Grant> {
    (response.count > 0).then_some(Grant {
        first: CreditId {
            epoch: response.epoch,
            number: response.first,
        },
        count: response.count,
        ttl_ms: response.ttl_ms,
        bytes: response.bytes,
    })
}

/// Spends a credit of the first of `owners` from which this VM holds one.
fn spend_held(state: &State, owners: &[EntryVm], service: &ServiceName) -> Option<CrossVmPermit> {
    let now = Instant::now();
    let mut credits = state.admission.credits().lock();
    owners.iter().find_map(|owner| {
        let credit = credits.spend(now, &owner.name, service)?;
        let owner = owner.clone();
        Some(CrossVmPermit { owner, credit })
    })
}

/// Other entry VMs whose place is not drained, nearest first: same failure domain, same
/// region, other regions.
fn possible_owners(state: &State) -> Vec<EntryVm> {
    let active_config = state.active_config();
    let me = &state.me;
    let mut owners = state.site.entries(Instant::now());
    owners.retain(|vm| vm.name != me.name && !active_config.config.drains_place(&vm.place));
    owners.sort_by_key(|vm| (vm.place.region != me.place.region, vm.place != me.place));
    owners.iter().map(|vm| vm.as_ref().clone()).collect()
}
