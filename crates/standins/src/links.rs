//! The network between processes on loopback: TCP and UDP proxies that inject network faults. Each direction between
//! two names has its own conditions, which can change while it is in use: partitions in one direction or both,
//! latency, jitter, low bandwidth, connection resets, and lost, duplicated or reordered datagrams. Random choices come
//! from a seed and are made in the order in which data arrives.
//!
//! A cut connection keeps what was written and delivers it once the link heals, as TCP retransmits; cut datagrams are
//! lost. A new connection over a cut link is established, since the kernel completes the handshake, and stays silent.

use std::collections::{BinaryHeap, HashMap};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

mod async_proxy;
use crate::lock;

/// Matches any name.
pub const ANY: &str = "*";
/// How often a blocked thread checks for changed conditions, resets and the end of the proxies.
const POLL: Duration = Duration::from_millis(10);

/// The network conditions in one direction between two names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    /// Nothing passes, and no error is reported.
    pub cut: bool,
    pub delay_ms: u64,
    /// A random time up to this is added to the delay. It reorders datagrams, but not the bytes of a connection.
    pub jitter_ms: u64,
    /// The bandwidth of each connection; 0 for no limit.
    pub bytes_per_s: u64,
    /// A connection is reset once it has carried this much in this direction.
    #[serde(rename = "reset_after")]
    pub reset_after_bytes: Option<u64>,
    /// The shares of datagrams that are lost and that are delivered twice.
    pub loss: f64,
    #[serde(rename = "twice")]
    pub duplication: f64,
}

/// The names of sender and receiver.
type Pair = (String, String);

/// The traffic from one name to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub datagrams: usize,
    pub bytes: usize,
    /// Datagrams that were not delivered.
    pub lost: usize,
}

/// A datagram in transit, which leaves from the proxy socket of its sender. The heap returns the earliest one first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    deliver_at: std::cmp::Reverse<Instant>,
    sequence: std::cmp::Reverse<u64>,
    from: String,
    to: SocketAddr,
    bytes: Vec<u8>,
}

struct UdpProxy {
    socket: UdpSocket,
    /// Where the process itself listens.
    target: SocketAddr,
}

struct OpenConnection {
    from: String,
    to: String,
    reset: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    /// By sender and receiver, either of which may be [`ANY`]. Later entries override earlier ones.
    conditions: Vec<(String, String, LinkConditions)>,
    tcp_targets: HashMap<Pair, SocketAddr>,
    udp_proxies: HashMap<String, UdpProxy>,
    open: Vec<OpenConnection>,
    traffic: HashMap<Pair, Traffic>,
    rngs: HashMap<Pair, Rng>,
    in_transit: BinaryHeap<DelayedDatagram>,
    last_sequence: u64,
}

#[derive(Default)]
struct Inner {
    seed: u64,
    ended: AtomicBool,
    state: Mutex<State>,
    /// A datagram was added to those in transit.
    datagram_added: Condvar,
}

/// All links of a test. The proxies end when this is dropped.
pub struct Links(Arc<Inner>);

impl Links {
    pub fn new(seed: u64) -> Links {
        let inner = Arc::new(Inner { seed, ..Inner::default() });
        let sender = inner.clone();
        thread::spawn(move || sender.send_delayed_datagrams());
        Links(inner)
    }

