//! A font cache, a trunk cache or the archive.
//!
//! A cache fills a miss from the member that the request names; a trunk cache from the first in the object's
//! order of those it fills from; the archive knows all. What a fill has come through goes on in `CDN-Loop`, and a
//! fill that comes round is cut with 508. A member that starts cold falls over when it is sent too much.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use doorgrade::hash;
use doorgrade_hierarchy::homes::{Home, first};
use doorgrade_hierarchy::via::{self, Cut};

use crate::wire::{self, Head};
use crate::{Directory, Gate, lock, object, unix_ms};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    Trunk,
    Archive,
}

#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    /// On which address; port 0 for any.
    pub at: String,
    pub role: Role,
    /// Objects that it keeps, the one used longest ago goes first.
    pub keeps: usize,
    /// How long a copy is fresh, in milliseconds by the name of its class; until purged where it has none.
    pub fresh_ms: HashMap<String, u64>,
    /// What an answer takes, and what it takes besides for each KB of the object.
    pub lag: Duration,
    pub per_kb: Duration,
    pub cold: Option<Cold>,
    /// Requests that it works on at once; more are refused as full.
    pub at_once: usize,
    /// Answers say in `Made-At` how old their copy is.
    pub tells_made: bool,
}

impl Spec {
    pub fn new(id: &str, at: &str, role: Role) -> Spec {
        let (keeps, lag, fresh_ms, cold) = (100_000, Duration::ZERO, HashMap::new(), None);
        let (at_once, tells_made) = (usize::MAX, true);
        let per_kb = Duration::ZERO;
        Spec { id: id.into(), at: at.into(), role, keeps, fresh_ms, lag, per_kb, cold, at_once, tells_made }
    }
}

/// How a member that has just started grows warm, and what makes it fall.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Requests a second that it can do when warm.
    pub warm: f64,
    pub from: f64,
    pub lasts: Duration,
    /// Sent more than this multiple of what it can do, for as long as the window, it falls.
    pub multiple: f64,
    pub window: Duration,
}

/// What is to go wrong; silence is the gate's matter.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// What an answer takes besides.
    pub slow: Duration,
    /// Refuses all as full.
    pub full: bool,
    /// Ends each connection in place of an answer.
    pub reset: bool,
    /// Fails each with 500.
    pub fails: bool,
}

/// What was asked, and what came of it.
#[derive(Default)]
pub struct Counts {
    pub asked: AtomicUsize,
    pub hits: AtomicUsize,
    /// Requests that asked for a renewal behind the answer, and renewals made.
    pub renewal_asked: AtomicUsize,
    pub renewed: AtomicUsize,
    pub fills: AtomicUsize,
    pub failed: AtomicUsize,
    /// Fills cut because they had come round.
    pub rings: AtomicUsize,
    /// Fills that came round a second time all the same.
    pub turned_twice: AtomicUsize,
    /// Cold, it was sent more than it stands.
    pub fell: AtomicUsize,
    /// Answers from a copy older than a purge or than was asked for.
    pub too_old: AtomicUsize,
}

/// One request to a cache or trunk cache that it could answer, or had to fill first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Milliseconds of the Unix clock.
    pub at_ms: u64,
    /// From what it held; else whoever asked had to wait for a fill.
    pub hit: bool,
    pub renewal_asked: bool,
    /// A renewal was begun behind it.
    pub renewed: bool,
}

#[derive(Clone)]
struct Copy {
    bytes: Arc<Vec<u8>>,
    made_at: u64,
}

#[derive(Default)]
struct Shelf {
    copies: HashMap<String, Copy>,
    /// Oldest use first; a path may stand here again, later uses count.
    uses: VecDeque<(String, u64)>,
    last: HashMap<String, u64>,
    clock: u64,
}

impl Shelf {
    fn get(&mut self, path: &str) -> Option<Copy> {
        let copy = self.copies.get(path).cloned()?;
        self.touch(path);
        Some(copy)
    }

    fn touch(&mut self, path: &str) {
        self.clock += 1;
        self.last.insert(path.to_owned(), self.clock);
        self.uses.push_back((path.to_owned(), self.clock));
    }

