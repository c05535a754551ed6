//! An entry VM that follows a control VM over a slow link.

mod common;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use catalog::{Body, Item, Patch};
use common::TestDialect;
use discovery::{Row, ServerRow, Update};
use forward::{ControlFollower, Settings, State};
use routed_control::ControlVm;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use world::{
    HostName, MachineName, RequestKind, Route, RouteName, Secret, ServerName, ServiceName,
    WeightedService,
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// What clients leave of a link of 3.3 Mbit/s, bytes a second.
const LINK_BYTES_PER_S: usize = 40_000;

/// Time between two chunks that the relay passes on.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes of such a chunk.
const CHUNK_BYTES: usize = LINK_BYTES_PER_S / 50;

/// Time between two looks at the state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for a single control VM to lead.
const ELECTION_MAX: Duration = Duration::from_secs(20);

/// Time for the whole registry and the first routes.
const START_MAX: Duration = Duration::from_secs(10);

/// Time in which a change has to be in effect at the users' largest site.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Passes on connections to `target`, and `LINK_BYTES_PER_S` of what comes from there.
async fn relay(listener: TcpListener, target: u16) {
    loop {
        let (mut client, _) = listener.accept().await.expect("accepted");
        tokio::spawn(async move {
            let Ok(mut server) = TcpStream::connect((IP, target)).await else {
                return;
            };
            let (mut from_client, mut to_client) = client.split();
            let (mut from_server, mut to_server) = server.split();
            let downstream = async {
                let mut buffer = [0; CHUNK_BYTES];
                while let Ok(read @ 1..) = from_server.read(&mut buffer).await {
                    if to_client.write_all(&buffer[..read]).await.is_err() {
                        break;
                    }
                    sleep(CHUNK_INTERVAL).await;
                }
            };
            tokio::select! {
                _ = tokio::io::copy(&mut from_client, &mut to_server) => {}
                () = downstream => {}
            }
        });
    }
}

fn route(number: usize) -> Item {
    let route = Route {
        name: RouteName::new(&format!("r-{number:05}")).unwrap(),
        host: HostName::new("site.example").unwrap(),
        prefix: format!("/path-{number}/more-{number}/").into(),
        kind: RequestKind::Safe,
        timeout_ms: 1_000,
        target_ms: 400,
        priority: 2,
        attempts: 2,
        sticky: true,
        homes: Vec::new(),
        parts: vec![WeightedService {
            service: common::service(),
            weight: 1,
        }],
    };
    Item {
        version: 1,
        body: Body::Route(Arc::new(route)),
        source: "the text of the operator".into(),
    }
}

async fn control_vm(data_dir: &std::path::Path) -> Arc<ControlVm> {
    let free = TcpListener::bind((IP, 0)).await.expect("bound");
    let listen_port = free.local_addr().expect("address").port();
    drop(free);
    let front = TcpListener::bind((IP, 0)).await.expect("bound");
    let link_port = front.local_addr().expect("address").port();
    tokio::spawn(relay(front, listen_port));
    let place = common::place();
    let settings = routed_control::Settings {
        ip: IP,
        domains: BTreeMap::from([(place.domain.clone(), place.region.clone())]),
        place,
        link_port,
        listen_port,
        seeds: vec![IP],
        tolerated_losses: 0,
        bootstrap: true,
        data_dir: data_dir.to_owned(),
        secret: Secret::new("tests"),
    };
    ControlVm::start(settings).await.expect("started")
}

fn entry_vm(link_port: u16) -> Arc<State<TestDialect>> {
    let place = common::place();
    let settings = Settings {
        body_memory_bytes: common::BODY_MEMORY_BYTES,
        front: (IP, 1).into(),
        seeds: vec![IP],
        link_port,
        link_bytes_per_s: 1e9,
        secret: Secret::new("tests"),
        balancer: affinity::Settings {
            name: MachineName::new("entry-1").expect("name"),
            domains: BTreeMap::from([(place.domain.clone(), place.region.clone())]),
            place,
            retry_ratio: 0.2,
            retry_slack: 10.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
        },
    };
    Arc::new(State::new(settings, TestDialect).expect("state"))
}

fn server(number: u16) -> Update {
    let row = ServerRow {
        name: ServerName::new(&format!("server-{number:05}")).unwrap(),
        service: ServiceName::new("slots").unwrap(),
        addr: (IP, 10_000 + number).into(),
        place: common::place(),
        slots: 9,
        draining: false,
        cold_ms: 0,
        born_ms: 1_700_000_000_000 + u64::from(number),
        sequence: 1,
    };
    Update {
        row: Row::Server(row),
        age_ms: 0,
        lost: false,
    }
}

/// Waits until the entry VM has this route.
async fn has_route(state: &State<TestDialect>, number: usize) {
    let path = format!("/path-{number}/more-{number}/x");
    while state.routes.load().route("site.example", &path).is_none() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a change of many routes that an entry VM on a busy link never gets,
/// because its transfer is thrown away after a timeout and begun again.
#[tokio::test(flavor = "multi_thread")]
async fn many_routes_come_into_effect_over_a_slow_link() {
    let folder = tempfile::tempdir().expect("folder");
    let control = control_vm(folder.path()).await;
    control.merge((0..1_083).map(server));
    let state = entry_vm(control.settings.link_port);
    let follower = ControlFollower::new(Arc::clone(&state)).expect("follower");
    tokio::spawn(Arc::new(follower).run());
    let patch = |upserts| Patch {
        upserts,
        removals: Vec::new(),
    };
    let first = patch(vec![common::terms(), route(0)]);
    let started_at = Instant::now();
    while control.patch(first.clone()).await.is_err() {
        assert!(started_at.elapsed() < ELECTION_MAX, "no leader");
        sleep(POLL_INTERVAL).await;
    }
    timeout(START_MAX, has_route(&state, 0))
        .await
        .expect("the whole registry and the first routes");
    let many = patch((1..1_400).map(route).collect());
    control.patch(many).await.expect("acknowledged");
    let in_effect = async {
        for number in 1..1_400 {
            has_route(&state, number).await;
        }
    };
    timeout(APPLY_TIME, in_effect).await.expect("in effect");
}
