//! Start options of a stand-in backend server.

use std::net::SocketAddr;

use world::{Place, Secret, ServerName, ServiceName};

use super::Behaviour;

/// Default number of slots.
const SLOTS: u32 = 4;

/// Default limit of connections.
const CONNECTIONS: u32 = 400;

/// Start options of one stand-in backend server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name, unique among backend servers.
    pub name: ServerName,
    /// Service that the server offers.
    pub service: ServiceName,
    /// Failure domain of the server.
    pub place: Place,
    /// Number of requests that run at once.
    pub slots: u32,
    /// Maximum number of open connections; further connections are closed.
    pub connections: u32,
    /// Incarnation, a number that grows with each start of the server.
    pub incarnation: u64,
    /// API addresses of the entry VMs that receive the first announcements.
    pub api_addrs: Vec<SocketAddr>,
    /// Address announced instead of the server's own, such as that of a relay.
    pub advertise: Option<SocketAddr>,
    /// The deployment's secret, which authenticates announcements.
    pub secret: Secret,
    /// Seed of every random choice.
    pub seed: u64,
    /// Initial behaviour.
    pub behaviour: Behaviour,
}

impl Options {
    /// Creates options with the defaults, for a server that announces itself to no
    /// entry VM.
    #[must_use]
    pub fn new(name: ServerName, service: ServiceName, place: Place) -> Self {
        Self {
            name,
            service,
            place,
            slots: SLOTS,
            connections: CONNECTIONS,
            incarnation: 1,
            api_addrs: Vec::new(),
            advertise: None,
            secret: Secret::new(""),
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }

    /// Sets the API addresses to announce to and the deployment's secret.
    #[must_use]
    pub fn with_api_addrs(mut self, api_addrs: Vec<SocketAddr>, secret: Secret) -> Self {
        self.api_addrs = api_addrs;
        self.secret = secret;
        self
    }

    /// Sets the numbers of slots and connections.
    #[must_use]
    pub fn with_slots(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }

    /// Sets the initial behaviour and the seed of random choices.
    #[must_use]
    pub fn with_behaviour(mut self, behaviour: Behaviour, seed: u64) -> Self {
        self.behaviour = behaviour;
        self.seed = seed;
        self
    }
}