    fn put(&mut self, path: &str, copy: Copy, keeps: usize) {
        self.copies.insert(path.to_owned(), copy);
        self.touch(path);
        while self.copies.len() > keeps || self.uses.len() > 4 * keeps + 64 {
            let Some((oldest, at)) = self.uses.pop_front() else { break };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
                self.copies.remove(&oldest);
            }
        }
    }
}

struct Inner {
    spec: Spec,
    started: Instant,
    directory: Directory,
    gate: Gate,
    dead: AtomicBool,
    faults: Mutex<Faults>,
    shelf: Mutex<Shelf>,
    /// Copies that are renewed behind an answer just now.
    renewing: Mutex<HashSet<String>>,
    fills_from: Mutex<Vec<String>>,
    /// Calls under way here, and how often each.
    calls: Mutex<HashMap<String, usize>>,
    /// What came to it in the window that counts while it is cold.
    came: Mutex<VecDeque<Instant>>,
    /// When each request came, and its path.
    asked_at: Mutex<Vec<(u64, String)>>,
    answered: Mutex<Vec<Answered>>,
    lines: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
    /// Connections that came, by their numbers, until they end.
    open: Mutex<HashMap<usize, TcpStream>>,
    /// At the archive: how often each access came, by class and id.
    ran: Mutex<HashMap<(String, String), usize>>,
    works_on: AtomicUsize,
    drained_at: AtomicU64,
    after_drain: AtomicUsize,
    counts: Counts,
}

pub struct Member {
    pub id: String,
    pub at: SocketAddr,
    inner: Arc<Inner>,
}

impl Member {
    pub fn start(spec: Spec, directory: &Directory) -> io::Result<Member> {
        let listener = TcpListener::bind(&spec.at)?;
        let at = listener.local_addr()?;
        let id = spec.id.clone();
        lock(directory).insert(id.clone(), at);
        let inner = Arc::new(Inner {
            spec,
            started: Instant::now(),
            directory: directory.clone(),
            gate: Gate::default(),
            dead: AtomicBool::new(false),
            faults: Mutex::default(),
            shelf: Mutex::default(),
            renewing: Mutex::default(),
            fills_from: Mutex::default(),
            calls: Mutex::default(),
            came: Mutex::default(),
            asked_at: Mutex::default(),
            answered: Mutex::default(),
            lines: Mutex::default(),
            open: Mutex::default(),
            ran: Mutex::default(),
            works_on: AtomicUsize::new(0),
            drained_at: AtomicU64::new(u64::MAX),
            after_drain: AtomicUsize::new(0),
            counts: Counts::default(),
        });
        let member = Member { id, at, inner: inner.clone() };
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if inner.dead.load(SeqCst) {
                    return; // The listener goes with it: connections are refused from now on.
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                lock(&inner.open).extend(stream.try_clone().map(|open| (number, open)));
                let inner = inner.clone();
                std::thread::spawn(move || {
                    let _ = inner.serve(&stream);
                    let _ = stream.shutdown(Shutdown::Both);
                    lock(&inner.open).remove(&number);
                });
            }
        });
        Ok(member)
    }

    /// Silent while it is shut.
    pub fn gate(&self) -> &Gate {
        &self.inner.gate
    }

    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.inner.faults));
    }

    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    pub fn asked(&self) -> usize {
        self.inner.counts.asked.load(SeqCst)
    }

    /// When each request came, in milliseconds of the Unix clock, and for which path.
    pub fn asked_at(&self) -> Vec<(u64, String)> {
        lock(&self.inner.asked_at).clone()
    }

    pub fn answered(&self) -> Vec<Answered> {
        lock(&self.inner.answered).clone()
    }

    /// Hangs a trunk cache under these.
    pub fn hang(&self, fills_from: &[&str]) {
        *lock(&self.inner.fills_from) = fills_from.iter().map(|&s| s.to_owned()).collect();
    }

    /// It is told to fronts as draining from now on; what comes later than the grace is counted.
    pub fn drained(&self, grace_ms: u64) {
        self.inner.drained_at.store(unix_ms() + grace_ms, SeqCst);
    }

    pub fn asked_after_drain(&self) -> usize {
        self.inner.after_drain.load(SeqCst)
    }

    /// Holds this object from now on, as if it had been filled so long ago.
    pub fn preload(&self, path: &str, age_ms: u64) {
        let copy = Copy { bytes: Arc::new(object(path)), made_at: unix_ms().saturating_sub(age_ms) };
        lock(&self.inner.shelf).put(path, copy, self.inner.spec.keeps);
    }

    /// How many accesses of a class came to it more than once.
    pub fn run_twice(&self, class: &str) -> usize {
        let ran = lock(&self.inner.ran);
        ran.iter().filter(|((of, _), times)| of == class && **times > 1).count()
    }

    /// Drops the copies of a purged object: of all its parts, in each class.
    pub fn purge(&self, key: &str) {
        let shelf = &mut lock(&self.inner.shelf);
        shelf.copies.retain(|path, _| path.split('/').nth(3) != Some(key));
    }

    /// Dies as a process does: its connections end, new ones are refused.
    pub fn kill(&self) {
        self.inner.dead.store(true, SeqCst);
        let _ = TcpStream::connect(self.at);
        lock(&self.inner.open).drain().for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
        lock(&self.inner.lines).clear();
    }

    pub fn is_dead(&self) -> bool {
        self.inner.dead.load(SeqCst)
    }
}

