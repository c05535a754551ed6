//! HTTP/1.1 over plain sockets, as much of it as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response that was received whole.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the start line, by position.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or("")
    }

    /// Status of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message; `None` when the connection ends before its first byte.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let broken = |text: &str| io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned());
    let mut start = String::new();
    if stream.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(broken("a head that breaks off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a bad header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        start: start.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let chunked = message.header("transfer-encoding").is_some();
    if chunked {
        loop {
            let mut size = String::new();
            stream.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken("a bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| broken("a bad length"))?;
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{start}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request over a new connection and waits for its response.
pub fn call(
    addr: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, wait.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_nodelay(true)?;
    let mut all = vec![("Connection", "close".to_owned())];
    all.extend(headers.iter().cloned());
    write(&mut stream, &format!("{start} HTTP/1.1"), &all, body)?;
    let response = read(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "no response"))
}
