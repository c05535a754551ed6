//! The table of rows: merging, silence, and what changed since when.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::unit::{as_ms, ms};
use world::{Place, ServerName};

use crate::row::{ControlRow, EntryRow, Key, News, Row, ServerRow};

/// Share of its link from which on an entry VM counts as busy, percent: beyond
/// it short answers wait behind large ones.
const BUSY_PERCENT: usize = 70;

/// Entry VMs that may stand in for lost ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandIns {
    /// Those of the same region, where requests may be bound to regions.
    Region,
    /// Any.
    Anywhere,
}

/// Settings of a [`Roster`].
#[derive(Clone, Copy, Debug)]
pub struct RosterSettings {
    /// Silence after which a backend server is held for lost, milliseconds.
    pub server_silence_ms: u64,
    /// Silence after which a machine of the system is held for lost, milliseconds.
    pub machine_silence_ms: u64,
    /// Silence after which a row is forgotten, milliseconds.
    pub forget_ms: u64,
}

impl Default for RosterSettings {
    fn default() -> Self {
        Self {
            // Three announcements of 1.5 s missed, and half a second for the way.
            server_silence_ms: 5_000,
            // Four announcements of 0.5 s missed.
            machine_silence_ms: 2_000,
            forget_ms: 60_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    row: Row,
    heard_at: Instant,
    lost: bool,
    /// When it was last heard of, as a number of this table.
    touched: u64,
    /// When it last changed for those that forward requests.
    changed: u64,
}

/// Rows by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    settings: RosterSettings,
    rows: HashMap<Key, Held>,
    servers_at: HashMap<SocketAddr, ServerName>,
    clock: u64,
    last_change: u64,
}

impl Roster {
    /// An empty table.
    #[must_use]
    pub fn new(settings: RosterSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes in a row announced `age_ms` ago. Gives whether it was news.
    pub fn merge(&mut self, row: Row, age_ms: u64, now: Instant) -> bool {
        let heard_at = now.checked_sub(ms(age_ms)).unwrap_or(now);
        let key = row.key();
        let known = self.rows.get(&key);
        if known.is_some_and(|held| !self.is_newer(&row, held, now)) {
            return false;
        }
        if let Row::Server(server) = &row
            && !self.take_address(server)
        {
            return false;
        }
        let differs = self
            .rows
            .get(&key)
            .is_none_or(|held| held.lost || row.differs(&held.row));
        self.clock += 1;
        let changed = self.rows.get(&key).map_or(0, |held| held.changed);
        let held = Held {
            row,
            heard_at,
            lost: false,
            touched: self.clock,
            changed: if differs { self.clock } else { changed },
        };
        self.last_change = self.last_change.max(held.changed);
        self.rows.insert(key, held);
        true
    }

    /// A later start counts even with a clock that was set back, once the
    /// earlier one has fallen silent.
    fn is_newer(&self, row: &Row, held: &Held, now: Instant) -> bool {
        if row.order() > held.row.order() {
            return true;
        }
        let other_start = row.order().0 != held.row.order().0;
        let machine = !matches!(row, Row::Server(_));
        machine && other_start && self.is_silent(held, now)
    }

    /// At one address the server that started last holds it.
    fn take_address(&mut self, server: &ServerRow) -> bool {
        let Some(name) = self.servers_at.get(&server.addr) else {
            self.servers_at.insert(server.addr, server.name.clone());
            return true;
        };
        if *name == server.name {
            return true;
        }
        let key = Key::Server(name.clone());
        if let Some(held) = self.rows.get_mut(&key) {
            let born_ms = held.row.order().0;
            if born_ms > server.born_ms {
                return false;
            }
            if !held.lost {
                log::info!(
                    target: "roster", server:% = name, by:% = server.name, addr:% = server.addr;
                    "another server announces itself at the address"
                );
                self.clock += 1;
                held.lost = true;
                held.changed = self.clock;
                self.last_change = self.clock;
            }
        }
        self.servers_at.insert(server.addr, server.name.clone());
        true
    }

    fn is_silent(&self, held: &Held, now: Instant) -> bool {
        let bound = match held.row {
            Row::Server(_) => self.settings.server_silence_ms,
            Row::Entry(_) | Row::Control(_) => self.settings.machine_silence_ms,
        };
        now.saturating_duration_since(held.heard_at) > ms(bound)
    }

    /// Marks what has fallen silent as lost and forgets what is long gone.
    /// Gives whether anything was marked.
    pub fn sweep(&mut self, now: Instant) -> bool {
        let silent: Vec<Key> = self
            .rows
            .iter()
            .filter(|(_, held)| !held.lost && self.is_silent(held, now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &silent {
            self.clock += 1;
            if let Some(held) = self.rows.get_mut(key) {
                let silent_ms = as_ms(now.saturating_duration_since(held.heard_at));
                log::info!(target: "roster", key:? = key, silent_ms; "fell silent");
                held.lost = true;
                held.changed = self.clock;
                self.last_change = self.clock;
            }
        }
        let forget = ms(self.settings.forget_ms);
        let keep = |held: &Held| now.saturating_duration_since(held.heard_at) < forget;
        self.rows.retain(|_, held| keep(held));
        let rows = &self.rows;
        self.servers_at
            .retain(|_, name| rows.contains_key(&Key::Server(name.clone())));
        !silent.is_empty()
    }

    /// Number of the newest change.
    #[must_use]
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Rows heard of after `cursor`, for other control VMs.
    #[must_use]
    pub fn touched_since(&self, cursor: u64, now: Instant) -> Vec<News> {
        let rows = self.rows.values();
        let touched = rows.filter(|held| held.touched > cursor && !held.lost);
        touched.map(|held| held.news(now)).collect()
    }

    /// Rows that changed after `cursor`, for entry VMs.
    #[must_use]
    pub fn changed_since(&self, cursor: u64, now: Instant) -> Vec<News> {
        let rows = self.rows.values();
        let changed = rows.filter(|held| held.changed > cursor);
        changed.map(|held| held.news(now)).collect()
    }

    /// Number of the newest change that entry VMs learn of.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Backend servers that are not lost, for the time after a restart.
    #[must_use]
    pub fn servers(&self) -> Vec<ServerRow> {
        let rows = self.rows.values().filter_map(|held| match &held.row {
            Row::Server(row) if !held.lost => Some(row.clone()),
            _ => None,
        });
        rows.collect()
    }

    /// The row of a backend server, unless it is lost.
    #[must_use]
    pub fn server(&self, name: &ServerName) -> Option<&ServerRow> {
        let held = self.rows.get(&Key::Server(name.clone()))?;
        match &held.row {
            Row::Server(row) if !held.lost => Some(row),
            _ => None,
        }
    }

    /// Control VMs that are not lost.
    pub fn controls(&self) -> impl Iterator<Item = &ControlRow> {
        self.rows.values().filter_map(|held| match &held.row {
            Row::Control(row) if !held.lost => Some(row),
            _ => None,
        })
    }

    /// Entry VMs that callers may use, with the time since each was heard of.
    pub fn entries(&self, now: Instant) -> impl Iterator<Item = (&EntryRow, Duration)> {
        self.rows.values().filter_map(move |held| match &held.row {
            Row::Entry(row) if !held.lost && !row.leaving && !self.is_silent(held, now) => {
                Some((row, now.saturating_duration_since(held.heard_at)))
            }
            _ => None,
        })
    }

    /// The entry VMs that a caller at `place` should use: those of its failure
    /// domain, else of its region, else all. Where some of the domain are lost
    /// and the others would be busy with the callers of all, as many others
    /// from `from` stand in for them, drawn by `draw` so that each takes a part.
    #[must_use]
    pub fn entries_near(
        &self,
        place: &Place,
        from: StandIns,
        draw: u64,
        now: Instant,
    ) -> Vec<&EntryRow> {
        let all: Vec<&EntryRow> = self.entries(now).map(|(row, _)| row).collect();
        let same_domain = |row: &&EntryRow| row.place == *place;
        let same_region = |row: &&EntryRow| row.place.region == place.region;
        let mut near: Vec<&EntryRow> = all.iter().copied().filter(same_domain).collect();
        let missing = self.missing(place, &near);
        if missing > 0 {
            let may = |row: &&EntryRow| {
                !same_domain(row) && (from == StandIns::Anywhere || same_region(row))
            };
            let mut others: Vec<&EntryRow> = all.iter().copied().filter(may).collect();
            others
                .sort_by_key(|row| hash::mix(hash::name(row.name.as_str()), draw, Purpose::Helper));
            near.extend(others.into_iter().take(missing));
        }
        if !near.is_empty() {
            return near;
        }
        let near: Vec<&EntryRow> = all.iter().copied().filter(same_region).collect();
        if near.is_empty() { all } else { near }
    }

    /// How many entry VMs of a domain need someone to stand in for them: those
    /// that are lost, if the callers of all would keep the `near` ones busy.
    fn missing(&self, place: &Place, near: &[&EntryRow]) -> usize {
        let entries = self.rows.values().filter_map(|held| match &held.row {
            Row::Entry(row) if row.place == *place => Some(row),
            _ => None,
        });
        let (mut usual, mut busy_percent) = (0, 0);
        for row in entries {
            usual += 1;
            busy_percent += row.busy_percent as usize;
        }
        // Each as busy as the mean of all was, with the callers of all.
        let busy = !near.is_empty() && busy_percent >= near.len() * BUSY_PERCENT;
        if busy { usual - near.len() } else { 0 }
    }
}

impl Held {
    fn news(&self, now: Instant) -> News {
        News {
            row: self.row.clone(),
            age_ms: as_ms(now.saturating_duration_since(self.heard_at)),
            lost: self.lost,
        }
    }
}
