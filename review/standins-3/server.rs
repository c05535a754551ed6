//! A stand-in server: announces itself to the control VMs and runs requests.

use std::io::{self, BufReader};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime};

use crate::http::{self, Message};
use crate::record::Record;
use crate::site::{HEARTBEAT, PATIENCE, json};

/// Requests that a server runs at once.
const SLOTS: usize = 4;

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(50);

/// Time for which a request runs that takes long.
const LONG_WORK: Duration = Duration::from_secs(1);

/// What a server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// Runs it and answers 200.
    Run,
    /// Runs it for a second and answers 200.
    RunLong,
    /// Begins to run it and fails with a 503 of its own.
    FailWith503,
}

pub struct Server {
    id: String,
    service: &'static str,
    zone: &'static str,
    addr: SocketAddr,
    controls: Vec<SocketAddr>,
    born_ms: u128,
    running: AtomicUsize,
    /// Ids of the requests that reached the server so far.
    arrivals: Mutex<Vec<String>>,
    record: Arc<Record>,
    handle: Box<dyn Fn(usize) -> Handling + Send + Sync>,
}

impl Server {
    /// Starts a server. `handle` gets the number of the request, from 0 on.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        ip: IpAddr,
        controls: Vec<SocketAddr>,
        record: &Arc<Record>,
        handle: impl Fn(usize) -> Handling + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0))?;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            addr: listener.local_addr()?,
            controls,
            born_ms: now.expect("a time after 1970").as_millis(),
            running: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
            handle: Box::new(handle),
        });
        record.line(&format!(
            "server {id} of {service} starts at {}",
            server.addr
        ));
        let listening = Arc::clone(&server);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&listening);
                spawn(move || server.serve(stream));
            }
        });
        let announcing = Arc::clone(&server);
        spawn(move || announcing.announce());
        Ok(server)
    }

    /// Ids of the requests that reached the server so far.
    pub fn arrivals(&self) -> Vec<String> {
        self.arrivals.lock().expect("the arrivals").clone()
    }

    fn announce(&self) {
        let (id, service, zone) = (&self.id, self.service, self.zone);
        let mut at = 0;
        for sequence in 1_u64.. {
            let body = format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"{service}","version":"v1","zone":"{zone}","capacity":{SLOTS}}},"status":{{"state":"ready","sequence":{sequence},"cold_remaining_ms":0}}}}"#,
                self.addr, self.born_ms
            );
            let path = format!("POST /instances/{id}/heartbeat");
            for _ in 0..self.controls.len() {
                let control = self.controls[at % self.controls.len()];
                let sent = http::call(control, &path, &json(), body.as_bytes(), PATIENCE);
                if sent.is_ok_and(|response| response.status() / 100 == 2) {
                    break;
                }
                at += 1;
            }
            sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.respond(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn respond(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        if request.word(1) == "/health" {
            let headers = [("Waxwingchute-Instance-Id", self.id.clone())];
            return http::write(writer, "HTTP/1.1 200 OK", &headers, b"");
        }
        let id = request
            .header("waxwingchute-request-id")
            .unwrap_or("")
            .to_owned();
        let mut headers = vec![("Waxwingchute-Request-Id", id.clone())];
        if request
            .header("waxwingchute-expect-instance")
            .is_some_and(|other| other != self.id)
        {
            headers.push(("Waxwingchute-Not-Executed", "1".to_owned()));
            return http::write(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let handling = {
            let mut arrivals = self.arrivals.lock().expect("the arrivals");
            let handling = (self.handle)(arrivals.len());
            arrivals.push(id.clone());
            handling
        };
        let line = format!("server {}: {} {id}: {handling:?}", self.id, request.start);
        self.record.line(&line);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        sleep(match handling {
            Handling::RunLong => LONG_WORK,
            _ => WORK,
        });
        self.running.fetch_sub(1, Ordering::SeqCst);
        headers.push(("Waxwingchute-Server-Load", format!("{running},0,{SLOTS}")));
        headers.push(("Waxwingchute-Response-Seal", format!("seal-of-{id}")));
        let start = match handling {
            Handling::FailWith503 => "HTTP/1.1 503 Service Unavailable",
            _ => "HTTP/1.1 200 OK",
        };
        http::write(writer, start, &headers, id.as_bytes())
    }
}
