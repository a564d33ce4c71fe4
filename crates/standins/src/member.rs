//! A font cache, a trunk cache or the archive.
//!
//! A cache fills a miss from the member that the request names; a trunk cache from the first in the object's
//! order of those it fills from; the archive knows all. What a fill has come through goes on in `CDN-Loop`, and a
//! fill that comes round is cut with 508. A member that starts cold falls over when it is sent too much.

mod fill;
mod serve;
mod shelf;
mod spec;

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::{Directory, Gate, lock, object, unix_ms};
use shelf::{Copy, Shelf};
pub use spec::*;

/// What the threads of a member share.
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

/// A member that runs, until it is killed.
pub struct Member {
    pub id: String,
    pub at: SocketAddr,
    inner: Arc<Inner>,
}

impl Member {
    /// Listens, and tells the directory where.
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

    /// Changes what goes wrong from now on.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.inner.faults));
    }

    /// What it has counted so far.
    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    /// Requests that came.
    pub fn asked(&self) -> usize {
        self.inner.counts.asked.load(SeqCst)
    }

    /// When each request came, in milliseconds of the Unix clock, and for which path.
    pub fn asked_at(&self) -> Vec<(u64, String)> {
        lock(&self.inner.asked_at).clone()
    }

    /// What it could answer, in order.
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

    /// Requests that came later than its grace.
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

    /// Whether it was killed, or fell over.
    pub fn is_dead(&self) -> bool {
        self.inner.dead.load(SeqCst)
    }
}
