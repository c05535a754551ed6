//! The entry VMs that a client should use, by place.

use std::time::Duration;

use steer::hash::{self, Purpose};
use tokio::time::Instant;
use world::Place;

use crate::registry::Registry;
use crate::row::{EntryRow, Row};

/// Used share of its network link from which on an entry VM counts as busy,
/// percent: above it small responses queue behind large ones.
const BUSY_THRESHOLD_PERCENT: usize = 70;

/// Which entry VMs may substitute for lost ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubstituteScope {
    /// Only those of the same region, for sites that bind requests to regions.
    Region,
    /// Those of any region.
    Anywhere,
}

impl Registry {
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
