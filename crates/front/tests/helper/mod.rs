//! A front without sockets: plays the clients, the caches, the feed and the clock against the reducer, and
//! fails the test at the first broken rule.
#![allow(dead_code)] // Each test file uses a part.

mod acts;
mod words;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorgrade::Ticks;
use doorgrade_front::config::Config;
use doorgrade_front::conn::ConnId;
use doorgrade_front::fastcgi::{self, Decoder};
use doorgrade_front::reasons::Cut;
use doorgrade_front::reducer::{Effect, Input, Reducer};
use doorgrade_front::ring::Ring;
use doorgrade_operator::Files;
use fastrand::Rng;

pub use words::*;

pub const MS: Ticks = 10;
pub const CACHES: [&str; 3] = ["s-00000001", "s-00000002", "s-00000003"];
pub const PARENT: &str = "s-00000010";
pub const SECOND: &str = "s-00000011";
pub const ORIGIN: &str = "s-00000020";
pub const FEED: &str = "127.0.0.1:9092";
/// The rules' figures, in tenths of a millisecond.
const SLACK: Ticks = 580;
const DRAIN_GRACE: Ticks = 20_000;
const PURGE_GRACE: Ticks = 3_000;
const PURGE_DONE: Ticks = 60_000;
const COLD: Ticks = 170_000;
const FALL: Ticks = 15_000;
/// What sending 100 KB takes at the settings' pace.
const PUSH: Ticks = 110;

struct Taken {
    client: ConnId,
    id: u16,
    class: usize,
    key: u64,
    until: Ticks,
    aborted: bool,
    answer: Option<Answer>,
    /// Of each push that came whole to a cache: whether it is proved not to have run.
    pushes: Vec<bool>,
    /// When the first came that may have run.
    first: Option<Ticks>,
}

#[derive(Default)]
struct Conn {
    /// Who was asked for; a client has none.
    to: Option<u16>,
    up: bool,
    reading: Option<Ring>,
    /// From the front, not yet understood.
    got: Vec<u8>,
    /// For the front, not yet read.
    owed: Vec<u8>,
    ended: bool,
    outputs: BTreeMap<u16, Vec<u8>>,
    decoder: Decoder,
    /// The call and push this cache's connection works on.
    busy: Option<(u64, usize)>,
}

pub struct World {
    pub reducer: Reducer,
    pub now: Ticks,
    pub rng: Rng,
    conns: BTreeMap<ConnId, Conn>,
    taken: BTreeMap<u64, Taken>,
    /// Ends told to have run, by port.
    pub drained: BTreeMap<u16, Ticks>,
    purges: Vec<(Option<u64>, u64, Ticks, Ticks)>,
    pub ports: BTreeMap<String, u16>,
    /// When a cache started, as told, and when pushes came to it.
    started: BTreeMap<u16, Ticks>,
    came: BTreeMap<u16, Vec<Ticks>>,
    /// The most pushes that came to one in the time in which a cold cache may fall.
    most_came: usize,
    /// Ports that refuse.
    pub down: BTreeSet<u16>,
    pub exited: bool,
    pub most_open: usize,
    next_client: ConnId,
    pub wholes: BTreeMap<u16, usize>,
    inputs: VecDeque<Input>,
    running: bool,
    /// By how much the system's clock was set back.
    back: Ticks,
    /// Clients that read nothing.
    pub stuck: BTreeSet<ConnId>,
    /// Clients that don't end a connection which the front has ended.
    pub resting: BTreeSet<ConnId>,
    /// What the front had not read yet of the connection that it closed last.
    pub left_unread: usize,
    /// The next request that begins is cut off after so many bytes.
    pub cut_writes: Option<usize>,
    /// Connections of caches that are lost without a word, found out when they are written to.
    pub spoilt: BTreeSet<ConnId>,
    strays: Vec<u16>,
    /// The head of the last push of each access.
    pub heads: BTreeMap<u64, String>,
    /// What caches say in `Made-At`; the present time where none is set.
    pub made_at: Option<String>,
}

impl World {
    pub fn new(seed: u64, sockets: usize) -> World {
        World::with(seed, sockets, Files::default())
    }

    /// With the operators' files.
    pub fn with(seed: u64, sockets: usize, files: Files) -> World {
        World::of(seed, &config(sockets), files)
    }

    /// With another word somewhere in the configuration.
    pub fn changed(seed: u64, sockets: usize, from: &str, to: &str) -> World {
        let config = config(sockets);
        assert!(config.contains(from), "{from}");
        World::of(seed, &config.replace(from, to), Files::default())
    }

