//! The load balancer of one entry VM: tables of services, servers and entry VMs,
//! updated from announcements, and the choice of a server for each request.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use discovery::ServerRow;
use steer::hash;
use tokio::time::Instant;
use world::{DomainName, MachineName, RegionName, ServerName, ServiceName, ServiceTerms};

use crate::request::{AttemptEnd, Choice, Full, Report, Request};
use crate::round_trip::RoundTrip;
use crate::server::Server;
use crate::service::{Context, EntryVm, Service};
use crate::settings::Settings;

/// Time for which a lost entry VM still counts when limits are divided among
/// entry VMs: it may still run and only be cut off from the control VMs.
const LOST_ENTRY_RETENTION: Duration = Duration::from_secs(10);

/// Time after the start until all other entry VMs are known: three of their
/// announcements, sent every 0.5 s, and half a second for them to arrive through
/// the control VMs.
const ENTRY_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Round-trip time to another region before it has been measured, milliseconds.
const INITIAL_RTT_MS: f64 = 50.0;

/// Time for which servers count as cold after the evacuation of their failure
/// domain ends: they may have restarted, and their next announcement says so.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(4);

/// Retry time returned for a service without known servers, milliseconds: about
/// a fifth of the time between two announcements.
pub(crate) const RETRY_AFTER_UNKNOWN_MS: u32 = 300;

/// Chooses a backend server for each request by object affinity and load.
#[derive(Clone, Debug)]
pub struct AffinityBalancer {
    pub(crate) settings: Settings,
    pub(crate) own_hash: u64,
    pub(crate) started_at: Instant,
    pub(crate) services: HashMap<ServiceName, Service>,
    pub(crate) service_of: HashMap<ServerName, ServiceName>,
    /// Start time of the newest leaving incarnation of each server, Unix milliseconds.
    pub(crate) leaving: HashMap<ServerName, u64>,
    pub(crate) evacuated: Vec<DomainName>,
    pub(crate) round_trips: BTreeMap<RegionName, RoundTrip>,
    /// Known entry VMs with their regions, and when each was reported lost.
    entries: HashMap<MachineName, (RegionName, Option<Instant>)>,
    /// The same entry VMs by the hash of their names.
    pub(crate) entry_vms: Vec<EntryVm>,
    /// Whether [`ENTRY_DISCOVERY_TIME`] had passed when the tables were last advanced.
    others_known: bool,
}

