//! Web servers that use connections for as long as they are open, in all the manners that they have, and keep what came of
//! each request.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;

/// The terms: a request that crosses the end of a resting connection by no more than this is sent again, once.
const CROSSING: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_micros(500);
/// Objects that are asked for.
pub const KEYS: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered {
        at: Instant,
        status: u16,
        sound: bool,
    },
    /// Its connection ended; whether nothing that had been written long before was open there.
    Cut {
        at: Instant,
        rested: bool,
    },
    /// The client has closed, or has given it up.
    Left(Instant),
    /// The front was killed over it.
    Open,
}

/// A request whose last byte was written.
#[derive(Clone, Debug)]
pub struct Request {
    pub call: String,
    pub class: &'static str,
    pub key: String,
    pub written: Instant,
    pub wait: Duration,
    /// Nothing had been asked on its connection before.
    pub fresh: bool,
    pub end: End,
    /// A second answer came.
    pub twice: bool,
}

/// How a client uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Steady,
    /// Many requests at once.
    Pipelines,
    /// Rests for long between two.
    Rests,
    /// Closes, or gives up, before its answer.
    Leaves,
    /// Writes its requests in pieces.
    WritesSlowly,
    /// Reads only now and then, so that its requests cross the end of its connection.
    ReadsLate,
}

const MANNERS: [Manner; 6] = [
    Manner::Steady,
    Manner::Pipelines,
    Manner::Rests,
    Manner::Leaves,
    Manner::WritesSlowly,
    Manner::ReadsLate,
];
/// The longest that one that reads late goes without.
const READS_LATE_MS: u64 = 30;

pub struct Client<'a> {
    pub front: SocketAddr,
    pub rng: Rng,
    pub deadline: Duration,
    /// No new connections are made any more.
    pub stays: &'a AtomicBool,
    /// The front was killed.
    pub over: &'a AtomicBool,
    pub done: Vec<Request>,
}

struct Connection {
    stream: TcpStream,
    manner: Manner,
    got: Vec<u8>,
    answers: BTreeMap<u16, Vec<u8>>,
    open: BTreeMap<u16, Request>,
    /// Ids are not used again: an answer that crosses an abort would pass for that to another request.
    id: u16,
    /// When to say something again.
    next: Instant,
    /// When to read again.
    reads: Instant,
    /// When to leave.
    leaves: Option<Instant>,
    /// When it has been used for long enough, and is closed once nothing is open on it.
    used_up: Instant,
}

