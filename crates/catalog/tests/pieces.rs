//! Readers that take the catalog in pieces, from replicas that change meanwhile.

use std::sync::Arc;

use catalog::{Body, Catalog, Command, Item, Patch, Position};
use proptest::prelude::*;
use quorum::StateMachine;
use world::{
    DomainName, HostName, RequestKind, Route, RouteName, ServerName, ServiceName, ServiceTerms,
    WeightedService,
};

fn terms() -> Item {
    let terms = ServiceTerms {
        name: ServiceName::new("slots").unwrap(),
        health_path: "/health".into(),
        connections: 10,
        warmup_ms: 3_000,
        cold_per_s: 4.0,
    };
    Item {
        version: 1,
        body: Body::Service(Arc::new(terms)),
        source: "terms".into(),
    }
}

fn route(name: usize, version: u64) -> Item {
    let route = Route {
        name: RouteName::new(&format!("r-{name:05}")).unwrap(),
        host: HostName::new("site.example").unwrap(),
        prefix: format!("/path-{name}/").into(),
        kind: RequestKind::Safe,
        timeout_ms: 1_000,
        target_ms: 400,
        priority: 2,
        attempts: 2,
        sticky: true,
        homes: Vec::new(),
        parts: vec![WeightedService {
            service: ServiceName::new("slots").unwrap(),
            weight: 1,
        }],
    };
    Item {
        version,
        body: Body::Route(Arc::new(route)),
        source: "a route".into(),
    }
}

/// One step of a day.
#[derive(Clone, Debug)]
enum Step {
    /// A command sets routes with these numbers.
    Set(Vec<usize>),
    Evacuate(bool),
    Leave(u64),
    /// The second replica applies the next command.
    CatchUp,
    /// The reader reads a piece from a replica and merges it.
    Read {
        replica: usize,
        bytes_max: usize,
    },
    /// The reader sends a request, whose response arrives after the next `Read`.
    ReadLate {
        replica: usize,
        bytes_max: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::collection::vec(0..40_usize, 1..30).prop_map(Step::Set),
        any::<bool>().prop_map(Step::Evacuate),
        (0..5_u64).prop_map(Step::Leave),
        Just(Step::CatchUp),
        (0..2_usize, 1..800_usize)
            .prop_map(|(replica, bytes_max)| Step::Read { replica, bytes_max }),
        (0..2_usize, 1..800_usize)
            .prop_map(|(replica, bytes_max)| Step::ReadLate { replica, bytes_max }),
    ]
}

/// A reader and its position.
#[derive(Default)]
struct Reader {
    catalog: Catalog,
    position: Position,
}

impl Reader {
    fn merge(&mut self, piece: catalog::Piece) {
        for row in piece.rows {
            self.catalog.merge(row);
        }
        self.position = piece.next.max(self.position.clone());
    }
}

fn apply(replica: &mut Catalog, index: u64, command: &Command) {
    replica.apply(index, &command.encode().unwrap()).unwrap();
}

fn rows(catalog: &Catalog) -> Vec<catalog::Row> {
    catalog.rows_after(&Position::default()).collect()
}

proptest! {
    /// Guards against rows that a reader never gets: it may change its replica after any
    /// piece, also to one that lags, while commands go on.
    #[test]
    fn a_reader_of_pieces_gets_every_row(steps in prop::collection::vec(step(), 1..60)) {
        let mut log = vec![Command::Patch(Patch { upserts: vec![terms()], removals: vec![] })];
        let mut replicas = [Catalog::default(), Catalog::default()];
        apply(&mut replicas[0], 1, &log[0]);
        let mut applied = 0;
        let mut reader = Reader::default();
        let mut late = None;
        for step in steps {
            let next = log.len() as u64 + 1;
            let command = match step {
                Step::Set(names) => {
                    let upserts = names.into_iter().map(|name| route(name, next)).collect();
                    Command::Patch(Patch { upserts, removals: vec![] })
                }
                Step::Evacuate(on) => {
                    Command::Evacuate { domain: DomainName::new("north-a").unwrap(), on }
                }
                Step::Leave(born_ms) => {
                    Command::Leave { server: ServerName::new("s1").unwrap(), born_ms }
                }
                Step::CatchUp => {
                    if applied < log.len() {
                        apply(&mut replicas[1], applied as u64 + 1, &log[applied]);
                        applied += 1;
                    }
                    continue;
                }
                Step::Read { replica, bytes_max } => {
                    reader.merge(replicas[replica].piece(&reader.position, bytes_max));
                    if let Some(piece) = late.take() {
                        reader.merge(piece);
                    }
                    continue;
                }
                Step::ReadLate { replica, bytes_max } => {
                    late = Some(replicas[replica].piece(&reader.position, bytes_max));
                    continue;
                }
            };
            apply(&mut replicas[0], next, &command);
            log.push(command);
        }
        loop {
            let piece = replicas[0].piece(&reader.position, 300);
            let more = piece.more;
            reader.merge(piece);
            if !more {
                break;
            }
        }
        prop_assert!(reader.position.covers(replicas[0].index()));
        prop_assert_eq!(rows(&reader.catalog), rows(&replicas[0]));
    }
}

/// Guards against a change of many routes that comes as one message, which a busy link
/// carries for seconds.
#[test]
fn a_change_of_many_routes_comes_in_pieces_of_bounded_size() {
    let mut catalog = Catalog::default();
    let mut upserts: Vec<Item> = (0..1_400).map(|name| route(name, 7)).collect();
    upserts.push(terms());
    let removals = vec![];
    apply(
        &mut catalog,
        1,
        &Command::Patch(Patch { upserts, removals }),
    );
    let mut position = Position::default();
    let mut pieces = Vec::new();
    loop {
        let piece = catalog.piece(&position, 32 * 1024);
        let size = postcard::to_stdvec(&piece).unwrap().len();
        assert!(size <= 33 * 1024, "{size} bytes");
        let first = piece.rows.first().map(|row| row.fact.key());
        pieces.push((piece.rows.len(), first));
        position = piece.next;
        if !piece.more {
            break;
        }
    }
    insta::assert_debug_snapshot!(pieces);
}
