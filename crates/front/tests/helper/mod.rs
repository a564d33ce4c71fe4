//! A front without sockets: plays the clients, the caches, the feed and the clock against the reducer, and
//! fails the test at the first broken rule.
#![allow(dead_code)] // Each test file uses a part.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorgrade::Tenths;
use doorgrade_front::config::Config;
use doorgrade_front::conn::ConnId;
use doorgrade_front::fastcgi::{self, Decoder};
use doorgrade_front::reducer::{Effect, Input, Made, Reducer};
use doorgrade_front::ring::Ring;
use doorgrade_operator::Files;
use doorgrade_operator::settings::{Hierarchy, Settings};
use fastrand::Rng;

pub const CACHES: [&str; 3] = ["s-00000001", "s-00000002", "s-00000003"];
pub const PARENT: &str = "s-00000010";
pub const SECOND: &str = "s-00000011";
pub const ORIGIN: &str = "s-00000020";
pub const FEED: &str = "127.0.0.1:9092";
/// The rules' figures, in tenths of a millisecond.
const SLACK: Tenths = 580;
const DRAIN_GRACE: Tenths = 20_000;
const PURGE_GRACE: Tenths = 3_000;
const PURGE_DONE: Tenths = 60_000;
const COLD: Tenths = 170_000;
const FALL: Tenths = 15_000;
/// What sending 100 KB takes at the settings' pace.
const PUSH: Tenths = 110;

/// A configuration: classes 0 `images` (fresh for 8 s), 1 `fonts` (until purged), 2 `orders` (unrepeatable
/// writes), 3 `votes` (deduplicated for a second by the mark they carry; some carry none).
pub fn config(sockets: usize) -> String {
    let member = |id: &str, port: u32, kind: &str| {
        format!(
            r#"{{"id":"{id}","host_port":"127.0.0.1:{port}","locality":"here","flavor":"{kind}",
            "cell":0,"phase":"in_service","size":1,"up_since_ms":0}}"#
        )
    };
    let mut members: Vec<_> = (1..).zip(CACHES).map(|(n, id)| member(id, 9100 + n, "cache")).collect();
    members.extend([member(PARENT, 9110, "parent"), member(ORIGIN, 9120, "origin")]);
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"1f","limits":{{"memory_mb":48,"sockets":{sockets}}},
        "feed":"{FEED}","unknown":[1],"known":{{"n":1,"events":[{{"n":1,"members":
        {{"revision":1,"complete":true,"members":[{}]}}}}]}},"settings":{{"zone":0,"fleetSize":1,"quantum":2.0,
        "localities":["here"],"machineTypes":["cache","parent","origin"],"registryMode":"automatic",
        "limits":{{"cancel":true,"connIdle":15000.0,"connectTimeout":400.0,"maxAttempts":6,"secondCopies":true}},
        "profiles":[{{"name":"images","aim":400.0,"deadline":2000.0,"worth":1.0,"semantics":"free"}},
        {{"name":"fonts","aim":400.0,"deadline":2000.0,"worth":2.0,"semantics":"free"}},
        {{"name":"orders","aim":400.0,"deadline":2000.0,"worth":3.0,"semantics":"single_shot"}},
        {{"name":"votes","aim":400.0,"deadline":2000.0,"worth":3.0,"semantics":"guarded","group":"zone",
        "repeatWindow":1000.0}}],
        "rules":{{"cold":17000.0,"fall":1500.0,"fallMultiple":4.0,"startCapacity":0.16}},
        "specifics":{{"crewByZone":[1],"maxAge":[8000.0,0.0,0.0,0.0],"notesGiven":"all","parentCold":21000.0,
        "parentColdFrom":0.1,"parentLimitFactor":2.0,"passOn":[false,false,true,false],"purgeDone":6000.0,"rootKind":2,
        "upperKind":1,"sharesFills":true,"straight":true,"streamKbPerS":9100.0}}}}}}"#,
        members.join(",")
    )
}

