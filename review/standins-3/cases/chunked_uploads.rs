//! Some clients upload bodies in chunks at once, beside others that book. The platform ends
//! a process that uses more than its `memory_mb`.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::{await_service, route, service, upsert};
use crate::http;
use crate::record::Record;
use crate::server::{Handling, Server};
use crate::site::{MEMORY_MB, Site, ZONES};

/// Limits on clients, with the body size of the users' page.
const LIMITS: &str = r#""limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000,"version":"r5"}"#;

const SERVERS: usize = 8;

/// Clients that upload at once, about half of what `max_body_bytes` allows each.
const UPLOADERS: usize = 8;
const UPLOAD_BYTES: usize = 33_000_000;
const ROUNDS: usize = 8;

/// Length of a chunk, and the time until the next one: 100 Mbit/s for each client, so that
/// the machine's link of 1,000 Mbit/s has room.
const CHUNK_BYTES: usize = 16_000;
const CHUNK_TIME: Duration = Duration::from_micros(1_280);

/// Clients that book, each on a connection that it keeps.
const BOOKERS: usize = 10;

/// Requests that may be cut.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Option<String>> {
    let mut site = Site::start(record, 1)?;
    let routes = [
        route("r-upload", "/upload/", "unsafe", "bookings", 10_000, 5),
        route("r-confirm", "/confirm/", "unsafe", "bookings", 3_000, 5),
    ];
    let first = upsert(&[service("bookings")], Some(LIMITS), &routes);
    site.order(0, "/config/patch", &first)?;
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let (id, zone) = (format!("i-{at}"), ZONES[at % ZONES.len()].0);
        let (ip, handle) = (site.server_ip(at), |_| Handling::RunLong);
        let controls = site.controls();
        servers.push(Server::start(
            &id, "bookings", zone, ip, controls, record, handle,
        )?);
    }
    let front = site.front(0);
    await_service(record, front, "POST", "/confirm/warm")?;
    sleep(Duration::from_secs(2));
    let ended = Arc::new(AtomicBool::new(false));
    let bookers: Vec<_> = (0..BOOKERS)
        .map(|client| {
            let (record, ended) = (Arc::clone(record), Arc::clone(&ended));
            spawn(move || book(&record, front, client, &ended))
        })
        .collect();
    let mut peak_mb = 0;
    let mut is_over = false;
    for round in 0..ROUNDS {
        let uploaders: Vec<_> = (0..UPLOADERS)
            .map(|client| {
                let (record, id) = (Arc::clone(record), format!("upload-{round}-{client}"));
                spawn(move || upload(&record, front, &id, trouble))
            })
            .collect();
        while !is_over && uploaders.iter().any(|client| !client.is_finished()) {
            let used_mb = site.memory_mb(0);
            peak_mb = used_mb.max(peak_mb);
            is_over = used_mb > MEMORY_MB;
            if is_over {
                record.line(&format!(
                    "platform: the entry VM uses {used_mb} MB and is ended"
                ));
                site.end_entry(0);
            }
            sleep(Duration::from_millis(5));
        }
        for client in uploaders {
            let _ = client.join();
        }
        record.line(&format!("round {round}: at most {peak_mb} MB so far"));
        if is_over {
            break;
        }
    }
    ended.store(true, Ordering::SeqCst);
    let mut cut = Vec::new();
    for client in bookers {
        cut.extend(
            client
                .join()
                .map_err(|_| io::Error::other("a client failed"))?,
        );
    }
    let arrivals: Vec<_> = servers
        .iter()
        .flat_map(|server| server.arrivals())
        .collect();
    cut.retain(|id| arrivals.contains(id));
    for id in &cut {
        record.line(&format!(
            "{id} has run, and its kept connection ended without an answer"
        ));
    }
    Ok((cut.len() > ALLOWED).then(|| {
        let count = cut.len();
        format!("LOST: {count} bookings were cut; the entry VM used {peak_mb} MB of {MEMORY_MB}")
    }))
}

/// Books until the connection ends or `ended` is set; returns the id of a booking that got
/// no answer on a connection that had served one before.
fn book(record: &Record, front: SocketAddr, client: usize, ended: &AtomicBool) -> Vec<String> {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return Vec::new();
    };
    let Ok(reading) = stream.try_clone() else {
        return Vec::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = BufReader::new(reading);
    for n in 0.. {
        let id = format!("booking-{client}-{n}");
        let headers = [
            ("Host", super::HOST.to_owned()),
            ("Waxwingchute-Request-Id", id.clone()),
            ("Waxwingchute-Deadline-Ms", "3000".to_owned()),
        ];
        let start = "POST /confirm/7 HTTP/1.1";
        let sent = http::write(&mut stream, start, &headers, b"slot=7");
        let answer = sent
            .ok()
            .and_then(|()| http::read(&mut reader).ok().flatten());
        let status = answer.map(|response| response.status());
        record.line(&format!("client: POST /confirm/7 {id}: {status:?}"));
        if status.is_none() && n > 0 {
            return vec![id];
        }
        if status.is_none() || ended.load(Ordering::SeqCst) {
            return Vec::new();
        }
    }
    Vec::new()
}

/// Uploads a body, in chunks or with its length.
fn upload(record: &Record, front: SocketAddr, id: &str, chunked: bool) {
    let status = send_upload(front, id, chunked).map(|response| response.map(|r| r.status()));
    record.line(&format!("client: POST /upload/7 {id}: {status:?}"));
}

fn send_upload(front: SocketAddr, id: &str, chunked: bool) -> io::Result<Option<http::Message>> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let framing = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {UPLOAD_BYTES}")
    };
    let host = super::HOST;
    stream.write_all(
        format!(
            "POST /upload/7 HTTP/1.1\r\nHost: {host}\r\nWaxwingchute-Request-Id: {id}\r\n\
             Waxwingchute-Deadline-Ms: 10000\r\nConnection: close\r\n{framing}\r\n\r\n"
        )
        .as_bytes(),
    )?;
    let piece = vec![b'x'; CHUNK_BYTES];
    let mut next_at = Instant::now();
    let mut left = UPLOAD_BYTES;
    while left > 0 {
        let data = &piece[..left.min(CHUNK_BYTES)];
        if chunked {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend_from_slice(data);
            chunk.extend_from_slice(b"\r\n");
            stream.write_all(&chunk)?;
        } else {
            stream.write_all(data)?;
        }
        left -= data.len();
        next_at += CHUNK_TIME;
        sleep(next_at.saturating_duration_since(Instant::now()));
    }
    if chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    http::read(&mut BufReader::new(stream))
}
