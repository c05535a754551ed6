//! The table of services and servers, as one entry VM sees it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use discovery::ServerRow;
use steer::hash;
use tokio::time::Instant;
use world::{DomainName, MachineName, RegionName, ServerName, ServiceName, ServiceTerms};

use crate::request::{End, Full, Pick, Report, Request};
use crate::server::Server;
use crate::service::{Service, Site};
use crate::settings::Settings;

/// Time for which a lost entry VM still counts as live where bounds are shared
/// out: it may only be cut off from the control VMs.
const ENTRY_MEMORY: Duration = Duration::from_secs(10);

/// Time after a start until the other entry VMs are known: three of their
/// announcements of 0.5 s, and half a second for the way over control VMs.
const ENTRIES_KNOWN: Duration = Duration::from_secs(2);

/// Time to servers of another region and back before it was measured, milliseconds.
const WAY_START_MS: f64 = 50.0;

/// Weight of one more measured time to a region.
const WAY_WEIGHT: f64 = 0.1;

/// How long servers of a failure domain that is taken back count as cold: they
/// may have been restarted, and their next announcement tells.
const BACK_COLD: Duration = Duration::from_secs(4);

/// Time to come back after while no server of a service is known, milliseconds:
/// about a fifth of the time between two announcements.
const RETRY_UNKNOWN_MS: u32 = 300;

/// The table.
#[derive(Clone, Debug)]
pub struct Spread {
    settings: Settings,
    me: u64,
    started_at: Instant,
    services: HashMap<ServiceName, Service>,
    service_of: HashMap<ServerName, ServiceName>,
    /// Starts of servers that leave.
    leaving: HashMap<ServerName, u64>,
    evacuated: Vec<DomainName>,
    ways_ms: BTreeMap<RegionName, f64>,
    entries: HashMap<MachineName, Option<Instant>>,
    live: Vec<u64>,
}

