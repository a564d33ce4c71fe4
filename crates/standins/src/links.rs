//! What stands between any two processes on loopback: streams and datagrams that pass, are cut one way or both, come
//! late, slowly, twice or out of order, or are reset in the middle. Each direction between two names has its own way,
//! changed while it is in use; chance comes from a seed, and is drawn in the order in which things come.
//!
//! A stream that is cut keeps what was written and delivers it once healed, as a network does whose ends try again;
//! datagrams that are cut are lost. A new connection over a cut link comes up, since its handshake is the kernel's,
//! and then is silent.

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

mod relay;
use crate::lock;

/// Any name.
pub const ANY: &str = "*";
/// How soon a thread that waits looks whether anything has changed.
const LOOK: Duration = Duration::from_millis(10);

/// How what goes from one name to another fares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Way {
    /// Nothing passes, and nobody is told.
    pub cut: bool,
    pub delay_ms: u64,
    /// On top of the delay, by chance; a stream keeps its order, datagrams don't.
    pub jitter_ms: u64,
    /// Of a stream; 0 for as fast as it goes.
    pub bytes_per_s: u64,
    /// Of a stream: once a connection has carried so many bytes this way, it is reset.
    pub reset_after: Option<u64>,
    /// Shares of the datagrams that are lost, and that come twice.
    pub loss: f64,
    pub twice: f64,
}

/// What has gone from one name to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    pub datagrams: usize,
    pub bytes: usize,
    /// Datagrams that did not arrive.
    pub lost: usize,
}

/// A datagram on its way: when it is due, a number to keep the order of equals, over which mailbox, to whom.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: std::cmp::Reverse<Instant>,
    number: std::cmp::Reverse<u64>,
    over: String,
    to: SocketAddr,
    bytes: Vec<u8>,
}

struct Mailbox {
    socket: UdpSocket,
    /// Where the process itself listens.
    real: SocketAddr,
}

struct Open {
    from: String,
    to: String,
    reset: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    /// Later ones go before earlier ones.
    ways: Vec<(String, String, Way)>,
    targets: HashMap<(String, String), SocketAddr>,
    mailboxes: HashMap<String, Mailbox>,
    open: Vec<Open>,
    passed: HashMap<(String, String), Passed>,
    chance: HashMap<(String, String), Rng>,
    due: BinaryHeap<Due>,
    numbers: u64,
}

#[derive(Default)]
struct Inner {
    seed: u64,
    ended: AtomicBool,
    state: Mutex<State>,
    /// Something was put on its way.
    sent: Condvar,
}

/// All links of one rig. They end with it.
pub struct Links(Arc<Inner>);

impl Links {
    pub fn new(seed: u64) -> Links {
        let inner = Arc::new(Inner { seed, ..Inner::default() });
        let postman = inner.clone();
        thread::spawn(move || postman.deliver());
        Links(inner)
    }