impl AffinityBalancer {
    /// Creates a balancer without services for an entry VM that starts now.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        let region = settings.place.region.clone();
        let regions = settings.domains.values().cloned();
        let far = RoundTrip::new(INITIAL_RTT_MS);
        let mut round_trips: BTreeMap<RegionName, RoundTrip> = regions.map(|r| (r, far)).collect();
        round_trips.insert(region.clone(), RoundTrip::new(0.0));
        let own_hash = hash::name(settings.name.as_str());
        Self {
            own_hash,
            started_at: now,
            services: HashMap::new(),
            service_of: HashMap::new(),
            leaving: HashMap::new(),
            evacuated: Vec::new(),
            round_trips,
            entries: HashMap::from([(settings.name.clone(), (region.clone(), None))]),
            entry_vms: vec![EntryVm {
                hash: own_hash,
                region,
            }],
            others_known: false,
            settings,
        }
    }

    /// Sets the configured settings of the services.
    pub fn set_terms<'a>(&mut self, terms: impl Iterator<Item = &'a Arc<ServiceTerms>>) {
        for terms in terms {
            let service = self.service_or_insert(&terms.name);
            service.terms = Some(Arc::clone(terms));
        }
        self.divide_budgets();
    }

    /// Applies an announcement that a server sent `age_ms` ago.
    pub fn apply_announcement(&mut self, row: &ServerRow, age_ms: u64, now: Instant) {
        let leaving_born_ms = self.leaving.get(&row.name);
        let is_leaving = leaving_born_ms.is_some_and(|born_ms| *born_ms >= row.born_ms);
        let service = self.service_or_insert(&row.service);
        let known = service.servers.get_mut(&row.name);
        match known {
            Some(server) if server.born_ms == row.born_ms && server.addr == row.addr => {
                server.apply_announcement(row, age_ms, now);
                server.leaving |= is_leaving;
            }
            Some(server) if server.born_ms > row.born_ms => {}
            _ => {
                let mut server = Server::new(row, now);
                server.apply_announcement(row, age_ms, now);
                server.leaving |= is_leaving;
                service.servers.insert(row.name.clone(), server);
                self.service_of
                    .insert(row.name.clone(), row.service.clone());
            }
        }
    }

    /// Removes a lost server, unless a later incarnation of it is known.
    pub fn remove_server(&mut self, server: &ServerName, born_ms: u64) {
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

    /// Returns the names and start times (Unix milliseconds) of all servers.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        let services = self.services.values();
        services.flat_map(|s| s.servers.values().map(|s| (&s.name, s.born_ms)))
    }

    /// Sets the failure domains that get no requests.
    pub fn set_evacuated(&mut self, domains: &[DomainName], now: Instant) {
        let before = std::mem::replace(&mut self.evacuated, domains.to_vec());
        let restored: Vec<DomainName> = before
            .into_iter()
            .filter(|d| !domains.contains(d))
            .collect();
        for service in self.services.values_mut() {
            for server in service.servers.values_mut() {
                if restored.contains(&server.place.domain) {
                    server.assume_cold(now + COLD_AFTER_EVACUATION, now);
                }
            }
        }
    }

    /// Records whether another entry VM of a region is lost.
    pub fn update_entry_vm(
        &mut self,
        name: &MachineName,
        region: &RegionName,
        lost: bool,
        now: Instant,
    ) {
        if *name == self.settings.name {
            return;
        }
        let known = self.entries.len();
        let row = self.entries.entry(name.clone());
        let (_, lost_at) = row.or_insert_with(|| (region.clone(), None));
        match (lost, &lost_at) {
            (true, None) => *lost_at = Some(now),
            (false, Some(_)) => *lost_at = None,
            _ => {}
        }
        if self.entries.len() > known {
            self.refresh_entries();
        }
    }

    /// Updates the list of known entry VMs and divides the retry budgets among them.
    fn refresh_entries(&mut self) {
        let (before, known) = (self.entry_vms.len(), self.entries.len());
        if before != known {
            log::info!(
                target: "belief", before, known;
                "limits divided among another number of entry VMs"
            );
        }
        let entries = self.entries.iter();
        let entry_vms = entries.map(|(name, (region, _))| EntryVm {
            hash: hash::name(name.as_str()),
            region: region.clone(),
        });
        self.entry_vms = entry_vms.collect();
        self.divide_budgets();
    }

    /// Forgets entry VMs lost for long, and moves the shares of regions. To be
    /// called about once a second.
    pub fn advance(&mut self, now: Instant) {
        let is_retained = |lost_at: &Option<Instant>| {
            lost_at.is_none_or(|at| now.saturating_duration_since(at) < LOST_ENTRY_RETENTION)
        };
        self.entries.retain(|_, (_, lost_at)| is_retained(lost_at));
        self.others_known = is_discovery_over(self.started_at, now);
        self.refresh_entries();
        let context = context(
            &self.settings,
            self.own_hash,
            &self.evacuated,
            &self.round_trips,
            known_entry_vms(&self.entry_vms, self.started_at, now),
        );
        for (name, service) in &mut self.services {
            service.advance(&context, now);
            if let Some(own) = service.shares.share_to_log(&context.place.region) {
                log::info!(
                    target: "belief", service:% = name, region:% = context.place.region, own_share = own;
                    "region's share of its own requests changed"
                );
            }
        }
    }

    /// Chooses a server for a request and counts the request as in flight there.
    ///
    /// # Errors
    /// [`Full`] if no server has free capacity for the request.
    pub fn choose(&mut self, request: &Request<'_>, now: Instant) -> Result<Choice, Full> {
        let context = context(
            &self.settings,
            self.own_hash,
            &self.evacuated,
            &self.round_trips,
            known_entry_vms(&self.entry_vms, self.started_at, now),
        );
        let service = self.services.get_mut(request.service);
        let service = service.ok_or(Full {
            retry_after_ms: RETRY_AFTER_UNKNOWN_MS,
            candidates: 0,
        })?;
        service.choose(request, &context, now)
    }

    /// Returns whether the chosen server still runs and may get new requests.
    #[must_use]
    pub fn is_open(&self, choice: &Choice, now: Instant) -> bool {
        if self.evacuated.contains(&choice.place.domain) {
            return false;
        }
        let service = self.services.get(&choice.service);
        let server = service.and_then(|s| s.servers.get(&choice.server));
        server.is_some_and(|s| !s.leaving && !s.is_held_off(now) && s.born_ms == choice.born_ms)
    }

    /// Ends an attempt that took `took` and releases its slot.
    pub fn end_attempt(&mut self, choice: &Choice, end: AttemptEnd, took: Duration, now: Instant) {
        let Some(service) = self.services.get_mut(&choice.service) else {
            return;
        };
        if end == AttemptEnd::Answered {
            service.record_response_time(took.as_secs_f64() * 1_000.0);
        }
        if let Some(server) = service.servers.get_mut(&choice.server)
            && server.born_ms == choice.born_ms
        {
            server.attempt_ended(end, now);
        }
    }

    /// Returns whether the server has responded to no request of this entry VM
    /// since `since`.
    #[must_use]
    pub fn is_unresponsive(&self, choice: &Choice, since: Instant) -> bool {
        let service = self.services.get(&choice.service);
        let server = service.and_then(|s| s.servers.get(&choice.server));
        server.is_none_or(|s| s.last_response_at.is_none_or(|at| at < since))
    }

    /// Applies a load report of a server.
    pub fn apply_report(&mut self, choice: &Choice, report: Report, now: Instant) {
        let service = self.services.get_mut(&choice.service);
        if let Some(server) = service.and_then(|s| s.servers.get_mut(&choice.server)) {
            server.apply_report(report, now);
        }
    }

    /// Adds a measured round-trip time to a region, milliseconds.
    pub fn record_rtt(&mut self, region: &RegionName, rtt_ms: f64) {
        if let Some(known) = self.round_trips.get_mut(region) {
            known.record(rtt_ms);
        }
    }

    /// Records that a connection to a server of a region was not established in time.
    pub fn record_connect_timeout(&mut self, region: &RegionName) {
        if let Some(known) = self.round_trips.get_mut(region) {
            known.record_timeout();
        }
    }

    /// Returns how long to wait for a connection to a server of a region.
    #[must_use]
    pub fn connect_timeout(&self, region: &RegionName) -> Duration {
        let known = self.round_trips.get(region).copied();
        let round_trip = known.unwrap_or(RoundTrip::new(INITIAL_RTT_MS));
        round_trip.connect_timeout()
    }

    /// Adds to the service's retry budget for a first attempt.
    pub fn record_first_attempt(&mut self, service: &ServiceName) {
        self.service_or_insert(service).budget.earn();
    }

    /// Takes one further attempt from the service's retry budget. Returns false if
    /// the budget is exhausted.
    pub fn try_spend_retry(&mut self, service: &ServiceName) -> bool {
        self.service_or_insert(service).budget.spend()
    }

    /// Divides the retry budgets among the known entry VMs. While some may not be known
    /// there is no burst to divide, and a restart does not bring it back.
    fn divide_budgets(&mut self) {
        let entries = self.entry_vms.len();
        let ratio = self.settings.retry_ratio;
        let slack = if self.others_known {
            self.settings.retry_slack
        } else {
            0.0
        };
        for service in self.services.values_mut() {
            service.set_budget(ratio, slack, entries);
        }
    }

    /// Returns a service, which is inserted if it is missing.
    fn service_or_insert(&mut self, name: &ServiceName) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::new());
            self.divide_budgets();
        }
        self.services
            .entry(name.clone())
            .or_insert_with(Service::new)
    }

    pub(crate) fn server_mut(&mut self, server: &ServerName) -> Option<&mut Server> {
        let service = self.service_of.get(server)?;
        self.services.get_mut(service)?.servers.get_mut(server)
    }
}

/// Returns the entry VMs, or none while some may not be known yet.
pub(crate) fn known_entry_vms(
    entry_vms: &[EntryVm],
    started_at: Instant,
    now: Instant,
) -> &[EntryVm] {
    if is_discovery_over(started_at, now) {
        entry_vms
    } else {
        &[]
    }
}

/// Returns whether all other entry VMs are known to one that started at `started_at`.
fn is_discovery_over(started_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(started_at) >= ENTRY_DISCOVERY_TIME
}

pub(crate) fn context<'a>(
    settings: &'a Settings,
    own_hash: u64,
    evacuated: &'a [DomainName],
    round_trips: &'a BTreeMap<RegionName, RoundTrip>,
    entries: &'a [EntryVm],
) -> Context<'a> {
    Context {
        place: &settings.place,
        evacuated,
        round_trips,
        entries,
        own_hash,
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
    }
}
