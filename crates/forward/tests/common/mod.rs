//! Stub backend servers and an entry VM in one process, over loopback.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use catalog::{Body, Fact, Item};
use discovery::ServerRow;
use forward::{
    AttemptHead, Dialect, RequestHead, ResponseHead, Restrictions, Settings, State, front,
};
use hyper::Response;
use hyper::header::{HOST, HeaderMap};
use hyper::http::{request, response};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use world::{
    DomainName, Error, ErrorKind, HostName, MachineName, Place, RegionName, RequestKind, Result,
    Route, RouteName, Secret, ServerName, ServiceName, ServiceTerms, WeightedService,
};

/// What a stub server does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Responds after this time, milliseconds.
    Answer(u64),
    /// Does not respond and keeps the connection open.
    Silent,
    /// Reports that it did not run the request.
    Shed,
    /// The same, without the id of the request.
    ShedWithoutId,
    /// Reports twice that it did not run the request.
    ShedTwice,
    /// Runs the request, but writes the response before once more.
    Repeat,
    /// Sends the first text, in which ID stands for the request's id, and then the second
    /// one until the caller closes the connection.
    Endless(&'static str, &'static str),
    /// Sends each text after its delay, milliseconds, with ID for the request's id and
    /// PREVIOUS for that of the request before, and ends the connection as told.
    Script(&'static [(u64, &'static str)], ConnectionEnd),
    /// Sends this many bytes of the text, in which ID stands for the request's id, and
    /// ends the connection.
    Truncated(&'static str, usize, ConnectionEnd),
    /// Sends the head of a response of [`LARGE_BYTES`] and this many of its bytes, and the
    /// rest this time later, milliseconds; without a time it closes the connection.
    Large(usize, Option<u64>),
    /// Responds and reports that it is leaving.
    Leaving,
    /// Reports that it did not run the request, and wants no requests for this time, milliseconds.
    HoldOff(u64),
    /// Ends the server this time after reading the request, milliseconds: closes all
    /// connections and the port.
    Crash(u64),
    /// Closes the connection after reading the request.
    Reset,
    /// Sends half of the response body and closes the connection.
    Half,
    /// Responds with the id of another request.
    WrongId,
    /// Responds, and sends an unrequested second response right after.
    Extra,
    /// Responds with status 500.
    Fail,
}

/// Memory for bodies at an entry VM.
pub const BODY_MEMORY_BYTES: usize = 8 << 20;

/// Length of a large response: 200 ms on a link of 3.3 Mbit a second.
pub const LARGE_BYTES: usize = 80_000;

/// How a stub server goes on with a connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// It waits for the next request.
    Kept,
    /// It closes the connection.
    Closed,
    /// It resets the connection.
    Reset,
}

/// Ids of the requests that a stub server has read, with the time left for
/// each, milliseconds.
pub type ReceivedRequests = Arc<Mutex<Vec<(String, u64)>>>;

/// A stub backend server.
pub struct StubServer {
    /// Name that the server announces.
    pub name: ServerName,
    /// Address that serves requests.
    pub addr: SocketAddr,
    /// Requests read so far.
    pub received: ReceivedRequests,
    /// Bytes of endless responses that callers took before they closed.
    pub endless_bytes: Arc<Mutex<Option<usize>>>,
}

/// Starts a stub server that applies `behaviours` to its requests in order, and
/// the last one to all further requests.
pub async fn stub_server(name: &str, behaviours: &[Behaviour]) -> StubServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("address");
    let received = ReceivedRequests::default();
    let (behaviours, recorded) = (behaviours.to_vec(), Arc::clone(&received));
    let endless_bytes = Arc::default();
    let endless = Arc::clone(&endless_bytes);
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("accepted");
                    connections.spawn(serve_stub(
                        stream,
                        behaviours.clone(),
                        Arc::clone(&recorded),
                        Arc::clone(&endless),
                    ));
                }
                Some(Ok(Ended::Server)) = connections.join_next() => return,
            }
        }
    });
    let name = ServerName::new(name).expect("name");
    StubServer {
        name,
        addr,
        received,
        endless_bytes,
    }
}

/// What a connection ended with.
#[derive(PartialEq)]
enum Ended {
    Connection,
    Server,
}

