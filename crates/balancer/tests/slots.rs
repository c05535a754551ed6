//! Counts of slots and connections under random sequences of events.
//!
//! Guards against slots or connections that leak or are returned twice, for
//! example when a server restarts or a task is cancelled.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer::{Announced, ConnectionTicket, Fleet, FleetSettings, Outcome, SharedFleet, Ticket};
use proptest::prelude::*;
use support::{fleet, server, server_name, service, short};
use tokio::time::Instant;
use world::BackendServer;

const SERVERS: u32 = 3;
const SLOTS: u32 = 2;

#[derive(Clone, Debug)]
enum Op {
    /// Server number and incarnation.
    Announce(u32, u64),
    Choose {
        long: bool,
        alone: bool,
    },
    /// Index of the ticket and number of the outcome.
    Done(usize, u8),
    Connect(usize),
    Disconnect(usize),
    Expire,
    /// Time that passes, milliseconds.
    Pass(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        2 => (0..SERVERS, 1..4_u64).prop_map(|(n, i)| Op::Announce(n, i)),
        6 => any::<(bool, bool)>().prop_map(|(long, alone)| Op::Choose { long, alone }),
        4 => any::<(usize, u8)>().prop_map(|(at, number)| Op::Done(at, number)),
        2 => any::<usize>().prop_map(Op::Connect),
        2 => any::<usize>().prop_map(Op::Disconnect),
        1 => Just(Op::Expire),
        2 => (0..4_000_u64).prop_map(Op::Pass),
    ];
    prop::collection::vec(op, 1..200)
}

fn outcome(number: u8) -> Outcome {
    match number % 7 {
        0 => Outcome::Failed,
        1 => Outcome::Shed { retry_after_ms: 10 },
        2 => Outcome::TimedOut,
        3 => Outcome::ConnectFailed,
        4 => Outcome::ConnectionLost,
        5 => Outcome::Cancelled,
        _ => Outcome::Answered,
    }
}

struct Model {
    now: Instant,
    fleet: Fleet,
    /// Incarnation of each server that is in the table.
    incarnations: BTreeMap<u32, u64>,
    tickets: Vec<Ticket>,
    connections: Vec<(String, u64, ConnectionTicket)>,
}

impl Model {
    fn apply(&mut self, op: &Op) {
        match op {
            Op::Announce(number, incarnation) => self.announce(*number, *incarnation),
            Op::Choose { long, alone } => self.choose(*long, *alone),
            Op::Done(at, number) if !self.tickets.is_empty() => {
                let ticket = self.tickets.swap_remove(at % self.tickets.len());
                self.fleet.done(self.now, ticket, outcome(*number));
            }
            Op::Connect(at) if !self.tickets.is_empty() => self.connect(*at),
            Op::Disconnect(at) if !self.connections.is_empty() => {
                let (_, _, ticket) = self.connections.swap_remove(at % self.connections.len());
                self.fleet.disconnect(&ticket);
            }
            Op::Expire => self.fleet.expire(self.now),
            Op::Pass(ms) => self.now += Duration::from_millis(*ms),
            Op::Done(..) | Op::Connect(_) | Op::Disconnect(_) => {}
        }
    }

    fn announce(&mut self, number: u32, incarnation: u64) {
        let info = BackendServer {
            incarnation,
            connections: 3,
            ..server(number, SLOTS)
        };
        let announced = self.fleet.announce(self.now, &info);
        if announced != Announced::Ignored {
            self.incarnations.insert(number, incarnation);
        }
    }

    fn choose(&mut self, long: bool, alone: bool) {
        let work = if long { support::long(1) } else { short(1) };
        let work = work.with_alone(alone);
        if let Ok(ticket) = self.fleet.choose(self.now, &service(), &work) {
            self.tickets.push(ticket);
        }
    }

    fn connect(&mut self, at: usize) {
        let ticket = &self.tickets[at % self.tickets.len()];
        if let Ok(connection) = self.fleet.connect(ticket) {
            let name = ticket.server().to_string();
            self.connections
                .push((name, ticket.incarnation(), connection));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (_, row) in self.fleet.view(self.now) {
            let on_server =
                |t: &&Ticket| *t.server() == row.name && t.incarnation() == row.incarnation;
            let used = self.tickets.iter().filter(on_server).count();
            prop_assert_eq!(row.in_flight as usize, used, "slots of {}", row.name);
            prop_assert!(row.in_flight <= SLOTS);
            let open = |c: &&(String, u64, ConnectionTicket)| {
                c.0 == row.name.as_str() && c.1 == row.incarnation
            };
            let open = self.connections.iter().filter(open).count();
            prop_assert_eq!(
                row.connections as usize,
                open,
                "connections of {}",
                row.name
            );
            prop_assert!(row.connections <= 3);
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn counts_equal_open_tickets_and_connections(ops in ops()) {
        let now = Instant::now();
        let mut model = Model {
            now,
            fleet: fleet(now, FleetSettings::default(), 0, SLOTS),
            incarnations: BTreeMap::new(),
            tickets: Vec::new(),
            connections: Vec::new(),
        };
        for op in &ops {
            model.apply(op);
            model.check()?;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn cancelled_work_gives_its_slot_back() {
    let now = Instant::now();
    let settings = FleetSettings {
        warmup_ms: 0,
        ..FleetSettings::default()
    };
    let shared = SharedFleet::new(fleet(now, settings, SERVERS, SLOTS));
    let mut tasks = Vec::new();
    for number in 0..SERVERS * SLOTS {
        let permit = shared
            .acquire(now, &service(), &short(u64::from(number)))
            .expect("slot");
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            permit.done(Instant::now(), Outcome::Answered);
        }));
    }
    let full = shared.acquire(now, &service(), &short(99)).is_err();
    tasks
        .iter()
        .step_by(2)
        .for_each(tokio::task::JoinHandle::abort);
    for task in tasks {
        let _ = task.await;
    }
    let now = Instant::now();
    let view = shared.table().lock().view(now);
    let in_flight: u32 = view.iter().map(|(_, row)| row.in_flight).sum();
    assert!(full);
    assert_eq!(in_flight, 0);
    assert!(
        shared
            .acquire(now, &service(), &short(0).with_avoid(server_name(0)))
            .is_ok()
    );
}
