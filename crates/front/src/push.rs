//! Connections to caches, kept by cache id, and one push's way over one of them. No I/O.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use doorgrade::{AccessId, CacheStatus, Outcome, Ticks};
use rustc_hash::FxHashMap;

use crate::conn::ConnId;
use crate::http::{self, Head};
use crate::ring::Ring;

/// A cache's whole answer to a push.
#[derive(Debug)]
pub struct Got {
    pub outcome: Outcome,
    pub note: CacheStatus,
    pub status: u16,
    pub tag: Option<String>,
    pub body: Vec<u8>,
    pub ring: Option<String>,
    /// The Unix millisecond at which the origin gave out this copy, by its own word.
    pub made_at: Option<u64>,
}

impl Got {
    /// An end that no answer tells of.
    pub fn bare(outcome: Outcome) -> Self {
        let (tag, body, ring, made_at) = (None, Vec::new(), None, None);
        Got { outcome, note: CacheStatus::Untold, status: 0, tag, body, ring, made_at }
    }
}

/// What an answer proves. Without the mark that it never ran, it may have run. `have` is the client's own copy.
fn outcome(head: &Head, have: Option<&str>) -> Outcome {
    // An answer may be another request's: a copy that it names is current, and no other.
    let names_it = have.is_some_and(|have| head.tag.as_deref().is_none_or(|named| named == have));
    match (head.status, head.not_begun) {
        (200, _) => Outcome::Handled,
        (304, _) if names_it => Outcome::Handled,
        (404, _) => Outcome::Miss,
        (503, true) => Outcome::Full,
        // The fill had come round in a ring, and was cut before anything was fetched.
        (504 | 508, true) => Outcome::NeverSent,
        (500..=599, _) => Outcome::Error,
        _ => Outcome::Broken,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Connecting,
    Busy,
    Idle,
}

/// A connection to a cache.
pub struct Line {
    pub cache: u32,
    /// Where that stood when the connection was asked for: it is of no use for one that has come in its place.
    pub place: Place,
    pub state: State,
    /// The push it carries, or is made for.
    pub carries: Option<(AccessId, usize)>,
    pub since: Ticks,
    /// The ring for writing, while the coroutine does not have it.
    pub out: Option<Ring>,
    request: Vec<u8>,
    sent: usize,
    /// How much the coroutine was handed of the request at first.
    first: usize,
    /// Nothing of the request is known to be written yet.
    pub beginning: bool,
    /// It has carried a push before.
    pub kept: bool,
    /// The tag of the client's own copy, where the request has it.
    have: Option<String>,
    head: Option<Head>,
    body: Vec<u8>,
    /// Waits for room for its answer's body.
    pub parked: Option<Ring>,
}

/// What reading has come to.
pub enum Progress {
    More,
    /// Its body needs more room than there is.
    Needs,
    Whole(Got, bool),
    Broken(&'static str),
}

impl Line {
    pub fn new(cache: u32, place: Place, carries: (AccessId, usize), now: Ticks) -> Self {
        Line {
            cache,
            place,
            state: State::Connecting,
            carries: Some(carries),
            since: now,
            out: None,
            request: Vec::new(),
            sent: 0,
            first: 0,
            beginning: false,
            kept: false,
            have: None,
            head: None,
            body: Vec::new(),
            parked: None,
        }
    }

    pub fn begin(&mut self, request: Vec<u8>, have: Option<String>) {
        (self.state, self.request, self.sent, self.have) = (State::Busy, request, 0, have);
        (self.head, self.body, self.beginning) = (None, Vec::new(), true);
    }

    /// The next bytes to write, if there are any and the ring is here.
    pub fn to_write(&mut self) -> Option<Ring> {
        if self.sent == self.request.len() {
            return None;
        }
        let mut ring = self.out.take()?;
        self.sent += ring.put(&self.request[self.sent..]);
        self.first = if self.beginning { ring.len() } else { 0 };
        if self.sent == self.request.len() {
            (self.request, self.sent) = (Vec::new(), 0);
        }
        Some(ring)
    }

    /// Writing has failed before any of the request went out: it can't have been read. Where a part went out before the
    /// connection was lost, it may have been.
    pub fn unwritten(&self, ring: &Ring) -> bool {
        self.beginning && ring.len() == self.first
    }

    /// Nothing of the request was written, and none of it will be.
    pub fn rest(&mut self, out: Ring, now: Ticks) {
        (self.request, self.sent, self.beginning) = (Vec::new(), 0, false);
        (self.out, self.state, self.since) = (Some(out), State::Idle, now);
    }

    /// Room that was reserved for the body.
    pub fn held(&self) -> usize {
        self.body.capacity()
    }

    /// Takes what was read, as far as `room` for bodies goes.
    pub fn take(&mut self, ring: &mut Ring, room: usize) -> Progress {
        if self.beginning {
            // From before the request, which the coroutine will not have written.
            ring.clear();
            return Progress::More;
        }
        if self.state != State::Busy {
            return if ring.is_empty() { Progress::More } else { Progress::Broken("it spoke unasked") };
        }
        while self.head.is_none() {
            match http::head(ring.whole()) {
                Ok(None) => return Progress::More,
                Ok(Some((head, size))) => {
                    if head.length > room {
                        return Progress::Needs;
                    }
                    ring.consume(size);
                    if head.status >= 200 {
                        self.body = Vec::with_capacity(head.length);
                        self.head = Some(head);
                    }
                }
                Err(http::Broken(why)) => return Progress::Broken(why),
            }
        }
        let Some(head) = &self.head else { return Progress::More };
        while self.body.len() < head.length && !ring.is_empty() {
            let piece = ring.front();
            let count = piece.len().min(head.length - self.body.len());
            self.body.extend_from_slice(&piece[..count]);
            ring.consume(count);
        }
        if self.body.len() < head.length {
            return Progress::More;
        }
        // What follows its end is nobody's; the answer itself is whole.
        let more = !ring.is_empty();
        let unsent = self.sent < self.request.len();
        let Some(head) = self.head.take() else { return Progress::More };
        let got = Got {
            outcome: outcome(&head, self.have.as_deref()),
            note: head.note,
            status: head.status,
            tag: head.tag,
            ring: head.ring.filter(|_| head.status == 508),
            made_at: head.made_at,
            body: std::mem::take(&mut self.body),
        };
        Progress::Whole(got, head.closes || unsent || more)
    }
}

/// A cache, parent or origin as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub at: SocketAddr,
    pub started: Option<Ticks>,
}

/// Idle connections, by cache id; of those that have rested the one used last is used first.
#[derive(Default)]
pub struct Pools {
    idle: FxHashMap<u32, Vec<(ConnId, Ticks)>>,
}

impl Pools {
    /// An answer names no request. A cache that says one twice says it again within some milliseconds (protocol page):
    /// what comes on a connection at rest breaks it, but behind a new request it would be taken for its answer. Two
    /// clock ticks of an ordinary kernel and some more; at a hundred requests a second to one cache it takes two further
    /// connections.
    pub const REST: Ticks = 200;

    pub fn put(&mut self, cache: u32, conn: ConnId, now: Ticks) {
        self.idle.entry(cache).or_default().push((conn, now));
    }

    /// One that has been idle since then.
    pub fn get(&mut self, cache: u32, since: RangeInclusive<Ticks>) -> Option<ConnId> {
        let conns = self.idle.get_mut(&cache)?;
        let place = conns.iter().rposition(|(_, idle)| since.contains(idle))?;
        Some(conns.remove(place).0)
    }

    pub fn remove(&mut self, cache: u32, conn: ConnId) {
        if let Some(conns) = self.idle.get_mut(&cache) {
            conns.retain(|c| c.0 != conn);
        }
    }

    /// All of one cache, which is gone or has started anew.
    pub fn drop_all(&mut self, cache: u32) -> impl Iterator<Item = ConnId> + use<> {
        self.idle.remove(&cache).unwrap_or_default().into_iter().map(|c| c.0)
    }
}

/// The number in a member's id: `s-` and 8 hex digits.
pub fn number(id: &str) -> Option<u32> {
    u32::from_str_radix(id.strip_prefix("s-")?, 16).ok()
}
