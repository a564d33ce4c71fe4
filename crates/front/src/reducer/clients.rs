//! The reducer's part for clients: their requests and the responses to them.

use doorgrade::{Access, AccessId, Ticks};

use super::client::Client;
use super::client_ends::HalfCloseState;
use super::{Effect, OpenAccess, Reducer, State};
use crate::answer::Reply;
use crate::bounds;
use crate::conn::ConnId;
use crate::fastcgi;
use crate::intake::{ClientMessage, Request};
use crate::reasons::{ClientEnd, IoEnd, Rejection};
use crate::ring_buffer::RingBuffer;

/// Warnings about clients are logged at most once in this time: 1 s.
const WARNING_INTERVAL: Ticks = 10_000;

/// Bytes that an open access holds. The body counts twice: the access holds one copy, and the request to a cache
/// another.
fn held_bytes(request: &Request) -> usize {
    bounds::OPEN_ACCESS + 2 * request.body.len()
}

impl Reducer {
    pub(super) fn client_read(
        &mut self,
        conn: ConnId,
        mut buffer: RingBuffer,
        ended: Option<IoEnd>,
        received_at: Ticks,
    ) {
        // Requests that arrive together with the end of the connection are dropped: no client waits for their
        // responses. A client that has only shut down its sending side can't be distinguished from one that
        // has closed the connection; FastCGI web servers don't half-close (docs/races.md).
        if let Some(end) = ended {
            tracing::debug!("a client's connection has ended: {end}");
            return self.drop_client(conn, ClientEnd::Left);
        }
        if let Some(client) = self.state.clients.get_mut(&conn) {
            // Data had arrived before the half-close was carried out, so it was not carried out.
            if !client.intake.discarding {
                client.half_close = HalfCloseState::Open;
            }
        }
        // Requests are started once all data is read: one that its client takes back right behind it never is.
        let mut received = Vec::new();
        loop {
            let room = self.state.room_for_partial(conn, buffer.len());
            let Some(client) = self.state.clients.get_mut(&conn) else { return };
            let before = client.intake.held_bytes();
            if client.intake.discarding {
                buffer.clear();
            }
            if client.outbox.is_overfull() {
                // If reading stopped, the client's disconnect and aborts would go unseen; if it went on,
                // responses would fill the memory.
                self.state.warn_limited(
                    "closing the connection of a client that keeps sending without reading its responses",
                );
                return self.drop_client(conn, ClientEnd::Flooding);
            }
            let message = client.intake.next(&mut buffer, room);
            let after = client.intake.held_bytes();
            self.state.body_bytes = (self.state.body_bytes + after).saturating_sub(before);
            match message {
                Ok(Some(message)) => {
                    client.request_since = None;
                    client.has_finished |= matches!(message, ClientMessage::Request(..));
                    match message {
                        ClientMessage::Request(id, request) => received.push((id, request)),
                        ClientMessage::Abort(id) if received.iter().any(|(other, _)| *other == id) => {
                            received.retain(|(other, _)| *other != id);
                            tracing::debug!(request = id, "a request was taken back before it was started");
                        }
                        message => self.client_message(conn, message),
                    }
                }
                Ok(None) => break,
                Err(fastcgi::InvalidRecord) => {
                    // Requests received before the invalid record are answered; then the connection is
                    // closed.
                    client.intake.discard_rest();
                    let freed = after - client.intake.held_bytes();
                    self.state.body_bytes = self.state.body_bytes.saturating_sub(freed);
                    buffer.clear();
                    self.state.warn_limited("a client sent an invalid record; closing its connection");
                    break;
                }
            }
        }
        for (id, request) in received {
            self.start_access(conn, id, request, received_at);
        }
        let Some(client) = self.state.clients.get_mut(&conn) else { return };
        client.last_read = self.state.now;
        if client.request_since.is_none() && (client.intake.has_partial() || !buffer.is_empty()) {
            client.request_since = Some(self.state.now);
        }
        if client.intake.close_when_done {
            let discarding = client.intake.discarding;
            client.ending.get_or_insert(match discarding {
                true => ClientEnd::InvalidData,
                false => ClientEnd::LastRequest,
            });
        }
        buffer.release_if_empty();
        self.state.effects.push(Effect::Read(conn, buffer));
        self.state.half_close_if_done(conn);
    }

