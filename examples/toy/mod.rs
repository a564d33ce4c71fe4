//! Stand-ins for what a front talks to, on loopback: caches, an origin, a control feed, and a client. Written
//! from the public specifications (HTTP/1.1, FastCGI 1.0) for trying the front and for its tests; nobody's
//! real server.
#![allow(dead_code)] // Each program that uses it needs a part.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A copy: its bytes, and the Unix millisecond at which the origin gave it out.
type Copy = (Vec<u8>, u64);

/// Where each member listens, by id.
pub type Directory = Arc<Mutex<HashMap<String, SocketAddr>>>;

/// A gate that answers wait at.
#[derive(Default)]
pub struct Gate {
    shut: Mutex<bool>,
    moved: Condvar,
    waiting: AtomicUsize,
}

impl Gate {
    pub fn shut(&self, shut: bool) {
        *self.shut.lock().unwrap() = shut;
        self.moved.notify_all();
    }

    fn pass(&self) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let shut = self.shut.lock().unwrap();
        drop(self.moved.wait_while(shut, |shut| *shut).unwrap());
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }

    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }
}

/// A cache, or the origin.
pub struct Member {
    pub id: String,
    pub at: SocketAddr,
    pub gate: Arc<Gate>,
    pub served: Arc<AtomicUsize>,
    dead: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Member {
    /// Starts one; without `origin` it keeps copies and fills misses from the member that `Miss-To` names.
    pub fn start(id: &str, at: &str, origin: bool, directory: &Directory) -> io::Result<Member> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        directory.lock().unwrap().insert(id.to_owned(), at);
        let member = Member {
            id: id.to_owned(),
            at,
            gate: Arc::default(),
            served: Arc::default(),
            dead: Arc::default(),
            open: Arc::default(),
        };
        let (gate, served, dead, open) =
            (member.gate.clone(), member.served.clone(), member.dead.clone(), member.open.clone());
        let (directory, copies) = (directory.clone(), Arc::new(Mutex::new(HashMap::new())));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if dead.load(Ordering::SeqCst) {
                    return; // The listener goes with it: connections are refused from now on.
                }
                let Ok(stream) = stream else { continue };
                open.lock().unwrap().extend(stream.try_clone());
                let (gate, served) = (gate.clone(), served.clone());
                let (directory, copies) = (directory.clone(), copies.clone());
                std::thread::spawn(move || {
                    let _ = serve(stream, origin, &directory, &copies, &gate, &served);
                });
            }
        });
        Ok(member)
    }

    /// Dies as a process does: its connections end, new ones are refused.
    pub fn kill(&self) {
        self.dead.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.at);
        self.open.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(std::net::Shutdown::Both)));
    }
}

/// One request's head: its first line, and its fields in lower case.
fn head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) => drop(fields.insert(name.to_lowercase(), value.to_owned())),
            None => return Ok(Some((first.trim_end().to_owned(), fields))),
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The bytes of an object's part, which the origin knows by heart.
pub fn object(path: &str) -> Vec<u8> {
    format!("these are the bytes of {path}\n").repeat(200).into_bytes()
}

fn serve(
    stream: TcpStream,
    origin: bool,
    directory: &Directory,
    copies: &Mutex<HashMap<String, Copy>>,
    gate: &Gate,
    served: &AtomicUsize,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, fields)) = head(&mut reader)? {
        let length = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let path = first.split(' ').nth(1).unwrap_or("").to_owned();
        served.fetch_add(1, Ordering::SeqCst);
        gate.pass();
        let kept = copies.lock().unwrap().get(&path).cloned();
        let source = fields.get("miss-to").and_then(|id| directory.lock().unwrap().get(id).copied());
        let (copy, detail) = match (origin, kept, source) {
            (true, ..) => (Some((object(&path), unix_ms())), "o"),
            (false, Some(copy), _) => (Some(copy), "h"),
            (false, None, Some(source)) => match fill(source, &path) {
                Ok(copy) => {
                    copies.lock().unwrap().insert(path, copy.clone());
                    (Some(copy), "o")
                }
                Err(_) => (None, "b"),
            },
            (false, None, None) => (None, "l"),
        };
        let mut out = &stream;
        match copy {
            Some((bytes, made_at)) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nDetail: {detail}\r\nTag: t{made_at}\r\nMade-At: {made_at}\r\nContent-Length: {}\r\n\r\n",
                    bytes.len()
                );
                out.write_all(&[head.as_bytes(), &bytes].concat())?;
            }
            None => {
                let text = format!("HTTP/1.1 404 Not Found\r\nDetail: {detail}\r\nContent-Length: 0\r\n\r\n");
                out.write_all(text.as_bytes())?;
            }
        }
    }
    Ok(())
}

