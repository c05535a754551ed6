//! Table of backend servers: leases, drains, slots and connections.

use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use world::unit::ms;
use world::{BackendServer, Class, Config, Error, Kind, ServerName, ServiceName};

use crate::choice::{Choice, Policy};
use crate::group::Group;
use crate::server::Server;
use crate::settings::FleetSettings;
use crate::work::{ConnectionTicket, Crash, NoSlot, Outcome, Ticket, Work};

/// What an announcement did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announced {
    /// The server is new.
    Joined,
    /// Its lease was renewed.
    Renewed,
    /// It started anew; what its earlier process ran is over.
    Restarted,
    /// The announcement is of an earlier process and changed nothing.
    Ignored,
}

/// A server's row as others may see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerView {
    /// Name.
    pub name: ServerName,
    /// Incarnation.
    pub incarnation: u64,
    /// Whether it takes new work.
    pub serves: bool,
    /// Whether it is ejected after failures.
    pub ejected: bool,
    /// Slots that it has.
    pub slots: u32,
    /// Slots that are taken.
    pub in_flight: u32,
    /// Connections that are open.
    pub connections: u32,
}

/// Backend servers by service, and who holds their slots.
#[derive(Debug)]
pub struct Fleet<C = Policy> {
    settings: FleetSettings,
    choice: C,
    rng: SmallRng,
    groups: HashMap<ServiceName, Group>,
    next_id: u64,
    crashes: Vec<Crash>,
}

impl<C: Choice> Fleet<C> {
    /// An empty table that chooses by `choice`.
    #[must_use]
    pub fn new(settings: FleetSettings, choice: C, seed: u64) -> Self {
        Self {
            settings,
            choice,
            rng: SmallRng::seed_from_u64(seed),
            groups: HashMap::new(),
            next_id: 0,
            crashes: Vec::new(),
        }
    }

    /// Grants or renews a server's lease.
    pub fn announce(&mut self, now: Instant, info: &BackendServer) -> Announced {
        self.forget_other_services(info);
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
        let crash = server.take_all(now, ms(self.settings.crash_window_ms));
        self.crashes.extend(crash);
        let (drained, owned_from) = (server.drained, server.owned_from);
        *server = Server::new(now, info.clone(), &self.settings);
        server.drained = drained;
        server.owned_from = owned_from;
        Announced::Restarted
    }

    /// Removes servers whose lease ended long ago and whose work is done.
    ///
    /// A row outlives its lease, so that a late announcement of an earlier
    /// process is still known as such.
    pub fn expire(&mut self, now: Instant) {
        let memory = ms(self.settings.forget_ms);
        for group in self.groups.values_mut() {
            group
                .servers
                .retain(|s| now < s.lease_until + memory || s.is_in_use());
        }
        self.groups.retain(|_, group| !group.servers.is_empty());
    }

    /// Takes over the drains of a configuration.
    pub fn apply_drains(&mut self, config: &Config) {
        for server in self.groups.values_mut().flat_map(|g| &mut g.servers) {
            server.drained = config.drains_server(&server.info.name, &server.info.place);
        }
    }

    /// Says from when on this process owns the server; `None`: another does.
    pub fn set_owned(&mut self, service: &ServiceName, name: &ServerName, from: Option<Instant>) {
        if let Some(server) = self.groups.get_mut(service).and_then(|g| g.get_mut(name)) {
            server.owned_from = from;
        }
    }

