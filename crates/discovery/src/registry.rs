//! The registry: merges announced rows, marks rows without new announcements as
//! lost, and returns the rows that changed since a given point.
//!
//! A control VM passes a row on to other control VMs only if it was announced there.
//! Rows from elsewhere go only to a reader that can't reach their origin, so that the
//! traffic of a row grows with the number of control VMs and not with its square.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use world::ServerName;
use world::unit::{as_ms, ms};

use crate::finding::Finding;
use crate::record::{Origin, Record};
use crate::row::{ControlRow, Key, Row, ServerRow};

/// Most findings that are kept: some crashes of servers with a hundred requests each,
/// at about 30 bytes a finding.
const FINDINGS_MAX: usize = 4_096;

/// Time between two sweeps from which on this process has been suspended or starved, so
/// that it may not have read the announcements that arrived meanwhile.
const SWEEP_GAP_MAX: Duration = Duration::from_millis(1_500);

/// Time after such a gap in which no row counts as lost: an announcement interval of
/// 1.5 s and 0.5 s of network delay.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Settings of a [`Registry`].
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Time without an announcement after which a backend server counts as lost,
    /// milliseconds.
    pub server_timeout_ms: u64,
    /// Time without an announcement after which an entry VM or control VM counts
    /// as lost, milliseconds.
    pub machine_timeout_ms: u64,
    /// Time without an announcement after which a row is removed, milliseconds.
    pub forget_ms: u64,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self {
            // Three missed announcements, sent every 1.5 s, and 0.5 s of network delay.
            server_timeout_ms: 5_000,
            // Four missed announcements, sent every 0.5 s.
            machine_timeout_ms: 2_000,
            forget_ms: 60_000,
        }
    }
}

/// Registry of all known servers and machines. Its logical clock counts the
/// applied announcements and detected losses.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    settings: RegistrySettings,
    pub(crate) rows: HashMap<Key, Record>,
    /// Keys of the rows by `announced_clock`.
    pub(crate) by_announcement: BTreeMap<u64, Key>,
    /// Keys of the rows by `changed`.
    pub(crate) by_change: BTreeMap<u64, Key>,
    servers_at: HashMap<SocketAddr, ServerName>,
    swept_at: Option<Instant>,
    /// End of the time after a suspension in which no row counts as lost.
    catching_up_until: Option<Instant>,
    pub(crate) clock: u64,
    last_change: u64,
    last_finding: u64,
}

