//! A minimal HTTP/1.1 codec for the stand-ins: one request at a time per connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head of a request or a response.
#[derive(Clone)]
pub struct Head {
    /// The path of a request; empty for a response.
    pub path: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// By lower-case name.
    pub fields: HashMap<String, String>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// A field as a number; 0 if it is absent or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.field(name).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Whether the field `Handling` contains this token.
    pub fn has_handling(&self, token: &str) -> bool {
        self.field("handling").is_some_and(|h| h.split('+').any(|t| t == token))
    }
}

const MAX_HEAD_BYTES: u64 = 16 * 1024;
const MAX_BODY_BYTES: u64 = 1 << 20;

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// Reads a message: its head and its body. `None` if the peer has closed the connection between two messages.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(Head, Vec<u8>)>> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let length = text.len();
        let remaining = MAX_HEAD_BYTES - length as u64;
        if reader.by_ref().take(remaining).read_until(b'\n', &mut text)? == 0 {
            return if text.is_empty() {
                Ok(None)
            } else {
                Err(invalid_data("the head is incomplete or too long"))
            };
        }
    }
    let mut fields = [httparse::EMPTY_HEADER; 48];
    let (path, status, fields) = if text.starts_with(b"HTTP/") {
        let mut response = httparse::Response::new(&mut fields);
        response.parse(&text).map_err(|_| invalid_data("the head of the response can't be parsed"))?;
        (String::new(), response.code.unwrap_or(0), response.headers)
    } else {
        let mut request = httparse::Request::new(&mut fields);
        request.parse(&text).map_err(|_| invalid_data("the head of the request can't be parsed"))?;
        (request.path.unwrap_or("").to_owned(), 0, request.headers)
    };
    let field = |f: &httparse::Header<'_>| {
        (f.name.to_ascii_lowercase(), String::from_utf8_lossy(f.value).trim().to_owned())
    };
    let head = Head { path, status, fields: fields.iter().map(field).collect() };
    let length = head.number("content-length");
    if length > MAX_BODY_BYTES {
        return Err(invalid_data("the body is too long"));
    }
    let mut body = vec![0; length as usize];
    reader.read_exact(&mut body)?;
    Ok(Some((head, body)))
}

/// Writes a request or a response with a single write. Fields with an empty value are left out.
pub fn write(
    mut stream: &TcpStream,
    start_line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{start_line}\r\n");
    for (name, value) in fields.iter().filter(|f| !f.1.is_empty()) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(&[text.as_bytes(), body].concat())
}
