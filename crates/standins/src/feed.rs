//! The control feed, which sends fronts the member list and purges as numbered events.
//!
//! A front connects and sends the number of the last event that it knows, and receives all later events and then an
//! empty frame each second. Faults: an outage ([`Feed::set_down`]) and connections that are closed
//! ([`Feed::close_connections`]).

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::lock;

/// The number of an event, and its frame.
type NumberedFrame = (u64, Vec<u8>);

const KIND_HEARTBEAT: u8 = 0;
const KIND_MEMBERS: u8 = 2;
const KIND_PURGE: u8 = 3;

/// How often a connection looks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Polls from one heartbeat to the next: one second.
const POLLS_PER_HEARTBEAT: u64 = 50;

/// A running feed.
pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<NumberedFrame>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// The event number that each connection started after.
    resume_numbers: Arc<Mutex<Vec<u64>>>,
    down: Arc<AtomicBool>,
}

/// A member's record in an event with the member list. States: 0 ready, 1 draining, 2 gone.
pub fn member_record(
    id: &str,
    address: SocketAddr,
    state: u8,
    zone: u8,
    kind: u8,
    started_ms: u64,
) -> Vec<u8> {
    let number = id.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok()).unwrap_or(0);
    let ip = match address {
        SocketAddr::V4(address) => *address.ip(),
        SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
    };
    let mut bytes = number.to_be_bytes().to_vec();
    bytes.extend(ip.octets());
    bytes.extend(address.port().to_be_bytes());
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
    pub fn start(listen: &str) -> io::Result<Feed> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let (connections, down) = (Arc::default(), Arc::default());
        let feed =
            Feed { address, events: Arc::default(), connections, resume_numbers: Arc::default(), down };
        let (events, connections, resume_numbers) =
            (feed.events.clone(), feed.connections.clone(), feed.resume_numbers.clone());
        let down = feed.down.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    continue;
                }
                let (events, resume_numbers) = (events.clone(), resume_numbers.clone());
                lock(&connections).extend(stream.try_clone());
                std::thread::spawn(move || serve(stream, &events, &resume_numbers));
            }
        });
        Ok(feed)
    }

    /// Sends an event of any kind, also an invalid one.
    pub fn publish(&self, number: u64, kind: u8, payload: &[u8]) {
        lock(&self.events).push((number, frame(number, kind, payload)));
    }

    /// Sends changes of the member list, see [`member_record`].
    pub fn publish_members(&self, number: u64, records: &[Vec<u8>]) {
        self.publish(number, KIND_MEMBERS, &records.concat());
    }

    pub fn publish_purge(&self, number: u64, object: u64, at_ms: u64) {
        self.publish(number, KIND_PURGE, &[object.to_be_bytes(), at_ms.to_be_bytes()].concat());
    }

    /// While the feed is down, it closes each connection at once.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        if down {
            self.close_connections();
        }
    }

    /// Closes the open connections; new ones are accepted.
    pub fn close_connections(&self) {
        lock(&self.connections).drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }

    /// The event number that each connection so far started after.
    pub fn resume_numbers(&self) -> Vec<u64> {
        lock(&self.resume_numbers).clone()
    }
}

fn serve(
    mut stream: TcpStream,
    events: &Mutex<Vec<NumberedFrame>>,
    resume_numbers: &Mutex<Vec<u64>>,
) -> io::Result<()> {
    let mut number = [0; 8];
    stream.read_exact(&mut number)?;
    let mut last = u64::from_be_bytes(number);
    lock(resume_numbers).push(last);
    for poll in 0u64.. {
        let new: Vec<_> = lock(events).iter().filter(|e| e.0 > last).cloned().collect();
        for (number, frame) in new {
            stream.write_all(&frame)?;
            last = number;
        }
        if poll.is_multiple_of(POLLS_PER_HEARTBEAT) {
            stream.write_all(&frame(last, KIND_HEARTBEAT, &[]))?;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
