//! Tests the reducer without sockets: simulates clients, caches, feed and clock, and fails at the first
//! violated rule.
#![allow(dead_code)] // Each test file uses a part.

mod actions;
mod messages;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorgrade::Ticks;
use doorgrade_front::config::Config;
use doorgrade_front::conn::ConnId;
use doorgrade_front::fastcgi::{self, Decoder};
use doorgrade_front::reasons::IoEnd;
use doorgrade_front::reducer::{Effect, Input, Reducer};
use doorgrade_front::ring_buffer::RingBuffer;
use doorgrade_operator::Files;
use fastrand::Rng;

pub use messages::*;

pub const MS: Ticks = 10;
pub const CACHES: [&str; 3] = ["s-00000001", "s-00000002", "s-00000003"];
pub const PARENT: &str = "s-00000010";
pub const SECOND_PARENT: &str = "s-00000011";
pub const ORIGIN: &str = "s-00000020";
pub const FEED: &str = "127.0.0.1:9092";
/// Figures of the rules, in units of 0.1 ms.
const SLACK: Ticks = 580;
const DRAIN_GRACE: Ticks = 20_000;
const PURGE_GRACE: Ticks = 3_000;
const PURGE_PROPAGATION: Ticks = 60_000;
const COLD_DURATION: Ticks = 170_000;
const COLD_WINDOW: Ticks = 15_000;
/// The transfer time of 100 KB at the configured rate.
const TRANSFER_TIME: Ticks = 110;

struct TrackedAccess {
    client: ConnId,
    id: u16,
    offering: usize,
    key: u64,
    deadline: Ticks,
    aborted: bool,
    response: Option<Response>,
    /// For each push that a cache received whole: whether it provably did not run.
    pushes: Vec<bool>,
    /// When the first push that may have run was received.
    first_unproved_at: Option<Ticks>,
}

#[derive(Default)]
struct Conn {
    /// The port connected to; none for a client's connection.
    port: Option<u16>,
    up: bool,
    reading: Option<RingBuffer>,
    /// From the front, not decoded yet.
    received: Vec<u8>,
    /// For the front, not read yet.
    unread: Vec<u8>,
    ended: bool,
    outputs: BTreeMap<u16, Vec<u8>>,
    decoder: Decoder,
    /// The access and push that the cache is handling on this connection.
    serving: Option<(u64, usize)>,
}

pub struct World {
    pub reducer: Reducer,
    pub now: Ticks,
    pub rng: Rng,
    conns: BTreeMap<ConnId, Conn>,
    accesses: BTreeMap<u64, TrackedAccess>,
    /// When the feed reported that a member is to stop, by port.
    pub drained: BTreeMap<u16, Ticks>,
    purges: Vec<(Option<u64>, u64, Ticks, Ticks)>,
    pub ports: BTreeMap<String, u16>,
    /// The reported start of each cache, and when it received pushes.
    started: BTreeMap<u16, Ticks>,
    recent_pushes: BTreeMap<u16, Vec<Ticks>>,
    /// The most pushes that a warm cache received within the time in which a cold one may fail.
    max_recent_pushes: usize,
    /// Ports that refuse connections.
    pub refusing_ports: BTreeSet<u16>,
    pub exited: bool,
    pub max_open: usize,
    next_client: ConnId,
    pub request_counts: BTreeMap<u16, usize>,
    inputs: VecDeque<Input>,
    running: bool,
    /// By how much the system's clock was set back.
    clock_set_back: Ticks,
    /// Clients that do not read.
    pub not_reading: BTreeSet<ConnId>,
    /// Clients that do not close a connection which the front has half-closed.
    pub keeps_open: BTreeSet<ConnId>,
    /// How many bytes the front had not read of the connection that it closed last.
    pub unread_at_close: usize,
    /// The next request is cut off after this many bytes.
    pub truncate_next_request: Option<usize>,
    /// Cache connections that are lost unnoticed until something is written to them.
    pub lost_conns: BTreeSet<ConnId>,
    stray_statuses: Vec<u16>,
    /// The head of the last push of each access.
    pub request_heads: BTreeMap<u64, String>,
    /// How long each connection may take to be established.
    pub connect_timeouts: BTreeMap<ConnId, Ticks>,
    /// The value of `Made-At` in responses of caches; the present time if none.
    pub made_at: Option<String>,
}