    fn of(seed: u64, config: &str, files: Files) -> World {
        let now = 17_000_000_000_000;
        let config = Config::read(config, None, None).expect("a sound configuration").with(files);
        let mut ports: BTreeMap<_, _> = (9101..).zip(CACHES).map(|(p, id)| (id.to_owned(), p)).collect();
        ports.extend([(PARENT.to_owned(), 9110), (SECOND.to_owned(), 9111), (ORIGIN.to_owned(), 9120)]);
        let mut world = World {
            reducer: Reducer::new(config, now),
            now,
            rng: Rng::with_seed(seed),
            conns: BTreeMap::new(),
            taken: BTreeMap::new(),
            drained: BTreeMap::new(),
            purges: Vec::new(),
            ports,
            started: BTreeMap::new(),
            came: BTreeMap::new(),
            most_came: 0,
            down: BTreeSet::new(),
            exited: false,
            most_open: 0,
            next_client: 1 << 63,
            wholes: BTreeMap::new(),
            inputs: VecDeque::new(),
            running: false,
            back: 0,
            stuck: BTreeSet::new(),
            resting: BTreeSet::new(),
            left_unread: 0,
            cut_writes: None,
            spoilt: BTreeSet::new(),
            strays: Vec::new(),
            heads: BTreeMap::new(),
            made_at: None,
        };
        world.input(Input::Listening);
        world
    }

