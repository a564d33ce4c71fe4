//! The reducer's dealings with caches: pushes on their way, and the connections that carry them.

use doorgrade::{AccessId, Outcome};

use super::sent::Sent;
use super::{Effect, Made, Taken, Work};
use crate::bounds;
use crate::conn::{Awaits, ConnId};
use crate::push::{Got, Line, Pools, Progress, State};
use crate::reasons::{CacheEnd, Cut};
use crate::ring::Ring;

/// A request is put off so often for what its client has said since: more than once only where it says more and more.
const MOST_PUT_OFF: u8 = 3;

impl Work {
    pub(super) fn connected(&mut self, conn: ConnId, made: Made) {
        let Some(line) = self.lines.get_mut(&conn) else {
            // Nobody waits for it any more.
            return if made == Made::Up {
                self.close(conn)
            };
        };
        if made != Made::Up {
            let carries = line.carries.take();
            self.lines.remove(&conn);
            let outcome = if made == Made::Refused { Outcome::Unreachable } else { Outcome::NeverSent };
            if let Some((access, push)) = carries {
                self.end_push(access, push, Got::bare(outcome));
            }
            return;
        }
        line.out = Some(Ring::new(bounds::LINE_OUT));
        (line.state, line.since) = (State::Idle, self.now);
        let (cache, place, carries) = (line.cache, line.place, line.carries);
        self.effects.push(Effect::Read(conn, Ring::new(bounds::LINE_IN)));
        match carries {
            Some((access, push)) => self.send(conn, access, push),
            None if self.places.get(&cache) == Some(&place) => self.pools.put(cache, conn, self.now),
            None => self.close_line(conn, CacheEnd::Unlisted),
        }
    }

    /// Writes a push's request on a connection that is up and free.
    pub(super) fn send(&mut self, conn: ConnId, access: AccessId, push: usize) {
        let via = self.tiers.as_ref().and_then(|t| t.via.as_deref());
        let Some(taken) = self.accesses.get_mut(&access) else { return };
        let Some(sent) = taken.sent.get_mut(push) else { return };
        let Some(line) = self.lines.get_mut(&conn) else { return };
        if taken.done || sent.outdated || !sent.may_begin(self.now) {
            line.carries = None;
            self.pools.put(line.cache, conn, self.now);
            return self.end_push(access, push, Got::bare(Outcome::NeverSent));
        }
        let request = sent.request(self.now, &taken.request, via);
        tracing::trace!("request {:?}", String::from_utf8_lossy(&request));
        (sent.conn, sent.begun) = (Some(conn), true);
        line.carries = Some((access, push));
        line.begin(request, taken.request.tag.clone());
        let (client, hear_first) = (taken.client, sent.put_off < MOST_PUT_OFF);
        let awaits = Awaits { client, made_until: sent.made_until(self.now), hear_first };
        if let Some(ring) = line.to_write() {
            self.effects.push(Effect::Begin(conn, ring, awaits));
        }
    }

