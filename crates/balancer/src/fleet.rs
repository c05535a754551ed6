//! Table of backend servers with their leases, drains, slots and connections.
//!
//! An entry VM admits work only to the servers that it owns; each request takes
//! a slot of one server until its outcome is known.

use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use world::unit::ms;
use world::{BackendServer, Class, Config, Error, ErrorKind, ServerName, ServiceName};

use crate::choice::{LoadBalancingPolicy, Policy};
use crate::group::Group;
use crate::server::Server;
use crate::settings::FleetSettings;
use crate::work::{ConnectionTicket, Crash, NoSlot, Outcome, Ticket, Work};

/// Effect of an announcement on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announced {
    /// The server was added.
    Joined,
    /// The server's lease was renewed.
    Renewed,
    /// The server restarted; the work of its previous incarnation has ended.
    Restarted,
    /// The announcement came from an earlier incarnation and changed nothing.
    Ignored,
}

/// Snapshot of one server's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerView {
    /// Server name.
    pub name: ServerName,
    /// Number of the server's incarnation; a restart raises it.
    pub incarnation: u64,
    /// Whether the server accepts new work.
    pub serves: bool,
    /// Whether the server is ejected after failures.
    pub ejected: bool,
    /// Slots of the server.
    pub slots: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Open connections.
    pub connections: u32,
}

/// Backend servers by service, with the work that holds their slots.
#[derive(Debug)]
pub struct Fleet<C = Policy> {
    settings: FleetSettings,
    policy: C,
    rng: SmallRng,
    groups: HashMap<ServiceName, Group>,
    next_id: u64,
    crashes: Vec<Crash>,
}

impl<C: LoadBalancingPolicy> Fleet<C> {
    /// Creates an empty table that uses `policy`.
    #[must_use]
    pub fn new(settings: FleetSettings, policy: C, seed: u64) -> Self {
        Self {
            settings,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            groups: HashMap::new(),
            next_id: 0,
            crashes: Vec::new(),
        }
    }

    /// Records an announcement: grants or renews the server's lease.
    pub fn announce(&mut self, now: Instant, info: &BackendServer) -> Announced {
        self.remove_from_other_services(info);
        let group = self.groups.entry(info.service.clone()).or_default();
        let at = match group.position(&info.name) {
            Ok(at) => at,
            Err(at) => {
                let server = Server::new(now, info.clone(), &self.settings);
                group.servers.insert(at, server);
                return Announced::Joined;
            }
        };
        let server = &mut group.servers[at];
        if info.incarnation < server.info.incarnation {
            return Announced::Ignored;
        }
        if info.incarnation == server.info.incarnation {
            server.renew(now, info.clone(), &self.settings);
            return Announced::Renewed;
        }
        let crash = server.crash_at_restart(now, ms(self.settings.crash_window_ms));
        self.crashes.extend(crash);
        let (drained, owned_from) = (server.drained, server.owned_from);
        *server = Server::new(now, info.clone(), &self.settings);
        server.drained = drained;
        server.owned_from = owned_from;
        Announced::Restarted
    }

    /// Removes servers that have no work and whose lease ended `forget_ms` ago.
    ///
    /// A server stays in the table after its lease, so that late announcements
    /// of an earlier incarnation are still recognized.
    pub fn expire(&mut self, now: Instant) {
        let forget_after = ms(self.settings.forget_ms);
        for group in self.groups.values_mut() {
            group
                .servers
                .retain(|s| now < s.lease_until + forget_after || s.is_in_use());
        }
        self.groups.retain(|_, group| !group.servers.is_empty());
    }

    /// Applies the drains of a configuration.
    pub fn apply_drains(&mut self, config: &Config) {
        for server in self.groups.values_mut().flat_map(|g| &mut g.servers) {
            server.drained = config.drains_server(&server.info.name, &server.info.place);
        }
    }

    /// Sets when this entry VM starts to own the server; `None` if another entry VM
    /// owns it.
    pub fn set_owned(&mut self, service: &ServiceName, name: &ServerName, from: Option<Instant>) {
        if let Some(server) = self.groups.get_mut(service).and_then(|g| g.get_mut(name)) {
            server.owned_from = from;
        }
    }

    /// Takes a slot for `work` on the server that the policy chooses.
    ///
    /// # Errors
    /// [`NoSlot::NoServer`] when no server accepts new work, [`NoSlot::Busy`]
    /// when no slot of those servers is open to this work.
    pub fn choose(
        &mut self,
        now: Instant,
        service: &ServiceName,
        work: &Work,
    ) -> Result<Ticket, NoSlot> {
        let group = self.groups.get_mut(service).ok_or(NoSlot::NoServer)?;
        let id = self.next_id;
        let (policy, rng) = (&self.policy, &mut self.rng);
        let at = group.choose(now, &self.settings, policy, rng, work, id)?;
        self.next_id += 1;
        let info = &group.servers[at].info;
        Ok(Ticket {
            id,
            service: service.clone(),
            server: info.name.clone(),
            addr: info.addr,
            incarnation: info.incarnation,
            started_at: now,
        })
    }

