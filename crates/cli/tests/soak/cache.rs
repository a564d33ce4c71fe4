//! Caches and origin that answer well, badly or not at all, and keep what came to them.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fastrand::Rng;

/// A request that came whole.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Instant,
    pub cache: String,
    pub call: String,
    pub class: String,
    pub key: String,
    /// How long the front says that it waits.
    pub wait: Duration,
    pub source: Option<String>,
    /// The oldest copy that will do, in milliseconds; 0 for the fresh time.
    pub no_older_ms: u64,
    /// The answer proves that it did not run.
    pub unrun: bool,
}

pub type Record = Arc<Mutex<Vec<Asked>>>;

pub struct Cache {
    pub at: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for Cache {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.at);
    }
}

/// The bytes of an object.
pub fn object(path: &str) -> Vec<u8> {
    let times = 1 + path.bytes().map(usize::from).sum::<usize>() % 400;
    format!("bytes of {path}\n").repeat(times).into_bytes()
}

impl Cache {
    /// Of its answers, `spoilt` in a hundred go wrong.
    pub fn start(id: &str, spoilt: u8, seed: u64, record: &Record) -> io::Result<Cache> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let (ended, record, name) = (stop.clone(), record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for (number, stream) in (1..).zip(listener.incoming()) {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let rng = Rng::with_seed(seed ^ (number << 20));
                let line = Line { name: name.clone(), spoilt, rng, record: record.clone() };
                std::thread::spawn(move || line.serve(&stream));
            }
        });
        Ok(Cache { at, stop })
    }
}

/// One connection to it.
struct Line {
    name: String,
    spoilt: u8,
    rng: Rng,
    record: Record,
}

/// What becomes of a request.
enum Fate {
    Served,
    /// After a long time.
    Late(Duration),
    Failed,
    Full,
    Missed,
    Expired,
    /// Reset before an answer, or in the middle of one.
    Reset,
    Cut,
    /// Served, and said once more.
    Twice,
    /// No answer comes.
    Silent,
}

impl Line {
    fn serve(mut self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read(&mut reader)? {
            let fate = self.fate();
            let unrun = matches!(fate, Fate::Full | Fate::Missed | Fate::Expired);
            self.note(&head, unrun);
            std::thread::sleep(Duration::from_micros(self.rng.u64(0..4_000)));
            self.answer(stream, &head, &fate)?;
            // Some end connections that rest.
            if self.rng.u8(0..50) == 0 {
                return Ok(());
            }
        }
        Ok(())
    }

    fn fate(&mut self) -> Fate {
        if self.rng.u8(0..100) >= self.spoilt {
            return Fate::Served;
        }
        match self.rng.u8(0..9) {
            0 => Fate::Late(Duration::from_millis(self.rng.u64(50..900))),
            1 => Fate::Failed,
            2 => Fate::Full,
            3 => Fate::Missed,
            4 => Fate::Expired,
            5 => Fate::Reset,
            6 => Fate::Cut,
            7 => Fate::Twice,
            _ => Fate::Silent,
        }
    }

    fn note(&self, head: &Head, unrun: bool) {
        let mut words = head.path.split('/').skip(2);
        let asked = Asked {
            at: Instant::now(),
            cache: self.name.clone(),
            call: head.field("call-id"),
            class: words.next().unwrap_or("").into(),
            key: words.next().unwrap_or("").into(),
            wait: Duration::from_millis(head.field("call-ms").parse().unwrap_or(0)),
            source: Some(head.field("miss-to")).filter(|s| !s.is_empty()),
            no_older_ms: head.field("no-older-than").parse().unwrap_or(0),
            unrun,
        };
        self.record.lock().unwrap().push(asked);
    }

    fn answer(&mut self, stream: &TcpStream, head: &Head, fate: &Fate) -> io::Result<()> {
        let whole = served(&head.path);
        let mut to = stream;
        match fate {
            Fate::Served => to.write_all(&whole),
            Fate::Late(time) => {
                std::thread::sleep(*time);
                to.write_all(&whole)
            }
            Fate::Failed => to.write_all(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"),
            Fate::Full => to.write_all(b"HTTP/1.1 503 Full\r\nNot-Begun: 1\r\nContent-Length: 0\r\n\r\n"),
            Fate::Missed => to.write_all(b"HTTP/1.1 404 Miss\r\nDetail: l\r\nContent-Length: 0\r\n\r\n"),
            Fate::Expired => to.write_all(b"HTTP/1.1 504 Over\r\nNot-Begun: 1\r\nContent-Length: 0\r\n\r\n"),
            Fate::Reset => reset(stream),
            Fate::Cut => {
                let part = self.rng.usize(1..whole.len());
                to.write_all(&whole[..part])?;
                reset(stream)
            }
            Fate::Twice => {
                to.write_all(&whole)?;
                std::thread::sleep(Duration::from_millis(self.rng.u64(0..8)));
                to.write_all(&whole)
            }
            Fate::Silent => {
                // Until the front gives it up.
                let _ = to.read(&mut [0; 1]);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }
}

fn served(path: &str) -> Vec<u8> {
    let body = object(path);
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

/// A request, once it is whole; none where the front has ended the connection.
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
