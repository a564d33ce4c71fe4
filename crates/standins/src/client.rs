//! A web server's side of one FastCGI connection, one request at a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::unix_ms;

pub struct Client(TcpStream);

fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [high, low] = (content.len() as u16).to_be_bytes();
    [&[1, kind, 0, 1, high, low, 0, 0], content].concat()
}

/// An access as a web server words it.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
    pub class: &'a str,
    pub key: &'a str,
    pub bucket: u8,
    pub wait_ms: u64,
    pub body: &'a [u8],
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Client(stream))
    }

    pub fn send(&mut self, params: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut pairs = Vec::new();
        for (name, value) in params {
            pairs.extend([name.len() as u8, value.len() as u8]);
            pairs.extend_from_slice(name.as_bytes());
            pairs.extend_from_slice(value.as_bytes());
        }
        let mut bytes = record(1, &[0, 1, 1, 0, 0, 0, 0, 0]);
        bytes.extend([record(4, &pairs), record(4, &[])].concat());
        for piece in body.chunks(0xffff) {
            bytes.extend(record(5, piece));
        }
        bytes.extend(record(5, &[]));
        self.0.write_all(&bytes)
    }

    /// The connection itself.
    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// The answer's head and body.
    pub fn receive(&mut self) -> io::Result<(String, Vec<u8>)> {
        let mut out = Vec::new();
        loop {
            let mut header = [0; 8];
            self.0.read_exact(&mut header)?;
            let mut content = vec![0; usize::from(u16::from_be_bytes([header[4], header[5]]))];
            self.0.read_exact(&mut content)?;
            self.0.read_exact(&mut vec![0; usize::from(header[6])])?;
            match header[1] {
                6 => out.extend(content),
                3 => break,
                _ => {}
            }
        }
        let end = out.windows(4).position(|w| w == b"\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
        Ok((String::from_utf8_lossy(&out[..end]).into_owned(), out[end + 4..].to_vec()))
    }

    /// Whether anything has come that nobody asked for: a second answer, say. Nothing is waited for.
    pub fn spoke_unasked(&mut self) -> bool {
        let _ = self.0.set_nonblocking(true);
        let came = matches!(self.0.peek(&mut [0; 1]), Ok(count) if count > 0);
        let _ = self.0.set_nonblocking(false);
        came
    }

    /// One access, from a request to its answer.
    pub fn ask(&mut self, class: &str, key: &str, wait_ms: u64) -> io::Result<(String, Vec<u8>)> {
        self.send_access(&Asked { class, key, bucket: 17, wait_ms, body: b"" })?;
        self.receive()
    }

    /// The request's id.
    pub fn send_access(&mut self, asked: &Asked<'_>) -> io::Result<String> {
        self.send_sized(asked, 0.0)
    }

    /// With the size of the object, in KB.
    pub fn send_sized(&mut self, asked: &Asked<'_>, kb: f64) -> io::Result<String> {
        static CALLS: AtomicUsize = AtomicUsize::new(1);
        let call = format!("{:016x}", unix_ms() << 16 | CALLS.fetch_add(1, Ordering::SeqCst) as u64 & 0xffff);
        let Asked { class, key, bucket, wait_ms, body } = asked;
        let (path, wait, bucket) = (format!("/do/{class}"), wait_ms.to_string(), bucket.to_string());
        let kb = format!("{kb:.1}");
        let params = [
            ("REQUEST_METHOD", "GET"),
            ("SCRIPT_NAME", path.as_str()),
            ("HTTP_REQ_ID", &call),
            ("HTTP_REQ_WAIT_MS", &wait),
            ("HTTP_REQ_KEY", key),
            ("HTTP_X_SEG", "0"),
            ("HTTP_X_BUCKET", &bucket),
            ("HTTP_REQ_KB", &kb),
        ];
        self.send(&params, body)?;
        Ok(call)
    }

    /// Whether the front says that it is ready.
    pub fn check(&mut self) -> io::Result<bool> {
        self.send(&[("SCRIPT_NAME", "/check")], b"")?;
        Ok(self.receive()?.0.starts_with("Status: 200"))
    }
}
