//! A member of the cache hierarchy, over HTTP/1.1: a cache, a parent cache or the archive, which is the origin of all
//! objects.
//!
//! A cache fills a miss from the member that the request names in `Miss-To`, a parent cache from the object's home
//! among its configured fill sources, and the archive has every object. A fill carries the members that it has passed
//! through in `CDN-Loop`, and is rejected with 508 when it comes back to one of them.
//!
//! Faults: [`Faults`] (slow, rejecting or failing responses, closed connections), [`Member::gate`] (no response at
//! all), [`Member::kill`], and [`Cold`]: a member in slow start crashes under too many requests.

mod config;
mod copy_store;
mod fill;
mod serve;

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::{Directory, Gate, lock, object_bytes, unix_ms};
pub use config::*;
use copy_store::{CopyStore, StoredCopy};

/// The state that a member's threads share.
struct Inner {
    config: MemberConfig,
    started_at: Instant,
    directory: Directory,
    gate: Gate,
    dead: AtomicBool,
    faults: Mutex<Faults>,
    store: Mutex<CopyStore>,
    /// Paths of the copies that are being refreshed in the background.
    refreshing: Mutex<HashSet<String>>,
    fill_sources: Mutex<Vec<String>>,
    /// How many requests of each `Call-Id` are in flight here.
    calls_in_flight: Mutex<HashMap<String, usize>>,
    /// When requests arrived within the window that counts while the member is cold.
    recent_requests: Mutex<VecDeque<Instant>>,
    /// When each request arrived, in milliseconds of the Unix clock, and its path.
    request_log: Mutex<Vec<(u64, String)>>,
    lookups: Mutex<Vec<Lookup>>,
    /// Keep-alive connections to other members.
    idle_connections: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
    /// Accepted connections that are open, by a sequence number.
    open_connections: Mutex<HashMap<usize, TcpStream>>,
    /// At the archive: how often each access arrived, by its class and `Call-Id`.
    access_counts: Mutex<HashMap<(String, String), usize>>,
    in_flight: AtomicUsize,
    drain_deadline_ms: AtomicU64,
    requests_after_drain: AtomicUsize,
    counts: Counts,
}

/// A member that runs until it is killed.
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Member {
    /// Starts to listen, and enters the address into the directory.
    pub fn start(config: MemberConfig, directory: &Directory) -> io::Result<Member> {
        let listener = TcpListener::bind(&config.listen)?;
        let address = listener.local_addr()?;
        let id = config.id.clone();
        lock(directory).insert(id.clone(), address);
        let inner = Arc::new(Inner {
            config,
            started_at: Instant::now(),
            directory: directory.clone(),
            gate: Gate::default(),
            dead: AtomicBool::new(false),
            faults: Mutex::default(),
            store: Mutex::default(),
            refreshing: Mutex::default(),
            fill_sources: Mutex::default(),
            calls_in_flight: Mutex::default(),
            recent_requests: Mutex::default(),
            request_log: Mutex::default(),
            lookups: Mutex::default(),
            idle_connections: Mutex::default(),
            open_connections: Mutex::default(),
            access_counts: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            drain_deadline_ms: AtomicU64::new(u64::MAX),
            requests_after_drain: AtomicUsize::new(0),
            counts: Counts::default(),
        });
        let member = Member { id, address, inner: inner.clone() };
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if inner.dead.load(SeqCst) {
                    return; // Drops the listener: connections are refused from now on.
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                lock(&inner.open_connections).extend(stream.try_clone().map(|open| (number, open)));
                let inner = inner.clone();
                std::thread::spawn(move || {
                    let _ = inner.serve(&stream);
                    let _ = stream.shutdown(Shutdown::Both);
                    lock(&inner.open_connections).remove(&number);
                });
            }
        });
        Ok(member)
    }

    /// The member reads requests but sends no response while its gate is closed.
    pub fn gate(&self) -> &Gate {
        &self.inner.gate
    }

    /// Changes the faults that the next requests meet.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.inner.faults));
    }

    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    /// The number of requests that arrived.
    pub fn requests(&self) -> usize {
        self.inner.counts.requests.load(SeqCst)
    }

    /// When each request arrived, in milliseconds of the Unix clock, and its path.
    pub fn request_log(&self) -> Vec<(u64, String)> {
        lock(&self.inner.request_log).clone()
    }

    /// The lookups so far, in order, without `only-if-cached` requests that missed.
    pub fn lookups(&self) -> Vec<Lookup> {
        lock(&self.inner.lookups).clone()
    }

    /// Sets the members that a parent cache fills from.
    pub fn set_fill_sources(&self, sources: &[&str]) {
        *lock(&self.inner.fill_sources) = sources.iter().map(|&s| s.to_owned()).collect();
    }

    /// Starts the grace period of a drain, which the test announces to the fronts. Requests that arrive after it are
    /// counted.
    pub fn set_draining(&self, grace_ms: u64) {
        self.inner.drain_deadline_ms.store(unix_ms() + grace_ms, SeqCst);
    }

    /// The number of requests that arrived after the grace period of a drain.
    pub fn requests_after_drain(&self) -> usize {
        self.inner.requests_after_drain.load(SeqCst)
    }

    /// Stores a copy of this object, as if it had been filled `age_ms` ago.
    pub fn preload(&self, path: &str, age_ms: u64) {
        let copy =
            StoredCopy { bytes: Arc::new(object_bytes(path)), made_at_ms: unix_ms().saturating_sub(age_ms) };
        lock(&self.inner.store).put(path, copy, self.inner.config.max_copies);
    }

    /// At the archive: the number of accesses of a class that arrived more than once.
    pub fn accesses_run_twice(&self, class: &str) -> usize {
        let counts = lock(&self.inner.access_counts);
        counts.iter().filter(|((of, _), times)| of == class && **times > 1).count()
    }

    /// Removes the copies of all parts of a purged object, in every class.
    pub fn purge(&self, key: &str) {
        let store = &mut lock(&self.inner.store);
        store.copies.retain(|path, _| path.split('/').nth(3) != Some(key));
    }

    /// Imitates the death of the process: closes all connections, and refuses new ones.
    pub fn kill(&self) {
        self.inner.dead.store(true, SeqCst);
        let _ = TcpStream::connect(self.address);
        lock(&self.inner.open_connections).drain().for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
        lock(&self.inner.idle_connections).clear();
    }

    /// Whether the member was killed or has crashed.
    pub fn is_dead(&self) -> bool {
        self.inner.dead.load(SeqCst)
    }
}