impl Registry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies a row that was announced here `age_ms` ago. Returns whether it was newer
    /// than the known row.
    pub fn merge(&mut self, row: Row, age_ms: u64, now: Instant) -> bool {
        self.merge_from(Origin::Here, row, age_ms, now)
    }

    /// Applies a row that was announced `age_ms` ago and came from `origin`. Returns
    /// whether it was newer than the known row.
    pub fn merge_from(&mut self, origin: Origin, row: Row, age_ms: u64, now: Instant) -> bool {
        let announced_at = now.checked_sub(ms(age_ms)).unwrap_or(now);
        let key = row.key();
        let known = self.rows.get(&key);
        if known.is_some_and(|record| !self.is_newer(&row, announced_at, record, now)) {
            return false;
        }
        if let Row::Server(server) = &row
            && !self.assign_address(server)
        {
            return false;
        }
        let known = self.rows.get(&key);
        let differs = known.is_none_or(|record| record.matters(&row, announced_at));
        self.clock += 1;
        let before = known.map(|record| (record.announced_clock, record.changed));
        let changed = before.map_or(0, |(_, changed)| changed);
        let record = Record {
            row,
            origin,
            announced_at,
            lost: false,
            announced_clock: self.clock,
            changed: if differs { self.clock } else { changed },
        };
        let last = if record.row.is_finding() {
            &mut self.last_finding
        } else {
            &mut self.last_change
        };
        *last = record.changed.max(*last);
        if let Some((announced_clock, changed)) = before {
            self.by_announcement.remove(&announced_clock);
            self.by_change.remove(&changed);
        }
        self.by_announcement.insert(self.clock, key.clone());
        self.by_change.insert(record.changed, key.clone());
        self.rows.insert(key, record);
        true
    }

    /// Returns whether `row` replaces the recorded one: if it is newer, or if it is of
    /// another incarnation of a machine whose announcements have stopped or that is known
    /// from before a restart only. Start times of machines don't tell which is later.
    fn is_newer(&self, row: &Row, at: Instant, record: &Record, now: Instant) -> bool {
        if let (Row::Finding(finding), Row::Finding(known)) = (row, &record.row) {
            return finding.replaces(at, known, record.announced_at);
        }
        if row.order() > record.row.order() {
            return true;
        }
        let other_start = row.order().0 != record.row.order().0;
        let machine = matches!(row, Row::Entry(_) | Row::Control(_));
        let outdated = record.origin == Origin::Cache || self.is_overdue(record, now);
        machine && other_start && outdated
    }

    /// Assigns the server's address to the server. If another server had the
    /// address, the one that started last gets it, and the other one counts as lost.
    /// Returns whether the given server has the address.
    fn assign_address(&mut self, server: &ServerRow) -> bool {
        let Some(name) = self.servers_at.get(&server.addr) else {
            self.servers_at.insert(server.addr, server.name.clone());
            return true;
        };
        if *name == server.name {
            return true;
        }
        let key = Key::Server(name.clone());
        if let Some(record) = self.rows.get(&key) {
            let born_ms = record.row.order().0;
            if born_ms > server.born_ms {
                return false;
            }
            if !record.lost {
                log::info!(
                    target: "roster", server:% = name, by:% = server.name, addr:% = server.addr;
                    "another server announces itself at the address"
                );
                self.mark_lost(&key);
            }
        }
        self.servers_at.insert(server.addr, server.name.clone());
        true
    }

    /// Returns whether the last announcement is older than the timeout.
    pub(crate) fn is_overdue(&self, record: &Record, now: Instant) -> bool {
        let bound = match &record.row {
            Row::Server(_) => ms(self.settings.server_timeout_ms),
            Row::Entry(_) | Row::Control(_) => ms(self.settings.machine_timeout_ms),
            Row::Finding(finding) => finding.lifetime(),
        };
        now.saturating_duration_since(record.announced_at) > bound
    }

    /// Marks a row as lost.
    fn mark_lost(&mut self, key: &Key) {
        let Some(record) = self.rows.get_mut(key) else {
            return;
        };
        self.clock += 1;
        self.by_change.remove(&record.changed);
        self.by_change.insert(self.clock, key.clone());
        record.lost = true;
        record.changed = self.clock;
        self.last_change = self.clock;
    }

    /// Returns whether this process may have missed announcements lately, because it was
    /// suspended or starved between two sweeps.
    fn is_catching_up(&mut self, now: Instant) -> bool {
        let before = self.swept_at.replace(now);
        let gap = before.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if gap > SWEEP_GAP_MAX {
            self.catching_up_until = Some(now + CATCH_UP_TIME);
            log::warn!(
                target: "roster", gap_ms = as_ms(gap);
                "this process was suspended or starved; nothing counts as lost for now"
            );
        }
        self.catching_up_until.is_some_and(|until| now < until)
    }

    /// Marks rows without recent announcements as lost and removes old rows. To be called
    /// every half second. Returns whether any row was marked.
    pub fn sweep(&mut self, now: Instant) -> bool {
        if self.is_catching_up(now) {
            return false;
        }
        let overdue: Vec<Key> = self
            .rows
            .iter()
            .filter(|(_, record)| !record.row.is_finding() && !record.lost)
            .filter(|(_, record)| self.is_overdue(record, now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &overdue {
            if let Some(record) = self.rows.get(key) {
                let silent_ms = as_ms(now.saturating_duration_since(record.announced_at));
                log::info!(target: "roster", key:? = key, silent_ms; "lost: no announcement within the timeout");
                self.mark_lost(key);
            }
        }
        self.forget(now);
        let rows = &self.rows;
        self.by_announcement.retain(|_, key| rows.contains_key(key));
        self.by_change.retain(|_, key| rows.contains_key(key));
        self.servers_at
            .retain(|_, name| rows.contains_key(&Key::Server(name.clone())));
        !overdue.is_empty()
    }

    /// Removes rows that were not announced for long, and findings that no longer count;
    /// beyond [`FINDINGS_MAX`] findings also the oldest ones.
    fn forget(&mut self, now: Instant) {
        let forget = ms(self.settings.forget_ms);
        let mut clocks = Vec::new();
        self.rows.retain(|_, record| {
            let age = now.saturating_duration_since(record.announced_at);
            let Row::Finding(finding) = &record.row else {
                return age < forget;
            };
            let counts = age < finding.lifetime();
            if counts {
                clocks.push(record.announced_clock);
            }
            counts
        });
        if let Some(excess) = clocks.len().checked_sub(FINDINGS_MAX).filter(|n| *n > 0) {
            clocks.sort_unstable();
            let oldest_kept = clocks[excess];
            self.rows.retain(|_, record| {
                !record.row.is_finding() || record.announced_clock >= oldest_kept
            });
            log::warn!(target: "roster", excess; "too many findings; the oldest ones removed");
        }
    }

    /// Returns the logical clock, a cursor for [`Registry::announced_since`] and
    /// [`Registry::changed_since`].
    #[must_use]
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the logical clock at the newest change that matters to entry VMs at once.
    /// Findings may wait for the next response to a reader: if each of them woke all
    /// readers, a few in a second would keep hundreds of entry VMs reading.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the logical clock at the newest finding.
    #[must_use]
    pub fn last_finding(&self) -> u64 {
        self.last_finding
    }

    /// Returns the backend servers that are not lost, to be stored for a restart.
    #[must_use]
    pub fn servers(&self) -> Vec<ServerRow> {
        let rows = self.rows.values().filter_map(|record| match &record.row {
            Row::Server(row) if !record.lost => Some(row.clone()),
            _ => None,
        });
        rows.collect()
    }

    /// Returns the findings that still count, to be stored for a restart.
    #[must_use]
    pub fn findings(&self, now: Instant) -> Vec<Finding> {
        let findings = self.rows.values().filter_map(|record| match &record.row {
            Row::Finding(finding) => {
                let age = now.saturating_duration_since(record.announced_at);
                finding.aged(as_ms(age))
            }
            _ => None,
        });
        findings.collect()
    }

    /// Returns the row of a backend server, unless it is lost.
    #[must_use]
    pub fn server(&self, name: &ServerName) -> Option<&ServerRow> {
        let record = self.rows.get(&Key::Server(name.clone()))?;
        match &record.row {
            Row::Server(row) if !record.lost => Some(row),
            _ => None,
        }
    }

    /// Returns the control VMs that are not lost.
    pub fn controls(&self) -> impl Iterator<Item = &ControlRow> {
        self.rows.values().filter_map(|record| match &record.row {
            Row::Control(row) if !record.lost => Some(row),
            _ => None,
        })
    }
}
