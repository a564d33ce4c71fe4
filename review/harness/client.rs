//! A web server as the client of a front, over FastCGI 1.0: one open request on a connection, as web servers do that
//! don't multiplex.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::common::Random;

const STDOUT: u8 = 6;
const END_REQUEST: u8 = 3;

/// A request to a front.
#[derive(Clone, Debug)]
pub struct Access {
    pub id: String,
    pub class: String,
    pub key: String,
    pub part: u32,
    pub group: u8,
    pub wait_ms: u64,
    pub kb: f64,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole answer with this status and body.
    Whole(u16, Vec<u8>),
    /// The connection could not be made.
    NotConnected,
    /// The connection ended without a whole answer.
    Closed,
    /// No answer for as long as the client looked.
    None,
}

impl Access {
    /// A request for one of some hundred objects: 58 in 100 are `media`. Its client waits for half to all of the
    /// class's deadline.
    pub fn random(random: &mut Random) -> Access {
        let (class, deadline_ms, kb) =
            if random.unit() < 0.58 { ("media", 5000.0, 2400.0) } else { ("pages", 2500.0, 400.0) };
        Access {
            id: format!("{:016x}", random.next()),
            class: class.into(),
            key: format!("{:016x}", 1 + random.next() % 300),
            part: 0,
            group: 3,
            wait_ms: (deadline_ms * (0.5 + 0.5 * random.unit())) as u64,
            kb,
        }
    }

    /// The records of this request, under the number 1.
    pub fn encoded(&self) -> Vec<u8> {
        encode(&[
            ("SCRIPT_NAME", format!("/do/{}", self.class)),
            ("HTTP_REQ_ID", self.id.clone()),
            ("HTTP_REQ_WAIT_MS", self.wait_ms.to_string()),
            ("HTTP_REQ_KEY", self.key.clone()),
            ("HTTP_X_SEG", self.part.to_string()),
            ("HTTP_X_BUCKET", self.group.to_string()),
            ("HTTP_REQ_KB", format!("{:.1}", self.kb)),
        ])
    }
}

impl fmt::Display for Access {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}, {} ms to wait", self.id, self.class, self.key, self.wait_ms)
    }
}

impl Answer {
    pub fn status(&self) -> Option<u16> {
        match self {
            Answer::Whole(status, _) => Some(*status),
            _ => None,
        }
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Whole(status, body) => write!(f, "status {status}, {} bytes", body.len()),
            Answer::NotConnected => f.write_str("no connection"),
            Answer::Closed => f.write_str("the connection ended without a whole answer"),
            Answer::None => f.write_str("no answer"),
        }
    }
}

pub struct Connection(TcpStream);

fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [high, low] = (content.len() as u16).to_be_bytes();
    [&[1, kind, 0, 1, high, low, 0, 0], content].concat()
}

fn pair(name: &str, value: &str) -> Vec<u8> {
    [&[name.len() as u8, value.len() as u8], name.as_bytes(), value.as_bytes()].concat()
}

fn encode(params: &[(&str, String)]) -> Vec<u8> {
    let pairs: Vec<u8> = params.iter().flat_map(|(name, value)| pair(name, value)).collect();
    let mut bytes = record(1, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes.extend(record(4, &pairs));
    bytes.extend(record(4, &[]));
    bytes.extend(record(5, &[]));
    bytes
}

impl Connection {
    pub fn open(front: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&front, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection(stream))
    }

    pub fn send(&mut self, access: &Access) -> std::io::Result<()> {
        self.write(&access.encoded())
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.write_all(bytes)
    }

    /// Whether the front has ended the connection. Only to be asked while no answer is due.
    pub fn is_ended(&self) -> bool {
        let _ = self.0.set_nonblocking(true);
        let ended = !matches!(self.0.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        let _ = self.0.set_nonblocking(false);
        ended
    }

    pub fn check(&mut self) -> Option<u16> {
        self.0.write_all(&encode(&[("SCRIPT_NAME", "/check".into())])).ok()?;
        match self.answer(Instant::now() + Duration::from_secs(1)) {
            Answer::Whole(status, _) => Some(status),
            _ => None,
        }
    }

    /// Fills the buffer, unless the time is over or the connection ends.
    fn fill(&mut self, buffer: &mut [u8], until: Instant) -> Result<(), Answer> {
        let mut done = 0;
        while done < buffer.len() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Answer::None);
            }
            let _ = self.0.set_read_timeout(Some(left));
            match self.0.read(&mut buffer[done..]) {
                Ok(0) => return Err(Answer::Closed),
                Ok(count) => done += count,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(Answer::None);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Answer::Closed),
            }
        }
        Ok(())
    }

    /// Reads the answer to the open request.
    pub fn answer(&mut self, until: Instant) -> Answer {
        self.read_answer(until).unwrap_or_else(|end| end)
    }

    fn read_answer(&mut self, until: Instant) -> Result<Answer, Answer> {
        let mut content = Vec::new();
        loop {
            let mut head = [0; 8];
            self.fill(&mut head, until)?;
            let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let mut bytes = vec![0; length + usize::from(head[6])];
            self.fill(&mut bytes, until)?;
            match head[1] {
                STDOUT => content.extend(&bytes[..length]),
                END_REQUEST if bytes.get(4) == Some(&2) => return Ok(Answer::Whole(503, Vec::new())),
                END_REQUEST => break,
                _ => {}
            }
        }
        let split = content.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
        let (head, body) = content.split_at(split.unwrap_or(content.len()));
        let head = String::from_utf8_lossy(head);
        let status = head.strip_prefix("Status: ").and_then(|rest| rest.get(..3)?.parse().ok());
        Ok(Answer::Whole(status.unwrap_or(0), body.to_vec()))
    }
}

/// Waits until the front answers `/check` with 200.
pub fn wait_until_ready(front: SocketAddr, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        let ready = Connection::open(front, Duration::from_millis(200)).ok().and_then(|mut c| c.check());
        if ready == Some(200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