    pub(super) fn line_wrote(&mut self, conn: ConnId, ring: Ring, failed: Option<Cut>) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        if failed.is_some() && line.unwritten(&ring) {
            return self.begin_anew(conn);
        }
        (line.out, line.beginning) = (Some(ring), false);
        // A failed write is not the end yet: an answer may be there to be read.
        if failed.is_none()
            && let Some(ring) = line.to_write()
        {
            self.effects.push(Effect::Write(conn, ring));
        }
    }

    /// A request has not begun since its client has said something, which has been heard by now and may have ended it, or
    /// since it was made too long ago. If it is still to begin, it is made anew, for the same connection.
    pub(super) fn begin_after_all(&mut self, conn: ConnId, mut ring: Ring, unheard: bool) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        ring.clear();
        line.rest(ring, self.now);
        let Some((access, push)) = line.carries else { return };
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) {
            (sent.begun, sent.put_off) = (false, sent.put_off + u8::from(unheard));
        }
        self.send(conn, access, push);
    }

    /// Nobody waits for the request that was to begin on this connection, which is as good as before. The client's
    /// connection, if it is known.
    pub(super) fn not_begun(&mut self, conn: ConnId, mut ring: Ring) -> Option<ConnId> {
        let line = self.lines.get_mut(&conn)?;
        ring.clear();
        line.rest(ring, self.now);
        let (cache, place, carries) = (line.cache, line.place, line.carries.take());
        if self.places.get(&cache) == Some(&place) {
            self.pools.put(cache, conn, self.now);
        } else {
            self.close_line(conn, CacheEnd::Unlisted);
        }
        let (access, push) = carries?;
        self.end_push(access, push, Got::bare(Outcome::NeverSent));
        Some(self.accesses.get(&access)?.client)
    }

    /// A connection was lost before a push was written on it: the push goes over another, which is no further
    /// push since nothing of this one can have been read. A second new one lost means that the cache is.
    fn begin_anew(&mut self, conn: ConnId) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let (cache, kept, carries) = (line.cache, line.kept, line.carries.take());
        self.close_line(conn, CacheEnd::LostAtRest);
        let Some((access, push)) = carries else { return };
        let Some(taken) = self.accesses.get_mut(&access) else { return };
        let Some(sent) = taken.sent.get_mut(push) else { return };
        let lost = !kept && std::mem::replace(&mut sent.unlucky, true);
        (sent.begun, sent.conn) = (false, None);
        if taken.done {
            return self.end_push(access, push, Got::bare(Outcome::NeverSent));
        }
        if lost || sent.outdated || self.carry(cache, access, push).is_none() {
            let outcome = if lost { Outcome::Unreachable } else { Outcome::NeverSent };
            self.end_push(access, push, Got::bare(outcome));
        }
    }

    pub(super) fn line_read(&mut self, conn: ConnId, mut ring: Ring, ended: Option<Cut>) {
        let room = self.bounds.bodies.saturating_sub(self.bodies);
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let before = line.held();
        let progress = line.take(&mut ring, room);
        self.bodies = (self.bodies + line.held()).saturating_sub(before);
        self.most.bodies = self.most.bodies.max(self.bodies);
        let (cache, place) = (line.cache, line.place);
        match progress {
            Progress::Whole(got, closes) => {
                // From here on the bytes are the answer's.
                self.bodies += got.body.len();
                line.since = self.now;
                let carries = line.carries.take();
                let kept = line.kept;
                let taken = carries.and_then(|c| Some((self.accesses.get_mut(&c.0)?, c.1)));
                // Nor is one kept that no such push may use; one that was kept before stays for others.
                let once = !kept && taken.as_ref().is_some_and(|(t, _)| !t.repeatable);
                if let Some(sent) = taken.and_then(|(t, push)| t.sent.get_mut(push)) {
                    sent.crowded_out = !kept && got.outcome == Outcome::Full;
                }
                let unlisted = self.places.get(&cache) != Some(&place);
                if ended.is_some() || closes || once || unlisted {
                    let why = match () {
                        () if unlisted => CacheEnd::Unlisted,
                        () if once => CacheEnd::UsedOnce,
                        () => CacheEnd::AfterAnswer,
                    };
                    self.close_line(conn, why);
                } else {
                    if let Some(line) = self.lines.get_mut(&conn) {
                        (line.state, line.kept) = (State::Idle, true);
                    }
                    self.pools.put(cache, conn, self.now);
                    self.effects.push(Effect::Read(conn, ring));
                }
                if let Some((access, push)) = carries {
                    self.end_push(access, push, got);
                }
            }
            // The end of its writing will tell.
            Progress::More if line.beginning => {}
            Progress::More if ended.is_none() => self.effects.push(Effect::Read(conn, ring)),
            Progress::Needs if ended.is_none() => {
                line.parked = Some(ring);
                self.parked.push_back(conn);
            }
            Progress::More | Progress::Needs => match ended {
                Some(cut) => self.break_line(conn, &format!("it ended too soon: {cut}")),
                None => self.break_line(conn, "it ended too soon"),
            },
            Progress::Broken(why) => self.break_line(conn, why),
        }
    }

    pub(super) fn break_line(&mut self, conn: ConnId, why: &str) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let (cache, carries) = (line.cache, line.carries.take());
        self.pools.remove(cache, conn);
        self.close_line(conn, CacheEnd::Broken);
        if let Some((access, push)) = carries {
            let member = format_args!("s-{cache:08x}");
            tracing::info!(member = %member, "an answer of {member} is broken: {why}");
            self.end_push(access, push, Got::bare(Outcome::Broken));
        }
    }

    /// Room for bodies has come free: answers that waited for it go on, the first first.
    pub(super) fn unpark(&mut self) {
        for _ in 0..self.parked.len() {
            let Some(conn) = self.parked.pop_front() else { return };
            if let Some(ring) = self.lines.get_mut(&conn).and_then(|l| l.parked.take()) {
                self.line_read(conn, ring, None);
            }
        }
    }

    pub(super) fn end_push(&mut self, access: AccessId, push: usize, got: Got) {
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) {
            (sent.live, sent.conn) = (false, None);
        }
        self.trace_push_end(access, push, &got);
        self.ends.push_back((access, push, got));
    }

    /// Gives a push up: a connection that carries it is closed, one that is being made is kept for another.
    pub(super) fn stop_push(&mut self, access: AccessId, push: usize, outcome: Outcome) {
        let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) else { return };
        if !sent.live {
            return;
        }
        // What was never written can't have run, however long it waited for its connection.
        let unsent = outcome == Outcome::TimedOut && !sent.begun;
        let outcome = if unsent { Outcome::NeverSent } else { outcome };
        if let Some(conn) = sent.conn
            && let Some(line) = self.lines.get_mut(&conn)
        {
            line.carries = None;
            if line.state != State::Connecting {
                self.close_line(conn, CacheEnd::GivenUp);
            }
        }
        self.end_push(access, push, Got::bare(outcome));
    }

    /// Nobody waits for this access any more: what has not gone out stays here, whatever its effect, and whether or not
    /// caches can be told to stop what has.
    pub(super) fn stop_unsent(&mut self, access: AccessId) {
        let Some(taken) = self.accesses.get(&access) else { return };
        let waits = |&n: &usize| taken.sent[n].live && !taken.sent[n].begun;
        let waiting: Vec<_> = (0..taken.sent.len()).filter(waits).collect();
        for push in waiting {
            self.stop_push(access, push, Outcome::NeverSent);
        }
    }

    /// Word has come that some pushes must heed. Those that still wait for a connection have not: a
    /// connection may take longer than the word's grace. They end as never sent, and the module decides anew.
    pub(super) fn recall(&mut self, concerned: impl Fn(&Taken, &Sent) -> bool) {
        let mut stale = Vec::new();
        for (&access, taken) in &mut self.accesses {
            for n in 0..taken.sent.len() {
                if taken.sent[n].live && concerned(taken, &taken.sent[n]) {
                    taken.sent[n].outdated = true;
                    stale.extend(Some((access, n)).filter(|_| !taken.sent[n].begun));
                }
            }
        }
        stale.sort_unstable();
        for (access, push) in stale {
            self.stop_push(access, push, Outcome::NeverSent);
        }
    }

    /// Closes the connection to a cache that is idle longest.
    pub(super) fn close_idle(&mut self) -> Option<()> {
        let idle = self.lines.iter().filter(|(_, l)| l.state == State::Idle && l.carries.is_none());
        let (conn, cache) = idle.min_by_key(|(_, l)| l.since).map(|(&c, l)| (c, l.cache))?;
        self.pools.remove(cache, conn);
        self.close_line(conn, CacheEnd::Displaced);
        // Its descriptor is given back before the next is asked for: effects go in order.
        self.closing.insert(conn, false);
        Some(())
    }

    /// A connection for a push: an idle one, or a new one where descriptors allow.
    pub(super) fn carry(&mut self, cache: u32, access: AccessId, push: usize) -> Option<()> {
        let place = *self.places.get(&cache)?;
        // A kept connection may be ending while the request is on its way, and then it may have run: what must
        // not run twice goes over a new one. Where new ones are refused, one used lately is the better risk: the other
        // side ends those that were idle long.
        let taken = self.accesses.get(&access)?;
        let full = self.lines_used() >= self.bounds.lines_with(self.clients.len());
        let lately = match (taken.repeatable, taken.sent.iter().any(|s| s.crowded_out)) {
            (true, _) => Some(0),
            (false, true) => Some(self.now.saturating_sub(self.idle / 4)),
            (false, false) => None,
        };
        // However short descriptors are: the second copy of an answer would pass for that to this request.
        let rested = self.now.saturating_sub(Pools::REST);
        if let Some(conn) = lately.and_then(|since| self.pools.get(cache, since..=rested)) {
            self.send(conn, access, push);
            return Some(());
        }
        if full {
            self.close_idle()?;
        }
        let conn = self.connect(place.at);
        self.lines.insert(conn, Line::new(cache, place, (access, push), self.now));
        self.most.lines = self.most.lines.max(self.lines_used());
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) {
            sent.conn = Some(conn);
        }
        Some(())
    }
}
