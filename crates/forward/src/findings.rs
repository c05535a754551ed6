//! Findings that this entry VM knows: its own, which it reports to the control VMs,
//! and those of others, which it reports to a control VM that has lost them.

use std::collections::{HashMap, HashSet};

use balancer::Fingerprint;
use discovery::{Finding, FindingKey, Row, Update};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{LockRank, RankedMutex};

/// Most findings in one message: a few kilobytes. The rest follows in the next one.
const PER_MESSAGE_MAX: usize = 128;

/// Most findings that are kept. New ones are dropped while there are that many.
const KEPT_MAX: usize = 4_096;

/// The known findings.
pub struct Findings {
    table: RankedMutex<Table>,
}

#[derive(Default)]
struct Table {
    rows: HashMap<FindingKey, Known>,
    /// Position of the newest finding to report.
    newest: u64,
}

struct Known {
    finding: Finding,
    /// When the finding was made.
    at: Instant,
    /// Position in the order of reporting; 0 for a finding of another entry VM.
    position: u64,
}

impl Default for Findings {
    fn default() -> Self {
        Self {
            table: RankedMutex::new(LockRank::Registry, Table::default()),
        }
    }
}

impl Table {
    /// Inserts a finding that is newer than the known one; returns whether it was.
    fn insert(&mut self, finding: Finding, at: Instant, position: u64) -> bool {
        let key = finding.key();
        let known = self.rows.get(&key);
        let is_new = known.is_none_or(|known| finding.replaces(at, &known.finding, known.at));
        if !is_new || (known.is_none() && self.rows.len() >= KEPT_MAX) {
            return false;
        }
        let known = Known {
            finding,
            at,
            position,
        };
        self.rows.insert(key, known);
        true
    }
}

impl Findings {
    /// Adds a finding of this entry VM, to be reported to the control VMs.
    pub fn report(&self, finding: Finding, now: Instant) {
        let mut table = self.table.lock();
        let position = table.newest + 1;
        if table.insert(finding, now, position) {
            table.newest = position;
        }
    }

    /// Adds a finding that another entry VM made `age_ms` ago. Returns it as it counts
    /// now if it is newer than the known one.
    pub fn receive(&self, finding: &Finding, age_ms: u64, now: Instant) -> Option<Finding> {
        let aged = finding.aged(age_ms)?;
        let made_at = now.checked_sub(ms(age_ms)).unwrap_or(now);
        let mut table = self.table.lock();
        table.insert(finding.clone(), made_at, 0).then_some(aged)
    }

    /// Whether this entry VM itself saw a crash in which the request ran.
    pub fn saw_crash_of(&self, fingerprint: Fingerprint) -> bool {
        let table = self.table.lock();
        table.rows.iter().any(|(key, known)| {
            let ran = matches!(key, FindingKey::Crash(request, _) if *request == fingerprint);
            ran && known.position > 0
        })
    }

    /// Reports again what a control VM that has sent all its findings does not have.
    pub fn restate(&self, had: &HashSet<FindingKey>) {
        let mut table = self.table.lock();
        let Table { rows, newest } = &mut *table;
        for (_, known) in rows.iter_mut().filter(|(key, _)| !had.contains(key)) {
            *newest += 1;
            known.position = *newest;
        }
    }

    /// Findings to report after a position, oldest first and at most
    /// [`PER_MESSAGE_MAX`], and the position up to which they reach.
    pub fn unreported(&self, after: u64, now: Instant) -> (Vec<Update>, u64) {
        let table = self.table.lock();
        let mut rows: Vec<&Known> = table.rows.values().filter(|r| r.position > after).collect();
        rows.sort_unstable_by_key(|known| known.position);
        let reached = if rows.len() > PER_MESSAGE_MAX {
            rows[PER_MESSAGE_MAX - 1].position
        } else {
            table.newest
        };
        let updates = rows.into_iter().take(PER_MESSAGE_MAX).map(|known| Update {
            row: Row::Finding(known.finding.clone()),
            age_ms: as_ms(now.saturating_duration_since(known.at)),
            lost: false,
        });
        (updates.collect(), reached)
    }

    /// Forgets findings that no longer count.
    pub fn expire(&self, now: Instant) {
        let counts =
            |known: &Known| now.saturating_duration_since(known.at) < known.finding.lifetime();
        self.table.lock().rows.retain(|_, known| counts(known));
    }
}
