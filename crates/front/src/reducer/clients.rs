//! The reducer's dealings with clients: what they say, what they are owed.

use doorgrade::{Access, AccessId, Ticks};
use rustc_hash::FxHashMap;

use super::places::Ending;
use super::{Effect, Reducer, Taken, Work};
use crate::answer::{Outbox, Reply};
use crate::bounds;
use crate::conn::ConnId;
use crate::fastcgi;
use crate::intake::{Intake, Request, Said};
use crate::reasons::{ClientEnd, Cut, Refusal};
use crate::ring::Ring;

pub(super) struct Client {
    pub(super) intake: Intake,
    /// None while the coroutine writes.
    pub(super) out: Option<Ring>,
    /// When something last came, and when it was last handed something to write.
    pub(super) heard: Ticks,
    /// Since when a request has been owed that has not come whole; the first is, from the start.
    pub(super) began: Option<Ticks>,
    pub(super) wrote: Ticks,
    pub(super) outbox: Outbox,
    pub(super) accesses: FxHashMap<u16, AccessId>,
    /// Its connection ends with what is open on it.
    pub(super) last: bool,
    /// How far its connection has been ended from here.
    pub(super) ending: Ending,
}

const COMPLAINTS: Ticks = 10_000;

impl Client {
    pub(super) fn new(now: Ticks) -> Client {
        Client {
            intake: Intake::default(),
            out: Some(Ring::new(bounds::CLIENT_OUT)),
            heard: now,
            began: Some(now),
            wrote: now,
            outbox: Outbox::default(),
            accesses: FxHashMap::default(),
            last: false,
            ending: Ending::No,
        }
    }

    /// Nothing is open and nothing waits to be written: nobody loses by its end.
    pub(super) fn owed_nothing(&self) -> bool {
        self.accesses.is_empty() && self.outbox.is_empty() && self.out.is_some()
    }

    pub(super) fn idle_since(&self) -> Ticks {
        self.heard.max(self.wrote)
    }
}

impl Reducer {
    pub(super) fn client_read(&mut self, conn: ConnId, mut ring: Ring, ended: Option<Cut>, at: Ticks) {
        // Nobody waits for an answer to what came with the end: no attempt is to begin for it. An end of writing alone
        // can't be told from a close; web servers of this protocol have no use for it (docs/races.md).
        if let Some(cut) = ended {
            tracing::debug!("a client's connection has ended: {cut}");
            return self.drop_client(conn, ClientEnd::Left);
        }
        if let Some(client) = self.work.clients.get_mut(&conn) {
            // Something had come before its connection was ended: it was not.
            if !client.intake.deaf {
                client.ending = Ending::No;
            }
        }
        loop {
            let Some(client) = self.work.clients.get_mut(&conn) else { return };
            let before = client.intake.held();
            if client.intake.deaf {
                ring.clear();
            }
            if client.outbox.crowded() {
                // Not read on, its end and what it gives up would go unseen; read on, it would fill the memory.
                self.work.complain("a client sends on and reads nothing: its connection is closed");
                return self.drop_client(conn, ClientEnd::Flooding);
            }
            let room = self.work.bounds.bodies.saturating_sub(self.work.bodies);
            let said = client.intake.next(&mut ring, room);
            let after = client.intake.held();
            self.work.bodies = (self.work.bodies + after).saturating_sub(before);
            match said {
                Ok(Some(said)) => {
                    client.began = None;
                    self.said(conn, said, at);
                }
                Ok(None) => break,
                Err(fastcgi::Broken) => {
                    // What was taken before is answered; then the connection ends.
                    client.intake.stop();
                    let freed = after - client.intake.held();
                    self.work.bodies = self.work.bodies.saturating_sub(freed);
                    ring.clear();
                    self.work.complain("a client's record can't be read: its connection ends");
                    break;
                }
            }
        }
        let Some(client) = self.work.clients.get_mut(&conn) else { return };
        client.heard = self.work.now;
        if client.began.is_none() && (client.intake.unfinished() || !ring.is_empty()) {
            client.began = Some(self.work.now);
        }
        client.last = client.intake.last;
        self.work.effects.push(Effect::Read(conn, ring));
        self.work.half_close_last(conn);
    }

