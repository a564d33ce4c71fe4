//! The reducer's part for caches: pushes in flight, and the connections that carry them.

use doorgrade::{AccessId, Outcome};

use super::sent_push::SentPush;
use super::{ConnectResult, Effect, OpenAccess, State};
use crate::bounds;
use crate::conn::{ConnId, SendConditions};
use crate::push::{CacheConn, ConnState, Pools, Progress, PushEnd};
use crate::reasons::{CacheEnd, IoEnd};
use crate::ring_buffer::RingBuffer;

/// Limit of how often a request is postponed because its client has sent more data: more than once only if
/// the client continues to send.
const MAX_POSTPONED: u8 = 3;

impl State {
    pub(super) fn connected(&mut self, conn: ConnId, result: ConnectResult) {
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else {
            // The push it was made for has ended.
            return if result == ConnectResult::Connected {
                self.close(conn)
            };
        };
        if result != ConnectResult::Connected {
            let carried_push = cache_conn.push.take();
            self.cache_conns.remove(&conn);
            let outcome =
                if result == ConnectResult::Unreachable { Outcome::Unreachable } else { Outcome::NeverSent };
            if let Some((access, push)) = carried_push {
                self.end_push(access, push, PushEnd::without_response(outcome));
            }
            return;
        }
        cache_conn.write_buffer = Some(RingBuffer::new(bounds::CACHE_OUT));
        (cache_conn.state, cache_conn.since) = (ConnState::Idle, self.now);
        let (cache, endpoint, carried_push) = (cache_conn.cache, cache_conn.endpoint, cache_conn.push);
        self.effects.push(Effect::Read(conn, RingBuffer::new(bounds::CACHE_IN)));
        match carried_push {
            Some((access, push)) => self.send(conn, access, push),
            None if self.endpoints.get(&cache) == Some(&endpoint) => self.pools.put(cache, conn, self.now),
            None => self.close_cache_conn(conn, CacheEnd::Unlisted),
        }
    }

    /// Writes the request of a push to a connection that is established and idle.
    pub(super) fn send(&mut self, conn: ConnId, access: AccessId, push: usize) {
        let cdn_loop = self.hierarchy.as_ref().and_then(|h| h.cdn_loop.as_deref());
        let Some(open_access) = self.accesses.get_mut(&access) else { return };
        let Some(sent) = open_access.pushes.get_mut(push) else { return };
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else { return };
        if open_access.done || sent.stale || !sent.may_start(self.now) {
            cache_conn.push = None;
            self.pools.put(cache_conn.cache, conn, self.now);
            return self.end_push(access, push, PushEnd::without_response(Outcome::NeverSent));
        }
        let request = sent.request(self.now, &open_access.request, cdn_loop);
        tracing::trace!("request {:?}", String::from_utf8_lossy(&request));
        (sent.conn, sent.started) = (Some(conn), true);
        cache_conn.push = Some((access, push));
        cache_conn.start(request, open_access.request.tag.clone());
        let (client, client_data_first) = (open_access.client, sent.postponed < MAX_POSTPONED);
        let conditions =
            SendConditions { client, valid_until: sent.valid_until(self.now), client_data_first };
        if let Some(buffer) = cache_conn.next_write() {
            self.effects.push(Effect::StartRequest(conn, buffer, conditions));
        }
    }

    pub(super) fn cache_wrote(&mut self, conn: ConnId, buffer: RingBuffer, failed: Option<IoEnd>) {
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else { return };
        if failed.is_some() && cache_conn.nothing_written(&buffer) {
            return self.retry_on_new_conn(conn);
        }
        (cache_conn.write_buffer, cache_conn.starting) = (Some(buffer), false);
        // A failed write does not end the connection yet: a response may already have arrived.
        if failed.is_none()
            && let Some(buffer) = cache_conn.next_write()
        {
            self.effects.push(Effect::Write(conn, buffer));
        }
    }

