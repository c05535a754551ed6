//! Detection of poison requests, which crash the backend servers that run them.
//!
//! Every request that ran on a server when it crashed is suspected and runs
//! alone from then on. If exactly one of the requests that ran at a second crash was
//! suspected before, that request is confirmed and is refused for a time. Two
//! crashes seen by different entry VMs also confirm a request, if in one of them
//! nothing else ran. A mark records that a request is suspected, confirmed or
//! cleared again.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Error, ErrorKind};

use crate::work::{Crash, Fingerprint};

/// Crash id of a mark without a recorded crash.
const NO_CRASH_ID: u64 = 0;

/// Settings of [`Poison`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoisonSettings {
    /// Time for which a request stays suspected after a crash, milliseconds.
    pub suspect_ms: u64,
    /// Time for which a confirmed poison request is refused, milliseconds.
    pub refuse_ms: u64,
    /// Most marks that are kept.
    pub marks_max: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            suspect_ms: 60_000,
            refuse_ms: 600_000,
            marks_max: 4_096,
        }
    }
}

/// State of a mark, in order of severity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
enum MarkState {
    /// The request ran alone and its server did not crash.
    #[serde(rename = "acquitted")]
    Cleared,
    /// The request ran on a server that crashed.
    #[serde(rename = "suspect")]
    Suspected,
    /// The request crashes its servers.
    #[serde(rename = "convicted")]
    Confirmed,
}

/// A mark in this VM's table.
#[derive(Clone, Copy, Debug)]
struct MarkEntry {
    state: MarkState,
    until: Instant,
    crash_id: u64,
    /// Whether nothing else ran when the server crashed.
    sole: bool,
}

/// A mark as sent to other entry VMs.
///
/// It carries the remaining time, which does not depend on the sender's clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is refused; otherwise it runs alone.
    pub convicted: bool,
    /// Id of the crash that caused the mark.
    pub crash_id: u64,
    /// Whether nothing else ran when the server crashed.
    pub sole: bool,
    /// Remaining time of the mark, milliseconds.
    pub left_ms: u64,
}

/// How to handle a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Run the request normally.
    Clean,
    /// Run the request alone on its server.
    Alone,
    /// Refuse the request.
    Refuse {
        /// Time until the request is accepted again, milliseconds.
        left_ms: u64,
    },
}

impl Verdict {
    /// Whether the work must run alone.
    ///
    /// # Errors
    /// [`ErrorKind::Poison`] for a request that is refused.
    pub fn must_run_alone(self) -> Result<bool, Error> {
        match self {
            Self::Clean => Ok(false),
            Self::Alone => Ok(true),
            Self::Refuse { left_ms } => {
                let text = format!("crashed its backend servers; refused for {left_ms} ms");
                Err(Error::new(ErrorKind::Poison, text))
            }
        }
    }
}

/// Table of the marks of suspected, confirmed and cleared requests, by fingerprint.
#[derive(Debug)]
pub struct Poison {
    settings: PoisonSettings,
    marks: HashMap<Fingerprint, MarkEntry>,
}

