//! Caches and an origin that respond correctly, wrongly or not at all, and record the requests that they receive.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fastrand::Rng;

/// A request that was received completely. `at` is when the front began to send it, once `start_times` was applied.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub cache: String,
    /// The cache's port.
    pub port: u16,
    pub request_id: String,
    pub class: String,
    pub key: String,
    /// The time that the front tells in `Call-Ms`.
    pub timeout: Duration,
    pub source: Option<String>,
    /// The maximum age of an acceptable copy, in milliseconds; 0 for its fresh time.
    pub max_age_ms: u64,
    /// The response proves that the access did not run.
    pub not_run: bool,
}

pub type Record = Arc<Mutex<Vec<Received>>>;

pub struct Cache {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for Cache {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

/// The bytes of an object.
pub fn object_bytes(path: &str) -> Vec<u8> {
    let times = 1 + path.bytes().map(usize::from).sum::<usize>() % 400;
    format!("bytes of {path}\n").repeat(times).into_bytes()
}

impl Cache {
    /// `fault_percent` of its responses are faulty.
    pub fn start(id: &str, fault_percent: u8, seed: u64, record: &Record) -> io::Result<Cache> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let port = address.port();
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, record, name) = (stop.clone(), record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for (number, stream) in (1..).zip(listener.incoming()) {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let rng = Rng::with_seed(seed ^ (number << 20));
                let connection =
                    Connection { name: name.clone(), port, fault_percent, rng, record: record.clone() };
                std::thread::spawn(move || connection.serve(&stream));
            }
        });
        Ok(Cache { address, stop })
    }
}

/// A connection to a cache.
struct Connection {
    name: String,
    port: u16,
    fault_percent: u8,
    rng: Rng,
    record: Record,
}

/// The outcome of a request.
enum Outcome {
    Served,
    /// Served after a long time.
    Late(Duration),
    Failed,
    Full,
    Missed,
    Expired,
    /// Reset before the response.
    Reset,
    /// Reset in the middle of the response.
    Cut,
    /// Served, with the response sent twice.
    Twice,
    /// No response.
    Silent,
}

impl Connection {
    fn serve(mut self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read(&mut reader)? {
            let outcome = self.outcome();
            let not_run = matches!(outcome, Outcome::Full | Outcome::Missed | Outcome::Expired);
            self.record(&head, not_run);
            std::thread::sleep(Duration::from_micros(self.rng.u64(0..4_000)));
            self.respond(stream, &head, &outcome)?;
            // Sometimes closes an idle connection.
            if self.rng.u8(0..50) == 0 {
                return Ok(());
            }
        }
        Ok(())
    }

    fn outcome(&mut self) -> Outcome {
        if self.rng.u8(0..100) >= self.fault_percent {
            return Outcome::Served;
        }
        match self.rng.u8(0..9) {
            0 => Outcome::Late(Duration::from_millis(self.rng.u64(50..900))),
            1 => Outcome::Failed,
            2 => Outcome::Full,
            3 => Outcome::Missed,
            4 => Outcome::Expired,
            5 => Outcome::Reset,
            6 => Outcome::Cut,
            7 => Outcome::Twice,
            _ => Outcome::Silent,
        }
    }

    fn record(&self, head: &Head, not_run: bool) {
        let mut segments = head.path.split('/').skip(2);
        let received = Received {
            at: Instant::now(),
            cache: self.name.clone(),
            port: self.port,
            request_id: head.field("call-id"),
            class: segments.next().unwrap_or("").into(),
            key: segments.next().unwrap_or("").into(),
            timeout: Duration::from_millis(head.field("call-ms").parse().unwrap_or(0)),
            source: Some(head.field("miss-to")).filter(|s| !s.is_empty()),
            max_age_ms: head.field("no-older-than").parse().unwrap_or(0),
            not_run,
        };
        self.record.lock().unwrap().push(received);
    }

    fn respond(&mut self, stream: &TcpStream, head: &Head, outcome: &Outcome) -> io::Result<()> {
        let response = response_bytes(&head.path);
        let mut to = stream;
        match outcome {
            Outcome::Served => to.write_all(&response),
            Outcome::Late(time) => {
                std::thread::sleep(*time);
                to.write_all(&response)
            }
            Outcome::Failed => to.write_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"),
            Outcome::Full => to.write_all(b"HTTP/1.1 503 Full\r\nNot-Begun: 1\r\nContent-Length: 0\r\n\r\n"),
            Outcome::Missed => to.write_all(b"HTTP/1.1 404 Miss\r\nDetail: l\r\nContent-Length: 0\r\n\r\n"),
            Outcome::Expired => {
                to.write_all(b"HTTP/1.1 504 Over\r\nNot-Begun: 1\r\nContent-Length: 0\r\n\r\n")
            }
            Outcome::Reset => reset(stream),
            Outcome::Cut => {
                let part = self.rng.usize(1..response.len());
                to.write_all(&response[..part])?;
                reset(stream)
            }
            Outcome::Twice => {
                to.write_all(&response)?;
                std::thread::sleep(Duration::from_millis(self.rng.u64(0..8)));
                to.write_all(&response)
            }
            Outcome::Silent => {
                // Waits until the front closes the connection.
                let _ = to.read(&mut [0; 1]);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }
}

fn response_bytes(path: &str) -> Vec<u8> {
    let body = object_bytes(path);
    let made = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let head = format!(
        "HTTP/1.1 200 OK\r\nDetail: h\r\nTag: aa\r\nMade-At: {made}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body].concat()
}

fn reset(stream: &TcpStream) -> io::Result<()> {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Err(io::ErrorKind::ConnectionAborted.into())
}

struct Head {
    path: String,
    fields: HashMap<String, String>,
}

impl Head {
    fn field(&self, name: &str) -> String {
        self.fields.get(name).cloned().unwrap_or_default()
    }
}

/// Reads a complete request; `None` if the front has closed the connection.
fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        fields.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let path = first.split(' ').nth(1).unwrap_or("").to_owned();
    Ok(Some(Head { path, fields }))
}
