//! What a stand-in backend server is started with.

use std::net::SocketAddr;

use world::{Place, Secret, ServerName, ServiceName};

use super::Behaviour;

/// Slots of a server that is given no number.
const SLOTS: u32 = 4;

/// Connections of a server that is given no number.
const CONNECTIONS: u32 = 400;

/// Options of one stand-in backend server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name.
    pub name: ServerName,
    /// Service it offers.
    pub service: ServiceName,
    /// Where it stands.
    pub place: Place,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Number that grows with each start.
    pub incarnation: u64,
    /// Desks that it announces itself to first.
    pub desks: Vec<SocketAddr>,
    /// Address that it announces in place of its own, such as a relay's.
    pub advertise: Option<SocketAddr>,
    /// The deployment's secret.
    pub secret: Secret,
    /// Seed of every random choice.
    pub seed: u64,
    /// How it behaves at first.
    pub behaviour: Behaviour,
}

impl Options {
    /// Options of a server that announces itself to no desk.
    #[must_use]
    pub fn new(name: ServerName, service: ServiceName, place: Place) -> Self {
        Self {
            name,
            service,
            place,
            slots: SLOTS,
            connections: CONNECTIONS,
            incarnation: 1,
            desks: Vec::new(),
            advertise: None,
            secret: Secret::new(""),
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }

    /// The same with these desks and the deployment's secret.
    #[must_use]
    pub fn with_desks(mut self, desks: Vec<SocketAddr>, secret: Secret) -> Self {
        self.desks = desks;
        self.secret = secret;
        self
    }

    /// The same with these numbers of slots and connections.
    #[must_use]
    pub fn with_slots(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }

    /// The same with this behaviour and seed.
    #[must_use]
    pub fn with_behaviour(mut self, behaviour: Behaviour, seed: u64) -> Self {
        self.behaviour = behaviour;
        self.seed = seed;
        self
    }
}