impl Client<'_> {
    /// Until the front is killed.
    pub fn run(mut self) -> Vec<Request> {
        let mut again = None;
        while !self.over.load(Ordering::SeqCst) {
            if self.stays.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            match self.connect() {
                Ok(connection) => again = self.use_up(connection, again),
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
            got: Vec::new(),
            answers: BTreeMap::new(),
            open: BTreeMap::new(),
            id: 0,
            next: Instant::now(),
            reads: Instant::now(),
            leaves: None,
            used_up: Instant::now() + Duration::from_millis(self.rng.u64(100..1_500)),
        })
    }

    /// Until it ends; a request that crossed its end is to be sent again.
    fn use_up(
        &mut self,
        mut c: Connection,
        again: Option<(&'static str, String)>,
    ) -> Option<(&'static str, String)> {
        let mut first = again;
        loop {
            if self.over.load(Ordering::SeqCst) {
                self.read(&mut c);
                self.ended(&mut c, |_| End::Open);
                return None;
            }
            if !self.read_if_due(&mut c) {
                let at = Instant::now();
                let rested = c.open.values().all(|r| at - r.written <= CROSSING);
                let crossed = c.open.values().next().filter(|_| rested).map(|r| (r.class, r.key.clone()));
                self.ended(&mut c, |_| End::Cut { at, rested });
                return crossed;
            }
            if c.leaves.is_some_and(|at| at <= Instant::now()) {
                if self.leave(&mut c) {
                    return None;
                }
                c.leaves = None;
            }
            // One that rests is left to the front to end, and towards the end all are used until then.
            let goes_on = c.manner == Manner::Rests || self.stays.load(Ordering::SeqCst);
            if !goes_on && c.open.is_empty() && c.used_up <= Instant::now() {
                return None;
            }
            if c.next <= Instant::now() && self.speak(&mut c, first.take()).is_err() {
                // Its end is read next.
                c.next = Instant::now() + Duration::from_secs(60);
            }
            std::thread::sleep(TICK);
        }
    }

    fn ended(&mut self, c: &mut Connection, end: impl Fn(&Request) -> End) {
        for (_, mut request) in std::mem::take(&mut c.open) {
            request.end = end(&request);
            self.done.push(request);
        }
    }

    /// Closes, or gives up what is open; whether the connection is over.
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
        self.ended(c, |_| End::Left(at));
        c.answers.clear();
        c.next = at + Duration::from_millis(self.rng.u64(1..20));
        closes
    }

    fn speak(&mut self, c: &mut Connection, again: Option<(&'static str, String)>) -> std::io::Result<()> {
        let most = if c.manner == Manner::Pipelines { 8 } else { 1 };
        let count = self.rng.usize(1..=most).saturating_sub(c.open.len());
        let mut bytes = Vec::new();
        let mut said = Vec::new();
        for _ in 0..count {
            c.id += 1;
            let (class, key) = again.clone().unwrap_or_else(|| self.drawn());
            let request = Request { fresh: usize::from(c.id) <= count, ..self.request(class, key) };
            bytes.extend(words(c.id, &request));
            said.push((c.id, request));
        }
        self.write(c, &bytes)?;
        let written = Instant::now();
        for (id, mut request) in said {
            request.written = written;
            c.open.insert(id, request);
        }
        let pause = match c.manner {
            Manner::Rests => self.rng.u64(100..2_500),
            _ => self.rng.u64(1..40),
        };
        c.next = written + Duration::from_millis(pause);
        if c.manner == Manner::Leaves && c.leaves.is_none() {
            c.leaves = Some(written + Duration::from_micros(self.rng.u64(0..120_000)));
        }
        Ok(())
    }

    fn drawn(&mut self) -> (&'static str, String) {
        let class = if self.rng.u8(0..4) == 0 { "orders" } else { "images" };
        (class, format!("{:016x}", 1 + self.rng.u64(0..KEYS)))
    }

    fn request(&mut self, class: &'static str, key: String) -> Request {
        static CALLS: AtomicU64 = AtomicU64::new(1);
        let call = format!("{:016x}", CALLS.fetch_add(1, Ordering::SeqCst) | 0xa11 << 40);
        let half = self.deadline.as_millis() as u64 / 2;
        let wait = Duration::from_millis(self.rng.u64(half..=2 * half));
        let (written, end, fresh, twice) = (Instant::now(), End::Open, false, false);
        Request { call, class, key, written, wait, fresh, end, twice }
    }

    fn write(&mut self, c: &mut Connection, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let most = match c.manner {
                Manner::WritesSlowly => self.rng.usize(1..=bytes.len()),
                _ => bytes.len(),
            };
            match c.stream.write(&bytes[..most]) {
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
            if c.reads > Instant::now() {
                return true;
            }
            c.reads = Instant::now() + Duration::from_millis(self.rng.u64(0..READS_LATE_MS));
        }
        self.read(c)
    }

    /// What has come; false where the connection has ended.
    fn read(&mut self, c: &mut Connection) -> bool {
        let mut bytes = [0; 16 * 1024];
        let open = loop {
            match c.stream.read(&mut bytes) {
                Ok(0) => break false,
                Ok(count) => c.got.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break false,
            }
        };
        self.understand(c);
        open
    }

    fn understand(&mut self, c: &mut Connection) {
        let at = Instant::now();
        while let Some((&[_, kind, i, d, l, n, padding, _], rest)) = c.got.split_first_chunk::<8>() {
            let (id, length) = (u16::from_be_bytes([i, d]), usize::from(u16::from_be_bytes([l, n])));
            let Some(content) = rest.get(..length) else { return };
            let whole = 8 + length + usize::from(padding);
            if c.got.len() < whole {
                return;
            }
            if kind == STDOUT {
                c.answers.entry(id).or_default().extend_from_slice(content);
            } else if kind == END_REQUEST {
                let overloaded = content.get(4) == Some(&2);
                let answer = c.answers.remove(&id).unwrap_or_default();
                match c.open.remove(&id) {
                    Some(mut request) => {
                        request.end = answered(&request, &answer, overloaded, at);
                        self.done.push(request);
                    }
                    // Of one that was given up it may still come; of any other it is one too many.
                    None if c.manner != Manner::Leaves => {
                        self.done.last_mut().into_iter().for_each(|r| r.twice = true);
                    }
                    None => {}
                }
            }
            c.got.drain(..whole);
        }
    }
}

fn answered(request: &Request, answer: &[u8], overloaded: bool, at: Instant) -> End {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let text = String::from_utf8_lossy(&answer[..end.unwrap_or(0)]).into_owned();
    let status = text.strip_prefix("Status: ").and_then(|t| t.get(..3)?.parse().ok());
    let status = if overloaded { 503 } else { status.unwrap_or(0) };
    let body = end.map_or(&[][..], |end| &answer[end + 4..]);
    let path = format!("/data/{}/{}/0", request.class, request.key);
    let sound = match status {
        200 => body == super::cache::object(&path),
        0 => false,
        _ => true,
    };
    End::Answered { at, status, sound }
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

fn words(id: u16, request: &Request) -> Vec<u8> {
    let (path, wait) = (format!("/do/{}", request.class), request.wait.as_millis().to_string());
    let fields = [
        ("SCRIPT_NAME", &*path),
        ("HTTP_REQ_ID", &*request.call),
        ("HTTP_REQ_WAIT_MS", &*wait),
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
