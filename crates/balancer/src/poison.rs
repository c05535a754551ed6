//! Requests that crash the backend servers that run them.
//!
//! Whatever ran on a server when it crashed is suspect, and a suspect runs
//! alone. A second crash convicts the request that was the only earlier
//! suspect among what ran, as one that ran alone is; it is refused for a time.
//! So do two crashes that two entry VMs saw, if nothing else ran in one of them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Error, Kind};

use crate::work::{Crash, Fingerprint};

/// Settings of [`Poison`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoisonSettings {
    /// Time for which a request stays suspect after a crash, milliseconds.
    pub suspect_ms: u64,
    /// Time for which a convicted request is refused, milliseconds.
    pub refuse_ms: u64,
    /// Marks kept at most.
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

/// What is held against a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
enum Standing {
    /// It ran alone and its server lived.
    Acquitted,
    /// It ran on a server that crashed.
    Suspect,
    /// It crashed a server.
    Convicted,
}

/// A mark as it is held.
#[derive(Clone, Copy, Debug)]
struct Held {
    standing: Standing,
    until: Instant,
    crash_id: u64,
    sole: bool,
}

/// A mark as it goes to another entry VM: time is left over, not a date.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it is refused, not only run alone.
    pub convicted: bool,
    /// Number of the crash that it is marked for.
    pub crash_id: u64,
    /// Whether nothing else ran when the server crashed.
    pub sole: bool,
    /// Time that the mark still holds, milliseconds.
    pub left_ms: u64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Run it as any other.
    Clean,
    /// Run it alone.
    Alone,
    /// Refuse it.
    Refuse {
        /// Time until it may be tried again, milliseconds.
        left_ms: u64,
    },
}

impl Verdict {
    /// The refusal as an error, or whether the work must run alone.
    ///
    /// # Errors
    /// [`Kind::Poison`] for a convicted request.
    pub fn alone(self) -> Result<bool, Error> {
        match self {
            Self::Clean => Ok(false),
            Self::Alone => Ok(true),
            Self::Refuse { left_ms } => {
                let text = format!("crashed its backend servers; refused for {left_ms} ms");
                Err(Error::new(Kind::Poison, text))
            }
        }
    }
}

/// Marks of requests by fingerprint.
#[derive(Debug)]
pub struct Poison {
    settings: PoisonSettings,
    marks: HashMap<Fingerprint, Held>,
}

