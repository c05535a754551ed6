//! The registry: merges announced rows, marks rows without new announcements as
//! lost, and returns the rows that changed since a given point.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Place, ServerName};

use crate::finding::Finding;
use crate::row::{ControlRow, EntryRow, Key, Row, ServerRow, Update};

/// Used share of its network link from which on an entry VM counts as busy,
/// percent: above it small responses queue behind large ones.
const BUSY_THRESHOLD_PERCENT: usize = 70;

/// Most findings that are kept: some crashes of servers with a hundred requests each,
/// at about 30 bytes a finding.
const FINDINGS_MAX: usize = 4_096;

/// Which entry VMs may substitute for lost ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubstituteScope {
    /// Only those of the same region, for sites that bind requests to regions.
    Region,
    /// Those of any region.
    Anywhere,
}

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

/// A row with its state in the registry.
#[derive(Clone, Debug)]
struct Record {
    row: Row,
    announced_at: Instant,
    lost: bool,
    /// Value of the registry's logical clock at the last announcement.
    announced_clock: u64,
    /// Value of the registry's logical clock at the last change that matters to entry
    /// VMs.
    changed: u64,
}

/// Registry of all known servers and machines. Its logical clock counts the
/// applied announcements and detected losses.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    settings: RegistrySettings,
    rows: HashMap<Key, Record>,
    servers_at: HashMap<SocketAddr, ServerName>,
    clock: u64,
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

    /// Applies a row that was announced `age_ms` ago. Returns whether it was newer
    /// than the known row.
    pub fn merge(&mut self, row: Row, age_ms: u64, now: Instant) -> bool {
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
        let differs = self
            .rows
            .get(&key)
            .is_none_or(|record| record.lost || row.is_relevant_change_from(&record.row));
        self.clock += 1;
        let changed = self.rows.get(&key).map_or(0, |record| record.changed);
        let record = Record {
            row,
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
        self.rows.insert(key, record);
        true
    }

    /// Returns whether `row` replaces the recorded one: if it is newer, or if it is
    /// of another incarnation of a machine whose announcements have stopped. A new
    /// incarnation may have the earlier start time if the machine's clock was set back.
    fn is_newer(&self, row: &Row, at: Instant, record: &Record, now: Instant) -> bool {
        if let (Row::Finding(finding), Row::Finding(known)) = (row, &record.row) {
            return finding.replaces(at, known, record.announced_at);
        }
        if row.order() > record.row.order() {
            return true;
        }
        let other_start = row.order().0 != record.row.order().0;
        let machine = matches!(row, Row::Entry(_) | Row::Control(_));
        machine && other_start && self.is_overdue(record, now)
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
        if let Some(record) = self.rows.get_mut(&key) {
            let born_ms = record.row.order().0;
            if born_ms > server.born_ms {
                return false;
            }
            if !record.lost {
                log::info!(
                    target: "roster", server:% = name, by:% = server.name, addr:% = server.addr;
                    "another server announces itself at the address"
                );
                self.clock += 1;
                record.lost = true;
                record.changed = self.clock;
                self.last_change = self.clock;
            }
        }
        self.servers_at.insert(server.addr, server.name.clone());
        true
    }

    /// Returns whether the last announcement is older than the timeout.
    fn is_overdue(&self, record: &Record, now: Instant) -> bool {
        let bound = match &record.row {
            Row::Server(_) => ms(self.settings.server_timeout_ms),
            Row::Entry(_) | Row::Control(_) => ms(self.settings.machine_timeout_ms),
            Row::Finding(finding) => finding.lifetime(),
        };
        now.saturating_duration_since(record.announced_at) > bound
    }

    /// Marks rows without recent announcements as lost and removes old rows.
    /// Returns whether any row was marked.
    pub fn sweep(&mut self, now: Instant) -> bool {
        let overdue: Vec<Key> = self
            .rows
            .iter()
            .filter(|(_, record)| !record.row.is_finding() && !record.lost)
            .filter(|(_, record)| self.is_overdue(record, now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &overdue {
            self.clock += 1;
            if let Some(record) = self.rows.get_mut(key) {
                let silent_ms = as_ms(now.saturating_duration_since(record.announced_at));
                log::info!(target: "roster", key:? = key, silent_ms; "lost: no announcement within the timeout");
                record.lost = true;
                record.changed = self.clock;
                self.last_change = self.clock;
            }
        }
        self.forget(now);
        let rows = &self.rows;
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

    /// Returns the rows announced after `cursor` that are not lost, for other
    /// control VMs.
    #[must_use]
    pub fn announced_since(&self, cursor: u64, now: Instant) -> Vec<Update> {
        let rows = self.rows.values();
        let announced = rows.filter(|record| record.announced_clock > cursor && !record.lost);
        announced.map(|record| record.to_update(now)).collect()
    }

    /// Returns the rows that changed after `cursor`, including lost ones, for entry
    /// VMs.
    #[must_use]
    pub fn changed_since(&self, cursor: u64, now: Instant) -> Vec<Update> {
        let rows = self.rows.values();
        let changed = rows.filter(|record| record.changed > cursor);
        changed.map(|record| record.to_update(now)).collect()
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

    /// Returns the entry VMs that clients may use, with the age of each one's last
    /// announcement.
    pub fn entries(&self, now: Instant) -> impl Iterator<Item = (&EntryRow, Duration)> {
        self.rows
            .values()
            .filter_map(move |record| match &record.row {
                Row::Entry(row)
                    if !record.lost && !row.leaving && !self.is_overdue(record, now) =>
                {
                    Some((row, now.saturating_duration_since(record.announced_at)))
                }
                _ => None,
            })
    }

    /// Returns the entry VMs that a client at `place` should use: those of its
    /// failure domain, or if there are none, of its region, or else all.
    ///
    /// If some entry VMs of the domain are lost and the remaining ones would be busy
    /// with the clients of the whole domain, the same number of other entry VMs
    /// substitutes for them. `from` says which entry VMs may substitute. The caller
    /// chooses `seed`, such as a random number per call, so that different seeds
    /// distribute the clients over all candidates.
    #[must_use]
    pub fn entries_near(
        &self,
        place: &Place,
        from: SubstituteScope,
        seed: u64,
        now: Instant,
    ) -> Vec<&EntryRow> {
        let all: Vec<&EntryRow> = self.entries(now).map(|(row, _)| row).collect();
        let same_domain = |row: &&EntryRow| row.place == *place;
        let same_region = |row: &&EntryRow| row.place.region == place.region;
        let mut near: Vec<&EntryRow> = all.iter().copied().filter(same_domain).collect();
        let substitutes_needed = self.substitutes_needed(place, &near);
        if substitutes_needed > 0 {
            let is_candidate = |row: &&EntryRow| {
                !same_domain(row) && (from == SubstituteScope::Anywhere || same_region(row))
            };
            let mut others: Vec<&EntryRow> = all.iter().copied().filter(is_candidate).collect();
            others.sort_by_key(|row| {
                hash::mix(hash::name(row.name.as_str()), seed, Purpose::Substitute)
            });
            near.extend(others.into_iter().take(substitutes_needed));
        }
        if !near.is_empty() {
            return near;
        }
        let near: Vec<&EntryRow> = all.iter().copied().filter(same_region).collect();
        if near.is_empty() { all } else { near }
    }

    /// Returns how many entry VMs of a domain need a substitute: the number of lost
    /// ones if the clients of the whole domain would make its available entry VMs
    /// (`near`) busy, else 0.
    fn substitutes_needed(&self, place: &Place, near: &[&EntryRow]) -> usize {
        let entries = self.rows.values().filter_map(|record| match &record.row {
            Row::Entry(row) if row.place == *place => Some(row),
            _ => None,
        });
        let (mut total, mut busy_percent) = (0, 0);
        for row in entries {
            total += 1;
            busy_percent += row.busy_percent as usize;
        }
        // The load that all entry VMs of the domain had, divided among `near`.
        let busy = !near.is_empty() && busy_percent >= near.len() * BUSY_THRESHOLD_PERCENT;
        if busy { total - near.len() } else { 0 }
    }
}

impl Record {
    fn to_update(&self, now: Instant) -> Update {
        Update {
            row: self.row.clone(),
            age_ms: as_ms(now.saturating_duration_since(self.announced_at)),
            lost: self.lost,
        }
    }
}
