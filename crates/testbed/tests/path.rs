//! The whole path through separate processes, and what it refuses.

use std::collections::BTreeMap;
use std::time::Duration;

use testbed::site::{Call, Client, Plan, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use waxwingctl::load::{Profile, Stream, run};

const WAIT: Duration = Duration::from_secs(20);

async fn site() -> Site {
    Site::start(Plan::small().unwrap()).await.unwrap()
}

/// Sends raw bytes and reads until the other side closes.
async fn raw(site: &Site, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(site.entries[0].front_addr)
        .await
        .unwrap();
    // The other side may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = timeout(WAIT, stream.read_to_end(&mut answer))
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&answer);
    text.lines().next().unwrap_or("closed").to_owned()
}

#[tokio::test]
async fn each_service_answers_whole() {
    let site = site().await;
    for (path, bytes) in [
        ("/terminy/slots?day=1", 0),
        ("/podklady/manual", 256 * 1024),
    ] {
        let service = path.split('/').nth(1).unwrap();
        for desk in site.desks() {
            let client = Client::new(desk, service).await.unwrap();
            assert_eq!(client.entries().len(), site.entries.len());
            let reply = client.call(&Call::new(path)).await.unwrap();
            assert_eq!(reply.status, 200, "{reply:?}");
            if bytes > 0 {
                assert_eq!(reply.body.len(), bytes);
            } else {
                let rest = path.strip_prefix("/terminy").unwrap();
                assert_eq!(reply.json()["path"], rest);
            }
        }
    }
    let client = Client::new(site.desks()[0], "objednavky").await.unwrap();
    let call = Call::new("/objednavky/book")
        .with_operation("b-1")
        .with_body("tomorrow");
    let reply = client.call(&call).await.unwrap();
    assert_eq!(reply.json()["body_bytes"], 8, "{reply:?}");
}

#[tokio::test]
async fn refusals_of_the_front() {
    let site = site().await;
    let client = Client::new(site.desks()[0], "terminy").await.unwrap();
    let calls = [
        ("wrong key", Call::new("/terminy/").with_key("stolen")),
        ("no key", Call::new("/terminy/").with_key("")),
        ("no such service", Call::new("/garage/")),
        ("no service", Call::new("/")),
        (
            "huge body",
            Call::new("/terminy/").with_body(vec![0; 2 * 1024 * 1024]),
        ),
        (
            "deadline passed",
            Call::new("/terminy/?rig-ms=3000").with_deadline(Duration::from_millis(300)),
        ),
    ];
    let mut shown = BTreeMap::new();
    for (name, call) in calls {
        let patient = Call {
            deadline: WAIT,
            ..call.clone()
        };
        // The caller itself waits a little longer than its deadline says.
        let reply = if call.deadline < Duration::from_secs(1) {
            short_deadline(&site, &call).await
        } else {
            client.call(&patient).await.map(|reply| reply.summary())
        };
        shown.insert(name, reply.unwrap_or_else(|e| e.to_string()));
    }
    insta::assert_yaml_snapshot!(shown);
}

async fn short_deadline(site: &Site, call: &Call) -> Result<String, waxwingctl::http::Failure> {
    let request = hyper::Request::get(&call.path)
        .header("x-waxwing-key", &call.key)
        .header("x-waxwing-deadline-ms", "300")
        .body(http_body_util::Full::default())
        .unwrap();
    let front = site.entries[0].front_addr;
    let response = waxwingctl::http::send(front, request, WAIT).await?;
    let text = |name: &str| response.headers()[name].to_str().unwrap().to_owned();
    let (error, ran) = (text("x-waxwing-error"), text("x-waxwing-ran"));
    Ok(format!("{} {error} {ran}", response.status().as_u16()))
}

#[tokio::test]
async fn bad_input_is_refused_while_others_are_served() {
    let site = site().await;
    let stream = Stream::new("terminy".parse().unwrap(), 50.0, testbed::site::keys());
    let profile = Profile::new(site.desks(), 7.0, 3).with_streams(vec![stream]);
    let huge = format!(
        "GET /terminy/ HTTP/1.1\r\nx-big: {}\r\n\r\n",
        "a".repeat(100_000)
    );
    let slow_body = "POST /terminy/ HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nab";
    let (report, malformed, huge, slow_head, slow_body) = tokio::join!(
        run(&profile),
        raw(&site, b"\x16\x03\x01 this is no HTTP\r\n\r\n"),
        raw(&site, huge.as_bytes()),
        raw(&site, b"GET /terminy/ HTTP/1.1\r\nhost: a\r\n"),
        raw(&site, slow_body.as_bytes()),
    );
    insta::assert_yaml_snapshot!(BTreeMap::from([
        ("malformed", malformed),
        ("huge head", huge),
        ("slow head", slow_head),
        ("slow body", slow_body),
    ]));
    assert_eq!(report.rows[0].lost(), 0, "{}", report.to_table());
}