    /// Starts a proxy for connections of `from` to `to`, which listens at `target`. Returns the proxy's address.
    pub fn tcp_proxy(&self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let pair = (from.to_owned(), to.to_owned());
        lock(&self.0.state).tcp_targets.insert(pair.clone(), target);
        let inner = self.0.clone();
        thread::spawn(move || {
            while !inner.ended.load(SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => inner.proxy_connection(&pair, near),
                    Err(_) => thread::sleep(POLL / 2),
                }
            }
        });
        Ok(address)
    }

    /// Starts a proxy for datagrams to and from `name`, which listens at `target`. Returns the proxy's address.
    pub fn udp_proxy(&self, name: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(POLL))?;
        let address = socket.local_addr()?;
        let (reader, name, inner) = (socket.try_clone()?, name.to_owned(), self.0.clone());
        lock(&inner.state).udp_proxies.insert(name.clone(), UdpProxy { socket, target });
        thread::spawn(move || {
            let mut bytes = vec![0; 1 << 16];
            while !inner.ended.load(SeqCst) {
                if let Ok((count, sender)) = reader.recv_from(&mut bytes) {
                    inner.schedule_datagram(sender, &name, &bytes[..count]);
                }
            }
        });
        Ok(address)
    }

    /// Redirects the proxies to a process that now listens at another address.
    pub fn set_target(&self, name: &str, target: SocketAddr) {
        let state = &mut *lock(&self.0.state);
        state.tcp_targets.iter_mut().filter(|(pair, _)| pair.1 == name).for_each(|(_, at)| *at = target);
        if let Some(proxy) = state.udp_proxies.get_mut(name) {
            proxy.target = target;
        }
    }

    /// Sets the conditions from one name (or [`ANY`]) to another.
    pub fn set(&self, from: &str, to: &str, conditions: LinkConditions) {
        let all = &mut lock(&self.0.state).conditions;
        all.retain(|c| (&*c.0, &*c.1) != (from, to));
        all.push((from.to_owned(), to.to_owned(), conditions));
    }

    /// Cuts two groups of names apart, in both directions.
    pub fn partition<T: AsRef<str>>(&self, these: &[T], those: &[T]) {
        for (a, b) in these.iter().flat_map(|a| those.iter().map(move |b| (a.as_ref(), b.as_ref()))) {
            self.set(a, b, LinkConditions { cut: true, ..LinkConditions::default() });
            self.set(b, a, LinkConditions { cut: true, ..LinkConditions::default() });
        }
    }

    pub fn heal(&self) {
        lock(&self.0.state).conditions.clear();
    }

    /// Resets the open connections from one name (or [`ANY`]) to another.
    pub fn reset(&self, from: &str, to: &str) {
        let state = lock(&self.0.state);
        let matches = |name: &str, pattern: &str| pattern == ANY || name == pattern;
        let between = |o: &&OpenConnection| matches(&o.from, from) && matches(&o.to, to);
        state.open.iter().filter(between).for_each(|o| o.reset.store(true, SeqCst));
    }

    pub fn traffic(&self, from: &str, to: &str) -> Traffic {
        lock(&self.0.state).traffic.get(&(from.into(), to.into())).copied().unwrap_or_default()
    }

    /// The traffic from a name to all others.
    pub fn sent_by(&self, name: &str) -> Traffic {
        let state = lock(&self.0.state);
        let own = state.traffic.iter().filter(|(pair, _)| pair.0 == name);
        own.fold(Traffic::default(), |sum, (_, t)| Traffic {
            datagrams: sum.datagrams + t.datagrams,
            bytes: sum.bytes + t.bytes,
            lost: sum.lost + t.lost,
        })
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.0.ended.store(true, SeqCst);
        self.0.datagram_added.notify_all();
    }
}

impl State {
    fn conditions(&self, from: &str, to: &str) -> LinkConditions {
        let matches = |pattern: &str, name: &str| pattern == ANY || pattern == name;
        let found = self.conditions.iter().rev().find(|c| matches(&c.0, from) && matches(&c.1, to));
        found.map(|c| c.2.clone()).unwrap_or_default()
    }
}

impl Inner {
    /// Draws from the direction's own random numbers, which depend on nothing but the seed and the two names.
    fn draw<T>(&self, state: &mut State, from: &str, to: &str, draw: impl FnOnce(&mut Rng) -> T) -> T {
        let new_rng = || {
            let names = doorgrade::hash::text(from).rotate_left(1) ^ doorgrade::hash::text(to);
            Rng::with_seed(self.seed ^ names)
        };
        draw(state.rngs.entry((from.to_owned(), to.to_owned())).or_insert_with(new_rng))
    }

    fn schedule_datagram(&self, sender: SocketAddr, to: &str, bytes: &[u8]) {
        let state = &mut *lock(&self.state);
        let Some(from) = state.udp_proxies.iter().find(|(_, p)| p.target == sender).map(|(n, _)| n.clone())
        else {
            return; // The sender has ended, or has no proxy.
        };
        let Some(target) = state.udp_proxies.get(to).map(|p| p.target) else { return };
        let conditions = state.conditions(&from, to);
        let (lost, duplicated, delays_ms) = self.draw(state, &from, to, |rng| {
            let (lost, duplicated) = (rng.f64() < conditions.loss, rng.f64() < conditions.duplication);
            let delays_ms = [(); 2].map(|()| conditions.delay_ms + rng.u64(0..=conditions.jitter_ms));
            (lost, duplicated, delays_ms)
        });
        let traffic = state.traffic.entry((from.clone(), to.to_owned())).or_default();
        traffic.datagrams += 1;
        traffic.bytes += bytes.len();
        if conditions.cut || lost {
            traffic.lost += 1;
            return;
        }
        for delay_ms in &delays_ms[..if duplicated { 2 } else { 1 }] {
            state.last_sequence += 1;
            state.in_transit.push(DelayedDatagram {
                deliver_at: std::cmp::Reverse(Instant::now() + Duration::from_millis(*delay_ms)),
                sequence: std::cmp::Reverse(state.last_sequence),
                from: from.clone(),
                to: target,
                bytes: bytes.to_vec(),
            });
        }
        self.datagram_added.notify_all();
    }

