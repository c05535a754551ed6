//! An in-memory network of membership tables, on a clock of its own.

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

/// Bytes that a message costs besides its payload: envelope, length, TCP and IP headers.
const OVERHEAD_BYTES: usize = 72;
const PROBE: Duration = Duration::from_millis(500);
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(55);
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

struct Letter {
    from: usize,
    to: usize,
    call: Option<u64>,
    /// The node that a helper probes for, and that node's call.
    origin: Option<(usize, u64)>,
    message: Message,
    is_reply: bool,
}

enum Event {
    Tick(usize, u64),
    Arrive(Box<Letter>),
    Overdue(usize, u64, u64),
}

pub struct Net {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub cut: fn(&Place, &Place) -> bool,
    starts: Vec<u64>,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    bodies: HashMap<u64, Event>,
    next: u64,
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
    /// `count` nodes over `domains` failure domains; each knows two seeds.
    pub fn new(count: usize, domains: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            loss: 0.0,
            cut: |_, _| false,
            starts: vec![0; count],
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
        };
        for index in 0..count {
            let vm = vm(index, domains);
            let members = net.fresh(&vm, index, 1);
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

    fn fresh(&mut self, vm: &Arc<EntryVm>, index: usize, incarnation: u64) -> Members {
        let seeds = vec![addr(0, 8_002), addr(1, 8_002)];
        let seed = self.rng.random::<u64>() ^ u64::try_from(index).expect("small");
        let rng = StdRng::seed_from_u64(seed);
        let mut members = Members::new(Arc::clone(vm), incarnation, seeds, rng);
        members.set_load(load());
        members
    }

    fn start_ticks(&mut self, index: usize) {
        let phase = PROBE.mul_f64(self.rng.random::<f64>());
        let start = self.starts[index];
        self.post(self.now + phase, Event::Tick(index, start));
    }

    /// Ends a node without a word.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.starts[index] += 1;
    }

    /// Starts a node again with nothing remembered.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let vm = Arc::clone(&self.nodes[index].vm);
        self.nodes[index].members = self.fresh(&vm, index, incarnation);
        self.nodes[index].up = true;
        self.start_ticks(index);
    }

    /// Lets a node say that it leaves, then ends it.
    pub fn leave(&mut self, index: usize) {
        let actions = self.nodes[index].members.leave();
        self.send_all(index, actions);
        self.kill(index);
    }

    /// Runs the network for some time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.bodies.remove(&id) {
                self.happen(event);
            }
        }
        self.now = end;
    }

    /// Runs until `done`, in steps of 100 ms; the time it took, or `None`.
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

    /// Whether a live node lists another one as live in the whole site.
    pub fn lists(&self, at: usize, other: usize) -> bool {
        let site = self.nodes[at].members.site(self.now);
        site.iter().any(|vm| vm.name == self.nodes[other].vm.name)
    }

    fn post(&mut self, at: Instant, event: Event) {
        self.next += 1;
        self.bodies.insert(self.next, event);
        self.events.push(Reverse((at, self.next)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(index, start) => self.tick(index, start),
            Event::Arrive(letter) => self.arrive(*letter),
            Event::Overdue(index, call, start) => {
                if self.nodes[index].up && self.starts[index] == start {
                    let actions = self.nodes[index].members.missed(self.now, call);
                    self.send_all(index, actions);
                }
            }
        }
    }

    fn tick(&mut self, index: usize, start: u64) {
        if !self.nodes[index].up || self.starts[index] != start {
            return;
        }
        let actions = self.nodes[index].members.tick(self.now);
        self.send_all(index, actions);
        self.post(self.now + PROBE, Event::Tick(index, start));
    }

    fn send_all(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            if let Some(call) = action.call {
                let at = self.now + action.patience;
                self.post(at, Event::Overdue(from, call, self.starts[from]));
            }
            self.send(from, action, None);
        }
    }

    fn send(&mut self, from: usize, action: Action, origin: Option<(usize, u64)>) {
        let IpOctets([_, _, high, low]) = octets(action.to);
        let to = usize::from(u16::from_be_bytes([high, low]));
        self.carry(Letter {
            from,
            to,
            call: action.call,
            origin,
            message: action.message,
            is_reply: false,
        });
    }

    fn carry(&mut self, letter: Letter) {
        let size = encode(&letter.message).len() + OVERHEAD_BYTES;
        let (from, to) = (
            &self.nodes[letter.from].vm.place,
            &self.nodes[letter.to].vm.place,
        );
        let latency = if from.region == to.region { NEAR } else { FAR };
        let cut = (self.cut)(from, to) || self.rng.random::<f64>() < self.loss;
        self.nodes[letter.from].sent_bytes += size;
        self.nodes[letter.from].sent += 1;
        if !cut && self.nodes[letter.to].up {
            self.nodes[letter.to].received_bytes += size;
            self.post(self.now + latency, Event::Arrive(Box::new(letter)));
        }
    }

    fn arrive(&mut self, letter: Letter) {
        let at = letter.to;
        if !self.nodes[at].up {
            return;
        }
        if letter.is_reply {
            self.arrive_reply(letter);
            return;
        }
        let reply = self.nodes[at].members.handle(self.now, letter.message);
        match reply {
            Reply::None => {}
            Reply::Now(message) => self.carry(Letter {
                from: at,
                to: letter.from,
                call: letter.call,
                origin: letter.origin,
                message,
                is_reply: true,
            }),
            Reply::Forward(action) => {
                let origin = letter.call.map(|call| (letter.from, call));
                self.send(at, action, origin);
            }
        }
    }

    fn arrive_reply(&mut self, letter: Letter) {
        let at = letter.to;
        match (letter.call, letter.origin) {
            (Some(call), _) => {
                let actions = self.nodes[at]
                    .members
                    .replied(self.now, call, letter.message);
                self.send_all(at, actions);
            }
            (None, Some((origin, call))) => self.carry(Letter {
                from: at,
                to: origin,
                call: Some(call),
                origin: None,
                message: letter.message,
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
    /// Stops a node's clock; it keeps what it knows.
    pub fn freeze(&mut self, index: usize) {
        self.kill(index);
    }

    /// Lets a frozen node go on.
    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].up = true;
        self.start_ticks(index);
    }

    /// Whether all live nodes list exactly the live ones.
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
