//! A head without end must not fill the memory or the link of the entry VM.

use balancer::ConnectionTrustSettings;
use bytes::Bytes;
use entry::pool::{Peer, Pool};
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use world::ServerName;

/// Most bytes that may be taken: what is read of a head, and what the buffers of both
/// sockets hold.
const TAKEN_MAX: usize = 16 << 20;

/// Writes a text until the caller closes the connection; returns the number of bytes.
async fn write_endlessly(mut stream: TcpStream, text: &str) -> usize {
    let chunk = text.repeat(1_000);
    let mut taken = 0;
    while taken <= 2 * TAKEN_MAX && stream.write_all(chunk.as_bytes()).await.is_ok() {
        taken += chunk.len();
    }
    taken
}

#[rstest]
#[case::interim_responses("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::no_http("a")]
#[tokio::test]
async fn a_head_without_end_is_given_up(#[case] text: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer {
        name: ServerName::new("s1").unwrap(),
        addr: listener.local_addr().unwrap(),
    };
    let writing = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        write_endlessly(stream, text).await
    });
    let pool = Pool::new(ConnectionTrustSettings::default());
    let mut connection = pool.open(&peer, None).await.unwrap();
    let request = Request::new(Full::<Bytes>::default());
    assert!(connection.send(request).await.is_err());
    drop(connection);
    let taken = writing.await.unwrap();
    assert!(taken < TAKEN_MAX, "{taken} bytes were taken");
}