async fn serve_stub(
    mut stream: TcpStream,
    behaviours: Vec<Behaviour>,
    received: ReceivedRequests,
    endless_bytes: Arc<Mutex<Option<usize>>>,
) -> Ended {
    let mut before = String::new();
    let mut previous_id = String::new();
    while let Some(head) = read_head(&mut stream).await {
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines
                .find(|(key, _)| key.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.to_owned())
        };
        let id = field("x-id").expect("id");
        let left_ms = field("x-left").expect("deadline").parse().expect("number");
        let position = {
            let mut received = received.lock().expect("received");
            received.push((id.clone(), left_ms));
            received.len() - 1
        };
        let text = match behaviours[position.min(behaviours.len() - 1)] {
            Behaviour::Answer(after_ms) => {
                sleep(Duration::from_millis(after_ms)).await;
                answer(&id)
            }
            Behaviour::Silent => {
                sleep(Duration::from_secs(60)).await;
                return Ended::Connection;
            }
            Behaviour::Shed => shed(&id),
            Behaviour::ShedWithoutId => shed(&id).replace(&format!("x-id: {id}\r\n"), ""),
            Behaviour::ShedTwice => shed(&id).repeat(2),
            Behaviour::Repeat => before.clone(),
            Behaviour::Endless(start, repeated) => {
                let taken = write_endlessly(&mut stream, &start.replace("ID", &id), repeated).await;
                *endless_bytes.lock().expect("bytes") = Some(taken);
                return Ended::Connection;
            }
            Behaviour::Script(steps, end) => {
                for (delay_ms, text) in steps {
                    sleep(Duration::from_millis(*delay_ms)).await;
                    let text = text.replace("ID", &id).replace("PREVIOUS", &previous_id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return Ended::Connection;
                    }
                }
                if end_connection(&stream, end) {
                    return Ended::Connection;
                }
                String::new()
            }
            Behaviour::Large(start, rest_after_ms) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
                );
                let start_text = head + &"x".repeat(start);
                if stream.write_all(start_text.as_bytes()).await.is_err() {
                    return Ended::Connection;
                }
                let Some(rest_after_ms) = rest_after_ms else {
                    return Ended::Connection;
                };
                sleep(Duration::from_millis(rest_after_ms)).await;
                "x".repeat(LARGE_BYTES - start)
            }
            Behaviour::Truncated(text, len, end) => {
                let text = text.replace("ID", &id);
                let _ = stream.write_all(&text.as_bytes()[..len]).await;
                // What was written has to arrive before a reset.
                sleep(Duration::from_millis(5)).await;
                end_connection(&stream, end);
                return Ended::Connection;
            }
            Behaviour::Leaving => answer(&id).replace("x-seal: 1", "x-seal: 1\r\nx-leaving: 1"),
            Behaviour::HoldOff(time_ms) => format!(
                "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\nx-hold-off: {time_ms}\r\ncontent-length: 0\r\n\r\n"
            ),
            Behaviour::Crash(after_ms) => {
                sleep(Duration::from_millis(after_ms)).await;
                return Ended::Server;
            }
            Behaviour::Reset => return Ended::Connection,
            Behaviour::Half => {
                let whole = answer(&id);
                let half = &whole.as_bytes()[..whole.len() - 2];
                let _ = stream.write_all(half).await;
                return Ended::Connection;
            }
            Behaviour::WrongId => answer("another"),
            Behaviour::Extra => answer(&id) + &answer("late"),
            Behaviour::Fail => format!(
                "HTTP/1.1 500 Failed\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: 0\r\n\r\n"
            ),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Ended::Connection;
        }
        before = text;
        previous_id = id;
    }
    Ended::Connection
}

/// Prepares the end of a connection; returns whether it ends when it is dropped.
fn end_connection(stream: &TcpStream, end: ConnectionEnd) -> bool {
    if end == ConnectionEnd::Reset {
        let linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        linger.expect("linger set");
    }
    end != ConnectionEnd::Kept
}

/// Writes `start` and then `repeated` until the caller closes the connection; returns
/// the number of bytes.
async fn write_endlessly(stream: &mut TcpStream, start: &str, repeated: &str) -> usize {
    let chunk = repeated.repeat(1_000);
    let (mut taken, mut next) = (0, start);
    while stream.write_all(next.as_bytes()).await.is_ok() {
        taken += next.len();
        next = &chunk;
    }
    taken
}

/// Response with a body.
fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\ngood")
}