impl Poison {
    /// No marks.
    #[must_use]
    pub fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            marks: HashMap::new(),
        }
    }

    /// What to do with a request now.
    #[must_use]
    pub fn check(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        match self.held(now, fingerprint) {
            Some(held) if held.standing == Standing::Convicted => Verdict::Refuse {
                left_ms: as_ms(held.until - now),
            },
            Some(held) if held.standing == Standing::Suspect => Verdict::Alone,
            _ => Verdict::Clean,
        }
    }

    /// Takes in a crash; news of the same crash convict nothing.
    pub fn crashed(&mut self, now: Instant, crash: &Crash) {
        let earlier = |f: &&Fingerprint| {
            self.held(now, **f)
                .is_some_and(|h| h.standing != Standing::Acquitted && h.crash_id != crash.id)
        };
        let earlier: Vec<_> = crash.ran.iter().filter(earlier).copied().collect();
        if let [only] = earlier[..] {
            self.put(now, only, Standing::Convicted, crash.id, true);
            return;
        }
        let sole = crash.ran.len() == 1;
        for fingerprint in &crash.ran {
            if self.check(now, *fingerprint) != Verdict::Alone {
                self.put(now, *fingerprint, Standing::Suspect, crash.id, sole);
            }
        }
    }

    /// Takes in that two servers broke off while they ran the same request. One
    /// cause may have struck both, so it is refused for as long as a suspect.
    pub fn broke_twice(&mut self, now: Instant, fingerprint: Fingerprint) {
        let held = Held {
            standing: Standing::Convicted,
            until: now + ms(self.settings.suspect_ms),
            crash_id: 0,
            sole: false,
        };
        self.insert(now, fingerprint, held);
    }

    /// Takes in that a suspect ran alone and its server lived.
    pub fn passed(&mut self, now: Instant, fingerprint: Fingerprint) {
        if let Some(held) = self.held(now, fingerprint)
            && held.standing == Standing::Suspect
        {
            self.put(
                now,
                fingerprint,
                Standing::Acquitted,
                held.crash_id,
                held.sole,
            );
        }
    }

    /// Marks in force, for other entry VMs, by fingerprint.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<Mark> {
        let fingerprints = self.marks.keys().copied();
        let mut marks: Vec<_> = fingerprints.filter_map(|f| self.mark(now, f)).collect();
        marks.sort_unstable_by_key(|m| m.fingerprint);
        marks
    }

    /// The mark in force for one request, for another entry VM.
    #[must_use]
    pub fn mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<Mark> {
        let held = self.held(now, fingerprint)?;
        (held.standing != Standing::Acquitted).then(|| Mark {
            fingerprint,
            convicted: held.standing == Standing::Convicted,
            crash_id: held.crash_id,
            sole: held.sole,
            left_ms: as_ms(held.until - now),
        })
    }

    /// Takes in another entry VM's marks; the graver and longer mark stays.
    pub fn merge(&mut self, now: Instant, marks: &[Mark]) {
        for mark in marks {
            let standing = if mark.convicted || self.is_second_crash(now, mark) {
                Standing::Convicted
            } else {
                Standing::Suspect
            };
            let left_ms = if mark.convicted || standing == Standing::Suspect {
                mark.left_ms.min(self.lasts_ms(standing))
            } else {
                self.lasts_ms(standing)
            };
            let until = now + ms(left_ms);
            let stays = match self.held(now, mark.fingerprint) {
                Some(held) if held.standing == Standing::Acquitted => !mark.convicted,
                Some(held) => (held.standing, held.until) >= (standing, until),
                None => false,
            };
            if !stays {
                let Mark { crash_id, sole, .. } = *mark;
                self.insert(
                    now,
                    mark.fingerprint,
                    Held {
                        standing,
                        until,
                        crash_id,
                        sole,
                    },
                );
            }
        }
    }

    /// Whether the mark tells of another crash than the one held here, one of
    /// them with nothing else running.
    fn is_second_crash(&self, now: Instant, mark: &Mark) -> bool {
        self.held(now, mark.fingerprint).is_some_and(|held| {
            held.standing == Standing::Suspect
                && held.crash_id != mark.crash_id
                && (held.sole || mark.sole)
        })
    }

    fn held(&self, now: Instant, fingerprint: Fingerprint) -> Option<Held> {
        self.marks
            .get(&fingerprint)
            .filter(|held| now < held.until)
            .copied()
    }

    fn lasts_ms(&self, standing: Standing) -> u64 {
        match standing {
            Standing::Convicted => self.settings.refuse_ms,
            Standing::Suspect | Standing::Acquitted => self.settings.suspect_ms,
        }
    }

    fn put(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        standing: Standing,
        crash_id: u64,
        sole: bool,
    ) {
        let held = Held {
            standing,
            until: now + ms(self.lasts_ms(standing)),
            crash_id,
            sole,
        };
        self.insert(now, fingerprint, held);
    }

    fn insert(&mut self, now: Instant, fingerprint: Fingerprint, mark: Held) {
        if self.marks.len() >= self.settings.marks_max {
            self.marks.retain(|_, held| now < held.until);
        }
        if self.marks.len() >= self.settings.marks_max {
            let first = self.marks.iter().min_by_key(|(_, h)| (h.standing, h.until));
            if let Some(first) = first.map(|(f, _)| *f) {
                self.marks.remove(&first);
            }
        }
        self.marks.insert(fingerprint, mark);
    }
}