    /// Inputs go in one after the other, whatever they lead to.
    pub fn input(&mut self, input: Input) {
        self.inputs.push_back(input);
        if std::mem::replace(&mut self.running, true) {
            return;
        }
        while let Some(input) = self.inputs.pop_front() {
            self.reducer.input(self.now, input);
            let effects: Vec<_> = self.reducer.effects().collect();
            effects.into_iter().for_each(|effect| self.perform(effect));
            self.most_open = self.most_open.max(self.conns.len());
        }
        self.running = false;
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(conn, to) => {
                self.conns.insert(conn, Conn { to: Some(to.port()), ..Conn::default() });
            }
            Effect::Read(conn, ring) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    assert!(c.reading.replace(ring).is_none(), "one ring a direction");
                    self.deliver(conn);
                }
            }
            Effect::Begin(conn, ring, _) if self.spoilt.remove(&conn) => {
                self.input(Input::Wrote { conn, ring, failed: Some(Cut::Ended) });
                self.input(Input::Read { conn, ring: Ring::new(8), ended: Some(Cut::Ended), at: self.now });
            }
            Effect::Begin(conn, mut ring, _) if self.cut_writes.is_some() => {
                ring.consume(self.cut_writes.take().unwrap_or(0));
                self.input(Input::Wrote { conn, ring, failed: Some(Cut::Ended) });
                self.input(Input::Read { conn, ring: Ring::new(8), ended: Some(Cut::Ended), at: self.now });
            }
            Effect::Write(conn, mut ring) | Effect::Begin(conn, mut ring, _) => {
                let Some(c) = self.conns.get_mut(&conn).filter(|_| !self.stuck.contains(&conn)) else {
                    return;
                };
                c.got.extend_from_slice(ring.whole());
                ring.clear();
                self.understand(conn);
                self.input(Input::Wrote { conn, ring, failed: None });
            }
            Effect::HalfClose(conn, discard) => {
                let Some(c) = self.conns.get(&conn) else { return };
                let told = c.owed.is_empty() && c.reading.is_some();
                if !discard && !told {
                    return;
                }
                let open = |t: &&Taken| t.client == conn && t.answer.is_none() && !t.aborted;
                assert!(
                    discard || self.taken.values().find(open).is_none(),
                    "rule 1: ended before its answer"
                );
                self.input(Input::HalfClosed(conn));
                if !self.resting.contains(&conn) {
                    self.conns.remove(&conn);
                    self.input(Input::Closed(conn));
                }
            }
            Effect::StopListening => self.input(Input::ListenerClosed),
            Effect::Close(conn) => {
                let gone = self.conns.remove(&conn);
                self.left_unread = gone.as_ref().map_or(0, |c| c.owed.len());
                if gone.is_some_and(|c| c.to.is_none()) {
                    self.taken.values_mut().filter(|t| t.client == conn).for_each(|t| t.aborted = true);
                }
                self.input(Input::Closed(conn));
            }
            Effect::Exit => self.exited = true,
        }
    }

    fn deliver(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !c.up || c.owed.is_empty() && !c.ended {
            return;
        }
        let Some(mut ring) = c.reading.take() else { return };
        let most = c.owed.len().min(9_000);
        let count = ring.put(&c.owed[..self.rng.usize(most.min(1)..=most)]);
        c.owed.drain(..count);
        let (ended, at) = (c.ended && c.owed.is_empty(), self.now);
        let ended = ended.then_some(Cut::Ended);
        self.input(Input::Read { conn, ring, ended, at });
    }

    fn understand(&mut self, conn: ConnId) {
        match self.conns[&conn].to {
            None => self.client_reads(conn),
            Some(9092 | 9093) => {}
            Some(port) => self.cache_reads(conn, port),
        }
    }

    fn client_reads(&mut self, conn: ConnId) {
        let c = self.conns.get_mut(&conn).expect("an open connection");
        let mut ring = Ring::new(c.got.len().max(1));
        ring.put(&c.got);
        c.got.clear();
        while let Some(piece) = c.decoder.next(&mut ring).expect("the front's records can be read") {
            let content = ring.front()[..piece.len].to_vec();
            ring.consume(piece.len);
            let output = c.outputs.entry(piece.id).or_default();
            output.extend_from_slice(&content);
            if piece.kind == fastcgi::END_REQUEST && piece.last {
                let mut bytes = c.outputs.remove(&piece.id).unwrap_or_default();
                bytes.truncate(bytes.len() - 8);
                let open =
                    |t: &&mut Taken| t.client == conn && t.id == piece.id && !t.aborted && t.answer.is_none();
                if let Some(t) = self.taken.values_mut().find(open) {
                    assert!(self.now <= t.until + SLACK, "rule 1: a late answer");
                    let got = answer(&bytes);
                    if got.status == 200 {
                        assert!(t.class == 2 || got.body == object(t.key), "the bytes are not whole");
                    }
                    if matches!(got.status, 429 | 503) && t.class >= 2 {
                        assert!(
                            t.pushes.iter().all(|unrun| *unrun),
                            "rule 2: declined though it may have run"
                        );
                    }
                    t.answer = Some(got);
                } else {
                    self.strays.push(answer(&bytes).status);
                }
            }
        }
        c.got.extend_from_slice(ring.whole());
    }

    fn cache_reads(&mut self, conn: ConnId, port: u16) {
        let c = self.conns.get_mut(&conn).expect("an open connection");
        let Some(end) = c.got.windows(4).position(|w| w == b"\r\n\r\n") else { return };
        let head = String::from_utf8(c.got[..end].to_vec()).expect("the front's heads are text");
        let field = |name: &str| {
            head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": ")).map(str::to_owned)
        };
        let length = field("Content-Length").map_or(0, |l| l.parse().expect("a length"));
        if c.got.len() < end + 4 + length {
            return;
        }
        c.got.drain(..end + 4 + length);
        let call = u64::from_str_radix(&field("Call-Id").expect("a Call-Id"), 16).expect("16 hex digits");
        let t = self.taken.get_mut(&call).expect("a push for a request nobody made");
        assert!(t.answer.is_none(), "rule 1: a push after the final answer");
        assert_eq!(head.split('/').nth(2), Some(CLASSES[t.class]));
        assert_eq!(field("Call-Once"), mark(t.class, call), "the mark goes on as it came, and no other");
        if t.pushes.iter().all(|unrun| *unrun) {
            t.first = Some(self.now);
        } else {
            assert!(t.class != 2 && (t.class != 3 || mark(3, call).is_some()), "rule 2: pushed again");
            let known = |first| self.now < first + WINDOW + SLACK;
            assert!(t.class != 3 || t.first.is_some_and(known), "rule 2: past the window");
        }
        let source = field("Miss-To").map(|s| self.ports[&s]);
        self.heads.insert(call, head.clone());
        for port in [Some(port), source].into_iter().flatten() {
            let told = self.drained.get(&port);
            assert!(told.is_none_or(|told| self.now <= told + DRAIN_GRACE), "rule 3: {port} after its drain");
        }
        let age = field("No-Older-Than").map_or(0, |a| a.parse::<u64>().expect("a number") * 10);
        for &(key, group, at, told) in &self.purges {
            let ours = key.map_or(group == t.key % 4, |k| k == t.key);
            if ours && t.class != 2 && self.now > told + PURGE_GRACE && self.now <= at + PURGE_DONE {
                assert!(age > 0 && self.now - age >= at, "rule 5: older than a purge");
            }
        }
        let came = self.came.entry(port).or_default();
        came.push(self.now);
        came.retain(|&t| t + FALL > self.now);
        let age = self.started.get(&port).map_or(COLD, |&at| self.now.saturating_sub(at));
        if age < COLD {
            // Warm, it can do what a warm one did at the most, or a tenth of a transfer where that is more.
            let share = 0.16 + 0.84 * age as f64 / COLD as f64;
            let warm = (self.most_came as f64).max(0.1 * FALL as f64 / PUSH as f64);
            let most = 4.0 * share * warm + 1.0;
            assert!(came.len() as f64 <= most, "rule 4: {} to a cold cache, {most} at the most", came.len());
        } else {
            self.most_came = self.most_came.max(came.len());
        }
        assert!(c.busy.is_none(), "one request at a time");
        c.busy = Some((call, t.pushes.len()));
        t.pushes.push(false);
        *self.wholes.entry(port).or_default() += 1;
    }
}