fn fill(source: SocketAddr, path: &str) -> io::Result<Copy> {
    let mut stream = TcpStream::connect(source)?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: origin\r\n\r\n")?;
    let mut reader = BufReader::new(stream);
    let (_, fields) = head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let number = |name: &str| fields.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let mut bytes = vec![0; number("content-length") as usize];
    reader.read_exact(&mut bytes)?;
    Ok((bytes, number("made-at")))
}

/// A frame and its number.
type Numbered = (u64, Vec<u8>);

/// A control feed.
pub struct Feed {
    pub at: SocketAddr,
    events: Arc<Mutex<Vec<Numbered>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// The number that each connection began with.
    pub begun: Arc<Mutex<Vec<u64>>>,
}

impl Feed {
    pub fn start(at: &str) -> io::Result<Feed> {
        let listener = TcpListener::bind(at)?;
        let feed = Feed {
            at: listener.local_addr()?,
            events: Arc::default(),
            open: Arc::default(),
            begun: Arc::default(),
        };
        let (events, open, begun) = (feed.events.clone(), feed.open.clone(), feed.begun.clone());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (events, begun) = (events.clone(), begun.clone());
                open.lock().unwrap().extend(stream.try_clone());
                std::thread::spawn(move || -> io::Result<()> {
                    let mut number = [0; 8];
                    stream.read_exact(&mut number)?;
                    let mut last = u64::from_be_bytes(number);
                    begun.lock().unwrap().push(last);
                    for round in 0.. {
                        let new: Vec<_> =
                            events.lock().unwrap().iter().filter(|e| e.0 > last).cloned().collect();
                        for (number, frame) in new {
                            stream.write_all(&frame)?;
                            last = number;
                        }
                        if round % 20 == 0 {
                            stream.write_all(&frame(last, 0, &[]))?;
                        }
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    Ok(())
                });
            }
        });
        Ok(feed)
    }

    pub fn tell(&self, number: u64, kind: u8, payload: &[u8]) {
        self.events.lock().unwrap().push((number, frame(number, kind, payload)));
    }

    pub fn cut(&self) {
        self.open.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(std::net::Shutdown::Both)));
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

/// A web server's side of one FastCGI connection, one request at a time.
pub struct Client(TcpStream);

fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [high, low] = (content.len() as u16).to_be_bytes();
    [&[1, kind, 0, 1, high, low, 0, 0], content].concat()
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(to)?;
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
        if !body.is_empty() {
            bytes.extend(record(5, body));
        }
        bytes.extend(record(5, &[]));
        self.0.write_all(&bytes)
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

    /// One access, from a request to its answer.
    pub fn ask(&mut self, class: &str, key: &str, wait_ms: u64) -> io::Result<(String, Vec<u8>)> {
        self.send_access(class, key, wait_ms, b"")?;
        self.receive()
    }

    pub fn send_access(&mut self, class: &str, key: &str, wait_ms: u64, body: &[u8]) -> io::Result<()> {
        static CALLS: AtomicUsize = AtomicUsize::new(1);
        let call = format!("{:016x}", unix_ms() << 16 | CALLS.fetch_add(1, Ordering::SeqCst) as u64 & 0xffff);
        let (path, wait) = (format!("/do/{class}"), wait_ms.to_string());
        let params = [
            ("REQUEST_METHOD", "GET"),
            ("SCRIPT_NAME", path.as_str()),
            ("HTTP_REQ_ID", &call),
            ("HTTP_REQ_WAIT_MS", &wait),
            ("HTTP_REQ_KEY", key),
            ("HTTP_X_SEG", "0"),
            ("HTTP_X_BUCKET", "17"),
        ];
        self.send(&params, body)
    }

    /// Whether the front says that it is ready.
    pub fn check(&mut self) -> io::Result<bool> {
        self.send(&[("SCRIPT_NAME", "/check")], b"")?;
        Ok(self.receive()?.0.starts_with("Status: 200"))
    }
}