    /// A request was not started, because its client had sent data that was not processed yet (it is by now,
    /// and may have aborted the request) or because the request was built too long ago. If it is still
    /// wanted, it is rebuilt for the same connection.
    pub(super) fn restart_request(
        &mut self,
        conn: ConnId,
        mut buffer: RingBuffer,
        client_data_pending: bool,
    ) {
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else { return };
        buffer.clear();
        cache_conn.reset_to_idle(buffer, self.now);
        let Some((access, push)) = cache_conn.push else { return };
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|a| a.pushes.get_mut(push)) {
            (sent.started, sent.postponed) = (false, sent.postponed + u8::from(client_data_pending));
        }
        self.send(conn, access, push);
    }

    /// A request was not started because its client has disconnected. The connection to the cache can be used
    /// again. Returns the client's connection, if it is known.
    pub(super) fn release_unsent(&mut self, conn: ConnId, mut buffer: RingBuffer) -> Option<ConnId> {
        let cache_conn = self.cache_conns.get_mut(&conn)?;
        buffer.clear();
        cache_conn.reset_to_idle(buffer, self.now);
        let (cache, endpoint, carried_push) = (cache_conn.cache, cache_conn.endpoint, cache_conn.push.take());
        if self.endpoints.get(&cache) == Some(&endpoint) {
            self.pools.put(cache, conn, self.now);
        } else {
            self.close_cache_conn(conn, CacheEnd::Unlisted);
        }
        let (access, push) = carried_push?;
        self.end_push(access, push, PushEnd::without_response(Outcome::NeverSent));
        Some(self.accesses.get(&access)?.client)
    }

    /// A connection was lost before the request of its push was written. The push goes over another
    /// connection, and does not count as a further push, since the cache can't have read any of it. If a
    /// second new connection is lost as well, the cache is considered unreachable.
    fn retry_on_new_conn(&mut self, conn: ConnId) {
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else { return };
        let (cache, reused, carried_push) = (cache_conn.cache, cache_conn.reused, cache_conn.push.take());
        self.close_cache_conn(conn, CacheEnd::LostWhileIdle);
        let Some((access, push)) = carried_push else { return };
        let Some(open_access) = self.accesses.get_mut(&access) else { return };
        let Some(sent) = open_access.pushes.get_mut(push) else { return };
        let unreachable = !reused && std::mem::replace(&mut sent.lost_new_conn, true);
        (sent.started, sent.conn) = (false, None);
        if open_access.done {
            return self.end_push(access, push, PushEnd::without_response(Outcome::NeverSent));
        }
        if unreachable || sent.stale || self.assign_conn(cache, access, push).is_none() {
            let outcome = if unreachable { Outcome::Unreachable } else { Outcome::NeverSent };
            self.end_push(access, push, PushEnd::without_response(outcome));
        }
    }

    pub(super) fn cache_read(&mut self, conn: ConnId, mut buffer: RingBuffer, ended: Option<IoEnd>) {
        let room = self.bounds.bodies.saturating_sub(self.body_bytes);
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else { return };
        let before = cache_conn.held_bytes();
        let progress = cache_conn.read_response(&mut buffer, room);
        self.body_bytes = (self.body_bytes + cache_conn.held_bytes()).saturating_sub(before);
        self.peaks.bodies = self.peaks.bodies.max(self.body_bytes);
        let (cache, endpoint) = (cache_conn.cache, cache_conn.endpoint);
        match progress {
            Progress::Complete(push_end, close) => {
                // From here on these bytes are counted as the response's.
                self.body_bytes += push_end.body.len();
                cache_conn.since = self.now;
                let carried_push = cache_conn.push.take();
                let reused = cache_conn.reused;
                let open_access = carried_push.and_then(|c| Some((self.accesses.get_mut(&c.0)?, c.1)));
                // A new connection that carried an unrepeatable access is closed, as no such access may reuse
                // it. One that was reused stays for others.
                let used_once = !reused && open_access.as_ref().is_some_and(|(a, _)| !a.repeatable);
                if let Some(sent) = open_access.and_then(|(a, push)| a.pushes.get_mut(push)) {
                    sent.refused_on_new_conn = !reused && push_end.outcome == Outcome::Full;
                }
                let unlisted = self.endpoints.get(&cache) != Some(&endpoint);
                if ended.is_some() || close || used_once || unlisted {
                    let reason = match () {
                        () if unlisted => CacheEnd::Unlisted,
                        () if used_once => CacheEnd::UsedOnce,
                        () => CacheEnd::AfterResponse,
                    };
                    self.close_cache_conn(conn, reason);
                } else {
                    if let Some(cache_conn) = self.cache_conns.get_mut(&conn) {
                        (cache_conn.state, cache_conn.reused) = (ConnState::Idle, true);
                    }
                    self.pools.put(cache, conn, self.now);
                    self.effects.push(Effect::Read(conn, buffer));
                }
                if let Some((access, push)) = carried_push {
                    self.end_push(access, push, push_end);
                }
            }
            // `cache_wrote` decides, by the result of the pending write.
            Progress::More if cache_conn.starting => {}
            Progress::More if ended.is_none() => self.effects.push(Effect::Read(conn, buffer)),
            Progress::NeedsRoom if ended.is_none() => {
                cache_conn.parked = Some(buffer);
                self.parked.push_back(conn);
            }
            Progress::More | Progress::NeedsRoom => match ended {
                Some(end) => self.fail_cache_conn(conn, &format!("the connection ended too soon: {end}")),
                None => self.fail_cache_conn(conn, "the connection ended too soon"),
            },
            Progress::Invalid(reason) => self.fail_cache_conn(conn, reason),
        }
    }

    pub(super) fn fail_cache_conn(&mut self, conn: ConnId, reason: &str) {
        let Some(cache_conn) = self.cache_conns.get_mut(&conn) else { return };
        let (cache, carried_push) = (cache_conn.cache, cache_conn.push.take());
        self.pools.remove(cache, conn);
        self.close_cache_conn(conn, CacheEnd::Broken);
        if let Some((access, push)) = carried_push {
            let member = format_args!("s-{cache:08x}");
            tracing::info!(member = %member, "the response of {member} can't be used: {reason}");
            self.end_push(access, push, PushEnd::without_response(Outcome::Broken));
        }
    }

    /// Room for bodies has become free: responses that waited for it continue, in order.
    pub(super) fn resume_parked(&mut self) {
        for _ in 0..self.parked.len() {
            let Some(conn) = self.parked.pop_front() else { return };
            if let Some(buffer) = self.cache_conns.get_mut(&conn).and_then(|c| c.parked.take()) {
                self.cache_read(conn, buffer, None);
            }
        }
    }

    pub(super) fn end_push(&mut self, access: AccessId, push: usize, push_end: PushEnd) {
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|a| a.pushes.get_mut(push)) {
            (sent.in_flight, sent.conn) = (false, None);
            self.timers.cancel(sent.timeout);
        }
        self.trace_push_end(access, push, &push_end);
        self.push_ends.push_back((access, push, push_end));
    }

    /// Ends a push. A connection that carries it is closed; one still being established is kept for other
    /// pushes.
    pub(super) fn stop_push(&mut self, access: AccessId, push: usize, outcome: Outcome) {
        let Some(sent) = self.accesses.get_mut(&access).and_then(|a| a.pushes.get_mut(push)) else { return };
        if !sent.in_flight {
            return;
        }
        // A request that was never written can't have run, however long it waited for its connection.
        let never_sent = outcome == Outcome::TimedOut && !sent.started;
        let outcome = if never_sent { Outcome::NeverSent } else { outcome };
        if let Some(conn) = sent.conn
            && let Some(cache_conn) = self.cache_conns.get_mut(&conn)
        {
            cache_conn.push = None;
            if cache_conn.state != ConnState::Connecting {
                self.close_cache_conn(conn, CacheEnd::PushEnded);
            }
        }
        self.end_push(access, push, PushEnd::without_response(outcome));
    }

    /// Ends the pushes of an access that have not been written, because its response is no longer awaited.
    /// This applies whether the access may be repeated or not, and whether or not caches support
    /// cancellation.
    pub(super) fn end_unsent_pushes(&mut self, access: AccessId) {
        let Some(open_access) = self.accesses.get(&access) else { return };
        let is_unsent = |&n: &usize| open_access.pushes[n].in_flight && !open_access.pushes[n].started;
        let unsent: Vec<_> = (0..open_access.pushes.len()).filter(is_unsent).collect();
        for push in unsent {
            self.stop_push(access, push, Outcome::NeverSent);
        }
    }

    /// An event of the feed, such as a purge, affects some pushes. Those that still wait for a connection
    /// must not be sent unchanged, since a connection may take longer than the grace period for such events.
    /// They end as never sent, and the decision module decides again.
    pub(super) fn invalidate_pushes(&mut self, is_affected: impl Fn(&OpenAccess, &SentPush) -> bool) {
        let mut stale = Vec::new();
        for (&access, open_access) in &mut self.accesses {
            for n in 0..open_access.pushes.len() {
                if open_access.pushes[n].in_flight && is_affected(open_access, &open_access.pushes[n]) {
                    open_access.pushes[n].stale = true;
                    stale.extend(Some((access, n)).filter(|_| !open_access.pushes[n].started));
                }
            }
        }
        stale.sort_unstable();
        for (access, push) in stale {
            self.stop_push(access, push, Outcome::NeverSent);
        }
    }

    /// Closes the connection to a cache that has been idle longest.
    pub(super) fn close_idle_cache_conn(&mut self) -> Option<()> {
        let idle = self.cache_conns.iter().filter(|(_, c)| c.state == ConnState::Idle && c.push.is_none());
        let (conn, cache) = idle.min_by_key(|(_, c)| c.since).map(|(&conn, c)| (conn, c.cache))?;
        self.pools.remove(cache, conn);
        self.close_cache_conn(conn, CacheEnd::Evicted);
        // Effects are carried out in order, so its descriptor is free before the next one is needed.
        self.closing.insert(conn, false);
        Some(())
    }

    /// Assigns a connection to a push: an idle one, or a new one if descriptors allow.
    pub(super) fn assign_conn(&mut self, cache: u32, access: AccessId, push: usize) -> Option<()> {
        let endpoint = *self.endpoints.get(&cache)?;
        // A reused connection may be closing while the request is on its way, and then the request may have
        // run. So an unrepeatable access takes a new connection. If its cache refuses new ones, a recently
        // used one is the smaller risk: caches close those that were idle for long.
        let open_access = self.accesses.get(&access)?;
        let no_descriptor = self.cache_conns_used() >= self.bounds.max_cache_conns(self.clients.len());
        let idle_since =
            match (open_access.repeatable, open_access.pushes.iter().any(|s| s.refused_on_new_conn)) {
                (true, _) => Some(0),
                (false, true) => Some(self.now.saturating_sub(self.idle_timeout / 4)),
                (false, false) => None,
            };
        // This holds even when descriptors are short: otherwise a duplicate of the previous response would be
        // taken for the response to this request.
        let idle_until = self.now.saturating_sub(Pools::MIN_IDLE);
        if let Some(conn) = idle_since.and_then(|since| self.pools.get(cache, since..=idle_until)) {
            self.send(conn, access, push);
            return Some(());
        }
        if no_descriptor {
            self.close_idle_cache_conn()?;
        }
        let conn = self.connect(endpoint.address, self.connect_timeout);
        self.cache_conns.insert(conn, CacheConn::new(cache, endpoint, (access, push), self.now));
        self.peaks.lines = self.peaks.lines.max(self.cache_conns_used());
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|a| a.pushes.get_mut(push)) {
            sent.conn = Some(conn);
        }
        Some(())
    }
}