impl Poison {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            marks: HashMap::new(),
        }
    }

    /// Decides how to handle a request now.
    #[must_use]
    pub fn check(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        match self.entry(now, fingerprint) {
            Some(entry) if entry.state == MarkState::Confirmed => Verdict::Refuse {
                left_ms: as_ms(entry.until - now),
            },
            Some(entry) if entry.state == MarkState::Suspected => Verdict::Alone,
            _ => Verdict::Clean,
        }
    }

    /// Records a crash and marks the requests that ran.
    ///
    /// Repeated reports of one crash confirm no request.
    pub fn record_crash(&mut self, now: Instant, crash: &Crash) {
        let marked_before = |f: &&Fingerprint| {
            self.entry(now, **f)
                .is_some_and(|e| e.state != MarkState::Cleared && e.crash_id != crash.id)
        };
        let marked: Vec<_> = crash.ran.iter().filter(marked_before).copied().collect();
        if let [only] = marked[..] {
            self.mark_as(now, only, MarkState::Confirmed, crash.id, true);
            return;
        }
        let sole = crash.ran.len() == 1;
        for fingerprint in &crash.ran {
            if self.check(now, *fingerprint) != Verdict::Alone {
                self.mark_as(now, *fingerprint, MarkState::Suspected, crash.id, sole);
            }
        }
    }

    /// Confirms a request after two servers closed the connection while running it.
    ///
    /// Both closures may have another common cause, so the request is refused
    /// only for `suspect_ms`.
    pub fn record_second_crash(&mut self, now: Instant, fingerprint: Fingerprint) {
        let entry = MarkEntry {
            state: MarkState::Confirmed,
            until: now + ms(self.settings.suspect_ms),
            crash_id: NO_CRASH_ID,
            sole: false,
        };
        self.insert(now, fingerprint, entry);
    }

    /// Clears a suspected request that ran alone without crashing its server.
    pub fn clear_suspect(&mut self, now: Instant, fingerprint: Fingerprint) {
        if let Some(entry) = self.entry(now, fingerprint)
            && entry.state == MarkState::Suspected
        {
            self.mark_as(
                now,
                fingerprint,
                MarkState::Cleared,
                entry.crash_id,
                entry.sole,
            );
        }
    }

    /// Marks to send to other entry VMs, sorted by fingerprint; expired marks and
    /// cleared requests are left out.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<Mark> {
        let fingerprints = self.marks.keys().copied();
        let mut marks: Vec<_> = fingerprints.filter_map(|f| self.mark(now, f)).collect();
        marks.sort_unstable_by_key(|m| m.fingerprint);
        marks
    }

    /// Mark of one request, to send to another entry VM; `None` if it has expired or the
    /// request is cleared.
    #[must_use]
    pub fn mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<Mark> {
        let entry = self.entry(now, fingerprint)?;
        (entry.state != MarkState::Cleared).then(|| Mark {
            fingerprint,
            convicted: entry.state == MarkState::Confirmed,
            crash_id: entry.crash_id,
            sole: entry.sole,
            left_ms: as_ms(entry.until - now),
        })
    }

    /// Merges the marks of another entry VM; the more severe mark wins, then the longer one.
    ///
    /// A cleared request stays cleared unless the other entry VM has confirmed it.
    pub fn merge(&mut self, now: Instant, marks: &[Mark]) {
        for mark in marks {
            let state = if mark.convicted || self.is_second_crash(now, mark) {
                MarkState::Confirmed
            } else {
                MarkState::Suspected
            };
            let left_ms = if mark.convicted || state == MarkState::Suspected {
                mark.left_ms.min(self.duration_ms(state))
            } else {
                self.duration_ms(state)
            };
            let until = now + ms(left_ms);
            let keeps_current = match self.entry(now, mark.fingerprint) {
                Some(entry) if entry.state == MarkState::Cleared => !mark.convicted,
                Some(entry) => (entry.state, entry.until) >= (state, until),
                None => false,
            };
            if !keeps_current {
                let Mark { crash_id, sole, .. } = *mark;
                self.insert(
                    now,
                    mark.fingerprint,
                    MarkEntry {
                        state,
                        until,
                        crash_id,
                        sole,
                    },
                );
            }
        }
    }

    /// Whether the mark is for another crash than this VM's mark of the request,
    /// and in one of the two crashes nothing else ran.
    fn is_second_crash(&self, now: Instant, mark: &Mark) -> bool {
        self.entry(now, mark.fingerprint).is_some_and(|entry| {
            entry.state == MarkState::Suspected
                && entry.crash_id != mark.crash_id
                && (entry.sole || mark.sole)
        })
    }

    fn entry(&self, now: Instant, fingerprint: Fingerprint) -> Option<MarkEntry> {
        self.marks
            .get(&fingerprint)
            .filter(|entry| now < entry.until)
            .copied()
    }

    fn duration_ms(&self, state: MarkState) -> u64 {
        match state {
            MarkState::Confirmed => self.settings.refuse_ms,
            MarkState::Suspected | MarkState::Cleared => self.settings.suspect_ms,
        }
    }

    fn mark_as(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        state: MarkState,
        crash_id: u64,
        sole: bool,
    ) {
        let entry = MarkEntry {
            state,
            until: now + ms(self.duration_ms(state)),
            crash_id,
            sole,
        };
        self.insert(now, fingerprint, entry);
    }

    /// Inserts a mark; a full table first drops expired marks, then the least severe one.
    fn insert(&mut self, now: Instant, fingerprint: Fingerprint, new: MarkEntry) {
        if self.marks.len() >= self.settings.marks_max {
            self.marks.retain(|_, entry| now < entry.until);
        }
        if self.marks.len() >= self.settings.marks_max {
            let evicted = self.marks.iter().min_by_key(|(_, e)| (e.state, e.until));
            if let Some(evicted) = evicted.map(|(f, _)| *f) {
                self.marks.remove(&evicted);
            }
        }
        self.marks.insert(fingerprint, new);
    }
}
