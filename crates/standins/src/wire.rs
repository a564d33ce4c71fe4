//! HTTP/1.1 between stand-ins: one request at a time on a connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[derive(Clone)]
pub struct Head {
    /// The path of a request; empty for an answer.
    pub path: String,
    /// The status of an answer.
    pub status: u16,
    /// By their names in lower case.
    pub fields: HashMap<String, String>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.field(name).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Whether a word stands in `Handling`.
    pub fn handling(&self, word: &str) -> bool {
        self.field("handling").is_some_and(|h| h.split('+').any(|w| w == word))
    }
}

const MOST_HEAD: u64 = 16 * 1024;
const MOST_BODY: u64 = 1 << 20;

fn bad(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// A head and its body; none where the other side has ended the connection between two.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(Head, Vec<u8>)>> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let before = text.len();
        let left = MOST_HEAD - before as u64;
        if reader.by_ref().take(left).read_until(b'\n', &mut text)? == 0 {
            return if text.is_empty() { Ok(None) } else { Err(bad("a head that ends too soon")) };
        }
    }
    let mut fields = [httparse::EMPTY_HEADER; 48];
    let (path, status, fields) = if text.starts_with(b"HTTP/") {
        let mut answer = httparse::Response::new(&mut fields);
        answer.parse(&text).map_err(|_| bad("an answer's head"))?;
        (String::new(), answer.code.unwrap_or(0), answer.headers)
    } else {
        let mut request = httparse::Request::new(&mut fields);
        request.parse(&text).map_err(|_| bad("a request's head"))?;
        (request.path.unwrap_or("").to_owned(), 0, request.headers)
    };
    let field = |f: &httparse::Header<'_>| {
        (f.name.to_ascii_lowercase(), String::from_utf8_lossy(f.value).trim().to_owned())
    };
    let head = Head { path, status, fields: fields.iter().map(field).collect() };
    let length = head.number("content-length");
    if length > MOST_BODY {
        return Err(bad("a body too long"));
    }
    let mut body = vec![0; length as usize];
    reader.read_exact(&mut body)?;
    Ok(Some((head, body)))
}

/// A request or answer, in one piece.
pub fn write(mut to: &TcpStream, first: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in fields.iter().filter(|f| !f.1.is_empty()) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    to.write_all(&[text.as_bytes(), body].concat())
}
