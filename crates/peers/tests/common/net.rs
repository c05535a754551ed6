//! A simulated network of membership tables with a virtual clock, message loss and
//! partitions. Runs are deterministic for a given seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peers::members::encode::encode;
use peers::members::{Action, HomeDemand, Members, Message, Reply, Report, ServiceLoad};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use world::{DomainName, EntryVm, MachineName, Place, RegionName, ServiceName};

/// Size of a message beyond its payload: envelope, length prefix, TCP and IP headers.
const OVERHEAD_BYTES: usize = 72;
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// One-way delay between machines of one region.
const DELAY_IN_REGION: Duration = Duration::from_millis(1);
/// One-way delay between machines of different regions.
const DELAY_ACROSS_REGIONS: Duration = Duration::from_millis(55);
const SERVICES: [&str; 3] = ["terminy", "objednavky", "podklady"];
const PRIORITIES: u8 = 3;

pub struct Node {
    pub vm: Arc<EntryVm>,
    pub members: Members,
    pub up: bool,
    pub sent_bytes: usize,
    pub received_bytes: usize,
    pub sent: usize,
}

/// A message in transit.
struct Packet {
    from: usize,
    to: usize,
    call: Option<u64>,
    /// For an indirect ping: the node that requested it, and that node's call.
    origin: Option<(usize, u64)>,
    message: Message,
    is_reply: bool,
}

enum Event {
    /// Tick of a node, valid while its generation is the given one.
    Tick(usize, u64),
    Deliver(Box<Packet>),
    /// Timeout of a node's call (node, call, generation).
    CallTimeout(usize, u64, u64),
}

pub struct Net {
    /// The virtual time.
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// Probability with which a message is lost.
    pub loss: f64,
    /// Whether messages between two places are dropped.
    pub is_partitioned: fn(&Place, &Place) -> bool,
    /// Raised when a node stops, which invalidates its scheduled events.
    generations: Vec<u64>,
    rng: StdRng,
    /// Times and numbers of the scheduled events, earliest first.
    schedule_queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Scheduled events by number.
    events_by_number: HashMap<u64, Event>,
    last_event: u64,
}

fn name(index: usize) -> MachineName {
    MachineName::new(&format!("entry-{index:03}")).expect("name")
}

fn addr(index: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).expect("small").to_be_bytes();
    ([10, 0, high, low], port).into()
}

fn vm(index: usize, domains: usize) -> Arc<EntryVm> {
    let domain = index % domains;
    Arc::new(EntryVm {
        name: name(index),
        place: Place::new(
            RegionName::new(&format!("region-{}", domain % 4)).expect("name"),
            DomainName::new(&format!("domain-{domain}")).expect("name"),
        ),
        front_addr: addr(index, 8_000),
        desk_addr: addr(index, 8_001),
        link_addr: addr(index, 8_002),
    })
}

fn load() -> Report {
    let demand = |priority| HomeDemand {
        home: None,
        priority,
        rate_per_s: 12.5,
    };
    let service = |name: &&str| ServiceLoad {
        service: ServiceName::new(name).expect("name"),
        capacity_per_s: 100.0,
        demand: (0..PRIORITIES).map(demand).collect(),
    };
    Report {
        members: 1,
        config_version_min: 7,
        behind: Vec::new(),
        services: SERVICES.iter().map(service).collect(),
    }
}

