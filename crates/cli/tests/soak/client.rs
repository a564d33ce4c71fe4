//! Clients that use their connections until they are closed, each with one usage pattern, and record the outcome of each
//! request.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;

/// By the acceptance rules, a client resends a request, once, if it sent it at most this long before it saw its idle
/// connection closed.
const CLOSE_RACE: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_micros(500);
/// Number of objects that are requested.
pub const KEYS: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Response {
        at: Instant,
        status: u16,
        /// The body is the object's.
        correct: bool,
    },
    /// The front closed its connection; `idle` if no request sent before the last moments was open on it.
    Closed { at: Instant, idle: bool },
    /// The client closed the connection or aborted the request.
    Left(Instant),
    /// Open when the front was killed.
    Open,
}

/// A request that was written completely.
#[derive(Clone, Debug)]
pub struct Request {
    pub request_id: String,
    pub class: &'static str,
    pub key: String,
    pub written: Instant,
    pub timeout: Duration,
    /// It was among the first requests on its connection.
    pub first_on_connection: bool,
    pub end: End,
    /// A second response arrived.
    pub second_response: bool,
}

/// A client's usage pattern of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Steady,
    /// Sends many requests at once.
    Pipelines,
    /// Is idle for long between requests.
    Idle,
    /// Closes, or aborts its requests, before the response.
    Leaves,
    /// Writes its requests in pieces.
    WritesSlowly,
    /// Reads only occasionally, so that its requests race with the close of its connection.
    ReadsLate,
}

const MANNERS: [Manner; 6] = [
    Manner::Steady,
    Manner::Pipelines,
    Manner::Idle,
    Manner::Leaves,
    Manner::WritesSlowly,
    Manner::ReadsLate,
];
/// Maximum pause between reads of `Manner::ReadsLate`.
const MAX_READ_PAUSE_MS: u64 = 30;

pub struct Client<'a> {
    pub front: SocketAddr,
    pub rng: Rng,
    pub deadline: Duration,
    /// Set when clients make no new connections any more, and keep those that they have.
    pub no_new_connections: &'a AtomicBool,
    /// Set when the front has been killed.
    pub over: &'a AtomicBool,
    pub done: Vec<Request>,
}

struct Connection {
    stream: TcpStream,
    manner: Manner,
    received: Vec<u8>,
    responses: BTreeMap<u16, Vec<u8>>,
    open: BTreeMap<u16, Request>,
    /// Ids are not reused: a response that crosses an abort would pass for the response to another request.
    id: u16,
    /// When to send next.
    next_write: Instant,
    /// When to read next.
    next_read: Instant,
    /// When to close or abort early.
    leave_at: Option<Instant>,
    /// After this time it is closed once no request is open on it.
    close_after: Instant,
}

