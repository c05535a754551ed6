//! Replicated state machine that allows each operation to run at most once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::answer::StoredAnswer;
use crate::limits::Limits;
use crate::operation::{AttemptId, OperationId, RequestDigest};
use crate::request::{Command, Request, Response};
use crate::spent_keys::SpentKeys;
use crate::usage::Usage;

/// Progress of an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Phase {
    /// An attempt holds the execution grant. The outcome is unknown once ledger time
    /// is past `until_ms`.
    #[serde(rename = "Begun")]
    Started { until_ms: u64 },
    /// The attempt was sent and no response arrived.
    Lost,
    /// The operation ran; `None` if the response was too large to store.
    Done(Option<StoredAnswer>),
}

/// Entry of one operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Operation {
    digest: RequestDigest,
    attempt: AttemptId,
    fence: u64,
    phase: Phase,
    /// Ledger time at which the entry is dropped and its key becomes spent.
    expires_ms: u64,
}

/// State of the operations, of their stored responses and of spent keys.
///
/// The state is deterministic: replicas that apply the same commands are equal.
/// That an operation runs at most once depends only on the order of commands;
/// ledger time decides only what is reported about an operation and how long it
/// is kept.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    limits: Limits,
    now_ms: u64,
    /// Fencing number of the last grant.
    fence: u64,
    /// Operations that count as running, by the time until which they do.
    running: BTreeSet<(u64, OperationId)>,
    /// Size of all stored responses.
    answers_bytes: usize,
    #[serde_as(as = "Vec<(_, _)>")]
    operations: BTreeMap<OperationId, Operation>,
    /// Operations by the time at which they expire.
    expiry: BTreeSet<(u64, OperationId)>,
    /// Abandoned attempts, with the time until which each is refused.
    abandoned: BTreeMap<AttemptId, u64>,
    /// Abandoned attempts, by the time until which each is refused.
    abandoned_expiry: BTreeSet<(u64, AttemptId)>,
    spent: SpentKeys,
    usage: Usage,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            now_ms: 0,
            fence: 0,
            running: BTreeSet::new(),
            answers_bytes: 0,
            operations: BTreeMap::new(),
            expiry: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            abandoned_expiry: BTreeSet::new(),
            spent: SpentKeys::default(),
            usage: Usage::default(),
        }
    }

    /// Timestamp of the last applied command, milliseconds of ledger time.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Number of operations in the ledger, not counting spent keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether the ledger has no operations; spent keys don't count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Size of all stored responses, bytes.
    #[must_use]
    pub fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    /// Looks up an operation at ledger time `now_ms`, without changing the ledger.
    #[must_use]
    pub fn lookup(&self, id: &OperationId, digest: &RequestDigest, now_ms: u64) -> Response {
        let now_ms = now_ms.max(self.now_ms);
        match self.operations.get(id) {
            Some(operation) => operation.lookup(digest, now_ms),
            None if self.spent.contains(id.short_digest()) => Response::Expired,
            None => Response::Free { now_ms },
        }
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: Command) -> Response {
        self.now_ms = self.now_ms.max(command.now_ms);
        self.expire();
        match command.request {
            Request::Lookup { id, digest } => self.lookup(&id, &digest, self.now_ms),
            Request::Begin {
                id,
                digest,
                attempt,
                asked_ms,
                run_ms,
            } => self.begin(id, digest, attempt, asked_ms, run_ms),
            Request::Finish {
                id,
                attempt,
                answer,
            } => self.finish(&id, attempt, answer),
            Request::Abandon {
                id,
                attempt,
                asked_ms,
            } => self.abandon(&id, attempt, asked_ms),
            Request::Lose { id, attempt } => self.lose(&id, attempt),
        }
    }

    fn begin(
        &mut self,
        id: OperationId,
        digest: RequestDigest,
        attempt: AttemptId,
        asked_ms: u64,
        run_ms: u64,
    ) -> Response {
        if self.abandoned.contains_key(&attempt) {
            return Response::Refused;
        }
        if self.now_ms > asked_ms.saturating_add(self.limits.begin_stale_ms) {
            return Response::Stale {
                now_ms: self.now_ms,
            };
        }
        if let Some(operation) = self.operations.get(&id) {
            return operation.repeat_begin(&digest, attempt, self.now_ms);
        }
        if self.spent.contains(id.short_digest()) {
            return Response::Expired;
        }
        if self.is_full() || self.usage.is_full(&id.customer, &self.limits) {
            return Response::Full;
        }
        self.grant(id, digest, attempt, run_ms)
    }

    fn grant(
        &mut self,
        id: OperationId,
        digest: RequestDigest,
        attempt: AttemptId,
        run_ms: u64,
    ) -> Response {
        self.fence += 1;
        self.usage.add_operation(&id.customer);
        let until_ms = self.now_ms + run_ms.min(self.limits.run_max_ms);
        let operation = Operation {
            digest,
            attempt,
            fence: self.fence,
            phase: Phase::Started { until_ms },
            expires_ms: until_ms + self.limits.retention_ms,
        };
        self.running.insert((until_ms, id.clone()));
        self.expiry.insert((operation.expires_ms, id.clone()));
        self.operations.insert(id, operation);
        Response::Granted { fence: self.fence }
    }

    fn finish(
        &mut self,
        id: &OperationId,
        attempt: AttemptId,
        answer: Option<StoredAnswer>,
    ) -> Response {
        let free_bytes = self.limits.answers_max_bytes - self.answers_bytes;
        let fits = |a: &StoredAnswer| {
            a.size_bytes() <= self.limits.answer_max_bytes && a.size_bytes() <= free_bytes
        };
        let stored = answer.filter(fits);
        self.record_outcome(id, attempt, Phase::Done(stored))
    }

    fn lose(&mut self, id: &OperationId, attempt: AttemptId) -> Response {
        self.record_outcome(id, attempt, Phase::Lost)
    }

    /// Records the outcome of an attempt; a response may still follow [`Phase::Lost`].
    fn record_outcome(&mut self, id: &OperationId, attempt: AttemptId, phase: Phase) -> Response {
        let Some(operation) = self.operations.get_mut(id) else {
            return Response::Refused;
        };
        if operation.attempt != attempt {
            return Response::Refused;
        }
        match (&operation.phase, &phase) {
            (Phase::Done(_), _) | (Phase::Lost, Phase::Lost) => return Response::Accepted,
            (Phase::Started { until_ms }, _) => {
                self.running.remove(&(*until_ms, id.clone()));
            }
            (Phase::Lost, _) => {}
        }
        if let Phase::Done(Some(answer)) = &phase {
            self.answers_bytes += answer.size_bytes();
            self.usage.add_answer(&id.customer, answer.size_bytes());
        }
        self.expiry.remove(&(operation.expires_ms, id.clone()));
        operation.expires_ms = self.now_ms + self.limits.retention_ms;
        operation.phase = phase;
        self.expiry.insert((operation.expires_ms, id.clone()));
        Response::Accepted
    }

    fn abandon(&mut self, id: &OperationId, attempt: AttemptId, asked_ms: u64) -> Response {
        if let Some(operation) = self.operations.get(id)
            && operation.attempt == attempt
        {
            let Phase::Started { until_ms } = operation.phase else {
                return Response::Refused;
            };
            self.running.remove(&(until_ms, id.clone()));
            self.expiry.remove(&(operation.expires_ms, id.clone()));
            self.operations.remove(id);
            self.usage.remove_operation(&id.customer, 0);
        }
        self.block_attempt(attempt, asked_ms)
    }

    /// Refuses an abandoned attempt until a delayed `Begin` of it would be stale.
    fn block_attempt(&mut self, attempt: AttemptId, asked_ms: u64) -> Response {
        if self.abandoned.contains_key(&attempt) {
            return Response::Accepted;
        }
        if self.abandoned.len() >= self.limits.abandoned_max {
            return Response::Full;
        }
        let newest_asked_ms = self.now_ms.max(asked_ms);
        let until_ms = newest_asked_ms.saturating_add(self.limits.begin_stale_ms);
        self.abandoned.insert(attempt, until_ms);
        self.abandoned_expiry.insert((until_ms, attempt));
        Response::Accepted
    }

    /// Whether a bound of the ledger leaves no space for another operation.
    ///
    /// Each running operation reserves space for the largest response.
    fn is_full(&self) -> bool {
        let reserved_bytes = (self.running.len() + 1) * self.limits.answer_max_bytes;
        self.operations.len() >= self.limits.operations_max
            || self.operations.len() + self.spent.len() >= self.limits.spent_max
            || self.answers_bytes + reserved_bytes > self.limits.answers_max_bytes
    }

    fn expire(&mut self) {
        while let Some((at_ms, _)) = self.abandoned_expiry.first()
            && *at_ms < self.now_ms
            && let Some((_, attempt)) = self.abandoned_expiry.pop_first()
        {
            self.abandoned.remove(&attempt);
        }
        while let Some((until_ms, _)) = self.running.first()
            && *until_ms < self.now_ms
        {
            self.running.pop_first();
        }
        while let Some((at_ms, _)) = self.expiry.first()
            && *at_ms <= self.now_ms
            && let Some((_, id)) = self.expiry.pop_first()
        {
            self.expire_operation(&id);
        }
        self.spent.forget(self.now_ms, self.limits.spent_keep_ms);
    }

    /// Removes an operation with its response and records its key as spent.
    fn expire_operation(&mut self, id: &OperationId) {
        let Some(operation) = self.operations.remove(id) else {
            return;
        };
        let answer_bytes = match &operation.phase {
            Phase::Done(Some(answer)) => answer.size_bytes(),
            Phase::Started { .. } | Phase::Lost | Phase::Done(None) => 0,
        };
        self.answers_bytes -= answer_bytes;
        self.usage.remove_operation(&id.customer, answer_bytes);
        self.spent.insert(id.short_digest(), self.now_ms);
    }
}

impl Operation {
    fn lookup(&self, digest: &RequestDigest, now_ms: u64) -> Response {
        if self.digest != *digest {
            return Response::Reused;
        }
        match &self.phase {
            Phase::Started { until_ms } if now_ms <= *until_ms => Response::Running,
            Phase::Started { .. } | Phase::Lost => Response::Unknown,
            Phase::Done(Some(answer)) => Response::Done(answer.clone()),
            Phase::Done(None) => Response::NotKept,
        }
    }

    /// Response to a `Begin` of an operation that exists already.
    ///
    /// The same attempt gets its grant again, because the first response may have
    /// been lost.
    fn repeat_begin(&self, digest: &RequestDigest, attempt: AttemptId, now_ms: u64) -> Response {
        match self.lookup(digest, now_ms) {
            Response::Running if self.attempt == attempt => Response::Granted { fence: self.fence },
            response => response,
        }
    }
}
