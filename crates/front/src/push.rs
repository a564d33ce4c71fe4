//! Connections to caches, the pools of idle ones by cache, and the exchange of one push. No I/O.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use doorgrade::{AccessId, CacheStatus, Outcome, Ticks};
use rustc_hash::FxHashMap;

use crate::conn::ConnId;
use crate::http::{self, Head};
use crate::ring_buffer::RingBuffer;

/// How a push ended, with the cache's response if there is one.
#[derive(Debug)]
pub struct PushEnd {
    pub outcome: Outcome,
    pub cache_status: CacheStatus,
    pub status: u16,
    pub tag: Option<String>,
    pub body: Vec<u8>,
    pub cycle: Option<String>,
    /// When the origin sent this copy, in Unix milliseconds, as reported by the cache.
    pub origin_sent_ms: Option<u64>,
}

impl PushEnd {
    /// An end without a response.
    pub fn without_response(outcome: Outcome) -> Self {
        let (tag, body, cycle, origin_sent_ms) = (None, Vec::new(), None, None);
        PushEnd { outcome, cache_status: CacheStatus::Untold, status: 0, tag, body, cycle, origin_sent_ms }
    }
}

/// The outcome that a response proves. Without the mark that it never ran, the access may have run.
/// `client_tag` is the tag of the client's own copy.
fn outcome(head: &Head, client_tag: Option<&str>) -> Outcome {
    // The response may belong to another request, so 304 confirms only a copy whose tag it names, or the
    // client's if it names none.
    let confirms_copy =
        client_tag.is_some_and(|client_tag| head.tag.as_deref().is_none_or(|named| named == client_tag));
    match (head.status, head.not_begun) {
        (200, _) => Outcome::Handled,
        (304, _) if confirms_copy => Outcome::Handled,
        (404, _) => Outcome::Miss,
        (503, true) => Outcome::Full,
        // The fill returned to its start in a cycle, and was cut before anything was fetched.
        (504 | 508, true) => Outcome::NeverSent,
        (500..=599, _) => Outcome::Error,
        _ => Outcome::Broken,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnState {
    Connecting,
    Busy,
    Idle,
}

/// A connection to a cache.
pub struct CacheConn {
    pub cache: u32,
    /// The cache's endpoint when the connection was requested. If it changes, the connection is of no use.
    pub endpoint: Endpoint,
    pub state: ConnState,
    /// The push that it carries, or is established for.
    pub push: Option<(AccessId, usize)>,
    pub since: Ticks,
    /// The buffer for writing, while the coroutine does not have it.
    pub write_buffer: Option<RingBuffer>,
    request: Vec<u8>,
    handed: usize,
    /// How many bytes of the request the coroutine was handed first.
    first_chunk: usize,
    /// No byte of the request is known to be written yet.
    pub starting: bool,
    /// It has carried a push before.
    pub reused: bool,
    /// The tag of the client's own copy, if the request names it.
    client_tag: Option<String>,
    head: Option<Head>,
    body: Vec<u8>,
    /// The buffer for reading, while the response waits for room for its body.
    pub parked: Option<RingBuffer>,
}

/// The result of reading.
pub enum Progress {
    More,
    /// The body needs more room than there is.
    NeedsRoom,
    Complete(PushEnd, bool),
    Invalid(&'static str),
}

impl CacheConn {
    pub fn new(cache: u32, endpoint: Endpoint, push: (AccessId, usize), now: Ticks) -> Self {
        CacheConn {
            cache,
            endpoint,
            state: ConnState::Connecting,
            push: Some(push),
            since: now,
            write_buffer: None,
            request: Vec::new(),
            handed: 0,
            first_chunk: 0,
            starting: false,
            reused: false,
            client_tag: None,
            head: None,
            body: Vec::new(),
            parked: None,
        }
    }

    pub fn start(&mut self, request: Vec<u8>, client_tag: Option<String>) {
        (self.state, self.request, self.handed, self.client_tag) = (ConnState::Busy, request, 0, client_tag);
        (self.head, self.body, self.starting) = (None, Vec::new(), true);
    }

    /// The buffer with the next bytes to write, if there are any and the buffer is here.
    pub fn next_write(&mut self) -> Option<RingBuffer> {
        if self.handed == self.request.len() {
            return None;
        }
        let mut buffer = self.write_buffer.take()?;
        self.handed += buffer.put(&self.request[self.handed..]);
        self.first_chunk = if self.starting { buffer.len() } else { 0 };
        if self.handed == self.request.len() {
            (self.request, self.handed) = (Vec::new(), 0);
        }
        Some(buffer)
    }

    /// The write failed before any byte of the request was written, so the cache can't have read it. If a
    /// part was written before the connection was lost, it may have.
    pub fn nothing_written(&self, buffer: &RingBuffer) -> bool {
        self.starting && buffer.len() == self.first_chunk
    }

    /// Nothing of the request was written, and none of it will be.
    pub fn reset_to_idle(&mut self, write_buffer: RingBuffer, now: Ticks) {
        (self.request, self.handed, self.starting) = (Vec::new(), 0, false);
        (self.write_buffer, self.state, self.since) = (Some(write_buffer), ConnState::Idle, now);
    }

    /// The room reserved for the body.
    pub fn held_bytes(&self) -> usize {
        self.body.capacity()
    }

    /// Reads the response from the buffer; bodies may take this much more room.
    pub fn read_response(&mut self, buffer: &mut RingBuffer, room: usize) -> Progress {
        if self.starting {
            // Data from before the request, which the coroutine will then not have written.
            buffer.clear();
            return Progress::More;
        }
        if self.state != ConnState::Busy {
            return if buffer.is_empty() {
                Progress::More
            } else {
                Progress::Invalid("unexpected data on an idle connection")
            };
        }
        while self.head.is_none() {
            match http::parse_head(buffer.contiguous()) {
                Ok(None) => return Progress::More,
                Ok(Some((head, size))) => {
                    if head.length > room {
                        return Progress::NeedsRoom;
                    }
                    buffer.consume(size);
                    if head.status >= 200 {
                        self.body = Vec::with_capacity(head.length);
                        self.head = Some(head);
                    }
                }
                Err(http::InvalidResponse(reason)) => return Progress::Invalid(reason),
            }
        }
        let Some(head) = &self.head else { return Progress::More };
        while self.body.len() < head.length && !buffer.is_empty() {
            let piece = buffer.front();
            let count = piece.len().min(head.length - self.body.len());
            self.body.extend_from_slice(&piece[..count]);
            buffer.consume(count);
        }
        if self.body.len() < head.length {
            return Progress::More;
        }
        // Data after the end belongs to no request; the response itself is complete.
        let extra = !buffer.is_empty();
        let partly_handed = self.handed < self.request.len();
        let Some(head) = self.head.take() else { return Progress::More };
        let push_end = PushEnd {
            outcome: outcome(&head, self.client_tag.as_deref()),
            cache_status: head.cache_status,
            status: head.status,
            tag: head.tag,
            cycle: head.cycle.filter(|_| head.status == 508),
            origin_sent_ms: head.origin_sent_ms,
            body: std::mem::take(&mut self.body),
        };
        Progress::Complete(push_end, head.close || partly_handed || extra)
    }
}

/// The address and the start of a member, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub started_at: Option<Ticks>,
}

/// Idle connections by cache. Of those idle for long enough, the one used last is reused first.
#[derive(Default)]
pub struct Pools {
    idle: FxHashMap<u32, Vec<(ConnId, Ticks)>>,
}

impl Pools {
    /// The shortest idle time before reuse. A response names no request, and a cache that sends one twice
    /// repeats it within some milliseconds (by the protocol). On an idle connection the duplicate closes the
    /// connection, but after a new request it would be taken for the response to it. This is two clock ticks
    /// of an ordinary kernel and some more; at a hundred requests a second to one cache it costs two further
    /// connections.
    pub const MIN_IDLE: Ticks = 200;

    pub fn put(&mut self, cache: u32, conn: ConnId, now: Ticks) {
        self.idle.entry(cache).or_default().push((conn, now));
    }

    /// A connection that became idle within this range of times.
    pub fn get(&mut self, cache: u32, since: RangeInclusive<Ticks>) -> Option<ConnId> {
        let conns = self.idle.get_mut(&cache)?;
        let index = conns.iter().rposition(|(_, idle)| since.contains(idle))?;
        Some(conns.remove(index).0)
    }

    pub fn remove(&mut self, cache: u32, conn: ConnId) {
        if let Some(conns) = self.idle.get_mut(&cache) {
            conns.retain(|c| c.0 != conn);
        }
    }

    /// Removes all connections of a cache that has gone or restarted.
    pub fn drop_all(&mut self, cache: u32) -> impl Iterator<Item = ConnId> + use<> {
        self.idle.remove(&cache).unwrap_or_default().into_iter().map(|c| c.0)
    }
}

/// The number in a member's id: `s-` and 8 hex digits.
pub fn number(id: &str) -> Option<u32> {
    u32::from_str_radix(id.strip_prefix("s-")?, 16).ok()
}