/// What came of a fill, or of a look at what is held.
enum Had {
    Copy(Copy, &'static str),
    Lacks,
    Failed(&'static str),
    Cut(String),
}

impl Inner {
    fn serve(self: &Arc<Self>, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((head, _body)) = wire::read(&mut reader)? {
            self.counts.asked.fetch_add(1, SeqCst);
            lock(&self.asked_at).push((unix_ms(), head.path.clone()));
            if unix_ms() > self.drained_at.load(SeqCst) {
                self.after_drain.fetch_add(1, SeqCst);
            }
            if self.falls() {
                self.counts.fell.fetch_add(1, SeqCst);
                self.dead.store(true, SeqCst);
                lock(&self.open).drain().for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
                return Ok(());
            }
            self.gate.pass();
            let faults = lock(&self.faults).clone();
            let crowded = self.works_on.fetch_add(1, SeqCst) >= self.spec.at_once;
            if !crowded {
                let sends =
                    self.spec.per_kb.mul_f64(crate::kb(head.path.split('/').nth(3).unwrap_or_default()));
                std::thread::sleep(self.spec.lag + faults.slow + sends);
            }
            self.works_on.fetch_sub(1, SeqCst);
            if faults.reset {
                return Ok(());
            }
            if faults.fails || faults.full || crowded {
                self.counts.failed.fetch_add(1, SeqCst);
                let first = if faults.full || crowded { "HTTP/1.1 503 Full" } else { "HTTP/1.1 500 Failed" };
                let unrun = if faults.full || crowded { "1" } else { "" };
                wire::write(stream, first, &[("Not-Begun", unrun)], b"")?;
                continue;
            }
            self.answer(stream, &head)?;
        }
        Ok(())
    }

    /// Whether it is cold and has been sent more than it stands.
    fn falls(&self) -> bool {
        let Some(cold) = self.spec.cold else { return false };
        let age = self.started.elapsed();
        if age >= cold.lasts {
            return false;
        }
        let now = Instant::now();
        let came = &mut lock(&self.came);
        came.push_back(now);
        while came.front().is_some_and(|&at| now - at > cold.window) {
            came.pop_front();
        }
        let share = cold.from + (1.0 - cold.from) * age.as_secs_f64() / cold.lasts.as_secs_f64();
        let most = cold.multiple * share * cold.warm * cold.window.as_secs_f64();
        age >= cold.window && came.len() as f64 > most.max(4.0)
    }

    fn answer(self: &Arc<Self>, stream: &TcpStream, head: &Head) -> io::Result<()> {
        let call = head.field("call-id").unwrap_or("").to_owned();
        let times = {
            let calls = &mut lock(&self.calls);
            let times = calls.entry(call.clone()).or_default();
            *times += 1;
            *times
        };
        // Under way here for the third time: it has gone round whole, and round again.
        if times > 2 && !call.is_empty() {
            self.counts.turned_twice.fetch_add(1, SeqCst);
        }
        let had = if times > 8 { Had::Failed("b") } else { self.look(head) };
        {
            let calls = &mut lock(&self.calls);
            if let Some(times) = calls.get_mut(&call) {
                *times -= 1;
                if *times == 0 {
                    calls.remove(&call);
                }
            }
        }
        match had {
            Had::Copy(copy, detail) => {
                let age = unix_ms().saturating_sub(copy.made_at);
                let most = head.number("no-older-than");
                if most > 0 && age > most + 50 && detail != "s" {
                    self.counts.too_old.fetch_add(1, SeqCst);
                }
                let (tag, mut made_at) = (format!("t{}", copy.made_at), copy.made_at.to_string());
                // Between members it is always told: copies keep their age.
                if !self.spec.tells_made && self.spec.role == Role::Cache {
                    made_at.clear();
                }
                let fields = [("Detail", detail), ("Tag", &tag), ("Made-At", &made_at)];
                wire::write(stream, "HTTP/1.1 200 OK", &fields, &copy.bytes)
            }
            Had::Lacks => wire::write(stream, "HTTP/1.1 404 Not Found", &[("Detail", "l")], b""),
            Had::Failed(detail) => {
                self.counts.failed.fetch_add(1, SeqCst);
                wire::write(stream, "HTTP/1.1 500 Failed", &[("Detail", detail)], b"")
            }
            Had::Cut(ring) => {
                let fields = [("Not-Begun", "1"), ("Detail", "r"), ("Ring", &*ring)];
                wire::write(stream, "HTTP/1.1 508 Loop Detected", &fields, b"")
            }
        }
    }

    fn look(self: &Arc<Self>, head: &Head) -> Had {
        let (path, renewal_asked) = (&head.path, head.handling("revalidate"));
        if self.spec.role == Role::Archive {
            self.counts.fills.fetch_add(1, SeqCst);
            let class = path.split('/').nth(2).unwrap_or("").to_owned();
            let call = head.field("call-id").unwrap_or("").to_owned();
            *lock(&self.ran).entry((class, call)).or_default() += 1;
            return Had::Copy(Copy { bytes: Arc::new(object(path)), made_at: unix_ms() }, "o");
        }
        let fresh = path.split('/').nth(2).and_then(|class| self.spec.fresh_ms.get(class)).copied();
        let most = match head.number("no-older-than") {
            0 => fresh.unwrap_or(u64::MAX),
            asked => asked.min(fresh.unwrap_or(u64::MAX)),
        };
        let kept = lock(&self.shelf).get(path);
        if let Some(copy) = kept.filter(|c| unix_ms().saturating_sub(c.made_at) <= most) {
            self.counts.hits.fetch_add(1, SeqCst);
            let mut renewed = false;
            if renewal_asked {
                self.counts.renewal_asked.fetch_add(1, SeqCst);
                renewed = fresh.is_some_and(|fresh| self.renew(head, fresh, copy.made_at));
            }
            lock(&self.answered).push(Answered { at_ms: unix_ms(), hit: true, renewal_asked, renewed });
            return Had::Copy(copy, "h");
        }
        if head.field("cache-control") == Some("only-if-cached") {
            return Had::Lacks;
        }
        let answered = Answered { at_ms: unix_ms(), hit: false, renewal_asked, renewed: false };
        lock(&self.answered).push(answered);
        self.fill(head)
    }

    /// Fetches a copy anew behind an answer, for which nobody waits: only in the last fifth of its fresh time, as the
    /// protocol's page has it, and one at a time. What comes is not to be in its own last fifth.
    fn renew(self: &Arc<Self>, head: &Head, fresh: u64, made_at: u64) -> bool {
        let due = unix_ms() >= made_at + fresh - fresh / 5;
        if !due || !lock(&self.renewing).insert(head.path.clone()) {
            return false;
        }
        self.counts.renewed.fetch_add(1, SeqCst);
        let (inner, mut head) = (self.clone(), head.clone());
        let most = head.number("no-older-than");
        let most = if most == 0 { fresh - fresh / 5 } else { most.min(fresh - fresh / 5) };
        head.fields.insert("no-older-than".into(), most.to_string());
        std::thread::spawn(move || {
            inner.fill(&head);
            lock(&inner.renewing).remove(&head.path);
        });
        true
    }

    /// From whom a miss is filled.
    fn source(&self, head: &Head) -> Option<String> {
        if let Some(named) = head.field("miss-to") {
            return Some(named.to_owned());
        }
        let mut sources = lock(&self.fills_from).clone();
        sources.retain(|s| lock(&self.directory).contains_key(s));
        let key = hash::text(&head.path);
        let homes: Vec<Home> = sources.iter().map(|s| Home::named(s, 1.0)).collect();
        let chosen = first(&homes, key)?.key;
        sources.into_iter().find(|s| hash::text(s) == chosen)
    }

    fn fill(&self, head: &Head) -> Had {
        let Some(source) = self.source(head) else { return Had::Lacks };
        let via = match via::pass_on(head.field("cdn-loop"), &self.spec.id) {
            Ok(via) => via,
            Err(cut) => {
                self.counts.rings.fetch_add(1, SeqCst);
                return Had::Cut(match cut {
                    Cut::Ring(ring) => ring.join(", "),
                    other => other.to_string(),
                });
            }
        };
        let Some(at) = lock(&self.directory).get(&source).copied() else { return Had::Failed("b") };
        match self.ask(at, head, &via) {
            Ok((answer, bytes)) => match answer.status {
                200 => {
                    let copy = Copy { bytes: Arc::new(bytes), made_at: answer.number("made-at") };
                    self.counts.fills.fetch_add(1, SeqCst);
                    lock(&self.shelf).put(&head.path, copy.clone(), self.spec.keeps);
                    let from_archive = answer.field("detail") == Some("o");
                    Had::Copy(copy, if from_archive { "o" } else { "f" })
                }
                404 => Had::Lacks,
                508 => Had::Cut(answer.field("ring").unwrap_or("").to_owned()),
                _ => Had::Failed("r"),
            },
            Err(_) => Had::Failed("b"),
        }
    }

    /// Over a kept connection, or a new one where there is none or it has ended.
    fn ask(&self, at: SocketAddr, head: &Head, via: &str) -> io::Result<(Head, Vec<u8>)> {
        let once = |stream: &TcpStream| -> io::Result<(Head, Vec<u8>)> {
            stream.set_read_timeout(Some(Duration::from_millis(head.number("call-ms").max(100))))?;
            let age = head.field("no-older-than").unwrap_or("");
            let call = head.field("call-id").unwrap_or("");
            let wait = head.field("call-ms").unwrap_or("");
            let only = if head.handling("local") { "only-if-cached" } else { "" };
            let fields = [
                ("Host", "cache"),
                ("Call-Id", call),
                ("Call-Ms", wait),
                ("No-Older-Than", age),
                ("Cache-Control", only),
                ("CDN-Loop", via),
            ];
            wire::write(stream, &format!("GET {} HTTP/1.1", head.path), &fields, b"")?;
            let mut reader = BufReader::new(stream.try_clone()?);
            wire::read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        };
        let kept = lock(&self.lines).get_mut(&at).and_then(Vec::pop);
        if let Some(stream) = kept
            && let Ok(answer) = once(&stream)
        {
            lock(&self.lines).entry(at).or_default().push(stream);
            return Ok(answer);
        }
        let stream = TcpStream::connect_timeout(&at, Duration::from_millis(400))?;
        stream.set_nodelay(true)?;
        let answer = once(&stream)?;
        if !self.dead.load(SeqCst) {
            lock(&self.lines).entry(at).or_default().push(stream);
        }
        Ok(answer)
    }
}
