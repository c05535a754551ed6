//! Applies feed responses to the state of the entry VM.

use std::collections::BTreeSet;

use discovery::{Departure, Finding, Key, Row, ServerLimit, Update};
use routed_control::FeedPage;
use tokio::time::Instant;
use world::unit::ms;

use super::{Control, ControlFollower};
use crate::dialect::Dialect;
use crate::state::State;

/// A response of a control VM, with the keys of all rows when it completes a transfer of
/// the whole registry.
pub(super) struct Received {
    pub page: FeedPage,
    /// Whether the control VM has nothing else for this entry VM.
    pub is_complete: bool,
    pub whole: Option<BTreeSet<Key>>,
}

impl<D: Dialect> ControlFollower<D> {
    /// Applies catalog rows and registry updates of a feed response.
    pub(super) fn apply_feed(&self, received: Received) {
        let now = Instant::now();
        let mut controls = Vec::new();
        let Received {
            page: FeedPage { response, catalog },
            is_complete,
            whole,
        } = received;
        let mut balancer = self.state.balancer.lock();
        if let Some(kept) = whole.as_ref().filter(|_| response.settled) {
            let removed: Vec<_> = balancer
                .servers()
                .filter(|(name, _)| !kept.contains(&Key::Server((*name).clone())))
                .map(|(name, born_ms)| (name.clone(), born_ms))
                .collect();
            for (name, born_ms) in removed {
                balancer.remove_server(&name, born_ms);
            }
        }
        for Update { row, age_ms, lost } in response.news {
            match row {
                Row::Server(row) if lost => {
                    log::info!(
                        target: "belief", server:% = row.name, born_ms = row.born_ms, age_ms;
                        "server lost"
                    );
                    balancer.remove_server(&row.name, row.born_ms);
                }
                Row::Server(row) => balancer.apply_announcement(&row, age_ms, now),
                Row::Entry(row) => {
                    balancer.update_entry_vm(&row.name, &row.place.region, lost, now);
                }
                Row::Control(row) if !lost => controls.push(row),
                Row::Control(_) | Row::Finding(_) => {}
            }
        }
        drop(balancer);
        self.apply_findings(&response.findings, whole.as_ref());
        // Last, since a new entry VM becomes ready with the catalog.
        self.state.merge_catalog(catalog, is_complete);
        if controls.is_empty() {
            return;
        }
        let mut known = self.controls.lock();
        for row in controls {
            known.retain(|c| c.ip != row.link.ip());
            known.push(Control {
                ip: row.link.ip(),
                region: Some(row.place.region),
            });
        }
    }

    /// Applies findings of other entry VMs; `whole` has the keys of all rows of the control
    /// VM, once they are known.
    fn apply_findings(&self, updates: &[Update], whole: Option<&BTreeSet<Key>>) {
        let now = Instant::now();
        let State {
            findings, crashes, ..
        } = &*self.state;
        for update in updates {
            let Row::Finding(finding) = &update.row else {
                continue;
            };
            let Some(finding) = findings.receive(finding, update.age_ms, now) else {
                continue;
            };
            match &finding {
                Finding::Limit(limit) => {
                    let named_at = now.checked_sub(ms(update.age_ms)).unwrap_or(now);
                    let ServerLimit {
                        server,
                        born_ms,
                        per_1000_s,
                    } = limit;
                    let mut balancer = self.state.balancer.lock();
                    balancer.set_limit(server, *born_ms, *per_1000_s, named_at, now);
                }
                Finding::Leaving(Departure { server, born_ms }) => {
                    self.state.balancer.lock().mark_leaving(server, *born_ms);
                }
                Finding::Crash(mark) => {
                    let confirmed = crashes.merge(mark);
                    // Two crashes known to different entry VMs: one that saw a crash
                    // tells the others.
                    if let Some(confirmed) = confirmed
                        && findings.saw_crash_of(mark.fingerprint)
                    {
                        findings.report(confirmed, now);
                    }
                }
            }
        }
        if let Some(whole) = whole {
            let had = whole.iter().filter_map(|key| match key {
                Key::Finding(key) => Some(key.clone()),
                _ => None,
            });
            findings.restate(&had.collect());
        }
    }
}
