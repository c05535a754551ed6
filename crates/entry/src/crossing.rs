//! Handing work to the entry VM that owns a backend server with a free slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use admission::{CreditId, Grant};
use peers::Links;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::{CreditRequest, CreditResponse};
use world::{EntryVm, Rank, Ranked, RegionName, ServiceName};

use crate::gate::Gate;
use crate::state::State;

/// Header with the credit on which work arrives.
pub const CREDIT_HEADER: &str = "x-waxwing-credit";

/// Header with the region of the VM that hands work over.
pub const REGION_HEADER: &str = "x-waxwing-region";

/// Header with the crash that the request is suspect of, and the time for which
/// it is, milliseconds.
pub const SUSPECT_HEADER: &str = "x-waxwing-suspect";

/// Purpose that the proof of a VM that hands work over is bound to.
pub const FORWARD: &str = "forward";

/// Time between two rounds of asking for credits.
const ASK_EVERY: Duration = Duration::from_millis(20);

/// Bound on one question for credits.
const ASK_PATIENCE: Duration = Duration::from_millis(500);

/// Leave to hand one piece of work to another entry VM.
#[derive(Clone, Debug)]
pub struct Leave {
    /// The VM that owns the backend servers.
    pub owner: EntryVm,
    /// Its credit.
    pub credit: CreditId,
}

/// Asks other entry VMs for credits; one question for each service at a time.
pub struct Crossing {
    links: Arc<Links<State>>,
    turns: Ranked<HashMap<ServiceName, Arc<Mutex<()>>>>,
}

impl Crossing {
    /// Asks over these links.
    #[must_use]
    pub fn new(links: Arc<Links<State>>) -> Self {
        Self {
            links,
            turns: Ranked::new(Rank::Links, HashMap::new()),
        }
    }

    /// Waits for leave to hand over one piece of work; the caller bounds the wait.
    pub async fn obtain(&self, state: &State, service: &ServiceName) -> Leave {
        loop {
            if let Some(leave) = self.round(state, service).await {
                return leave;
            }
            sleep(ASK_EVERY).await;
        }
    }

    /// Asks the own region's owners first, then those of other regions.
    async fn round(&self, state: &State, service: &ServiceName) -> Option<Leave> {
        let turn = self.turn(service);
        let _turn = turn.lock().await;
        let owners = owners(state);
        if let Some(leave) = held(state, &owners, service) {
            return Some(leave);
        }
        for owner in owners {
            let may_ask = state
                .gate
                .credits()
                .lock()
                .may_ask(Instant::now(), &owner.name, service);
            if !may_ask {
                continue;
            }
            self.ask(state, &owner, service).await;
            let own = std::slice::from_ref(&owner);
            if let Some(leave) = held(state, own, service) {
                return Some(leave);
            }
        }
        None
    }

    async fn ask(&self, state: &State, owner: &EntryVm, service: &ServiceName) {
        let now = Instant::now();
        let wanted = u32::try_from(state.gate.waiting(service)).unwrap_or(u32::MAX);
        let ask = admission::PendingRequest {
            requested_at: now,
            wanted: wanted.max(1),
        };
        let body = Body::CreditRequest(CreditRequest {
            service: service.to_string(),
            wanted: ask.wanted,
            region: state.me.place.region.to_string(),
        });
        let link = self.links.to(owner.link_addr);
        let answer = match link.call(body, ASK_PATIENCE).await {
            Ok(Body::CreditResponse(give)) => (grant_of(&give), give.slots),
            _ => (None, 0),
        };
        let mut credits = state.gate.credits().lock();
        credits.answered(Instant::now(), &owner.name, service, ask, answer);
    }

    fn turn(&self, service: &ServiceName) -> Arc<Mutex<()>> {
        let mut turns = self.turns.lock();
        Arc::clone(turns.entry(service.clone()).or_default())
    }
}

/// The answer of an owner to a question for credits.
#[must_use]
pub fn give(gate: &Gate, from: &world::MachineName, ask: &CreditRequest) -> CreditResponse {
    let none = |slots| CreditResponse {
        epoch: 0,
        first: 0,
        count: 0,
        ttl_ms: 0,
        bytes: 0,
        slots,
    };
    let (Ok(service), Ok(region)) = (ServiceName::new(&ask.service), RegionName::new(&ask.region))
    else {
        return none(0);
    };
    let (grant, slots) = gate.grant(Instant::now(), &service, from, region.as_str(), ask.wanted);
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

fn grant_of(give: &CreditResponse) -> Option<Grant> {
    (give.count > 0).then_some(Grant {
        first: CreditId {
            epoch: give.epoch,
            number: give.first,
        },
        count: give.count,
        ttl_ms: give.ttl_ms,
        bytes: give.bytes,
    })
}

fn held(state: &State, owners: &[EntryVm], service: &ServiceName) -> Option<Leave> {
    let now = Instant::now();
    let mut credits = state.gate.credits().lock();
    owners.iter().find_map(|owner| {
        let credit = credits.spend(now, &owner.name, service)?;
        let owner = owner.clone();
        Some(Leave { owner, credit })
    })
}

/// Other entry VMs that are not leaving, nearest first.
fn owners(state: &State) -> Vec<EntryVm> {
    let in_force = state.in_force();
    let me = &state.me;
    let mut owners = state.site.entries(Instant::now());
    owners.retain(|vm| vm.name != me.name && !in_force.config.drains_place(&vm.place));
    owners.sort_by_key(|vm| (vm.place.region != me.place.region, vm.place != me.place));
    owners.iter().map(|vm| vm.as_ref().clone()).collect()
}