    pub(super) fn said(&mut self, conn: ConnId, said: Said, at: Ticks) {
        let work = &mut self.work;
        match said {
            Said::Ask(id, request) => self.take(conn, id, request, at),
            Said::Check(id) => {
                let status = if work.phase.serving() && !work.drains { 200 } else { 503 };
                work.reply(conn, id, Reply::bare(status));
            }
            Said::Unusable(id, status, why) => {
                work.complain(why);
                work.trace_refusal("", status, Refusal::Unusable);
                work.reply(conn, id, Reply::bare(status));
            }
            Said::Twice(id) => {
                work.complain("a request's id is in use");
                if let Some(client) = work.clients.get_mut(&conn) {
                    client.outbox.put(id, Reply::bare(400), true);
                    work.write_client(conn);
                }
            }
            Said::Abort(id) => {
                if let Some(client) = work.clients.get_mut(&conn) {
                    let held = client.outbox.held;
                    client.outbox.forget(id);
                    work.bodies = work.bodies.saturating_sub(held - client.outbox.held);
                    if let Some(access) = client.accesses.remove(&id) {
                        self.leave(access);
                    }
                }
            }
            Said::Over(id, status) => {
                work.reply_plain(conn, fastcgi::end_request(id, status).to_vec());
            }
            Said::Reply(bytes) => work.reply_plain(conn, bytes),
        }
    }

    /// Takes an access, unless its fields can't be used.
    pub(super) fn take(&mut self, conn: ConnId, id: u16, request: Box<Request>, at: Ticks) {
        let work = &mut self.work;
        let Some(offering) = work.offerings.iter().position(|o| *o == request.offering) else {
            work.complain("a request's class is unknown");
            work.trace_refusal(&request.id, 404, Refusal::Unusable);
            return work.reply(conn, id, Reply::bare(404));
        };
        // Caches tell accesses apart by it: the first must not suffer.
        let open = work.by_id.get(&request.call).and_then(|first| work.accesses.get(first));
        if open.is_some_and(|t| !t.done) {
            work.complain("a request's Req-Id is open already");
            work.trace_refusal(&request.id, 400, Refusal::Unusable);
            return work.reply(conn, id, Reply::bare(400));
        }
        // Nothing was pushed yet, so trying again is harmless.
        let room = work.bodies + 2 * request.body.len() <= work.bounds.bodies;
        if !work.phase.takes(work.now) || !room {
            work.served.ended += 1;
            let why = if room { Refusal::Ending } else { Refusal::NoRoom };
            work.trace_refusal(&request.id, 503, why);
            return work.reply(conn, id, Reply::bare(503));
        }
        let Some(client) = work.clients.get_mut(&conn) else { return };
        let access = work.next_access;
        work.next_access += 1;
        client.accesses.insert(id, access);
        // Once for the access, and once more on its way to a cache.
        work.bodies += 2 * request.body.len();
        let until = at.min(work.now) + request.wait;
        let asked = Access {
            id: access,
            offering,
            object: request.object,
            part: request.part,
            group: request.group,
            kb: request.kb,
            deadline: until,
            has_repeat_id: request.mark.is_some(),
        };
        let repeatable = self.front.repeat_policy(&asked) != doorgrade::RepeatPolicy::Unrepeatable;
        work.by_id.insert(request.call, access);
        let of = &work.worths[offering];
        let sending = of.transfer_factor * 10_000.0 * request.kb / work.flow_kb_per_s.max(1e-6);
        let (worth, aim) =
            (of.benefit, work.now.saturating_add(of.soft_limit).saturating_add(sending as Ticks));
        work.served.asked += worth;
        let (done, sent, soft_at) = (false, Vec::new(), until);
        let taken = Taken { client: conn, id, request, repeatable, done, sent, soft_at, worth, aim };
        work.accesses.insert(access, taken);
        work.most.accesses = work.most.accesses.max(work.accesses.len());
        work.trace_taken(access);
        self.front.access(work.now, &asked, work);
    }

    /// The client does not wait any more.
    pub(super) fn leave(&mut self, access: AccessId) {
        if let Some(taken) = self.work.accesses.get_mut(&access)
            && !std::mem::replace(&mut taken.done, true)
        {
            tracing::debug!(request = taken.call(), "given up by its client");
            self.work.served.ended += 1;
            self.work.stop_unsent(access);
            self.front.client_left(access, &mut self.work);
            self.work.tidy(access);
        }
    }

