//! Test doubles on loopback for everything that a front talks to. They inject faults, and count the requests
//! that they receive:
//!
//! - [`member`]: a cache, a parent cache or the archive, over HTTP/1.1. Faults: no response, slow, rejecting or failing
//!   responses, closed connections, a crash, and a crash from overload during slow start.
//! - [`manual_cache`]: a cache that the test operates step by step. Faults: connections that are not established, and any
//!   delay, response or reset that the test chooses.
//! - [`feed`]: the control feed with the member list and purges. Faults: an outage, closed connections, invalid events.
//! - [`client`]: a web server as the client of a front, over FastCGI. Tests can send any parameters and raw bytes.
//! - [`links`]: the network between processes, TCP and UDP. Faults: partitions, delay, jitter, low bandwidth, resets,
//!   lost, duplicated and reordered datagrams.
//! - [`shim`]: the operating system below a process, by an `LD_PRELOAD` library. Faults: failing, interrupted and
//!   shortened system calls, lost connections, stalled threads, a wrong wall clock, a disk that fails.
//! - [`versions`]: the fronts that follow the control service. They accept or reject versions as the test decides.
//!
//! [`process`] runs the project's programs and sends them signals, [`timeline`] is a schedule of faults as data, and
//! [`ports`] finds free ports.
//!
//! The stand-ins are written from public specifications (HTTP/1.1, FastCGI 1.0, RFC 8586) and this project's own protocol
//! pages, and imitate no particular server. The code is blocking and uses threads: stand-ins should be simple rather
//! than fast.
#![forbid(unsafe_code)]

pub mod client;
pub mod feed;
pub mod links;
pub mod manual_cache;
pub mod member;
pub mod ports;
pub mod process;
pub mod shim;
pub mod timeline;
pub mod versions;
mod wire;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

pub use client::Client;
pub use feed::Feed;
pub use manual_cache::ManualCache;
pub use member::{Faults, Member, MemberConfig, Role};

/// The address that each member listens on, by its id.
pub type Directory = Arc<Mutex<HashMap<String, SocketAddr>>>;

/// The current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Locks also after a panic in another thread of the stand-in: the test notices the panic by its effects.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Blocks the responses of a member while it is closed.
#[derive(Default)]
pub struct Gate {
    /// Whether the gate is closed, and how many responses wait at it.
    state: Mutex<(bool, usize)>,
    changed: Condvar,
}

impl Gate {
    pub fn set_closed(&self, closed: bool) {
        lock(&self.state).0 = closed;
        self.changed.notify_all();
    }

    pub(crate) fn wait_until_open(&self) {
        let mut state = lock(&self.state);
        state.1 += 1;
        let mut state = self.changed.wait_while(state, |s| s.0).unwrap_or_else(PoisonError::into_inner);
        state.1 -= 1;
    }

    pub fn waiting(&self) -> usize {
        lock(&self.state).1
    }
}

/// The size of an object in KB as clients report it, derived from its key alone. Log-normal with a median of 40 KB:
/// one object in forty is below 8 KB, and one in forty above 200 KB.
pub fn object_kb(key: &str) -> f64 {
    let mut rng = fastrand::Rng::with_seed(doorgrade::hash::text(key));
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    40.0 * (0.82 * normal).exp()
}

/// The content of an object's part, derived from its path alone, so that the archive can serve any path.
pub fn object_bytes(path: &str) -> Vec<u8> {
    format!("these are the bytes of {path}\n").repeat(200).into_bytes()
}
