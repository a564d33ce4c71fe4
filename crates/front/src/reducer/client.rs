//! One client's connection: what has come on it, and what it is owed.

use doorgrade::{AccessId, Ticks};
use rustc_hash::FxHashMap;

use super::admission::FIRST_BYTE_TIMEOUT;
use super::client_ends::HalfCloseState;
use crate::answer::Outbox;
use crate::intake::Intake;
use crate::reasons::ClientEnd;

pub(super) struct Client {
    pub(super) intake: Intake,
    /// The capacity of the buffer that the connection's coroutine is writing from, in bytes; none if it is not
    /// writing.
    pub(super) writing: Option<usize>,
    /// When data was last received, and when data was last handed over for writing.
    pub(super) last_read: Ticks,
    /// Since when a complete request has been awaited: for the first request, since the connection was
    /// accepted.
    pub(super) request_since: Option<Ticks>,
    pub(super) last_write: Ticks,
    /// A request has been received whole.
    pub(super) has_finished: bool,
    pub(super) outbox: Outbox,
    pub(super) accesses: FxHashMap<u16, AccessId>,
    /// Why the connection is closed once its open requests have been answered, if it is.
    pub(super) ending: Option<ClientEnd>,
    /// The progress of its half-close.
    pub(super) half_close: HalfCloseState,
    /// It was accepted beyond the bound, and no other connection has made room for it since.
    pub(super) over_limit: bool,
}

impl Client {
    pub(super) fn new(now: Ticks) -> Client {
        Client {
            intake: Intake::default(),
            writing: None,
            last_read: now,
            request_since: Some(now),
            last_write: now,
            has_finished: false,
            outbox: Outbox::default(),
            accesses: FxHashMap::default(),
            ending: None,
            half_close: HalfCloseState::Open,
            over_limit: false,
        }
    }

    /// No request is open and nothing waits to be written: no response is owed. Part of a request may have
    /// arrived.
    pub(super) fn is_idle(&self) -> bool {
        self.accesses.is_empty() && self.outbox.is_empty() && self.writing.is_none()
    }

    /// No response is owed and no request has begun to arrive: closing the connection loses nothing.
    pub(super) fn is_at_rest(&self) -> bool {
        self.is_idle() && self.intake.open() == 0 && !self.intake.has_partial()
    }

    /// No request is taken from it any more, and none is open.
    pub(super) fn is_ending(&self) -> bool {
        self.half_close != HalfCloseState::Open || self.intake.discarding && self.accesses.is_empty()
    }

    /// It is new, and its first request may be on its way.
    pub(super) fn expects_first_byte(&self, now: Ticks) -> bool {
        self.request_since.is_some_and(|since| now < since + FIRST_BYTE_TIMEOUT)
    }

    /// Bytes that the connection holds of requests not complete yet and of responses.
    pub(super) fn held_bytes(&self) -> usize {
        self.outbox.held_bytes + self.intake.held_bytes() + self.writing.unwrap_or(0)
    }

    pub(super) fn idle_since(&self) -> Ticks {
        self.last_read.max(self.last_write)
    }
}
