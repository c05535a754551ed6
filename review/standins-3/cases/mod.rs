//! The cases.

pub mod chunked_uploads;
pub mod false_promise;
pub mod host_letters;
pub mod invalid_call;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// Host of all routes.
const HOST: &str = "booking.example";

/// `config_apply_ms` of the deployment, and a margin.
const APPLIED: Duration = Duration::from_millis(3_000);

/// Limits on clients as an item of the configuration.
const LIMITS: &str = r#""limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000,"version":"r5"}"#;

/// A service as an item of the configuration.
fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"warmup_s":3.0,"cold_per_s":17.0,"version":"r5"}}"#
    )
}

/// A route as an item of the configuration.
fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    version: u64,
) -> String {
    format!(
        r#"{{"name":"{name}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":400,"priority":1,"service":"{service}","attempts":2,"sticky":false,"allowed_regions":[],"version":"r{version}"}}"#
    )
}

/// Call that sets items.
fn upsert(services: &[String], limits: Option<&str>, routes: &[String]) -> String {
    upsert_at(HOST, services, limits, routes)
}

/// Call that sets items, with routes of another host.
fn upsert_at(host: &str, services: &[String], limits: Option<&str>, routes: &[String]) -> String {
    let limits = limits.map_or(String::new(), |limits| format!("{limits},"));
    format!(
        r#"{{"upsert":{{"services":[{}],{limits}"hosts":[{{"host":"{host}","paths":[{}]}}]}},"remove":{{"routes":[]}}}}"#,
        services.join(","),
        routes.join(",")
    )
}

/// Sends a client's request; `None` when the connection ends without a response.
fn request(
    record: &Arc<Record>,
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
) -> Option<Message> {
    request_at(HOST, record, front, method, path, id)
}

/// Sends a client's request to another host.
fn request_at(
    host: &str,
    record: &Arc<Record>,
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
) -> Option<Message> {
    let headers = [
        ("Host", host.to_owned()),
        ("Waxwingchute-Request-Id", id.to_owned()),
        ("Waxwingchute-Deadline-Ms", "2000".to_owned()),
    ];
    let body: &[u8] = if method == "POST" { b"slot=7" } else { b"" };
    let wait = Duration::from_millis(2_500);
    let response = http::call(front, &format!("{method} {path}"), &headers, body, wait).ok();
    let status = response
        .as_ref()
        .map_or("no response".to_owned(), |r| r.status().to_string());
    record.line(&format!(
        "client: {method} {host}{path} {id} to {front}: {status}"
    ));
    response
}

/// Waits until an entry VM serves a path.
fn await_service(
    record: &Arc<Record>,
    front: SocketAddr,
    method: &str,
    path: &str,
) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    for at in 0.. {
        let id = format!("probe-{at}-{}", front.port());
        if request(record, front, method, path, &id).is_some_and(|r| r.status() == 200) {
            return Ok(());
        }
        if Instant::now() > until {
            break;
        }
        sleep(Duration::from_millis(200));
    }
    Err(io::Error::other(format!("{path} is not served")))
}