impl World {
    pub fn new(seed: u64, sockets: usize) -> World {
        World::with_files(seed, sockets, Files::default())
    }

    /// With files of the operators.
    pub fn with_files(seed: u64, sockets: usize, files: Files) -> World {
        World::from_config(seed, &config(sockets), files)
    }

    /// With a text of the configuration replaced.
    pub fn with_config_change(seed: u64, sockets: usize, from: &str, to: &str) -> World {
        let config = config(sockets);
        assert!(config.contains(from), "{from}");
        World::from_config(seed, &config.replace(from, to), Files::default())
    }

    fn from_config(seed: u64, config: &str, files: Files) -> World {
        let now = 17_000_000_000_000;
        let config = Config::read(config, None, None).expect("a valid configuration").with_files(files);
        let mut ports: BTreeMap<_, _> = (9101..).zip(CACHES).map(|(p, id)| (id.to_owned(), p)).collect();
        ports.extend([
            (PARENT.to_owned(), 9110),
            (SECOND_PARENT.to_owned(), 9111),
            (ORIGIN.to_owned(), 9120),
        ]);
        let mut world = World {
            reducer: Reducer::new(config, now),
            now,
            rng: Rng::with_seed(seed),
            conns: BTreeMap::new(),
            accesses: BTreeMap::new(),
            drained: BTreeMap::new(),
            purges: Vec::new(),
            ports,
            started: BTreeMap::new(),
            recent_pushes: BTreeMap::new(),
            max_recent_pushes: 0,
            refusing_ports: BTreeSet::new(),
            exited: false,
            max_open: 0,
            next_client: 1 << 63,
            request_counts: BTreeMap::new(),
            inputs: VecDeque::new(),
            running: false,
            clock_set_back: 0,
            not_reading: BTreeSet::new(),
            keeps_open: BTreeSet::new(),
            unread_at_close: 0,
            truncate_next_request: None,
            lost_conns: BTreeSet::new(),
            stray_statuses: Vec::new(),
            request_heads: BTreeMap::new(),
            connect_timeouts: BTreeMap::new(),
            made_at: None,
        };
        world.input(Input::Listening);
        world
    }

