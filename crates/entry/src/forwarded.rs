//! Requests that another entry VM forwards to this one on a credit.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use admission::CreditId;
use balancer::{Fingerprint, Mark, Work};
use hyper::header::HeaderMap;
use tokio::time::Instant;
use world::{Contract, Error, ErrorKind, RegionName};

use crate::attempt::{AttemptRequest, AttemptResponse, send};
use crate::cross_vm::{CREDIT_HEADER, FORWARD_PURPOSE, REGION_HEADER, SUSPECT_HEADER};
use crate::destination::Destination;
use crate::headers;
use crate::inbound::{InboundRequest, text};
use crate::state::State;

/// Headers that the forwarding VM adds to a request, decoded.
#[derive(Clone, Debug)]
pub struct ForwardHeaders {
    /// Request id at the forwarding VM.
    pub id: String,
    credit: CreditId,
    region: RegionName,
    fence: Option<u64>,
    /// Id of the suspected crash, and milliseconds until its mark expires.
    suspect: Option<(u64, u64)>,
}

impl ForwardHeaders {
    /// Reads the headers of a forwarded request; `None` for a client's own request.
    ///
    /// # Errors
    /// [`ErrorKind::BadKey`] without a valid proof of the secret, [`ErrorKind::BadRequest`] when
    /// a header can't be read.
    pub fn read(state: &State, request: &HeaderMap) -> Result<Option<Self>, Error> {
        let Some(credit) = text(request, CREDIT_HEADER)? else {
            return Ok(None);
        };
        let proof = text(request, ::http_api::SECRET_HEADER)?.unwrap_or("");
        if !state.secret.verify_proof(FORWARD_PURPOSE, proof) {
            let text = "work was handed over without a proof of the secret";
            return Err(Error::new(ErrorKind::BadKey, text));
        }
        let fence = text(request, headers::FENCE.as_str())?;
        let suspect = text(request, SUSPECT_HEADER)?.and_then(parse_suspect);
        Ok(Some(Self {
            suspect,
            id: text(request, headers::REQUEST.as_str())?
                .unwrap_or("")
                .into(),
            credit: parse_credit(credit)?,
            region: RegionName::new(text(request, REGION_HEADER)?.unwrap_or(""))?,
            fence: fence
                .map(str::parse)
                .transpose()
                .map_err(|_| Error::new(ErrorKind::BadRequest, "the fence is not a number"))?,
        }))
    }

    /// Records the forwarding VM's poison mark, so that the request runs alone here and
    /// another crash confirms the mark.
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
        state.admission.merge_marks(Instant::now(), &[mark]);
    }

    /// Runs the request in the slot reserved by its credit, in a single attempt.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] when the credit is no longer valid, or the attempt's error.
    pub async fn run(
        &self,
        state: &Arc<State>,
        inbound: &InboundRequest,
        contract: &Contract,
        work: &Work,
        deadline: Instant,
    ) -> Result<AttemptResponse, Error> {
        let service = &contract.service.name;
        let region = self.region.as_str();
        let admission = &state.admission;
        let slot =
            admission.acquire_on_credit(Instant::now(), service, region, self.credit, work)?;
        let suspect = work.alone.then_some(work.fingerprint);
        let request = AttemptRequest {
            inbound,
            id: &self.id,
            deadline,
            fence: self.fence,
            fingerprint: work.fingerprint,
            fresh: false,
            reused: AtomicBool::new(false),
        };
        let destination = Destination::Local(slot.with_suspect(suspect));
        let response = send(state, destination, work, &request).await;
        response.or_else(crate::attempt::Failure::into_response)
    }
}

fn parse_suspect(suspect: &str) -> Option<(u64, u64)> {
    let (crash_id, left_ms) = suspect.split_once('-')?;
    let crash_id = u64::from_str_radix(crash_id, 16).ok()?;
    Some((crash_id, left_ms.parse().ok()?))
}

fn parse_credit(credit: &str) -> Result<CreditId, Error> {
    let parts = credit.split_once('-').and_then(|(epoch, number)| {
        Some(CreditId {
            epoch: u64::from_str_radix(epoch, 16).ok()?,
            number: u64::from_str_radix(number, 16).ok()?,
        })
    });
    parts.ok_or_else(|| Error::new(ErrorKind::BadRequest, format!("no credit: {credit:?}")))
}