    /// The address at which `from` reaches what `to` serves at an address of its own.
    pub fn stream(&self, from: &str, to: &str, real: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let at = listener.local_addr()?;
        let pair = (from.to_owned(), to.to_owned());
        lock(&self.0.state).targets.insert(pair.clone(), real);
        let inner = self.0.clone();
        thread::spawn(move || {
            while !inner.ended.load(SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => inner.join(&pair, near),
                    Err(_) => thread::sleep(LOOK / 2),
                }
            }
        });
        Ok(at)
    }

    /// The address at which all others reach the datagrams of `name`, and from which its own come to them.
    pub fn mailbox(&self, name: &str, real: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(LOOK))?;
        let at = socket.local_addr()?;
        let (reader, name, inner) = (socket.try_clone()?, name.to_owned(), self.0.clone());
        lock(&inner.state).mailboxes.insert(name.clone(), Mailbox { socket, real });
        thread::spawn(move || {
            let mut bytes = vec![0; 1 << 16];
            while !inner.ended.load(SeqCst) {
                if let Ok((count, sender)) = reader.recv_from(&mut bytes) {
                    inner.post(sender, &name, &bytes[..count]);
                }
            }
        });
        Ok(at)
    }

    /// The process has come back at another address.
    pub fn moved(&self, name: &str, real: SocketAddr) {
        let state = &mut *lock(&self.0.state);
        state.targets.iter_mut().filter(|(pair, _)| pair.1 == name).for_each(|(_, at)| *at = real);
        if let Some(mailbox) = state.mailboxes.get_mut(name) {
            mailbox.real = real;
        }
    }

    pub fn set(&self, from: &str, to: &str, way: Way) {
        let ways = &mut lock(&self.0.state).ways;
        ways.retain(|w| (&*w.0, &*w.1) != (from, to));
        ways.push((from.to_owned(), to.to_owned(), way));
    }

    /// Cuts two sets of names apart, both ways.
    pub fn part<T: AsRef<str>>(&self, these: &[T], those: &[T]) {
        for (a, b) in these.iter().flat_map(|a| those.iter().map(move |b| (a.as_ref(), b.as_ref()))) {
            self.set(a, b, Way { cut: true, ..Way::default() });
            self.set(b, a, Way { cut: true, ..Way::default() });
        }
    }

    pub fn heal(&self) {
        lock(&self.0.state).ways.clear();
    }

    /// Connections of these two that are open end in the middle.
    pub fn reset(&self, from: &str, to: &str) {
        let state = lock(&self.0.state);
        let named = |name: &str, pattern: &str| pattern == ANY || name == pattern;
        let between = |o: &&Open| named(&o.from, from) && named(&o.to, to);
        state.open.iter().filter(between).for_each(|o| o.reset.store(true, SeqCst));
    }

    pub fn passed(&self, from: &str, to: &str) -> Passed {
        lock(&self.0.state).passed.get(&(from.into(), to.into())).copied().unwrap_or_default()
    }

    /// What a name has sent to all others.
    pub fn sent_by(&self, name: &str) -> Passed {
        let state = lock(&self.0.state);
        let own = state.passed.iter().filter(|(pair, _)| pair.0 == name);
        own.fold(Passed::default(), |sum, (_, p)| Passed {
            datagrams: sum.datagrams + p.datagrams,
            bytes: sum.bytes + p.bytes,
            lost: sum.lost + p.lost,
        })
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.0.ended.store(true, SeqCst);
        self.0.sent.notify_all();
    }
}

impl State {
    fn way(&self, from: &str, to: &str) -> Way {
        let fits = |pattern: &str, name: &str| pattern == ANY || pattern == name;
        let found = self.ways.iter().rev().find(|w| fits(&w.0, from) && fits(&w.1, to));
        found.map(|w| w.2.clone()).unwrap_or_default()
    }
}

impl Inner {
    /// By chance, from the seed and the two names alone.
    fn draw<T>(&self, state: &mut State, from: &str, to: &str, draw: impl FnOnce(&mut Rng) -> T) -> T {
        let own = || {
            let names = doorgrade::hash::text(from).rotate_left(1) ^ doorgrade::hash::text(to);
            Rng::with_seed(self.seed ^ names)
        };
        draw(state.chance.entry((from.to_owned(), to.to_owned())).or_insert_with(own))
    }

    // ---- datagrams

    fn post(&self, sender: SocketAddr, to: &str, bytes: &[u8]) {
        let state = &mut *lock(&self.state);
        let Some(from) = state.mailboxes.iter().find(|(_, m)| m.real == sender).map(|(n, _)| n.clone())
        else {
            return; // Nobody's: a process that has gone, or one that was never told of.
        };
        let Some(real) = state.mailboxes.get(to).map(|m| m.real) else { return };
        let way = state.way(&from, to);
        let drawn = self.draw(state, &from, to, |rng| {
            let (lost, twice) = (rng.f64() < way.loss, rng.f64() < way.twice);
            let late = [(); 2].map(|()| way.delay_ms + rng.u64(0..=way.jitter_ms));
            (lost, twice, late)
        });
        let (lost, twice, late) = drawn;
        let passed = state.passed.entry((from.clone(), to.to_owned())).or_default();
        passed.datagrams += 1;
        passed.bytes += bytes.len();
        if way.cut || lost {
            passed.lost += 1;
            return;
        }
        for late in &late[..if twice { 2 } else { 1 }] {
            state.numbers += 1;
            state.due.push(Due {
                at: std::cmp::Reverse(Instant::now() + Duration::from_millis(*late)),
                number: std::cmp::Reverse(state.numbers),
                over: from.clone(),
                to: real,
                bytes: bytes.to_vec(),
            });
        }
        self.sent.notify_all();
    }