/// Response that reports that the request was not run.
fn shed(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// A minimal dialect for the tests.
pub struct TestDialect;

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

impl Dialect for TestDialect {
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead> {
        let bad = || Error::new(ErrorKind::BadRequest, "no id");
        let host = text(&head.headers, HOST.as_str()).unwrap_or_default();
        Ok(RequestHead {
            id: text(&head.headers, "x-id").ok_or_else(bad)?.into(),
            host: host.into(),
            object: None,
            deadline_ms: text(&head.headers, "x-left").and_then(|t| t.parse().ok()),
        })
    }

    fn encode_attempt(&self, hop: &AttemptHead<'_>, headers: &mut HeaderMap) {
        headers.insert("x-left", hop.left_ms.into());
    }

    fn decode_response(&self, head: &response::Parts) -> ResponseHead {
        ResponseHead {
            id: text(&head.headers, "x-id").map(Into::into),
            not_run: head.headers.contains_key("x-not-run"),
            sealed: head.headers.contains_key("x-seal"),
            restrictions: Restrictions {
                leaving: head.headers.contains_key("x-leaving"),
                hold_off_ms: text(&head.headers, "x-hold-off").and_then(|t| t.parse().ok()),
                limit_per_1000_s: None,
            },
            ..ResponseHead::default()
        }
    }

    fn encode_error(
        &self,
        error: &Error,
        retry_after_ms: Option<u32>,
        _: Option<&RequestHead>,
    ) -> Response<Bytes> {
        let mut response = Response::new(Bytes::from(error.kind.to_string()));
        if let Some(retry_after_ms) = retry_after_ms {
            response
                .headers_mut()
                .insert("x-retry-after", retry_after_ms.into());
        }
        *response.status_mut() = error.kind.response().status.try_into().expect("status");
        response
    }
}

/// Failure domain of all VMs and servers of the tests.
pub fn place() -> Place {
    let region = RegionName::new("north").expect("region");
    Place::new(region, DomainName::new("north-a").expect("domain"))
}

/// The only service of the tests.
pub fn service() -> ServiceName {
    ServiceName::new("slots").expect("service")
}

/// A route from the path prefix `/NAME/` to the service.
pub fn route(name: &str, kind: RequestKind, timeout_ms: u64) -> Item {
    let route = Route {
        name: RouteName::new(name).expect("name"),
        host: HostName::new("site.example").expect("host"),
        prefix: format!("/{name}/").into(),
        kind,
        timeout_ms,
        target_ms: 100,
        priority: 1,
        attempts: 2,
        sticky: true,
        homes: Vec::new(),
        parts: vec![WeightedService {
            service: service(),
            weight: 1,
        }],
    };
    item(1, Body::Route(Arc::new(route)))
}

/// Catalog item with the terms of the service.
pub fn terms() -> Item {
    let terms = ServiceTerms {
        name: service(),
        health_path: "/health".into(),
        connections: 100,
        warmup_ms: 3_000,
        cold_per_s: 5.0,
    };
    item(1, Body::Service(Arc::new(terms)))
}

fn item(version: u64, body: Body) -> Item {
    Item {
        version,
        body,
        source: "{}".into(),
    }
}

/// A running entry VM; it shuts down when `close` is set or dropped.
pub struct Entry {
    /// Shared state of the entry VM.
    pub state: Arc<State<TestDialect>>,
    /// Listen address for clients.
    pub addr: SocketAddr,
    /// Shuts the entry VM down when set or dropped.
    pub close: watch::Sender<bool>,
}

/// Starts an entry VM with these catalog items and servers, on a fast link.
pub async fn entry(items: &[Item], servers: &[&StubServer]) -> Entry {
    entry_on_link(items, servers, 1e9).await
}

/// Starts an entry VM whose link has this rate, bytes a second.
pub async fn entry_on_link(
    items: &[Item],
    servers: &[&StubServer],
    link_bytes_per_s: f64,
) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("address");
    let place = place();
    let settings = Settings {
        body_memory_bytes: BODY_MEMORY_BYTES,
        front: addr,
        seeds: Vec::new(),
        link_port: 1,
        link_bytes_per_s,
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
    let state = Arc::new(State::new(settings, TestDialect).expect("state"));
    let rows = items.iter().enumerate().map(|(at, item)| catalog::Row {
        index: at as u64 + 1,
        fact: Fact::Item {
            key: item.key(),
            version: item.version,
            item: Some(item.clone()),
        },
    });
    let piece = catalog::Piece {
        rows: rows.collect(),
        next: catalog::Position::at_end_of(items.len() as u64),
        more: false,
    };
    state.merge_catalog(Some(piece), true);
    for server in servers {
        state
            .balancer
            .lock()
            .apply_announcement(&row(server), 0, Instant::now());
    }
    let (close, closing) = watch::channel(false);
    let serving = front::serve(
        listener,
        Arc::clone(&state),
        closing,
        Duration::from_secs(2),
    );
    tokio::spawn(serving);
    Entry { state, addr, close }
}

/// The announcement of a stub server.
pub fn row(server: &StubServer) -> ServerRow {
    ServerRow {
        name: server.name.clone(),
        service: service(),
        addr: server.addr,
        place: place(),
        slots: 4,
        draining: false,
        cold_ms: 0,
        born_ms: 1,
        sequence: 1,
    }
}

/// Sends a request on a new connection; returns the status line and body.
pub async fn get(entry: &Entry, path: &str, id: &str) -> String {
    let Some(answer) = get_text(entry, path, id).await else {
        return "reset".into();
    };
    let status = answer.lines().next().unwrap_or("closed").to_owned();
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    format!("{status} {body}")
}

/// Time after which a refused client may come back, milliseconds; `None` if the
/// response does not say.
pub async fn get_retry_after_ms(entry: &Entry, path: &str, id: &str) -> Option<u64> {
    let answer = get_text(entry, path, id).await?;
    let line = answer
        .lines()
        .find_map(|line| line.strip_prefix("x-retry-after: "))?;
    line.parse().ok()
}

/// Sends a request on a new connection; returns the whole response, or `None` when the
/// connection was reset.
pub async fn get_text(entry: &Entry, path: &str, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(entry.addr).await.expect("connected");
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: site.example\r\nx-id: {id}\r\nx-left: 5000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.ok().map(|_| answer)
}

/// How many requests each stub server has read.
pub fn received_counts(servers: &[&StubServer]) -> Vec<usize> {
    let counts = servers
        .iter()
        .map(|s| s.received.lock().expect("received").len());
    counts.collect()
}
