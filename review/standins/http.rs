//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const CHUNK_BYTES: usize = 128 * 1024;

/// Head of a request or a response, with lower-case header names.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        let value = self.get("connection").unwrap_or("");
        value.to_ascii_lowercase().contains("close")
    }
}

/// Reads a head; `None` when the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(Head {
                first_line,
                headers,
            }));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or comes in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + length, 0);
            reader.read_exact(&mut body[start..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A client's connection, which may carry several requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    /// Rate at which bodies are sent; as fast as possible if 0.
    pub bytes_per_s: usize,
}

impl Connection {
    pub fn open(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
            bytes_per_s: 0,
        })
    }

    /// Sends a request and reads its response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<(Head, Vec<u8>)> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let stream = self.reader.get_mut();
        stream.write_all(head.as_bytes())?;
        let start = Instant::now();
        let mut sent = 0;
        for chunk in body.chunks(CHUNK_BYTES) {
            stream.write_all(chunk)?;
            sent += chunk.len();
            if let Some(due_ms) = (sent * 1_000).checked_div(self.bytes_per_s) {
                let due = Duration::from_millis(due_ms as u64);
                thread::sleep(due.saturating_sub(start.elapsed()));
            }
        }
        let Some(head) = read_head(&mut self.reader)? else {
            return Err(ErrorKind::UnexpectedEof.into());
        };
        let body = read_body(&mut self.reader, &head)?;
        Ok((head, body))
    }
}

/// One call on a connection of its own, as operators and backend servers make them.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<(u16, Vec<u8>)> {
    let mut connection = Connection::open(addr, timeout)?;
    let headers = [
        ("Host", addr.to_string()),
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let (head, body) = connection.call(method, path, &headers, body)?;
    Ok((head.status(), body))
}