/// The hierarchy on: the parent and, above it, the origin; and a second parent that nobody has listed yet.
pub fn tiers() -> Files {
    let hierarchy =
        Hierarchy { shape: "s".into(), tier: 1, hand_over_ms: 4_000, loop_header: true, shield: true };
    let settings = Settings { hierarchy: Some(hierarchy), ..Settings::default() };
    let member = |name: &str, tier: u8, sources: &str| {
        format!(
            "member \"{name}\" {{\nincarnation = 1\nnumber = 1\ntier = {tier}\nfills_from = [{sources}]\n}}\n"
        )
    };
    let above = format!("\"{ORIGIN}\"");
    let shape = [member(ORIGIN, 2, ""), member(PARENT, 1, &above), member(SECOND, 1, &above)].concat();
    Files { settings, shape: doorgrade_operator::shape::read("s", &shape).expect("a sound shape") }
}

pub const CLASSES: [&str; 4] = ["images", "fonts", "orders", "votes"];
/// How long a vote is known again.
const WINDOW: Tenths = 10_000;

/// The mark of a vote; one in three has none.
fn mark(class: usize, call: u64) -> Option<String> {
    (class == 3 && !call.is_multiple_of(3)).then(|| format!("{:032x}", u128::from(call) << 64 | 0xabc))
}

/// A FastCGI record.
pub fn record(kind: u8, id: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let mut bytes = fastcgi::header(kind, id, content.len()).to_vec();
    bytes[6] = padding;
    bytes.extend_from_slice(content);
    bytes.resize(bytes.len() + usize::from(padding), 0);
    bytes
}

/// A whole request; `fields` come as headers do.
pub fn request(id: u16, path: &str, fields: &[(&str, String)], body: &[u8], padding: u8) -> Vec<u8> {
    let mut params = Vec::new();
    fastcgi::put_pair(&mut params, b"SCRIPT_NAME", path.as_bytes());
    for (name, value) in fields {
        let name = format!("HTTP_{}", name.to_uppercase().replace('-', "_"));
        fastcgi::put_pair(&mut params, name.as_bytes(), value.as_bytes());
    }
    let mut bytes = record(fastcgi::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0], padding);
    bytes.extend(record(fastcgi::PARAMS, id, &params, padding));
    bytes.extend(record(fastcgi::PARAMS, id, &[], 0));
    for piece in body.chunks(7_000) {
        bytes.extend(record(fastcgi::STDIN, id, piece, padding));
    }
    bytes.extend(record(fastcgi::STDIN, id, &[], 0));
    bytes
}

pub fn access(call: u64, object: u64, wait_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Req-Id", format!("{call:016x}")),
        ("Req-Wait-Ms", wait_ms.to_string()),
        ("Req-Key", format!("{object:016x}")),
        ("X-Seg", "0".into()),
        ("X-Bucket", (object % 4).to_string()),
        ("Req-Kb", "100".into()),
    ]
}

/// A client's answer as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

pub fn answer(bytes: &[u8]) -> Answer {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("an answer has an empty line");
    let head = String::from_utf8(bytes[..end].to_vec()).expect("its head is text");
    let status = head.strip_prefix("Status: ").and_then(|h| h.get(..3)).and_then(|s| s.parse().ok());
    Answer { status: status.expect("an answer has a status"), head, body: bytes[end + 4..].to_vec() }
}

/// The bytes of an object.
pub fn object(key: u64) -> Vec<u8> {
    let mut rng = Rng::with_seed(key);
    let mut bytes = vec![0; rng.usize(0..60_000)];
    rng.fill(&mut bytes);
    bytes
}

