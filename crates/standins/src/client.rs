//! A web server as the client of a front: one FastCGI connection that carries one request at a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::unix_ms;

// FastCGI record types.
const BEGIN_REQUEST: u8 = 1;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

/// A FastCGI connection to a front.
pub struct Client(TcpStream);

/// A FastCGI record of request 1.
fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [high, low] = (content.len() as u16).to_be_bytes();
    [&[1, kind, 0, 1, high, low, 0, 0], content].concat()
}

/// The bytes of a request with these FastCGI parameters.
pub fn request_bytes(params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut pairs = Vec::new();
    for (name, value) in params {
        pairs.extend([name.len() as u8, value.len() as u8]);
        pairs.extend_from_slice(name.as_bytes());
        pairs.extend_from_slice(value.as_bytes());
    }
    let mut bytes = record(BEGIN_REQUEST, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes.extend([record(PARAMS, &pairs), record(PARAMS, &[])].concat());
    for piece in body.chunks(0xffff) {
        bytes.extend(record(STDIN, piece));
    }
    bytes.extend(record(STDIN, &[]));
    bytes
}

/// An access to an object, as a web server requests it.
#[derive(Clone, Debug)]
pub struct AccessRequest<'a> {
    pub class: &'a str,
    pub key: &'a str,
    pub bucket: u8,
    /// How long the client waits for the response.
    pub timeout_ms: u64,
    pub body: &'a [u8],
}

impl Client {
    pub fn connect(front: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Client(stream))
    }

    /// Sends a request with these FastCGI parameters.
    pub fn send(&mut self, params: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.0.write_all(&request_bytes(params, body))
    }

    /// The connection, for tests that send or read raw bytes.
    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// Reads the response: its head and its body.
    pub fn receive(&mut self) -> io::Result<(String, Vec<u8>)> {
        let mut out = Vec::new();
        loop {
            let mut header = [0; 8];
            self.0.read_exact(&mut header)?;
            let mut content = vec![0; usize::from(u16::from_be_bytes([header[4], header[5]]))];
            self.0.read_exact(&mut content)?;
            self.0.read_exact(&mut vec![0; usize::from(header[6])])?;
            match header[1] {
                STDOUT => out.extend(content),
                END_REQUEST => break,
                _ => {}
            }
        }
        let end = out.windows(4).position(|w| w == b"\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
        Ok((String::from_utf8_lossy(&out[..end]).into_owned(), out[end + 4..].to_vec()))
    }

    /// Whether unread bytes have arrived, such as a second response to one request. Doesn't block.
    pub fn has_unread_bytes(&mut self) -> bool {
        let _ = self.0.set_nonblocking(true);
        let arrived = matches!(self.0.peek(&mut [0; 1]), Ok(count) if count > 0);
        let _ = self.0.set_nonblocking(false);
        arrived
    }

    /// Sends an access and reads the response.
    pub fn request(&mut self, class: &str, key: &str, timeout_ms: u64) -> io::Result<(String, Vec<u8>)> {
        self.send_access(&AccessRequest { class, key, bucket: 17, timeout_ms, body: b"" })?;
        self.receive()
    }

    /// Sends an access, and returns its request id.
    pub fn send_access(&mut self, access: &AccessRequest<'_>) -> io::Result<String> {
        self.send_access_with_size(access, 0.0)
    }

    /// As [`Client::send_access`], with the size of the object.
    pub fn send_access_with_size(&mut self, access: &AccessRequest<'_>, kb: f64) -> io::Result<String> {
        static REQUESTS: AtomicUsize = AtomicUsize::new(1);
        let id =
            format!("{:016x}", unix_ms() << 16 | REQUESTS.fetch_add(1, Ordering::SeqCst) as u64 & 0xffff);
        let AccessRequest { class, key, bucket, timeout_ms, body } = access;
        let (path, timeout, bucket) = (format!("/do/{class}"), timeout_ms.to_string(), bucket.to_string());
        let kb = format!("{kb:.1}");
        let params = [
            ("REQUEST_METHOD", "GET"),
            ("SCRIPT_NAME", path.as_str()),
            ("HTTP_REQ_ID", &id),
            ("HTTP_REQ_WAIT_MS", &timeout),
            ("HTTP_REQ_KEY", key),
            ("HTTP_X_SEG", "0"),
            ("HTTP_X_BUCKET", &bucket),
            ("HTTP_REQ_KB", &kb),
        ];
        self.send(&params, body)?;
        Ok(id)
    }

    /// Whether the front's health check reports it ready.
    pub fn is_ready(&mut self) -> io::Result<bool> {
        self.send(&[("SCRIPT_NAME", "/check")], b"")?;
        Ok(self.receive()?.0.starts_with("Status: 200"))
    }
}