    pub(super) fn client_message(&mut self, conn: ConnId, message: ClientMessage) {
        let state = &mut self.state;
        match message {
            // `client_read` collects them and starts them itself.
            ClientMessage::Request(id, request) => {
                self.start_access(conn, id, request, self.state.now);
            }
            ClientMessage::HealthCheck(id) => {
                let status = if state.phase.serving() && !state.draining { 200 } else { 503 };
                state.reply(conn, id, Reply::empty(status));
            }
            ClientMessage::Invalid(id, status, reason) => {
                state.warn_limited(reason);
                state.trace_rejection("", status, Rejection::Invalid);
                state.reply(conn, id, Reply::empty(status));
            }
            ClientMessage::DuplicateId(id) => {
                state.warn_limited("a client reused the id of an open request");
                if let Some(client) = state.clients.get_mut(&conn) {
                    client.outbox.push(id, Reply::empty(400), true);
                    state.write_client(conn);
                }
            }
            ClientMessage::Abort(id) => {
                if let Some(client) = state.clients.get_mut(&conn) {
                    let held = client.outbox.held_bytes;
                    client.outbox.remove(id);
                    state.body_bytes = state.body_bytes.saturating_sub(held - client.outbox.held_bytes);
                    if let Some(access) = client.accesses.remove(&id) {
                        self.abandon(access);
                    }
                }
            }
            ClientMessage::EndRequest(id, status) => {
                state.reply_record(conn, fastcgi::end_request(id, status).to_vec());
            }
            ClientMessage::ManagementResponse(bytes) => state.reply_record(conn, bytes),
        }
    }

    /// Starts an access, unless the request's fields are invalid.
    pub(super) fn start_access(&mut self, conn: ConnId, id: u16, request: Box<Request>, received_at: Ticks) {
        let state = &mut self.state;
        let Some(offering) = state.offering_names.iter().position(|o| *o == request.offering) else {
            state.warn_limited("a request names an unknown offering");
            state.trace_rejection(&request.id, 404, Rejection::Invalid);
            return state.reply(conn, id, Reply::empty(404));
        };
        if !self.front.is_possible_size(offering, request.kb) {
            state.warn_limited("a request tells an impossible size");
            state.trace_rejection(&request.id, 400, Rejection::Invalid);
            return state.reply(conn, id, Reply::empty(400));
        }
        // Caches identify accesses by the request's id: a second access with it must not disturb the first.
        let open = state.access_by_id.get(&request.numeric_id).and_then(|first| state.accesses.get(first));
        let in_use = open.is_some_and(|a| !a.done || a.must_not_run_again());
        if in_use || state.used_ids.contains(state.now, request.numeric_id) {
            state.warn_limited(
                "a request's Req-Id is still in use, or was that of one that must not run again",
            );
            state.trace_rejection(&request.id, 400, Rejection::Invalid);
            return state.reply(conn, id, Reply::empty(400));
        }
        // Nothing has been pushed yet, so the client may safely retry.
        let held_bytes = held_bytes(&request);
        let over_limit = state.is_over_limit(conn);
        let room = !over_limit && state.body_bytes + held_bytes <= state.bounds.bodies;
        if !state.phase.accepts(state.now) || !room {
            state.served.ended += 1;
            let reason = if room { Rejection::ShuttingDown } else { Rejection::NoRoom };
            state.trace_rejection(&request.id, 503, reason);
            if let Some(client) = state.clients.get_mut(&conn).filter(|_| over_limit) {
                client.ending.get_or_insert(ClientEnd::Evicted);
            }
            return state.reply(conn, id, Reply::empty(503));
        }
        let Some(client) = state.clients.get_mut(&conn) else { return };
        let access = state.next_access;
        state.next_access += 1;
        client.accesses.insert(id, access);
        state.body_bytes += held_bytes;
        let deadline = self.front.deadline(offering, received_at.min(state.now), request.wait);
        let requested = Access {
            id: access,
            offering,
            object: request.object,
            part: request.part,
            group: request.group,
            kb: request.kb,
            deadline,
            has_repeat_id: request.repeat_id.is_some(),
        };
        let policy = self.front.repeat_policy(&requested);
        let repeatable = policy != doorgrade::RepeatPolicy::Unrepeatable;
        let idempotent = policy == doorgrade::RepeatPolicy::Idempotent;
        state.access_by_id.insert(request.numeric_id, access);
        let settings = &state.offerings[offering];
        let transfer_time = settings.transfer_factor * 10_000.0 * request.kb / state.flow_kb_per_s.max(1e-6);
        let (benefit, benefit_until) = (
            settings.benefit,
            state.now.saturating_add(settings.soft_limit).saturating_add(transfer_time as Ticks),
        );
        state.served.requested_benefit += benefit;
        let (done, pushes, decision_timers, soft_limit_at) = (false, Vec::new(), Vec::new(), deadline);
        let open_access = OpenAccess {
            client: conn,
            request_id: id,
            request,
            repeatable,
            idempotent,
            done,
            pushes,
            decision_timers,
            soft_limit_at,
            benefit,
            benefit_until,
        };
        state.accesses.insert(access, open_access);
        state.peaks.accesses = state.peaks.accesses.max(state.accesses.len());
        state.trace_request(access);
        self.front.access(state.now, &requested, state);
    }

    /// The client no longer waits for the access.
    pub(super) fn abandon(&mut self, access: AccessId) {
        if let Some(open_access) = self.state.accesses.get_mut(&access)
            && !std::mem::replace(&mut open_access.done, true)
        {
            tracing::debug!(request = open_access.client_id(), "given up by its client");
            self.state.served.ended += 1;
            self.state.cancel_decision_timers(access);
            self.state.end_unsent_pushes(access);
            self.front.client_left(access, &mut self.state);
            self.state.remove_if_done(access);
        }
    }