struct Taken {
    client: ConnId,
    id: u16,
    class: usize,
    key: u64,
    until: Tenths,
    aborted: bool,
    answer: Option<Answer>,
    /// Of each push that came whole to a cache: whether it is proved not to have run.
    pushes: Vec<bool>,
    /// When the first came that may have run.
    first: Option<Tenths>,
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
    pub now: Tenths,
    pub rng: Rng,
    conns: BTreeMap<ConnId, Conn>,
    taken: BTreeMap<u64, Taken>,
    /// Ends told to have run, by port.
    pub drained: BTreeMap<u16, Tenths>,
    purges: Vec<(Option<u64>, u64, Tenths, Tenths)>,
    pub ports: BTreeMap<String, u16>,
    /// When a cache started, as told, and when pushes came to it.
    started: BTreeMap<u16, Tenths>,
    came: BTreeMap<u16, Vec<Tenths>>,
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
    back: Tenths,
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
            Effect::Begin(conn, ring) if self.spoilt.remove(&conn) => {
                self.input(Input::Wrote { conn, ring, failed: true });
                self.input(Input::Read { conn, ring: Ring::new(8), ended: true, at: self.now - self.back });
            }
            Effect::Begin(conn, mut ring) if self.cut_writes.is_some() => {
                ring.consume(self.cut_writes.take().unwrap_or(0));
                self.input(Input::Wrote { conn, ring, failed: true });
                self.input(Input::Read { conn, ring: Ring::new(8), ended: true, at: self.now - self.back });
            }
            Effect::Write(conn, mut ring) | Effect::Begin(conn, mut ring) => {
                let Some(c) = self.conns.get_mut(&conn).filter(|_| !self.stuck.contains(&conn)) else {
                    return;
                };
                c.got.extend_from_slice(ring.whole());
                ring.clear();
                self.understand(conn);
                self.input(Input::Wrote { conn, ring, failed: false });
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

    pub fn client(&mut self) -> ConnId {
        let conn = self.next_client;
        self.next_client += 1;
        self.conns.insert(conn, Conn { up: true, ..Conn::default() });
        self.input(Input::Accepted(conn));
        conn
    }

    /// A client writes a request; it is delivered in pieces.
    pub fn ask(&mut self, conn: ConnId, id: u16, call: u64, class: usize, key: u64, wait_ms: u64) {
        let body = if class == 2 { vec![7; self.rng.usize(..48_000)] } else { Vec::new() };
        let mut fields = access(call, key, wait_ms);
        fields.extend(mark(class, call).map(|m| ("Req-Token", m)));
        let padding = self.rng.u8(..9);
        let bytes = request(id, &format!("/do/{}", CLASSES[class]), &fields, &body, padding);
        let (until, pushes) = (self.now + wait_ms * 10, Vec::new());
        let (aborted, answer, first) = (false, None, None);
        let taken = Taken { client: conn, id, class, key, until, aborted, answer, pushes, first };
        self.taken.insert(call, taken);
        self.owe(conn, &bytes);
    }

    pub fn abort(&mut self, call: u64) {
        let Some(t) = self.taken.get_mut(&call).filter(|t| t.answer.is_none() && !t.aborted) else { return };
        t.aborted = true;
        let (conn, id) = (t.client, t.id);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.outputs.remove(&id);
        }
        self.owe(conn, &record(fastcgi::ABORT_REQUEST, id, &[], 0));
    }

    /// Sends bytes that no access goes with; the status that comes back at once.
    pub fn stray(&mut self, conn: ConnId, bytes: &[u8]) -> Option<u16> {
        let open: Vec<_> = self.open_calls();
        self.taken.values_mut().for_each(|t| t.aborted |= t.client == conn && t.answer.is_none());
        self.owe(conn, bytes);
        open.iter().for_each(|call| self.taken.get_mut(call).expect("it was open").aborted = false);
        self.strays.pop()
    }

    pub fn set_back(&mut self, by: Tenths) {
        self.back += by;
        self.reducer.set_ahead(self.back);
    }

    pub fn answer_of(&self, call: u64) -> Option<&Answer> {
        self.taken.get(&call)?.answer.as_ref()
    }

    pub fn pushes_of(&self, call: u64) -> usize {
        self.taken[&call].pushes.len()
    }

    /// Bytes for the front, which reads them when it will, in pieces of any size.
    pub fn owe(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.owed.extend_from_slice(bytes);
            self.deliver(conn);
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if let Some(conn) = self.to_port(9092) {
            self.owe(conn, bytes);
        }
    }

    pub fn to_port(&self, port: u16) -> Option<ConnId> {
        self.conns.iter().find(|(_, c)| c.to == Some(port) && c.up).map(|(&conn, _)| conn)
    }

