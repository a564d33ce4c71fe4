//! A cache, a parent or the origin: HTTP/1.1, one request at a time on a connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{Record, cannot_run, unix_ms};

/// A request as it has come to a member.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub member: u32,
    pub call_id: String,
    pub source: Option<String>,
    /// When it had come whole, in milliseconds of the record.
    pub at: u64,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A member that answers requests. It holds a copy of what it was asked for before; what it lacks it fills from the
/// named source, which takes `fill_time`; without a source it answers 404.
pub struct Member {
    pub address: SocketAddr,
    hanging: Arc<AtomicBool>,
}

struct State {
    id: u32,
    is_origin: bool,
    work_time: Duration,
    fill_time: Duration,
    /// When the origin gave out the copy of each path.
    copies: Mutex<HashMap<String, u64>>,
    hanging: Arc<AtomicBool>,
    arrivals: Arrivals,
    record: Record,
}

/// The bytes of one part of an object, from its path.
pub fn object_bytes(path: &str) -> Vec<u8> {
    format!("the bytes of {path}\n").repeat(100).into_bytes()
}

pub fn object_tag(path: &str) -> String {
    let hash =
        path.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    format!("{hash:016x}")
}

impl Member {
    pub fn start(
        id: u32,
        is_origin: bool,
        work_time: Duration,
        fill_time: Duration,
        arrivals: Arrivals,
        record: Record,
    ) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().expect("address");
        let hanging = Arc::new(AtomicBool::new(false));
        let state = Arc::new(State {
            id,
            is_origin,
            work_time,
            fill_time,
            copies: Mutex::default(),
            hanging: hanging.clone(),
            arrivals,
            record,
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || {
                    let _ = state.serve(stream);
                });
            }
        });
        Member { address, hanging }
    }

    /// While it hangs it takes requests and answers none.
    pub fn set_hanging(&self, hanging: bool) {
        self.hanging.store(hanging, Ordering::SeqCst);
    }
}

impl State {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut head = String::new();
            loop {
                let before = head.len();
                if reader.read_line(&mut head)? == 0 {
                    return Ok(());
                }
                if &head[before..] == "\r\n" {
                    break;
                }
            }
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let field = |name: &str| {
                head.lines().find_map(|l| Some(l.strip_prefix(name)?.strip_prefix(": ")?.to_owned()))
            };
            let length = field("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let arrival = Arrival {
                member: self.id,
                call_id: field("Call-Id").unwrap_or_default(),
                source: field("Miss-To"),
                at: self.record.ms(),
            };
            let (id, source) = (&arrival.call_id, arrival.source.as_deref().unwrap_or("nobody"));
            self.record.line(&format!("s-{:08x}: got {id} {path}, to be filled from {source}", self.id));
            self.arrivals.lock().expect("arrivals").push(arrival.clone());
            if self.hanging.load(Ordering::SeqCst) {
                while self.hanging.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                // What it took while it hung is lost, and so are its connections.
                return Ok(());
            }
            thread::sleep(self.work_time);
            let oldest_ms: u64 = field("No-Older-Than").and_then(|t| t.parse().ok()).unwrap_or(0);
            let held = self.copies.lock().expect("copies").get(&path).copied();
            let fresh = held.filter(|made| oldest_ms == 0 || unix_ms().saturating_sub(*made) <= oldest_ms);
            let (made_at, detail) = match (fresh, &arrival.source) {
                (Some(made_at), _) => (made_at, "h"),
                (None, _) if self.is_origin => (unix_ms(), "o"),
                (None, Some(_)) => {
                    thread::sleep(self.fill_time);
                    let made_at = unix_ms();
                    self.copies.lock().expect("copies").insert(path.clone(), made_at);
                    (made_at, "f")
                }
                (None, None) => {
                    writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                    continue;
                }
            };
            let body = object_bytes(&path);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nTag: {}\r\nMade-At: {made_at}\r\nDetail: {detail}\r\n\r\n",
                body.len(),
                object_tag(&path)
            );
            writer.write_all(&[head.as_bytes(), &body].concat())?;
        }
    }
}