    pub(super) fn drop_client(&mut self, conn: ConnId, reason: ClientEnd) {
        let Some(client) = self.state.clients.remove(&conn) else { return };
        let open: Vec<_> = client.accesses.values().copied().collect();
        self.state.trace_client_end(conn, reason, &open);
        self.state.body_bytes = self.state.body_bytes.saturating_sub(client.held_bytes());
        self.state.close(conn);
        open.into_iter().for_each(|access| self.abandon(access));
        self.state.resume_parked();
    }

    pub(super) fn client_wrote(&mut self, conn: ConnId, failed: Option<IoEnd>) {
        let state = &mut self.state;
        let Some(client) = state.clients.get_mut(&conn) else { return };
        let written = client.writing.take().unwrap_or(0);
        state.body_bytes = state.body_bytes.saturating_sub(written);
        if let Some(end) = failed {
            tracing::debug!("a write to a client failed: {end}");
            return self.drop_client(conn, ClientEnd::WriteFailed);
        }
        state.write_client(conn);
        state.resume_parked();
        state.half_close_if_done(conn);
    }
}

impl State {
    /// Logs a client's misbehaviour, at most once a second, so that clients can't flood the log.
    pub(super) fn warn_limited(&mut self, problem: &str) {
        self.unlogged_warnings += 1;
        if self.now >= self.warned_at + WARNING_INTERVAL {
            tracing::warn!("{problem} ({} such warnings since the last one)", self.unlogged_warnings);
            (self.unlogged_warnings, self.warned_at) = (0, self.now);
        }
    }

    pub(super) fn write_client(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.writing.is_some() || client.outbox.is_empty() {
            return;
        }
        let room = self.bounds.bodies.saturating_sub(self.body_bytes);
        let mut buffer = RingBuffer::new(client.outbox.buffer_size(room.min(bounds::CLIENT_OUT)));
        let Client { outbox, intake, accesses, .. } = client;
        let held = outbox.held_bytes;
        outbox.fill(&mut buffer, |id| {
            intake.finish(id);
            accesses.remove(&id);
        });
        self.body_bytes = self.body_bytes.saturating_sub(held - outbox.held_bytes);
        if !buffer.is_empty() {
            client.last_write = self.now;
            client.writing = Some(buffer.capacity());
            self.body_bytes += buffer.capacity();
            self.effects.push(Effect::Write(conn, buffer));
        }
        if held > 0 {
            self.resume_parked();
        }
    }

    pub(super) fn reply(&mut self, conn: ConnId, id: u16, reply: Reply<'_>) {
        let Some(client) = self.clients.get_mut(&conn) else {
            self.body_bytes = self.body_bytes.saturating_sub(reply.body.len());
            return;
        };
        client.outbox.push(id, reply, false);
        self.write_client(conn);
    }

    pub(super) fn reply_record(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.outbox.push_record(bytes);
            self.write_client(conn);
        }
    }

    /// Sends the one final response of an access.
    pub(super) fn answer(&mut self, access: AccessId, reply: Reply<'_>) {
        if let Some(open_access) = self.accesses.get_mut(&access) {
            let first = !std::mem::replace(&mut open_access.done, true);
            let in_time = reply.status == 200 && self.now <= open_access.benefit_until;
            if in_time {
                self.served.earned_benefit += open_access.benefit;
            }
            self.served.ended += u64::from(first);
            self.served.answered += u64::from(first && in_time);
            let status = reply.status;
            let (client, id) = (open_access.client, open_access.request_id);
            self.trace_response(access, status);
            self.cancel_decision_timers(access);
            self.reply(client, id, reply);
            self.end_unsent_pushes(access);
        }
    }

    /// The access is done: the decision module has nothing left to decide about it.
    fn cancel_decision_timers(&mut self, access: AccessId) {
        let Some(open_access) = self.accesses.get_mut(&access) else { return };
        for (_, timer) in open_access.decision_timers.drain(..) {
            self.timers.cancel(timer);
        }
    }

    pub(super) fn remove_if_done(&mut self, access: AccessId) {
        let is_done = |a: &OpenAccess| a.done && a.pushes.iter().all(|s| !s.in_flight);
        if self.accesses.get(&access).is_some_and(is_done)
            && !self.push_ends.iter().any(|e| e.0 == access)
            && let Some(open_access) = self.accesses.remove(&access)
        {
            self.body_bytes = self.body_bytes.saturating_sub(held_bytes(&open_access.request));
            if open_access.must_not_run_again() {
                self.used_ids.add(self.now, open_access.request.numeric_id);
            }
            if self.access_by_id.get(&open_access.request.numeric_id) == Some(&access) {
                self.access_by_id.remove(&open_access.request.numeric_id);
            }
            if let Some(hierarchy) = &mut self.hierarchy {
                hierarchy.router.access_done(self.now, access);
            }
        }
    }
}
