//! Work that another entry VM hands over on a credit.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use admission::CreditId;
use balancer::{Fingerprint, Mark, Work};
use hyper::header::HeaderMap;
use tokio::time::Instant;
use world::{Contract, Error, Kind, RegionName};

use crate::ask::{Ask, text};
use crate::attempt::{Answered, Message, send};
use crate::crossing::{CREDIT_HEADER, FORWARD, REGION_HEADER, SUSPECT_HEADER};
use crate::headers;
use crate::place::Place;
use crate::state::State;

/// What came with work that was handed over.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request at the VM that handed it over.
    pub id: String,
    credit: CreditId,
    region: RegionName,
    fence: Option<u64>,
    suspect: Option<(u64, u64)>,
}

impl Arrival {
    /// Reads what came with handed-over work; `None` for a caller's own request.
    ///
    /// # Errors
    /// [`Kind::BadKey`] without the proof of the secret, [`Kind::BadRequest`]
    /// when something can't be read.
    pub fn read(state: &State, request: &HeaderMap) -> Result<Option<Self>, Error> {
        let Some(credit) = text(request, CREDIT_HEADER)? else {
            return Ok(None);
        };
        let shown = text(request, ::http_api::SECRET_HEADER)?.unwrap_or("");
        if !state.secret.verify_proof(FORWARD, shown) {
            let text = "work was handed over without a proof of the secret";
            return Err(Error::new(Kind::BadKey, text));
        }
        let fence = text(request, headers::FENCE.as_str())?;
        let suspect = text(request, SUSPECT_HEADER)?.and_then(suspect_of);
        Ok(Some(Self {
            suspect,
            id: text(request, headers::REQUEST.as_str())?
                .unwrap_or("")
                .into(),
            credit: credit_of(credit)?,
            region: RegionName::new(text(request, REGION_HEADER)?.unwrap_or(""))?,
            fence: fence
                .map(str::parse)
                .transpose()
                .map_err(|_| Error::new(Kind::BadRequest, "the fence is not a number"))?,
        }))
    }

    /// Takes over what the other VM holds against the request, so that it runs
    /// alone here and a crash convicts it.
    pub fn mark(&self, state: &State, fingerprint: Fingerprint) {
        let Some((crash_id, left_ms)) = self.suspect else {
            return;
        };
        let mark = Mark {
            fingerprint,
            convicted: false,
            crash_id,
            sole: false,
            left_ms,
        };
        state.gate.merge_marks(Instant::now(), &[mark]);
    }

    /// Runs the work in the slot that its credit promises; one attempt only.
    ///
    /// # Errors
    /// [`Kind::Overloaded`] when the credit no longer holds, or what the
    /// attempt failed by.
    pub async fn run(
        &self,
        state: &Arc<State>,
        ask: &Ask,
        contract: &Contract,
        work: &Work,
        deadline: Instant,
    ) -> Result<Answered, Error> {
        let service = &contract.service.name;
        let region = self.region.as_str();
        let gate = &state.gate;
        let slot = gate.enter(Instant::now(), service, region, self.credit, work)?;
        let alone = work.alone.then_some(work.fingerprint);
        let message = Message {
            ask,
            id: &self.id,
            deadline,
            fence: self.fence,
            fingerprint: work.fingerprint,
            fresh: false,
            reused: AtomicBool::new(false),
        };
        let place = Place::Here(slot.with_alone(alone));
        let sent = send(state, place, work, &message).await;
        sent.or_else(crate::attempt::Failure::into_answer)
    }
}

fn suspect_of(suspect: &str) -> Option<(u64, u64)> {
    let (crash_id, left_ms) = suspect.split_once('-')?;
    let crash_id = u64::from_str_radix(crash_id, 16).ok()?;
    Some((crash_id, left_ms.parse().ok()?))
}

fn credit_of(credit: &str) -> Result<CreditId, Error> {
    let parts = credit.split_once('-').and_then(|(epoch, number)| {
        Some(CreditId {
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            number: u64::from_str_radix(number, 16).ok()?,
        })
    });
    parts.ok_or_else(|| Error::new(Kind::BadRequest, format!("no credit: {credit:?}")))
}
