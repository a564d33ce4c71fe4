//! The control feed: numbered events to whoever connects, an empty frame each second.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::lock;

/// A frame and its number.
type Numbered = (u64, Vec<u8>);

pub struct Feed {
    pub at: SocketAddr,
    events: Arc<Mutex<Vec<Numbered>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// The number that each connection began with.
    begun: Arc<Mutex<Vec<u64>>>,
    down: Arc<AtomicBool>,
}

/// A member's record in a list. States: 0 ready, 1 draining, 2 gone.
pub fn record(id: &str, at: SocketAddr, state: u8, zone: u8, kind: u8, started_ms: u64) -> Vec<u8> {
    let number = id.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok()).unwrap_or(0);
    let address = match at {
        SocketAddr::V4(at) => *at.ip(),
        SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
    };
    let mut bytes = number.to_be_bytes().to_vec();
    bytes.extend(address.octets());
    bytes.extend(at.port().to_be_bytes());
    bytes.extend([state, zone, kind, 0, 0]);
    bytes.extend(1_000u32.to_be_bytes());
    bytes.extend(started_ms.to_be_bytes());
    bytes
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

impl Feed {
    pub fn start(at: &str) -> io::Result<Feed> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        let (open, down) = (Arc::default(), Arc::default());
        let feed = Feed { at, events: Arc::default(), open, begun: Arc::default(), down };
        let (events, open, begun) = (feed.events.clone(), feed.open.clone(), feed.begun.clone());
        let down = feed.down.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    continue;
                }
                let (events, begun) = (events.clone(), begun.clone());
                lock(&open).extend(stream.try_clone());
                std::thread::spawn(move || follow(stream, &events, &begun));
            }
        });
        Ok(feed)
    }

    pub fn tell(&self, number: u64, kind: u8, payload: &[u8]) {
        lock(&self.events).push((number, frame(number, kind, payload)));
    }

    /// Changes of the list; `known` tells which numbers were used before.
    pub fn list(&self, number: u64, records: &[Vec<u8>]) {
        self.tell(number, 2, &records.concat());
    }

    pub fn purge(&self, number: u64, object: u64, at_ms: u64) {
        self.tell(number, 3, &[object.to_be_bytes(), at_ms.to_be_bytes()].concat());
    }

    /// While it is down, each connection ends at once.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        if down {
            self.cut();
        }
    }

    pub fn cut(&self) {
        lock(&self.open).drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }

    pub fn begun(&self) -> Vec<u64> {
        lock(&self.begun).clone()
    }
}

fn follow(mut stream: TcpStream, events: &Mutex<Vec<Numbered>>, begun: &Mutex<Vec<u64>>) -> io::Result<()> {
    let mut number = [0; 8];
    stream.read_exact(&mut number)?;
    let mut last = u64::from_be_bytes(number);
    lock(begun).push(last);
    for round in 0u64.. {
        let new: Vec<_> = lock(events).iter().filter(|e| e.0 > last).cloned().collect();
        for (number, frame) in new {
            stream.write_all(&frame)?;
            last = number;
        }
        if round.is_multiple_of(50) {
            stream.write_all(&frame(last, 0, &[]))?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