    pub fn end(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.ended = true;
            self.deliver(conn);
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
        let (ended, at) = (c.ended && c.owed.is_empty(), self.now - self.back);
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

    pub fn to(&self, conn: ConnId) -> u16 {
        self.conns[&conn].to.unwrap_or(0)
    }

    /// A connection can't even be tried.
    pub fn fail(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.input(Input::Connected(conn, Made::NoMeans));
    }

    /// What the front wrote that nobody has read.
    pub fn written(&self, conn: ConnId) -> &[u8] {
        &self.conns[&conn].got
    }

    pub fn clients(&self) -> usize {
        self.conns.values().filter(|c| c.to.is_none()).count()
    }

    /// The connections on which a cache has a request to answer.
    pub fn working(&self) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.busy.is_some()).map(|(&conn, _)| conn).collect()
    }

    pub fn connecting(&self) -> Vec<ConnId> {
        self.conns.iter().filter(|(_, c)| c.to.is_some() && !c.up).map(|(&conn, _)| conn).collect()
    }

    pub fn connected(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.up = !self.down.contains(&c.to.unwrap_or(0));
        let up = c.up;
        if !up {
            self.conns.remove(&conn);
        }
        self.input(Input::Connected(conn, if up { Made::Up } else { Made::Refused }));
    }

    /// A cache answers; 200 with the object.
    pub fn reply(&mut self, conn: ConnId, status: u16, marked: bool, detail: &str) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Some((call, push)) = c.busy.take() else { return };
        let t = self.taken.get_mut(&call).expect("it was asked for");
        t.pushes[push] = status == 404 || marked && matches!(status, 503 | 504 | 508);
        let body = if status == 200 && t.class != 2 { object(t.key) } else { Vec::new() };
        let mark = if marked { "Not-Begun: 1\r\n" } else { "" };
        let mut bytes = format!(
            "HTTP/1.1 {status} X\r\n{mark}Detail: {detail}\r\nTag: aa\r\nMade-At: {}\r\nContent-Length: {}\r\n\r\n",
            self.made_at.clone().unwrap_or_else(|| (self.now / 10).to_string()),
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        self.owe(conn, &bytes);
    }

    /// A cache refuses with a head alone, then text until the connection ends.
    pub fn refuse_bare(&mut self, conn: ConnId) {
        let Some((call, push)) = self.conns.get_mut(&conn).and_then(|c| c.busy.take()) else { return };
        self.taken.get_mut(&call).expect("it was asked for").pushes[push] = true;
        self.owe(conn, b"HTTP/1.1 503 Busy\r\nNot-Begun: 1\r\n\r\ncome back later");
    }

    /// Word has come that a cache has just started.
    pub fn restarted(&mut self, port: u16) {
        self.started.insert(port, self.now);
        self.came.remove(&port);
    }

    pub fn purge(&mut self, number: u64, key: Option<u64>, group: u64) {
        let at = (self.now - 500 - self.back) / 10;
        self.purges.push((key, group, at * 10 + self.back, self.now));
        let (kind, mut payload) = match key {
            Some(key) => (3, key.to_be_bytes().to_vec()),
            None => (4, (group as u16).to_be_bytes().to_vec()),
        };
        payload.extend(at.to_be_bytes());
        self.feed(&frame(number, kind, &payload));
    }

    /// Time passes; timers come due, connections come up, and no access may be overdue.
    pub fn pass(&mut self, time: Tenths) {
        let end = self.now + time;
        while self.now < end {
            let next = self.reducer.next_tick().unwrap_or(end).clamp(self.now + 1, end);
            self.now = next.min(self.now + 50);
            self.input(Input::Tick);
            for t in self.taken.values() {
                let reads = !t.aborted && !self.stuck.contains(&t.client);
                let fine = !reads || t.answer.is_some() || self.now <= t.until + SLACK;
                assert!(fine, "rule 1: no final answer in time");
            }
        }
    }

    pub fn open_calls(&self) -> Vec<u64> {
        self.taken.iter().filter(|(_, t)| !t.aborted && t.answer.is_none()).map(|(&call, _)| call).collect()
    }
}

/// A frame of the control feed.
pub fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

/// A member's record in a list: its id's number, port, state, kind and start in Unix milliseconds.
pub fn listed(id: u32, port: u16, state: u8, kind: u8, started: u64) -> Vec<u8> {
    let mut bytes = id.to_be_bytes().to_vec();
    bytes.extend([127, 0, 0, 1]);
    bytes.extend(port.to_be_bytes());
    bytes.extend([state, 0, kind, 0, 0]);
    bytes.extend(1000u32.to_be_bytes());
    bytes.extend(started.to_be_bytes());
    bytes
}
