//! What the log says of single requests, and why connections end. Lines of ordinary events are at the level debug; what
//! should never happen is a warning; how often each reason was met is told every ten seconds.

use doorgrade::AccessId;

use super::{Taken, Work};
use crate::accept;
use crate::conn::ConnId;
use crate::push::Got;
use crate::reasons::{CacheEnd, ClientEnd, Refusal};

/// A client's connection as the log numbers it: from 0, in the order in which they came.
pub(super) fn number(conn: ConnId) -> u64 {
    conn.saturating_sub(accept::FIRST)
}

impl Taken {
    /// The request's id, which clients and caches know it by.
    pub(super) fn call(&self) -> &str {
        &self.request.id
    }
}

impl Work {
    pub(super) fn trace_counts(&self) {
        tracing::info!("at the most: {:?}", self.most);
        tracing::info!("since the start: {}", self.counts);
        let dropped = doorgrade_log::dropped_events();
        if dropped > 0 {
            tracing::warn!(
                dropped,
                "lines of this log were dropped since the start, as they are not read in time"
            );
        }
    }

    pub(super) fn trace_taken(&self, access: AccessId) {
        let Some(taken) = self.accesses.get(&access) else { return };
        let (request, connection) = (taken.call(), number(taken.client));
        tracing::debug!(request, connection, offering = taken.request.offering, "request taken");
    }

    /// An attempt goes out: whether it is the first, and what came of the one before.
    pub(super) fn trace_push(&mut self, access: AccessId, cache: &str, source: &str) {
        let Some(taken) = self.accesses.get(&access) else { return };
        let attempt = taken.sent.len();
        let before = taken.sent.last().and_then(|sent| sent.ended);
        self.counts.retries += u64::from(before.is_some());
        tracing::debug!(request = taken.call(), attempt, member = cache, source, ?before, "attempt");
    }

    pub(super) fn trace_push_end(&mut self, access: AccessId, push: usize, got: &Got) {
        let Some(taken) = self.accesses.get_mut(&access) else { return };
        let (outcome, status, note) = (got.outcome, got.status, got.note);
        if let Some(sent) = taken.sent.get_mut(push) {
            sent.ended = Some(outcome);
        }
        tracing::debug!(request = taken.call(), attempt = push, ?outcome, status, ?note, "attempt ended");
    }

    pub(super) fn trace_answer(&self, access: AccessId, status: u16) {
        let Some(taken) = self.accesses.get(&access) else { return };
        tracing::debug!(request = taken.call(), status, "answered");
    }

    /// A request is answered without a cache's answer; its id, where it got as far as that.
    pub(super) fn trace_refusal(&mut self, request: &str, status: u16, why: Refusal) {
        *self.counts.refusals.entry(why).or_default() += 1;
        tracing::debug!(request, status, "refused: {why}");
    }

    pub(super) fn trace_decided(&mut self, access: AccessId, status: u16, why: doorgrade::UnservedReason) {
        let Some(taken) = self.accesses.get(&access) else { return };
        let request = taken.call().to_owned();
        self.trace_refusal(&request, status, Refusal::Decided(why));
    }

    /// A client's connection is no more. Whoever ended it, `open` had no answer yet.
    pub(super) fn trace_client_end(&mut self, conn: ConnId, why: ClientEnd, open: &[AccessId]) {
        *self.counts.clients.entry(why).or_default() += 1;
        let connection = number(conn);
        tracing::debug!(connection, open = open.len(), "client's connection ended: {why}");
        for access in open {
            let Some(taken) = self.accesses.get(access) else { continue };
            let request = taken.call();
            if why != ClientEnd::Left {
                self.counts.lost += 1;
                tracing::warn!(request, connection, "lost: its connection ended before its answer: {why}");
            }
        }
    }

    pub(super) fn trace_cache_end(&mut self, conn: ConnId, cache: u32, why: CacheEnd) {
        *self.counts.caches.entry(why).or_default() += 1;
        let member = format_args!("s-{cache:08x}");
        tracing::debug!(connection = conn, member = %member, "connection to {member} ended: {why}");
    }
}