    fn deliver(&self) {
        let mut state = lock(&self.state);
        while !self.ended.load(SeqCst) {
            let now = Instant::now();
            if state.due.peek().is_some_and(|d| d.at.0 <= now) {
                let Some(due) = state.due.pop() else { continue };
                if let Some(mailbox) = state.mailboxes.get(&due.over) {
                    let _ = mailbox.socket.send_to(&due.bytes, due.to);
                }
                continue;
            }
            let wait = state.due.peek().map_or(LOOK, |d| d.at.0 - now).min(LOOK);
            state = self.sent.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    // ---- streams

    fn join(self: &Arc<Self>, pair: &(String, String), near: TcpStream) {
        let target = lock(&self.state).targets.get(pair).copied();
        let Some(far) = target.and_then(|at| TcpStream::connect(at).ok()) else {
            return abort(&near); // Nobody is there.
        };
        let joined = Arc::new(Joined { near, far, reset: Arc::default() });
        for stream in [&joined.near, &joined.far] {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(LOOK));
            let _ = stream.set_write_timeout(Some(LOOK));
        }
        let open = Open { from: pair.0.clone(), to: pair.1.clone(), reset: joined.reset.clone() };
        {
            let open_now = &mut lock(&self.state).open;
            open_now.retain(|o| Arc::strong_count(&o.reset) > 1);
            open_now.push(open);
        }
        for onward in [true, false] {
            let names = if onward { pair.clone() } else { (pair.1.clone(), pair.0.clone()) };
            let (send, receive) = sync_channel(32);
            let (taker, giver) = (self.clone(), self.clone());
            let (source, target, taken) = (joined.clone(), joined.clone(), names.clone());
            thread::spawn(move || taker.take(&taken, &source, onward, &send));
            thread::spawn(move || giver.give(&names, &target, onward, &receive));
        }
    }

    /// Reads on as far as the other end keeps up. An empty piece is the end of what is written this way.
    fn take(&self, names: &(String, String), joined: &Joined, onward: bool, send: &SyncSender<Piece>) {
        let mut from = if onward { &joined.near } else { &joined.far };
        let mut bytes = vec![0; 1 << 14];
        while !self.over(joined) {
            match from.read(&mut bytes) {
                Ok(count) => {
                    let late = {
                        let state = &mut *lock(&self.state);
                        let way = state.way(&names.0, &names.1);
                        let jitter = self.draw(state, &names.0, &names.1, |rng| rng.u64(0..=way.jitter_ms));
                        Duration::from_millis(way.delay_ms + jitter)
                    };
                    if send.send((Instant::now() + late, bytes[..count].to_vec())).is_err() || count == 0 {
                        return;
                    }
                }
                Err(e) if again(&e) => {}
                Err(_) => return joined.reset.store(true, SeqCst),
            }
        }
    }

    fn give(&self, names: &(String, String), joined: &Joined, onward: bool, receive: &Receiver<Piece>) {
        let mut to = if onward { &joined.far } else { &joined.near };
        let mut carried = 0;
        while !self.over(joined) {
            let Ok((due, bytes)) = receive.recv_timeout(LOOK) else { continue };
            while !self.over(joined) && (Instant::now() < due || self.way(names).cut) {
                thread::sleep(due.saturating_duration_since(Instant::now()).clamp(LOOK / 10, LOOK));
            }
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            let way = self.way(names);
            let left = way.reset_after.map_or(usize::MAX, |most| most.saturating_sub(carried) as usize);
            let piece = &bytes[..bytes.len().min(left)];
            let mut done = 0;
            while done < piece.len() && !self.over(joined) {
                match to.write(&piece[done..]) {
                    Ok(count) => done += count,
                    Err(e) if again(&e) => {}
                    Err(_) => return joined.reset.store(true, SeqCst),
                }
            }
            if piece.len() < bytes.len() {
                return joined.reset.store(true, SeqCst);
            }
            carried += done as u64;
            lock(&self.state).passed.entry(names.clone()).or_default().bytes += done;
            if way.bytes_per_s > 0 {
                thread::sleep(Duration::from_secs_f64(done as f64 / way.bytes_per_s as f64));
            }
        }
    }

    fn way(&self, (from, to): &(String, String)) -> Way {
        lock(&self.state).way(from, to)
    }

    /// Whether a connection is to end at once; then it does so with a reset.
    fn over(&self, joined: &Joined) -> bool {
        self.ended.load(SeqCst) || joined.reset.load(SeqCst)
    }
}

/// A piece of a stream, and when it is due at the other end.
type Piece = (Instant, Vec<u8>);

/// The two halves of a connection. They are closed when all four threads that serve them have ended.
struct Joined {
    near: TcpStream,
    far: TcpStream,
    reset: Arc<AtomicBool>,
}

impl Drop for Joined {
    fn drop(&mut self) {
        if self.reset.load(SeqCst) {
            abort(&self.near);
            abort(&self.far);
        }
    }
}

/// Its close will be a reset, not an end.
fn abort(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

fn again(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