    /// Handles inputs one after the other, including those that follow from effects.
    pub fn input(&mut self, input: Input) {
        self.inputs.push_back(input);
        if std::mem::replace(&mut self.running, true) {
            return;
        }
        while let Some(input) = self.inputs.pop_front() {
            self.reducer.input(self.now, input);
            let effects: Vec<_> = self.reducer.effects().collect();
            effects.into_iter().for_each(|effect| self.perform(effect));
            self.max_open = self.max_open.max(self.conns.len());
        }
        self.running = false;
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(conn, address, timeout) => {
                self.connect_timeouts.insert(conn, timeout);
                self.conns.insert(conn, Conn { port: Some(address.port()), ..Conn::default() });
            }
            Effect::Read(conn, buffer) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    assert!(c.reading.replace(buffer).is_none(), "one buffer for each direction");
                    self.deliver(conn);
                }
            }
            Effect::StartRequest(conn, buffer, _) if self.lost_conns.remove(&conn) => {
                self.input(Input::Wrote { conn, buffer, failed: Some(IoEnd::PeerClosed) });
                self.input(Input::Read {
                    conn,
                    buffer: RingBuffer::new(8),
                    ended: Some(IoEnd::PeerClosed),
                    received_at: self.now,
                });
            }
            Effect::StartRequest(conn, mut buffer, _) if self.truncate_next_request.is_some() => {
                buffer.consume(self.truncate_next_request.take().unwrap_or(0));
                self.input(Input::Wrote { conn, buffer, failed: Some(IoEnd::PeerClosed) });
                self.input(Input::Read {
                    conn,
                    buffer: RingBuffer::new(8),
                    ended: Some(IoEnd::PeerClosed),
                    received_at: self.now,
                });
            }
            Effect::Write(conn, mut buffer) | Effect::StartRequest(conn, mut buffer, _) => {
                let Some(c) = self.conns.get_mut(&conn).filter(|_| !self.not_reading.contains(&conn)) else {
                    return;
                };
                c.received.extend_from_slice(buffer.contiguous());
                buffer.clear();
                self.handle_output(conn);
                self.input(Input::Wrote { conn, buffer, failed: None });
            }
            Effect::HalfClose(conn, discard) => {
                let Some(c) = self.conns.get(&conn) else { return };
                let at_rest = c.unread.is_empty() && c.reading.is_some();
                if !discard && !at_rest {
                    return;
                }
                let open = |t: &&TrackedAccess| t.client == conn && t.response.is_none() && !t.aborted;
                assert!(
                    discard || self.accesses.values().find(open).is_none(),
                    "rule 1: closed before its response"
                );
                self.input(Input::HalfClosed(conn));
                if !self.keeps_open.contains(&conn) {
                    self.conns.remove(&conn);
                    self.input(Input::Closed(conn));
                }
            }
            Effect::StopListening => self.input(Input::ListenerClosed),
            Effect::Close(conn) => {
                let gone = self.conns.remove(&conn);
                self.unread_at_close = gone.as_ref().map_or(0, |c| c.unread.len());
                if gone.is_some_and(|c| c.port.is_none()) {
                    self.accesses.values_mut().filter(|t| t.client == conn).for_each(|t| t.aborted = true);
                }
                self.input(Input::Closed(conn));
            }
            Effect::Exit => self.exited = true,
        }
    }

    fn deliver(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !c.up || c.unread.is_empty() && !c.ended {
            return;
        }
        let Some(mut buffer) = c.reading.take() else { return };
        let max = c.unread.len().min(9_000);
        let count = buffer.put(&c.unread[..self.rng.usize(max.min(1)..=max)]);
        c.unread.drain(..count);
        let (ended, received_at) = (c.ended && c.unread.is_empty(), self.now);
        let ended = ended.then_some(IoEnd::PeerClosed);
        self.input(Input::Read { conn, buffer, ended, received_at });
    }

    fn handle_output(&mut self, conn: ConnId) {
        match self.conns[&conn].port {
            None => self.client_reads(conn),
            Some(9092 | 9093) => {}
            Some(port) => self.cache_reads(conn, port),
        }
    }

    fn client_reads(&mut self, conn: ConnId) {
        let c = self.conns.get_mut(&conn).expect("an open connection");
        let mut buffer = RingBuffer::new(c.received.len().max(1));
        buffer.put(&c.received);
        c.received.clear();
        while let Some(fragment) = c.decoder.next(&mut buffer).expect("valid records from the front") {
            let content = buffer.front()[..fragment.len].to_vec();
            buffer.consume(fragment.len);
            let output = c.outputs.entry(fragment.id).or_default();
            output.extend_from_slice(&content);
            if fragment.kind == fastcgi::END_REQUEST && fragment.last {
                let mut bytes = c.outputs.remove(&fragment.id).unwrap_or_default();
                bytes.truncate(bytes.len() - 8);
                let open = |t: &&mut TrackedAccess| {
                    t.client == conn && t.id == fragment.id && !t.aborted && t.response.is_none()
                };
                if let Some(t) = self.accesses.values_mut().find(open) {
                    assert!(self.now <= t.deadline + SLACK, "rule 1: a late response");
                    let response = parse_response(&bytes);
                    if response.status == 200 {
                        assert!(
                            t.offering == 2 || response.body == object_bytes(t.key),
                            "the body is incomplete or wrong"
                        );
                    }
                    if matches!(response.status, 429 | 503) && t.offering >= 2 {
                        assert!(
                            t.pushes.iter().all(|proved_unrun| *proved_unrun),
                            "rule 2: declined though it may have run"
                        );
                    }
                    t.response = Some(response);
                } else {
                    self.stray_statuses.push(parse_response(&bytes).status);
                }
            }
        }
        c.received.extend_from_slice(buffer.contiguous());
    }

    fn cache_reads(&mut self, conn: ConnId, port: u16) {
        let c = self.conns.get_mut(&conn).expect("an open connection");
        let Some(end) = c.received.windows(4).position(|w| w == b"\r\n\r\n") else { return };
        let head = String::from_utf8(c.received[..end].to_vec()).expect("heads in UTF-8");
        let field = |name: &str| {
            head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": ")).map(str::to_owned)
        };
        let length = field("Content-Length").map_or(0, |l| l.parse().expect("a length"));
        if c.received.len() < end + 4 + length {
            return;
        }
        c.received.drain(..end + 4 + length);
        let access = u64::from_str_radix(&field("Call-Id").expect("a Call-Id"), 16).expect("16 hex digits");
        let t = self.accesses.get_mut(&access).expect("a push for an unknown access");
        assert!(t.response.is_none(), "rule 1: a push after the final response");
        assert_eq!(head.split('/').nth(2), Some(OFFERINGS[t.offering]));
        assert_eq!(field("Call-Once"), repeat_id(t.offering, access), "the repeat id is passed on unchanged");
        if t.pushes.iter().all(|proved_unrun| *proved_unrun) {
            t.first_unproved_at = Some(self.now);
        } else {
            assert!(
                t.offering != 2 && (t.offering != 3 || repeat_id(3, access).is_some()),
                "rule 2: pushed again"
            );
            let in_window = |first| self.now < first + WINDOW + SLACK;
            assert!(t.offering != 3 || t.first_unproved_at.is_some_and(in_window), "rule 2: past the window");
        }
        let source = field("Miss-To").map(|s| self.ports[&s]);
        self.request_heads.insert(access, head.clone());
        for port in [Some(port), source].into_iter().flatten() {
            let reported_at = self.drained.get(&port);
            assert!(
                reported_at.is_none_or(|reported_at| self.now <= reported_at + DRAIN_GRACE),
                "rule 3: {port} after its drain"
            );
        }
        let age = field("No-Older-Than").map_or(0, |a| a.parse::<u64>().expect("a number") * 10);
        for &(key, group, at, reported_at) in &self.purges {
            let concerned = key.map_or(group == t.key % 4, |k| k == t.key);
            if concerned
                && t.offering != 2
                && self.now > reported_at + PURGE_GRACE
                && self.now <= at + PURGE_PROPAGATION
            {
                assert!(age > 0 && self.now - age >= at, "rule 5: older than a purge");
            }
        }
        let recent_pushes = self.recent_pushes.entry(port).or_default();
        recent_pushes.push(self.now);
        recent_pushes.retain(|&t| t + COLD_WINDOW > self.now);
        let age = self.started.get(&port).map_or(COLD_DURATION, |&at| self.now.saturating_sub(at));
        if age < COLD_DURATION {
            // A warm cache can take as much as the busiest one received, or a tenth of a transfer, if that is
            // more.
            let share = 0.16 + 0.84 * age as f64 / COLD_DURATION as f64;
            let warm = (self.max_recent_pushes as f64).max(0.1 * COLD_WINDOW as f64 / TRANSFER_TIME as f64);
            let max = 4.0 * share * warm + 1.0;
            assert!(
                recent_pushes.len() as f64 <= max,
                "rule 4: {} to a cold cache, at most {max} allowed",
                recent_pushes.len()
            );
        } else {
            self.max_recent_pushes = self.max_recent_pushes.max(recent_pushes.len());
        }
        assert!(c.serving.is_none(), "one request at a time");
        c.serving = Some((access, t.pushes.len()));
        t.pushes.push(false);
        *self.request_counts.entry(port).or_default() += 1;
    }
}