    /// Whether a first attempt of this class would get a slot now.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant, service: &str, class: Class) -> bool {
        self.groups
            .get(service)
            .is_some_and(|group| group.has_free_slot(now, &self.settings, class))
    }

    /// Whether some server of the service accepts new work, even if its slots are full.
    #[must_use]
    pub fn serves(&self, now: Instant, service: &str) -> bool {
        self.groups
            .get(service)
            .is_some_and(|group| group.servers.iter().any(|s| s.serves(now)))
    }

    /// Frees the slot of a ticket and records the outcome of its work.
    pub fn done(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        let Ticket {
            id,
            service,
            server,
            incarnation,
            ..
        } = ticket;
        let Some(group) = self.groups.get_mut(&service) else {
            return;
        };
        let Ok(at) = group.position(&server) else {
            return;
        };
        let server = &mut group.servers[at];
        if server.info.incarnation != incarnation {
            return;
        }
        server.finish(now, id, outcome, ms(self.settings.latency_decay_ms));
        if outcome == Outcome::ConnectFailed {
            let crash = server.crash_of_disconnected(now, ms(self.settings.crash_window_ms));
            self.crashes.extend(crash);
        }
        group.update_ejection(now, &self.settings, at, id, outcome);
    }

    /// Returns and clears the crashes detected since the last call.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Counts a new connection to the ticket's server against its limit.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] when the server is at its connection limit,
    /// [`ErrorKind::NoServer`] when the server restarted or left the table.
    pub fn connect(&mut self, ticket: &Ticket) -> Result<ConnectionTicket, Error> {
        let server = self
            .groups
            .get_mut(&ticket.service)
            .and_then(|g| g.get_mut(&ticket.server))
            .filter(|s| s.info.incarnation == ticket.incarnation)
            .ok_or_else(|| Error::new(ErrorKind::NoServer, "the backend server is gone"))?;
        if server.connections >= server.info.connections {
            let text = format!("{} has all its connections", ticket.server);
            return Err(Error::new(ErrorKind::Overloaded, text));
        }
        server.connections += 1;
        Ok(ConnectionTicket {
            service: ticket.service.clone(),
            server: ticket.server.clone(),
            incarnation: ticket.incarnation,
        })
    }

    /// Removes a closed connection from the count.
    pub fn disconnect(&mut self, ticket: &ConnectionTicket) {
        let group = self.groups.get_mut(&ticket.service);
        if let Some(server) = group.and_then(|g| g.get_mut(&ticket.server))
            && server.info.incarnation == ticket.incarnation
        {
            server.connections = server.connections.saturating_sub(1);
        }
    }

    /// Total slots and used slots of the servers that accept work for a service.
    #[must_use]
    pub fn slots(&self, now: Instant, service: &str) -> (u32, u32) {
        let servers = self.groups.get(service).map_or(&[][..], |g| &g.servers);
        servers
            .iter()
            .filter(|s| s.serves(now))
            .fold((0, 0), |(slots, used), s| {
                (slots + s.info.slots, used + s.in_flight())
            })
    }

    /// Mean latency of a class over a service's servers, in seconds; `None` before
    /// the first sample.
    #[must_use]
    pub fn latency_s(&self, service: &str, class: Class) -> Option<f64> {
        let servers = &self.groups.get(service)?.servers;
        let known = servers.iter().filter_map(|s| s.latency(class).mean_s());
        let (sum_s, count) = known.fold((0.0, 0.0), |(sum, n), mean| (sum + mean, n + 1.0));
        (count > 0.0).then(|| sum_s / count)
    }

    /// Servers with a valid lease that this entry VM owns now, sorted by name.
    #[must_use]
    pub fn owned(&self, now: Instant) -> Vec<ServerName> {
        let servers = self.groups.values().flat_map(|g| &g.servers);
        let owned = servers.filter(|s| s.owned_from.is_some_and(|from| now >= from));
        let mut names: Vec<_> = owned
            .filter(|s| now < s.lease_until)
            .map(|s| s.info.name.clone())
            .collect();
        names.sort();
        names
    }

    /// Whether work of this entry VM still runs on a server that another entry VM owns
    /// now.
    #[must_use]
    pub fn has_unowned_work(&self) -> bool {
        let mut servers = self.groups.values().flat_map(|g| &g.servers);
        servers.any(|s| s.owned_from.is_none() && !s.running.is_empty())
    }

    /// Servers with a valid lease, sorted by name.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<BackendServer> {
        let servers = self.groups.values().flat_map(|g| &g.servers);
        let live = servers.filter(|s| now < s.lease_until);
        let mut rows: Vec<_> = live.map(|s| s.info.clone()).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }

    /// Servers with a valid lease, work or connections, sorted by service and name.
    #[must_use]
    pub fn view(&self, now: Instant) -> Vec<(ServiceName, ServerView)> {
        let mut rows: Vec<_> = self
            .groups
            .iter()
            .flat_map(|(service, g)| g.servers.iter().map(move |s| (service, s)))
            .filter(|(_, s)| now < s.lease_until || s.is_in_use())
            .map(|(service, s)| (service.clone(), view(now, s)))
            .collect();
        rows.sort_by(|a, b| (&a.0, &a.1.name).cmp(&(&b.0, &b.1.name)));
        rows
    }

    /// Removes earlier incarnations of a server that now serves another service.
    fn remove_from_other_services(&mut self, info: &BackendServer) {
        let earlier =
            |s: &Server| s.info.name == info.name && s.info.incarnation < info.incarnation;
        for (service, group) in &mut self.groups {
            if *service != info.service {
                group.servers.retain(|s| !earlier(s));
            }
        }
    }
}

fn view(now: Instant, server: &Server) -> ServerView {
    ServerView {
        name: server.info.name.clone(),
        incarnation: server.info.incarnation,
        serves: server.serves(now),
        ejected: server.ejection.is_some(),
        slots: server.info.slots,
        in_flight: server.in_flight(),
        connections: server.connections,
    }
}