impl Spread {
    /// A table without services, of an entry VM that starts now.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        let region = settings.place.region.clone();
        let regions = settings.domains.values().cloned();
        let mut ways_ms: BTreeMap<RegionName, f64> = regions.map(|r| (r, WAY_START_MS)).collect();
        ways_ms.insert(region, 0.0);
        let me = hash::name(settings.name.as_str());
        Self {
            me,
            started_at: now,
            services: HashMap::new(),
            service_of: HashMap::new(),
            leaving: HashMap::new(),
            evacuated: Vec::new(),
            ways_ms,
            entries: HashMap::from([(settings.name.clone(), None)]),
            live: vec![me],
            settings,
        }
    }

    /// Takes in the terms of the services.
    pub fn set_terms<'a>(&mut self, terms: impl Iterator<Item = &'a Arc<ServiceTerms>>) {
        for terms in terms {
            let service = self.service(&terms.name);
            service.terms = Some(Arc::clone(terms));
        }
        self.share_out();
    }

    /// Takes in an announcement of a server.
    pub fn announced(&mut self, row: &ServerRow, age_ms: u64, now: Instant) {
        let left = self.leaving.get(&row.name);
        let leaves = left.is_some_and(|born_ms| *born_ms >= row.born_ms);
        let service = self.service(&row.service);
        let known = service.servers.get_mut(&row.name);
        match known {
            Some(server) if server.born_ms == row.born_ms && server.addr == row.addr => {
                server.announced(row, age_ms, now);
                server.leaving |= leaves;
            }
            Some(server) if server.born_ms > row.born_ms => {}
            _ => {
                let mut server = Server::new(row, now);
                server.announced(row, age_ms, now);
                server.leaving |= leaves;
                service.servers.insert(row.name.clone(), server);
                self.service_of
                    .insert(row.name.clone(), row.service.clone());
            }
        }
    }

    /// Takes out a server that is lost, unless a later start is known.
    pub fn lost(&mut self, server: &ServerName, born_ms: u64) {
        let Some(service) = self.service_of.get(server) else {
            return;
        };
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if service
            .servers
            .get(server)
            .is_some_and(|s| s.born_ms <= born_ms)
        {
            service.servers.remove(server);
            self.service_of.remove(server);
        }
    }

    /// Names and starts of all servers.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        let services = self.services.values();
        services.flat_map(|s| s.servers.values().map(|s| (&s.name, s.born_ms)))
    }

    /// A start of a server gets no new work.
    pub fn leave(&mut self, server: &ServerName, born_ms: u64) {
        let known = self.leaving.entry(server.clone()).or_insert(born_ms);
        *known = born_ms.max(*known);
        if let Some(row) = self.server_mut(server)
            && row.born_ms <= born_ms
        {
            row.leaving = true;
        }
    }

    /// Sets the failure domains that get no work.
    pub fn set_evacuated(&mut self, domains: &[DomainName], now: Instant) {
        let before = std::mem::replace(&mut self.evacuated, domains.to_vec());
        let back: Vec<DomainName> = before
            .into_iter()
            .filter(|d| !domains.contains(d))
            .collect();
        for service in self.services.values_mut() {
            for server in service.servers.values_mut() {
                if back.contains(&server.place.domain) {
                    server.doubt(now + BACK_COLD, now);
                }
            }
        }
    }

    /// Takes in whether another entry VM lives.
    pub fn entry(&mut self, name: &MachineName, lost: bool, now: Instant) {
        if *name == self.settings.name {
            return;
        }
        let known = self.entries.len();
        let row = self.entries.entry(name.clone()).or_default();
        match (lost, &row) {
            (true, None) => *row = Some(now),
            (false, Some(_)) => *row = None,
            _ => {}
        }
        if self.entries.len() > known {
            self.count_entries();
        }
    }

    /// Shares the bounds out over the entry VMs that are known.
    fn count_entries(&mut self) {
        let names = self.entries.keys();
        self.live = names.map(|name| hash::name(name.as_str())).collect();
        self.share_out();
    }

    /// Passes on the time: once a second or so.
    pub fn advance(&mut self, now: Instant) {
        let recent = |lost_at: &Option<Instant>| {
            lost_at.is_none_or(|at| now.saturating_duration_since(at) < ENTRY_MEMORY)
        };
        self.entries.retain(|_, lost_at| recent(lost_at));
        self.count_entries();
        let site = site(
            &self.settings,
            self.me,
            &self.evacuated,
            &self.ways_ms,
            &self.live,
        );
        for (name, service) in &mut self.services {
            service.advance(&site, now);
            if let Some(own) = service.shares.news(&site.place.region) {
                log::info!(
                    target: "belief", service:% = name, region:% = site.place.region, own_share = own;
                    "share that stays in the region moved"
                );
            }
        }
    }

    /// Picks a server for a request and takes a slot of it.
    ///
    /// # Errors
    /// [`Full`] when no server has room for it.
    pub fn pick(&mut self, request: &Request<'_>, now: Instant) -> Result<Pick, Full> {
        let known = now.saturating_duration_since(self.started_at) >= ENTRIES_KNOWN;
        let site = site(
            &self.settings,
            self.me,
            &self.evacuated,
            &self.ways_ms,
            if known { &self.live } else { &[] },
        );
        let service = self.services.get_mut(request.service);
        let service = service.ok_or(Full {
            retry_after_ms: RETRY_UNKNOWN_MS,
            candidates: 0,
        })?;
        service.pick(request, &site, now)
    }

    /// Whether the server may still get what was picked for it.
    #[must_use]
    pub fn is_open(&self, pick: &Pick) -> bool {
        if self.evacuated.contains(&pick.place.domain) {
            return false;
        }
        let service = self.services.get(&pick.service);
        let server = service.and_then(|s| s.servers.get(&pick.server));
        server.is_some_and(|s| !s.leaving && s.born_ms == pick.born_ms)
    }

    /// Gives the slot of a pick back.
    pub fn end(&mut self, pick: &Pick, end: End, took: Duration, now: Instant) {
        let Some(service) = self.services.get_mut(&pick.service) else {
            return;
        };
        if end == End::Answered {
            service.answered(took.as_secs_f64() * 1_000.0);
        }
        if let Some(server) = service.servers.get_mut(&pick.server)
            && server.born_ms == pick.born_ms
        {
            server.end(end, now);
        }
    }

    /// Whether the server has answered nobody here since `since`.
    #[must_use]
    pub fn is_silent(&self, pick: &Pick, since: Instant) -> bool {
        let service = self.services.get(&pick.service);
        let server = service.and_then(|s| s.servers.get(&pick.server));
        server.is_none_or(|s| s.answered_at.is_none_or(|at| at < since))
    }

    /// Takes in a load report of a server.
    pub fn reported(&mut self, pick: &Pick, report: Report, now: Instant) {
        let service = self.services.get_mut(&pick.service);
        if let Some(server) = service.and_then(|s| s.servers.get_mut(&pick.server)) {
            server.reported(report, now);
        }
    }

    /// Takes in the measured time to servers of a region and back.
    pub fn measured(&mut self, region: &RegionName, way_ms: f64) {
        if let Some(known) = self.ways_ms.get_mut(region) {
            *known += (way_ms - *known) * WAY_WEIGHT;
        }
    }

    /// Time to servers of a region and back, milliseconds.
    #[must_use]
    pub fn way_ms(&self, region: &RegionName) -> f64 {
        self.ways_ms.get(region).copied().unwrap_or(WAY_START_MS)
    }

    /// Counts a first send to a service.
    pub fn earn(&mut self, service: &ServiceName) {
        self.service(service).budget.earn();
    }

    /// Pays for a second send to a service, if the budget allows it.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        self.service(service).budget.spend()
    }

    fn share_out(&mut self) {
        let entries = self.live.len();
        let (ratio, slack) = (self.settings.retry_ratio, self.settings.retry_slack);
        for service in self.services.values_mut() {
            service.set_budget(ratio, slack, entries);
        }
    }

    fn service(&mut self, name: &ServiceName) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::new());
            self.share_out();
        }
        self.services
            .entry(name.clone())
            .or_insert_with(Service::new)
    }

    fn server_mut(&mut self, server: &ServerName) -> Option<&mut Server> {
        let service = self.service_of.get(server)?;
        self.services.get_mut(service)?.servers.get_mut(server)
    }
}

fn site<'a>(
    settings: &'a Settings,
    me: u64,
    evacuated: &'a [DomainName],
    ways_ms: &'a BTreeMap<RegionName, f64>,
    entries: &'a [u64],
) -> Site<'a> {
    Site {
        place: &settings.place,
        evacuated,
        ways_ms,
        entries,
        me,
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
    }
}