    fn send_delayed_datagrams(&self) {
        let mut state = lock(&self.state);
        while !self.ended.load(SeqCst) {
            let now = Instant::now();
            if state.in_transit.peek().is_some_and(|d| d.deliver_at.0 <= now) {
                let Some(datagram) = state.in_transit.pop() else { continue };
                if let Some(proxy) = state.udp_proxies.get(&datagram.from) {
                    let _ = proxy.socket.send_to(&datagram.bytes, datagram.to);
                }
                continue;
            }
            let wait = state.in_transit.peek().map_or(POLL, |d| d.deliver_at.0 - now).min(POLL);
            state = self.datagram_added.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn proxy_connection(self: &Arc<Self>, pair: &Pair, near: TcpStream) {
        let target = lock(&self.state).tcp_targets.get(pair).copied();
        let Some(far) = target.and_then(|at| TcpStream::connect(at).ok()) else {
            return reset_on_close(&near); // The target does not accept connections.
        };
        let proxied = Arc::new(Proxied { near, far, reset: Arc::default() });
        for stream in [&proxied.near, &proxied.far] {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(POLL));
            let _ = stream.set_write_timeout(Some(POLL));
        }
        let open = OpenConnection { from: pair.0.clone(), to: pair.1.clone(), reset: proxied.reset.clone() };
        {
            let all_open = &mut lock(&self.state).open;
            all_open.retain(|o| Arc::strong_count(&o.reset) > 1);
            all_open.push(open);
        }
        for forward in [true, false] {
            let pair = if forward { pair.clone() } else { (pair.1.clone(), pair.0.clone()) };
            let (send, receive) = sync_channel(32);
            let (reader, writer) = (self.clone(), self.clone());
            let (source, sink, read_pair) = (proxied.clone(), proxied.clone(), pair.clone());
            thread::spawn(move || reader.read_chunks(&read_pair, &source, forward, &send));
            thread::spawn(move || writer.write_chunks(&pair, &sink, forward, &receive));
        }
    }

    /// Reads as long as the channel to the writer has room. An empty chunk marks the end of the stream.
    fn read_chunks(&self, pair: &Pair, proxied: &Proxied, forward: bool, out: &SyncSender<Chunk>) {
        let mut from = if forward { &proxied.near } else { &proxied.far };
        let mut bytes = vec![0; 1 << 14];
        while !self.is_aborted(proxied) {
            match from.read(&mut bytes) {
                Ok(count) => {
                    let delay = {
                        let state = &mut *lock(&self.state);
                        let link = state.conditions(&pair.0, &pair.1);
                        let jitter_ms = self.draw(state, &pair.0, &pair.1, |rng| rng.u64(0..=link.jitter_ms));
                        Duration::from_millis(link.delay_ms + jitter_ms)
                    };
                    if out.send((Instant::now() + delay, bytes[..count].to_vec())).is_err() || count == 0 {
                        return;
                    }
                }
                Err(e) if is_retryable(&e) => {}
                Err(_) => return proxied.reset.store(true, SeqCst),
            }
        }
    }

    fn write_chunks(&self, pair: &Pair, proxied: &Proxied, forward: bool, chunks: &Receiver<Chunk>) {
        let mut to = if forward { &proxied.far } else { &proxied.near };
        let mut total = 0;
        while !self.is_aborted(proxied) {
            let Ok((deliver_at, bytes)) = chunks.recv_timeout(POLL) else { continue };
            while !self.is_aborted(proxied) && (Instant::now() < deliver_at || self.conditions(pair).cut) {
                thread::sleep(deliver_at.saturating_duration_since(Instant::now()).clamp(POLL / 10, POLL));
            }
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            let link = self.conditions(pair);
            let allowed = link.reset_after_bytes.map_or(usize::MAX, |max| max.saturating_sub(total) as usize);
            let chunk = &bytes[..bytes.len().min(allowed)];
            let mut written = 0;
            while written < chunk.len() && !self.is_aborted(proxied) {
                match to.write(&chunk[written..]) {
                    Ok(count) => written += count,
                    Err(e) if is_retryable(&e) => {}
                    Err(_) => return proxied.reset.store(true, SeqCst),
                }
            }
            if chunk.len() < bytes.len() {
                return proxied.reset.store(true, SeqCst);
            }
            total += written as u64;
            lock(&self.state).traffic.entry(pair.clone()).or_default().bytes += written;
            if link.bytes_per_s > 0 {
                thread::sleep(Duration::from_secs_f64(written as f64 / link.bytes_per_s as f64));
            }
        }
    }

    fn conditions(&self, (from, to): &Pair) -> LinkConditions {
        lock(&self.state).conditions(from, to)
    }

    fn is_aborted(&self, proxied: &Proxied) -> bool {
        self.ended.load(SeqCst) || proxied.reset.load(SeqCst)
    }
}

/// Bytes of a connection, and when to deliver them.
type Chunk = (Instant, Vec<u8>);

/// The two sockets of a proxied connection. They close when the four threads that serve them have ended.
struct Proxied {
    near: TcpStream,
    far: TcpStream,
    reset: Arc<AtomicBool>,
}

impl Drop for Proxied {
    fn drop(&mut self) {
        if self.reset.load(SeqCst) {
            reset_on_close(&self.near);
            reset_on_close(&self.far);
        }
    }
}

/// Makes the close of this socket send RST in place of FIN.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

fn is_retryable(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