impl Net {
    /// Creates `count` nodes in `domains` failure domains, each with the same two seeds.
    pub fn new(count: usize, domains: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            loss: 0.0,
            is_partitioned: |_, _| false,
            generations: vec![0; count],
            rng: StdRng::seed_from_u64(seed),
            schedule_queue: BinaryHeap::new(),
            events_by_number: HashMap::new(),
            last_event: 0,
        };
        for index in 0..count {
            let vm = vm(index, domains);
            let members = net.new_members(&vm, index, 1);
            net.nodes.push(Node {
                members,
                vm,
                up: true,
                sent_bytes: 0,
                received_bytes: 0,
                sent: 0,
            });
            net.start_ticks(index);
        }
        net
    }

    fn new_members(&mut self, vm: &Arc<EntryVm>, index: usize, incarnation: u64) -> Members {
        let seeds = vec![addr(0, 8_002), addr(1, 8_002)];
        let seed = self.rng.random::<u64>() ^ u64::try_from(index).expect("small");
        let rng = StdRng::seed_from_u64(seed);
        let mut members = Members::new(Arc::clone(vm), incarnation, seeds, rng);
        members.set_load(load());
        members
    }

    fn start_ticks(&mut self, index: usize) {
        let phase = PING_INTERVAL.mul_f64(self.rng.random::<f64>());
        let generation = self.generations[index];
        self.schedule(self.now + phase, Event::Tick(index, generation));
    }

    /// Stops a node without notice to the others.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.generations[index] += 1;
    }

    /// Starts a node again with an empty table.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let vm = Arc::clone(&self.nodes[index].vm);
        self.nodes[index].members = self.new_members(&vm, index, incarnation);
        self.nodes[index].up = true;
        self.start_ticks(index);
    }

    /// Lets a node announce that it leaves, then stops it.
    pub fn leave(&mut self, index: usize) {
        let actions = self.nodes[index].members.leave();
        self.send_all(index, actions);
        self.kill(index);
    }

    /// Runs the network for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, id))) = self.schedule_queue.peek().copied() {
            if at > end {
                break;
            }
            self.schedule_queue.pop();
            self.now = at;
            if let Some(event) = self.events_by_number.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    /// Runs in steps of 100 ms until `done`. Returns the time it took, or `None` after
    /// `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(100));
        }
        None
    }

    /// Whether node `at` lists node `other` among the live ones of the site.
    pub fn lists(&self, at: usize, other: usize) -> bool {
        let site = self.nodes[at].members.site(self.now);
        site.iter().any(|vm| vm.name == self.nodes[other].vm.name)
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.last_event += 1;
        self.events_by_number.insert(self.last_event, event);
        self.schedule_queue.push(Reverse((at, self.last_event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(index, generation) => self.tick(index, generation),
            Event::Deliver(packet) => self.deliver(*packet),
            Event::CallTimeout(index, call, generation) => {
                if self.nodes[index].up && self.generations[index] == generation {
                    let actions = self.nodes[index].members.handle_timeout(self.now, call);
                    self.send_all(index, actions);
                }
            }
        }
    }

    fn tick(&mut self, index: usize, generation: u64) {
        if !self.nodes[index].up || self.generations[index] != generation {
            return;
        }
        let actions = self.nodes[index].members.tick(self.now);
        self.send_all(index, actions);
        self.schedule(self.now + PING_INTERVAL, Event::Tick(index, generation));
    }

    fn send_all(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            if let Some(call) = action.call {
                let at = self.now + action.timeout;
                self.schedule(at, Event::CallTimeout(from, call, self.generations[from]));
            }
            self.send(from, action, None);
        }
    }

    fn send(&mut self, from: usize, action: Action, origin: Option<(usize, u64)>) {
        let IpOctets([_, _, high, low]) = octets(action.to);
        let to = usize::from(u16::from_be_bytes([high, low]));
        self.transmit(Packet {
            from,
            to,
            call: action.call,
            origin,
            message: action.message,
            is_reply: false,
        });
    }

    fn transmit(&mut self, packet: Packet) {
        let size = encode(&packet.message).len() + OVERHEAD_BYTES;
        let (from, to) = (
            &self.nodes[packet.from].vm.place,
            &self.nodes[packet.to].vm.place,
        );
        let delay = if from.region == to.region {
            DELAY_IN_REGION
        } else {
            DELAY_ACROSS_REGIONS
        };
        let is_lost = (self.is_partitioned)(from, to) || self.rng.random::<f64>() < self.loss;
        self.nodes[packet.from].sent_bytes += size;
        self.nodes[packet.from].sent += 1;
        if !is_lost && self.nodes[packet.to].up {
            self.nodes[packet.to].received_bytes += size;
            self.schedule(self.now + delay, Event::Deliver(Box::new(packet)));
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let at = packet.to;
        if !self.nodes[at].up {
            return;
        }
        if packet.is_reply {
            self.deliver_reply(packet);
            return;
        }
        let reply = self.nodes[at].members.handle(self.now, packet.message);
        match reply {
            Reply::None => {}
            Reply::Now(message) => self.transmit(Packet {
                from: at,
                to: packet.from,
                call: packet.call,
                origin: packet.origin,
                message,
                is_reply: true,
            }),
            Reply::Forward(action) => {
                let origin = packet.call.map(|call| (packet.from, call));
                self.send(at, action, origin);
            }
        }
    }

    fn deliver_reply(&mut self, packet: Packet) {
        let at = packet.to;
        match (packet.call, packet.origin) {
            (Some(call), _) => {
                let actions = self.nodes[at]
                    .members
                    .handle_reply(self.now, call, packet.message);
                self.send_all(at, actions);
            }
            (None, Some((origin, call))) => self.transmit(Packet {
                from: at,
                to: origin,
                call: Some(call),
                origin: None,
                message: packet.message,
                is_reply: true,
            }),
            (None, None) => {}
        }
    }
}

struct IpOctets([u8; 4]);

fn octets(addr: SocketAddr) -> IpOctets {
    match addr {
        SocketAddr::V4(v4) => IpOctets(v4.ip().octets()),
        SocketAddr::V6(_) => IpOctets([0; 4]),
    }
}

impl Net {
    /// Suspends a node; it keeps its table.
    pub fn suspend(&mut self, index: usize) {
        self.kill(index);
    }

    /// Resumes a suspended node.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].up = true;
        self.start_ticks(index);
    }

    /// Whether every running node lists exactly the running nodes.
    pub fn agrees(&self) -> bool {
        let up: Vec<&MachineName> = self
            .nodes
            .iter()
            .filter(|n| n.up)
            .map(|n| &n.vm.name)
            .collect();
        self.nodes.iter().filter(|n| n.up).all(|node| {
            let mut site: Vec<MachineName> = node
                .members
                .site(self.now)
                .iter()
                .map(|vm| vm.name.clone())
                .collect();
            site.sort();
            site.iter().eq(up.iter().copied())
        })
    }
}