impl Client<'_> {
    /// Sends requests until the front is killed.
    pub fn run(mut self) -> Vec<Request> {
        let mut resend = None;
        while !self.over.load(Ordering::SeqCst) {
            if self.no_new_connections.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            match self.connect() {
                Ok(connection) => resend = self.use_connection(connection, resend),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
        self.done
    }

    fn connect(&mut self) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(self.front)?;
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let manner = *self.rng.choice(&MANNERS).unwrap_or(&Manner::Steady);
        Ok(Connection {
            stream,
            manner,
            received: Vec::new(),
            responses: BTreeMap::new(),
            open: BTreeMap::new(),
            id: 0,
            next_write: Instant::now(),
            next_read: Instant::now(),
            leave_at: None,
            close_after: Instant::now() + Duration::from_millis(self.rng.u64(100..1_500)),
        })
    }

    /// Uses a connection until it is closed; the request to resend, if one raced with the close.
    fn use_connection(
        &mut self,
        mut c: Connection,
        resend: Option<(&'static str, String)>,
    ) -> Option<(&'static str, String)> {
        let mut pending_resend = resend;
        loop {
            if self.over.load(Ordering::SeqCst) {
                self.read(&mut c);
                self.finish_requests(&mut c, |_| End::Open);
                return None;
            }
            if !self.read_if_due(&mut c) {
                let at = Instant::now();
                let idle = c.open.values().all(|r| at - r.written <= CLOSE_RACE);
                let crossed = c.open.values().next().filter(|_| idle).map(|r| (r.class, r.key.clone()));
                self.finish_requests(&mut c, |_| End::Closed { at, idle });
                return crossed;
            }
            if c.leave_at.is_some_and(|at| at <= Instant::now()) {
                if self.leave(&mut c) {
                    return None;
                }
                c.leave_at = None;
            }
            // Idle connections are left for the front to close, as are all connections once no new ones are made.
            let kept_open = c.manner == Manner::Idle || self.no_new_connections.load(Ordering::SeqCst);
            if !kept_open && c.open.is_empty() && c.close_after <= Instant::now() {
                return None;
            }
            if c.next_write <= Instant::now() && self.send(&mut c, pending_resend.take()).is_err() {
                // The close is read next.
                c.next_write = Instant::now() + Duration::from_secs(60);
            }
            std::thread::sleep(TICK);
        }
    }

    fn finish_requests(&mut self, c: &mut Connection, end: impl Fn(&Request) -> End) {
        for (_, mut request) in std::mem::take(&mut c.open) {
            request.end = end(&request);
            self.done.push(request);
        }
    }

    /// Closes the connection, or aborts its open requests; whether the connection is closed.
    fn leave(&mut self, c: &mut Connection) -> bool {
        let closes = self.rng.bool();
        if closes {
            let _ = c.stream.shutdown(std::net::Shutdown::Both);
        } else {
            for id in c.open.keys() {
                let _ = c.stream.write_all(&record(ABORT_REQUEST, *id, &[]));
            }
        }
        let at = Instant::now();
        self.finish_requests(c, |_| End::Left(at));
        c.responses.clear();
        c.next_write = at + Duration::from_millis(self.rng.u64(1..20));
        closes
    }

    fn send(&mut self, c: &mut Connection, resend: Option<(&'static str, String)>) -> std::io::Result<()> {
        let max = if c.manner == Manner::Pipelines { 8 } else { 1 };
        let count = self.rng.usize(1..=max).saturating_sub(c.open.len());
        let mut bytes = Vec::new();
        let mut sent = Vec::new();
        for _ in 0..count {
            c.id += 1;
            let (class, key) = resend.clone().unwrap_or_else(|| self.random_access());
            let request =
                Request { first_on_connection: usize::from(c.id) <= count, ..self.request(class, key) };
            bytes.extend(records(c.id, &request));
            sent.push((c.id, request));
        }
        self.write(c, &bytes)?;
        let written = Instant::now();
        for (id, mut request) in sent {
            request.written = written;
            c.open.insert(id, request);
        }
        let pause = match c.manner {
            Manner::Idle => self.rng.u64(100..2_500),
            _ => self.rng.u64(1..40),
        };
        c.next_write = written + Duration::from_millis(pause);
        if c.manner == Manner::Leaves && c.leave_at.is_none() {
            c.leave_at = Some(written + Duration::from_micros(self.rng.u64(0..120_000)));
        }
        Ok(())
    }

    fn random_access(&mut self) -> (&'static str, String) {
        let class = if self.rng.u8(0..4) == 0 { "orders" } else { "images" };
        (class, format!("{:016x}", 1 + self.rng.u64(0..KEYS)))
    }

    fn request(&mut self, class: &'static str, key: String) -> Request {
        static REQUESTS: AtomicU64 = AtomicU64::new(1);
        let request_id = format!("{:016x}", REQUESTS.fetch_add(1, Ordering::SeqCst) | 0xa11 << 40);
        let half = self.deadline.as_millis() as u64 / 2;
        let timeout = Duration::from_millis(self.rng.u64(half..=2 * half));
        let (written, end, first_on_connection, second_response) = (Instant::now(), End::Open, false, false);
        Request { request_id, class, key, written, timeout, first_on_connection, end, second_response }
    }

    fn write(&mut self, c: &mut Connection, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let max = match c.manner {
                Manner::WritesSlowly => self.rng.usize(1..=bytes.len()),
                _ => bytes.len(),
            };
            match c.stream.write(&bytes[..max]) {
                Ok(count) => bytes = &bytes[count..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(TICK),
                Err(e) => return Err(e),
            }
            if c.manner == Manner::WritesSlowly {
                std::thread::sleep(Duration::from_millis(self.rng.u64(0..15)));
            }
        }
        Ok(())
    }

    fn read_if_due(&mut self, c: &mut Connection) -> bool {
        if c.manner == Manner::ReadsLate {
            if c.next_read > Instant::now() {
                return true;
            }
            c.next_read = Instant::now() + Duration::from_millis(self.rng.u64(0..MAX_READ_PAUSE_MS));
        }
        self.read(c)
    }

    /// Reads what has arrived; false if the connection is closed.
    fn read(&mut self, c: &mut Connection) -> bool {
        let mut bytes = [0; 16 * 1024];
        let open = loop {
            match c.stream.read(&mut bytes) {
                Ok(0) => break false,
                Ok(count) => c.received.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break false,
            }
        };
        self.parse_records(c);
        open
    }

    fn parse_records(&mut self, c: &mut Connection) {
        let at = Instant::now();
        while let Some((&[_, kind, i, d, l, n, padding, _], rest)) = c.received.split_first_chunk::<8>() {
            let (id, length) = (u16::from_be_bytes([i, d]), usize::from(u16::from_be_bytes([l, n])));
            let Some(content) = rest.get(..length) else { return };
            let whole = 8 + length + usize::from(padding);
            if c.received.len() < whole {
                return;
            }
            if kind == STDOUT {
                c.responses.entry(id).or_default().extend_from_slice(content);
            } else if kind == END_REQUEST {
                let overloaded = content.get(4) == Some(&2);
                let response = c.responses.remove(&id).unwrap_or_default();
                match c.open.remove(&id) {
                    Some(mut request) => {
                        request.end = response_end(&request, &response, overloaded, at);
                        self.done.push(request);
                    }
                    // An aborted request may still get its response; any other such response is a second one.
                    None if c.manner != Manner::Leaves => {
                        self.done.last_mut().into_iter().for_each(|r| r.second_response = true);
                    }
                    None => {}
                }
            }
            c.received.drain(..whole);
        }
    }
}

fn response_end(request: &Request, response: &[u8], overloaded: bool, at: Instant) -> End {
    let end = response.windows(4).position(|w| w == b"\r\n\r\n");
    let text = String::from_utf8_lossy(&response[..end.unwrap_or(0)]).into_owned();
    let status = text.strip_prefix("Status: ").and_then(|t| t.get(..3)?.parse().ok());
    let status = if overloaded { 503 } else { status.unwrap_or(0) };
    let body = end.map_or(&[][..], |end| &response[end + 4..]);
    let path = format!("/data/{}/{}/0", request.class, request.key);
    let correct = match status {
        200 => body == super::cache::object_bytes(&path),
        0 => false,
        _ => true,
    };
    End::Response { at, status, correct }
}

const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let ([i, d], [l, n]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    [&[1, kind, i, d, l, n, 0, 0], content].concat()
}

fn records(id: u16, request: &Request) -> Vec<u8> {
    let (path, timeout) = (format!("/do/{}", request.class), request.timeout.as_millis().to_string());
    let fields = [
        ("SCRIPT_NAME", &*path),
        ("HTTP_REQ_ID", &*request.request_id),
        ("HTTP_REQ_WAIT_MS", &*timeout),
        ("HTTP_REQ_KEY", &*request.key),
        ("HTTP_X_SEG", "0"),
        ("HTTP_X_BUCKET", "17"),
        ("HTTP_REQ_KB", "4"),
    ];
    let mut params = Vec::new();
    for (name, value) in fields {
        params.extend([name.len() as u8, value.len() as u8]);
        params.extend_from_slice(name.as_bytes());
        params.extend_from_slice(value.as_bytes());
    }
    let body: &[u8] = if request.class == "orders" { b"a write" } else { b"" };
    let mut bytes = record(BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes.extend([record(PARAMS, id, &params), record(PARAMS, id, &[])].concat());
    if !body.is_empty() {
        bytes.extend(record(STDIN, id, body));
    }
    bytes.extend(record(STDIN, id, &[]));
    bytes
}
