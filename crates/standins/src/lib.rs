//! Stand-ins on loopback for what a front talks to, with faults to inject and counts of all that was asked.
//! Written from public specifications (HTTP/1.1, FastCGI 1.0, RFC 8586) and this project's own protocol pages;
//! nobody's real server. Blocking code on threads: a stand-in is to be plain, not fast.
#![forbid(unsafe_code)]

pub mod client;
pub mod feed;
pub mod held;
pub mod links;
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
pub use held::Held;
pub use member::{Faults, Member, Role, Spec};

/// Where each member listens, by id.
pub type Directory = Arc<Mutex<HashMap<String, SocketAddr>>>;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A stand-in's thread that panicked leaves what it held as it was; the test that made it will fail by itself.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A gate that answers wait at.
#[derive(Default)]
pub struct Gate {
    /// Whether it is shut, and how many wait.
    state: Mutex<(bool, usize)>,
    moved: Condvar,
}

impl Gate {
    pub fn shut(&self, shut: bool) {
        lock(&self.state).0 = shut;
        self.moved.notify_all();
    }

    pub(crate) fn pass(&self) {
        let mut state = lock(&self.state);
        state.1 += 1;
        let mut state = self.moved.wait_while(state, |s| s.0).unwrap_or_else(PoisonError::into_inner);
        state.1 -= 1;
    }

    pub fn waiting(&self) -> usize {
        lock(&self.state).1
    }
}

/// The size of an object as it is told, in KB: 40 in the middle, one in forty under 8 or over 200, the same by each who asks.
pub fn kb(key: &str) -> f64 {
    let mut rng = fastrand::Rng::with_seed(doorgrade::hash::text(key));
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    40.0 * (0.82 * normal).exp()
}

/// The bytes of an object's part, which the archive knows by heart.
pub fn object(path: &str) -> Vec<u8> {
    format!("these are the bytes of {path}\n").repeat(200).into_bytes()
}