    /// Takes a slot for `work` on the best server.
    ///
    /// # Errors
    /// [`NoSlot::NoServer`] when none takes new work, [`NoSlot::Busy`] when
    /// those that do are full.
    pub fn choose(
        &mut self,
        now: Instant,
        service: &ServiceName,
        work: &Work,
    ) -> Result<Ticket, NoSlot> {
        let group = self.groups.get_mut(service).ok_or(NoSlot::NoServer)?;
        let id = self.next_id;
        let (choice, rng) = (&self.choice, &mut self.rng);
        let at = group.choose(now, &self.settings, choice, rng, work, id)?;
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

    /// Whether work of a class without history would get a slot now.
    #[must_use]
    pub fn fits(&self, now: Instant, service: &str, class: Class) -> bool {
        self.groups
            .get(service)
            .is_some_and(|group| group.has_room(now, &self.settings, class))
    }

    /// Whether some server of the service takes new work, full or not.
    #[must_use]
    pub fn serves(&self, now: Instant, service: &str) -> bool {
        self.groups
            .get(service)
            .is_some_and(|group| group.servers.iter().any(|s| s.serves(now)))
    }

    /// Gives a slot back with the outcome of its work.
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
            let crash = server.take_broken(now, ms(self.settings.crash_window_ms));
            self.crashes.extend(crash);
        }
        group.judge(now, &self.settings, at, id, outcome);
    }

    /// Crashes seen since the last call.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Counts a new connection to the ticket's server.
    ///
    /// # Errors
    /// [`Kind::Overloaded`] when the server has all the connections it accepts,
    /// [`Kind::NoServer`] when it is gone.
    pub fn connect(&mut self, ticket: &Ticket) -> Result<ConnectionTicket, Error> {
        let server = self
            .groups
            .get_mut(&ticket.service)
            .and_then(|g| g.get_mut(&ticket.server))
            .filter(|s| s.info.incarnation == ticket.incarnation)
            .ok_or_else(|| Error::new(Kind::NoServer, "the backend server is gone"))?;
        if server.connections >= server.info.connections {
            let text = format!("{} has all its connections", ticket.server);
            return Err(Error::new(Kind::Overloaded, text));
        }
        server.connections += 1;
        Ok(ConnectionTicket {
            service: ticket.service.clone(),
            server: ticket.server.clone(),
            incarnation: ticket.incarnation,
        })
    }

    /// Counts a connection as closed.
    pub fn disconnect(&mut self, ticket: &ConnectionTicket) {
        let group = self.groups.get_mut(&ticket.service);
        if let Some(server) = group.and_then(|g| g.get_mut(&ticket.server))
            && server.info.incarnation == ticket.incarnation
        {
            server.connections = server.connections.saturating_sub(1);
        }
    }

    /// Slots that serving servers of a service have, and how many are taken.
    #[must_use]
    pub fn slots(&self, now: Instant, service: &str) -> (u32, u32) {
        let servers = self.groups.get(service).map_or(&[][..], |g| &g.servers);
        servers
            .iter()
            .filter(|s| s.serves(now))
            .fold((0, 0), |(slots, taken), s| {
                (slots + s.info.slots, taken + s.in_flight())
            })
    }

    /// Mean latency of a class over a service's servers, seconds.
    #[must_use]
    pub fn latency_s(&self, service: &str, class: Class) -> Option<f64> {
        let servers = &self.groups.get(service)?.servers;
        let known = servers.iter().filter_map(|s| s.latency(class).mean_s());
        let (sum_s, count) = known.fold((0.0, 0.0), |(sum, n), mean| (sum + mean, n + 1.0));
        (count > 0.0).then(|| sum_s / count)
    }

    /// Servers that this process may send work to, by name.
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

    /// Whether work still runs on a server that another process owns by now.
    #[must_use]
    pub fn lingers(&self) -> bool {
        let mut servers = self.groups.values().flat_map(|g| &g.servers);
        servers.any(|s| s.owned_from.is_none() && !s.running.is_empty())
    }

    /// Servers with a live lease, by name.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<BackendServer> {
        let servers = self.groups.values().flat_map(|g| &g.servers);
        let live = servers.filter(|s| now < s.lease_until);
        let mut rows: Vec<_> = live.map(|s| s.info.clone()).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }

    /// Every server with a lease or work, by service and name.
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

    fn forget_other_services(&mut self, info: &BackendServer) {
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
