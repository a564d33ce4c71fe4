//! Log events about single requests and about ends of connections. Ordinary events are logged at level debug;
//! what should never happen is a warning. The counts of each reason are logged every ten seconds.

use doorgrade::{AccessId, Ticks};

use super::{OpenAccess, State};
use crate::accept;
use crate::conn::ConnId;
use crate::push::PushEnd;
use crate::reasons::{CacheEnd, ClientEnd, Rejection};

/// A client's connection as the log numbers it: from 0, in order of arrival.
pub(super) fn number(conn: ConnId) -> u64 {
    conn.saturating_sub(accept::FIRST_ACCEPTED)
}

impl OpenAccess {
    /// The request's id, by which clients and caches know it.
    pub(super) fn client_id(&self) -> &str {
        &self.request.id
    }
}

impl State {
    pub(super) fn trace_counts(&self) {
        tracing::info!("peaks: {:?}", self.peaks);
        tracing::info!("counts since the start: {}", self.counts);
        let dropped = doorgrade_log::dropped_events();
        if dropped > 0 {
            tracing::warn!(
                dropped,
                "log events were dropped since the start, because the log is not read fast enough"
            );
        }
    }

    pub(super) fn trace_request(&self, access: AccessId) {
        let Some(open_access) = self.accesses.get(&access) else { return };
        let (request, connection) = (open_access.client_id(), number(open_access.client));
        tracing::debug!(request, connection, offering = open_access.request.offering, "request taken");
    }

    /// A purge was received that took place at this time of this process.
    pub(super) fn trace_purge(&self, object: Option<u64>, group: u64, at: Ticks) {
        let ago_ms = self.now.saturating_sub(at) / 10;
        match object {
            Some(object) => tracing::debug!(ago_ms, "purge of object {object:016x}"),
            None => tracing::debug!(ago_ms, "purge of group {group}"),
        }
    }

    /// A push is sent: logs its number and the outcome of the push before it.
    pub(super) fn trace_push(&mut self, access: AccessId, cache: &str, source: &str) {
        let Some(open_access) = self.accesses.get(&access) else { return };
        let attempt = open_access.pushes.len();
        let before = open_access.pushes.last().and_then(|sent| sent.outcome);
        self.counts.retries += u64::from(before.is_some());
        tracing::debug!(
            request = open_access.client_id(),
            attempt,
            member = cache,
            source,
            ?before,
            "attempt"
        );
    }

    pub(super) fn trace_push_end(&mut self, access: AccessId, push: usize, push_end: &PushEnd) {
        let Some(open_access) = self.accesses.get_mut(&access) else { return };
        let (outcome, status, note) = (push_end.outcome, push_end.status, push_end.cache_status);
        if let Some(sent) = open_access.pushes.get_mut(push) {
            sent.outcome = Some(outcome);
        }
        tracing::debug!(
            request = open_access.client_id(),
            attempt = push,
            ?outcome,
            status,
            ?note,
            made_at_ms = push_end.origin_sent_ms,
            "attempt ended"
        );
    }

    pub(super) fn trace_response(&self, access: AccessId, status: u16) {
        let Some(open_access) = self.accesses.get(&access) else { return };
        tracing::debug!(request = open_access.client_id(), status, "answered");
    }

    /// A request is rejected without a response from a cache. `request` is its id, empty if it was not read.
    pub(super) fn trace_rejection(&mut self, request: &str, status: u16, reason: Rejection) {
        *self.counts.rejections.entry(reason).or_default() += 1;
        tracing::debug!(request, status, "refused: {reason}");
    }

    pub(super) fn trace_unserved(
        &mut self,
        access: AccessId,
        status: u16,
        reason: doorgrade::UnservedReason,
    ) {
        let Some(open_access) = self.accesses.get(&access) else { return };
        let request = open_access.client_id().to_owned();
        self.trace_rejection(&request, status, Rejection::Unserved(reason));
    }

    /// A client's connection has ended; the accesses in `open` had no response yet.
    pub(super) fn trace_client_end(&mut self, conn: ConnId, reason: ClientEnd, open: &[AccessId]) {
        *self.counts.clients.entry(reason).or_default() += 1;
        let connection = number(conn);
        tracing::debug!(connection, open = open.len(), "client's connection ended: {reason}");
        for access in open {
            let Some(open_access) = self.accesses.get(access) else { continue };
            let request = open_access.client_id();
            if reason != ClientEnd::Left {
                self.counts.lost += 1;
                tracing::warn!(
                    request,
                    connection,
                    "lost: its connection ended before its response: {reason}"
                );
            }
        }
    }

    pub(super) fn trace_cache_end(&mut self, conn: ConnId, cache: u32, reason: CacheEnd) {
        *self.counts.caches.entry(reason).or_default() += 1;
        let member = format_args!("s-{cache:08x}");
        tracing::debug!(connection = conn, member = %member, "connection to {member} ended: {reason}");
    }
}
