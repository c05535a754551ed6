//! The path of requests from the client through an entry VM to a backend server, as
//! separate processes: responses of each service, refusals, and malformed requests.

use std::collections::BTreeMap;
use std::time::Duration;

use testbed::site::{Client, ClientRequest, Site, SitePlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use waxwingctl::load::{Profile, Stream, run};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

async fn site() -> Site {
    Site::start(SitePlan::small().unwrap()).await.unwrap()
}

/// Sends raw bytes to an entry VM, reads until it closes the connection, and returns the
/// first line of the response.
async fn first_line_of_response(site: &Site, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(site.entries[0].front_addr)
        .await
        .unwrap();
    // The entry VM may respond and close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response_bytes = Vec::new();
    let _ = timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response_bytes))
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&response_bytes);
    text.lines().next().unwrap_or("closed").to_owned()
}

#[tokio::test]
async fn each_service_returns_complete_responses() {
    let site = site().await;
    for (path, bytes) in [
        ("/terminy/slots?day=1", 0),
        ("/podklady/manual", 256 * 1024),
    ] {
        let service = path.split('/').nth(1).unwrap();
        for api in site.api_addrs() {
            let client = Client::new(api, service).await.unwrap();
            assert_eq!(client.entries().len(), site.entries.len());
            let response = client.send(&ClientRequest::new(path)).await.unwrap();
            assert_eq!(response.status, 200, "{response:?}");
            if bytes > 0 {
                assert_eq!(response.body.len(), bytes);
            } else {
                let rest = path.strip_prefix("/terminy").unwrap();
                assert_eq!(response.json()["path"], rest);
            }
        }
    }
    let client = Client::new(site.api_addrs()[0], "objednavky")
        .await
        .unwrap();
    let request = ClientRequest::new("/objednavky/book")
        .with_operation("b-1")
        .with_body("tomorrow");
    let response = client.send(&request).await.unwrap();
    assert_eq!(response.json()["body_bytes"], 8, "{response:?}");
}

#[tokio::test]
async fn refusals_of_an_entry_vm() {
    let site = site().await;
    let client = Client::new(site.api_addrs()[0], "terminy").await.unwrap();
    let requests = [
        (
            "wrong key",
            ClientRequest::new("/terminy/").with_key("stolen"),
        ),
        ("no key", ClientRequest::new("/terminy/").with_key("")),
        ("no such service", ClientRequest::new("/garage/")),
        ("no service", ClientRequest::new("/")),
        (
            "huge body",
            ClientRequest::new("/terminy/").with_body(vec![0; 2 * 1024 * 1024]),
        ),
        (
            "deadline passed",
            ClientRequest::new("/terminy/?rig-ms=3000").with_deadline(Duration::from_millis(300)),
        ),
    ];
    let mut summaries = BTreeMap::new();
    for (name, request) in requests {
        let with_long_deadline = ClientRequest {
            deadline: RESPONSE_TIMEOUT,
            ..request.clone()
        };
        // With a short deadline the client itself must wait for longer than the
        // deadline header states, to receive the refusal.
        let response = if request.deadline < Duration::from_secs(1) {
            short_deadline(&site, &request).await
        } else {
            client
                .send(&with_long_deadline)
                .await
                .map(|response| response.summary())
        };
        summaries.insert(name, response.unwrap_or_else(|e| e.to_string()));
    }
    insta::assert_yaml_snapshot!(summaries);
}

/// Sends the request with a deadline of 300 ms and waits longer for the response.
async fn short_deadline(
    site: &Site,
    request: &ClientRequest,
) -> Result<String, waxwingctl::http::Failure> {
    let request = hyper::Request::get(&request.path)
        .header("x-waxwing-key", &request.customer_key)
        .header("x-waxwing-deadline-ms", "300")
        .body(http_body_util::Full::default())
        .unwrap();
    let front = site.entries[0].front_addr;
    let response = waxwingctl::http::send(front, request, RESPONSE_TIMEOUT).await?;
    let text = |name: &str| response.headers()[name].to_str().unwrap().to_owned();
    let (error, ran) = (text("x-waxwing-error"), text("x-waxwing-ran"));
    Ok(format!("{} {error} {ran}", response.status().as_u16()))
}

/// Malformed, oversized and stalled requests are refused or closed, and must not affect
/// the requests of other clients.
#[tokio::test]
async fn bad_input_is_refused_while_others_are_served() {
    let site = site().await;
    let stream = Stream::new("terminy".parse().unwrap(), 50.0, testbed::site::keys());
    let profile = Profile::new(site.api_addrs(), 7.0, 3).with_streams(vec![stream]);
    let huge = format!(
        "GET /terminy/ HTTP/1.1\r\nx-big: {}\r\n\r\n",
        "a".repeat(100_000)
    );
    let slow_body = "POST /terminy/ HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nab";
    let (report, malformed, huge, slow_head, slow_body) = tokio::join!(
        run(&profile),
        first_line_of_response(&site, b"\x16\x03\x01 this is no HTTP\r\n\r\n"),
        first_line_of_response(&site, huge.as_bytes()),
        first_line_of_response(&site, b"GET /terminy/ HTTP/1.1\r\nhost: a\r\n"),
        first_line_of_response(&site, slow_body.as_bytes()),
    );
    insta::assert_yaml_snapshot!(BTreeMap::from([
        ("malformed", malformed),
        ("huge head", huge),
        ("slow head", slow_head),
        ("slow body", slow_body),
    ]));
    assert_eq!(report.rows[0].failed(), 0, "{}", report.to_table());
}
