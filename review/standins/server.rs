//! A backend server: announces itself, runs requests, and answers with its seal.

use std::io::{BufReader, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::platform::ZONES;
use crate::record::Record;

/// Requests that run at once; as many more may wait.
const SLOTS: usize = 32;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Server {
    id: String,
    service: String,
    zone: usize,
    addr: SocketAddr,
    born_ms: u128,
    work: Duration,
    running: AtomicUsize,
    /// Ids of the requests that it has begun to run.
    pub ran: Mutex<Vec<String>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        (id, service, zone): (&str, &str, usize),
        ip: Ipv4Addr,
        work: Duration,
        controls: Vec<SocketAddr>,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            addr: listener.local_addr()?,
            born_ms: born.map_or(0, |time| time.as_millis()),
            work,
            running: AtomicUsize::new(0),
            ran: Mutex::new(Vec::new()),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(&stream));
            }
        });
        let announcing = Arc::clone(&server);
        thread::spawn(move || announcing.announce(&controls));
        Ok(server)
    }

    fn announce(&self, controls: &[SocketAddr]) {
        let mut next = self.zone;
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\
                 \"version\":\"v1\",\"zone\":\"{}\",\"capacity\":{SLOTS}}},\
                 \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
                 \"cold_remaining_ms\":0}}}}",
                self.addr, self.born_ms, self.service, ZONES[self.zone].0
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            for _ in 0..controls.len() {
                let addr = controls[next % controls.len()];
                let sent = http::call(addr, "POST", &path, body.as_bytes(), Duration::from_secs(1));
                if sent.is_ok_and(|(status, _)| status == 200) {
                    break;
                }
                next += 1;
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let id = head.get("waxwingchute-request-id").unwrap_or("").to_owned();
            let expected = head.get("waxwingchute-expect-instance");
            let (status, text, seal) = if expected.is_some_and(|name| name != self.id) {
                ("421 Misdirected Request", String::new(), "")
            } else if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
                self.running.fetch_sub(1, Ordering::Relaxed);
                (
                    "503 Service Unavailable",
                    String::new(),
                    "Waxwingchute-Not-Executed: 1\r\n",
                )
            } else {
                self.ran.lock().unwrap().push(id.clone());
                self.record.line(&format!("server {}: runs {id}", self.id));
                thread::sleep(self.work);
                self.running.fetch_sub(1, Ordering::Relaxed);
                let text = format!("{id} with {} bytes\n", body.len());
                ("200 OK", text, "Waxwingchute-Response-Seal: 3e1b.07\r\n")
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nWaxwingchute-Request-Id: {id}\r\n{seal}\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            let mut stream = stream;
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}