    pub(super) fn drop_client(&mut self, conn: ConnId, why: ClientEnd) {
        let Some(client) = self.work.clients.remove(&conn) else { return };
        let open: Vec<_> = client.accesses.values().copied().collect();
        self.work.trace_client_end(conn, why, &open);
        self.work.bodies = self.work.bodies.saturating_sub(client.outbox.held + client.intake.held());
        self.work.close(conn);
        open.into_iter().for_each(|access| self.leave(access));
        self.work.unpark();
    }

    pub(super) fn client_wrote(&mut self, conn: ConnId, ring: Ring, failed: Option<Cut>) {
        let work = &mut self.work;
        let Some(client) = work.clients.get_mut(&conn) else { return };
        client.out = Some(ring);
        if let Some(cut) = failed {
            tracing::debug!("a write to a client failed: {cut}");
            return self.drop_client(conn, ClientEnd::WriteFailed);
        }
        work.write_client(conn);
        work.half_close_last(conn);
    }
}

impl Work {
    /// The connection was to end with what is open on it, and nothing is.
    fn half_close_last(&mut self, conn: ConnId) {
        let over = |c: &Client| c.last && c.intake.open() == 0 && c.outbox.is_empty() && c.out.is_some();
        if self.clients.get(&conn).is_some_and(over) {
            let deaf = self.clients.get(&conn).is_some_and(|c| c.intake.deaf);
            self.half_close(conn, if deaf { ClientEnd::Unreadable } else { ClientEnd::LastRequest });
        }
    }

    /// What clients do wrong, a line a second at the most: nobody may flood the log from outside.
    pub(super) fn complain(&mut self, what: &str) {
        self.complaints += 1;
        if self.now >= self.complained_at + COMPLAINTS {
            tracing::warn!("{what} ({} such since the last line)", self.complaints);
            (self.complaints, self.complained_at) = (0, self.now);
        }
    }

    pub(super) fn write_client(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some(mut ring) = client.out.take() else { return };
        let Client { outbox, intake, accesses, .. } = client;
        let held = outbox.held;
        outbox.fill(&mut ring, |id| {
            intake.end(id);
            accesses.remove(&id);
        });
        self.bodies = self.bodies.saturating_sub(held - outbox.held);
        if ring.is_empty() {
            client.out = Some(ring);
        } else {
            client.wrote = self.now;
            self.effects.push(Effect::Write(conn, ring));
        }
        if held > 0 {
            self.unpark();
        }
    }

    pub(super) fn reply(&mut self, conn: ConnId, id: u16, reply: Reply<'_>) {
        let Some(client) = self.clients.get_mut(&conn) else {
            self.bodies = self.bodies.saturating_sub(reply.body.len());
            return;
        };
        client.outbox.put(id, reply, false);
        self.write_client(conn);
    }

    pub(super) fn reply_plain(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.outbox.put_plain(bytes);
            self.write_client(conn);
        }
    }

    /// The one final answer of an access.
    pub(super) fn answer(&mut self, access: AccessId, reply: Reply<'_>) {
        if let Some(taken) = self.accesses.get_mut(&access) {
            let first = !std::mem::replace(&mut taken.done, true);
            let in_time = reply.status == 200 && self.now <= taken.aim;
            if in_time {
                self.served.in_time += taken.worth;
            }
            self.served.ended += u64::from(first);
            self.served.answered += u64::from(first && in_time);
            let status = reply.status;
            let (client, id) = (taken.client, taken.id);
            self.trace_answer(access, status);
            self.reply(client, id, reply);
            self.stop_unsent(access);
        }
    }

    pub(super) fn tidy(&mut self, access: AccessId) {
        let over = |t: &Taken| t.done && t.sent.iter().all(|s| !s.live);
        if self.accesses.get(&access).is_some_and(over)
            && !self.ends.iter().any(|e| e.0 == access)
            && let Some(taken) = self.accesses.remove(&access)
        {
            self.bodies = self.bodies.saturating_sub(2 * taken.request.body.len());
            if self.by_id.get(&taken.request.call) == Some(&access) {
                self.by_id.remove(&taken.request.call);
            }
            if let Some(tiers) = &mut self.tiers {
                tiers.guide.access_done(self.now, access);
            }
        }
    }
}
