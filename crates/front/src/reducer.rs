//! Every state change of the front. Takes one input, changes state, and asks for effects; no I/O inside.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;

use doorgrade::{Access, AccessId, Ended, Front, Member, Outcome, Outlet, Push, Standing, Tenths};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::answer::{Outbox, Reply};
use crate::bounds::{self, Bounds};
use crate::clock::Timers;
use crate::config::Config;
use crate::conn::ConnId;
use crate::feed::{self, Feed, Names};
use crate::http::{self, Ask};
use crate::intake::{Intake, Request, Said};
use crate::phase::Phase;
use crate::push::{self, Got, Line, Place, Pools, Progress, State};
use crate::ring::Ring;
use crate::{fastcgi, intake};

/// One thing that has happened.
pub enum Input {
    Listening,
    Accepted(ConnId),
    /// A connection that was asked for is up (or not).
    Connected(ConnId, bool),
    Read {
        conn: ConnId,
        ring: Ring,
        ended: bool,
        at: Tenths,
    },
    Wrote {
        conn: ConnId,
        ring: Ring,
        failed: bool,
    },
    Closed(ConnId),
    /// Time has passed.
    Tick,
    Stop,
}

/// One thing to do.
#[derive(Debug)]
pub enum Effect {
    Connect(ConnId, SocketAddr),
    Read(ConnId, Ring),
    Write(ConnId, Ring),
    Close(ConnId),
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The module's own.
    Module(u64),
    /// A push's time is up.
    PushOver(AccessId, usize),
    FeedConnect,
    /// Once in a while: silence of the feed, idle connections, clients that do not read.
    Sweep,
    Phase,
}

const SWEEP: Tenths = 2_500;
/// How often the log has the highest counts.
const TOLD: Tenths = 100_000;
/// A client that has not read a ring's worth in this time, the longest it may wait for an answer, never will.
const UNREAD: Tenths = 100_000;

struct Client {
    intake: Intake,
    /// What was read, while too much waits to be written to read on.
    paused: Option<Ring>,
    /// None while the coroutine writes.
    out: Option<Ring>,
    /// When it was last handed something to write.
    wrote: Tenths,
    outbox: Outbox,
    accesses: FxHashMap<u16, AccessId>,
    /// Nothing more will be read.
    ended: bool,
}

struct Sent {
    /// The cache and the source.
    names: [Option<u32>; 2],
    at: Tenths,
    conn: Option<ConnId>,
    /// Kept until a connection is up.
    request: Vec<u8>,
    live: bool,
}

struct Taken {
    client: ConnId,
    id: u16,
    request: Box<Request>,
    /// The final answer was given, or is not owed any more.
    done: bool,
    sent: Vec<Sent>,
}

/// The most that was in use at once, for the log.
#[derive(Default, Debug)]
pub struct Most {
    pub clients: usize,
    pub lines: usize,
    pub bodies: usize,
    pub accesses: usize,
    /// The longest a timer came late, in tenths of a millisecond.
    pub late: Tenths,
}

pub struct Reducer {
    front: Front,
    work: Work,
}

struct Work {
    names: Names,
    offerings: Vec<String>,
    bounds: Bounds,
    idle: Tenths,
    longest: Tenths,
    feed_at: SocketAddr,
    now: Tenths,
    phase: Phase,
    timers: Timers<Timer>,
    effects: Vec<Effect>,
    clients: FxHashMap<ConnId, Client>,
    lines: FxHashMap<ConnId, Line>,
    pools: Pools,
    places: FxHashMap<u32, Place>,
    feed: Feed,
    accesses: FxHashMap<AccessId, Taken>,
    next_access: AccessId,
    next_conn: ConnId,
    /// Connections closed whose descriptors are not back yet.
    closing: FxHashMap<ConnId, bool>,
    /// Ends of pushes that the module has not heard of yet.
    ends: VecDeque<(AccessId, usize, Got)>,
    /// Bytes of bodies held, of all answers and writes.
    bodies: usize,
    /// Connections whose answers wait for room.
    parked: VecDeque<ConnId>,
    most: Most,
    told_at: Tenths,
    /// By how much `now` is ahead of the system's clock, which was set back.
    ahead: Tenths,
}

impl Reducer {
    pub fn new(config: Config, now: Tenths) -> Self {
        let Config { told, limits, known: (number, events), names, feed, seed, .. } = config;
        let mut reducer = Reducer {
            front: Front::new(&told.settings, seed),
            work: Work {
                names,
                offerings: told.offerings,
                bounds: Bounds::new(&limits),
                idle: told.idle,
                longest: told.longest,
                feed_at: feed,
                now,
                phase: Phase::new(),
                timers: Timers::default(),
                effects: Vec::new(),
                clients: FxHashMap::default(),
                lines: FxHashMap::default(),
                pools: Pools::default(),
                places: FxHashMap::default(),
                feed: Feed::new(number),
                accesses: FxHashMap::default(),
                next_access: 0,
                next_conn: 0,
                closing: FxHashMap::default(),
                ends: VecDeque::new(),
                bodies: 0,
                parked: VecDeque::new(),
                most: Most::default(),
                told_at: now,
                ahead: 0,
            },
        };
        log::info!("bounds: {:?}; {} events known up to number {number}", reducer.work.bounds, events.len());
        for event in events {
            reducer.hear(event);
        }
        reducer.settle();
        reducer
    }

    /// When time must be told even if nothing happens.
    pub fn next_tick(&self) -> Option<Tenths> {
        self.work.timers.next()
    }

    pub fn effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.work.effects.drain(..)
    }

    pub fn most(&self) -> &Most {
        &self.work.most
    }

    /// The system's clock was set back; times that come from outside are moved as `now` is.
    pub fn set_ahead(&mut self, by: Tenths) {
        self.work.ahead = by;
    }

    pub fn input(&mut self, now: Tenths, input: Input) {
        self.work.now = self.work.now.max(now);
        match input {
            Input::Listening => {
                self.work.phase.serve();
                self.work.connect_feed();
                self.work.timers.set(self.work.now + SWEEP, Timer::Sweep);
            }
            Input::Accepted(conn) => self.work.accepted(conn),
            Input::Connected(conn, up) => self.work.connected(conn, up),
            Input::Read { conn, ring, ended, at } if self.work.clients.contains_key(&conn) => {
                self.client_read(conn, ring, ended, at);
            }
            Input::Read { conn, ring, ended, .. } if self.work.feed.conn == Some(conn) => {
                self.feed_read(conn, ring, ended);
            }
            Input::Read { conn, ring, ended, .. } => self.work.line_read(conn, ring, ended),
            Input::Wrote { conn, ring, failed } => self.wrote(conn, ring, failed),
            Input::Closed(conn) => self.work.closed(conn),
            Input::Tick => {}
            Input::Stop => {
                let Work { phase, timers, now, longest, .. } = &mut self.work;
                for at in phase.leave(*now, *longest).into_iter().flatten() {
                    timers.set(at, Timer::Phase);
                }
                log::info!("told to stop");
            }
        }
        self.settle();
        while let Some(timer) = self.work.due() {
            self.timer(timer);
            self.settle();
        }
        self.advance();
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module(key) => self.front.due(self.work.now, key, &mut self.work),
            Timer::PushOver(access, push) => self.work.stop_push(access, push, Outcome::TimedOut),
            Timer::FeedConnect => self.work.connect_feed(),
            Timer::Sweep => self.sweep(),
            Timer::Phase => {
                if self.work.phase.end_by().is_some_and(|at| at <= self.work.now) {
                    self.end_all();
                }
            }
        }
    }

    /// Tells the module of all ends of pushes, until there are none left.
    fn settle(&mut self) {
        while let Some((id, push, got)) = self.work.ends.pop_front() {
            let (now, outcome, note) = (self.work.now, got.outcome, got.note);
            let taken = self.work.accesses.get(&id);
            let lag = taken.and_then(|t| t.sent.get(push)).map_or(0, |s| now.saturating_sub(s.at));
            if outcome == Outcome::Handled && taken.is_some_and(|t| !t.done) {
                let (tag, same) = (got.tag.as_deref(), got.status == 304);
                self.work.answer(id, Reply { tag, same, body: got.body, ..Reply::bare(200) });
            } else {
                self.work.bodies = self.work.bodies.saturating_sub(got.body.len());
            }
            let settled = self.work.accesses.get(&id).is_none_or(|t| t.done);
            self.front.ended(now, id, &Ended { push, outcome, settled, lag, note }, &mut self.work);
            self.work.tidy(id);
        }
    }

    fn advance(&mut self) {
        let work = &mut self.work;
        if work.phase.serving() {
            return;
        }
        let open = work.accesses.values().any(|t| !t.done);
        let unwritten = work.clients.values().any(|c| !c.outbox.is_empty() || c.out.is_none());
        work.phase.advance(work.now, open, unwritten);
        if work.phase.gone() {
            work.effects.push(Effect::Exit);
        }
    }

    // ---- the control feed

    fn hear(&mut self, event: feed::Event) {
        let now = self.work.now;
        match event {
            feed::Event::List { whole, members } => {
                self.work.list(whole, &members);
                let moved = |m: Member| Member { started: m.started.map(|t| t + self.work.ahead), ..m };
                let members: Vec<Member> = members.into_iter().map(|l| moved(l.member)).collect();
                self.front.listed(now, &members, whole, &mut self.work);
                let stays = |m: &&Member| m.standing == Standing::Listed;
                let stay: FxHashSet<_> = members.iter().filter(stays).map(|m| push::number(&m.id)).collect();
                let told: FxHashSet<_> = members.iter().map(|m| push::number(&m.id)).collect();
                let leaves =
                    |n: &Option<u32>| n.is_some() && !stay.contains(n) && (whole || told.contains(n));
                self.work.recall(|_, sent| sent.names.iter().any(leaves));
            }
            feed::Event::Purge { object, group, at } => {
                self.front.purged(now, object, group, now.saturating_sub(at + self.work.ahead));
                let of = |r: &Request| object.map_or(r.group == group, |o| r.object == o);
                self.work.recall(|taken, _| of(&taken.request));
            }
        }
    }

    fn feed_read(&mut self, conn: ConnId, mut ring: Ring, ended: bool) {
        loop {
            match self.work.feed.take(&mut ring, &self.work.names, self.work.now) {
                Ok(Some(event)) => self.hear(event),
                Ok(None) => break,
                Err(feed::Malformed(what)) => {
                    log::warn!("feed: {what} can't be used, connecting anew after {}", self.work.feed.number);
                    return self.work.lose_feed();
                }
            }
        }
        if ended {
            log::info!("feed: connection lost");
            self.work.lose_feed();
        } else {
            self.work.effects.push(Effect::Read(conn, ring));
        }
    }

    // ---- clients

    fn client_read(&mut self, conn: ConnId, mut ring: Ring, ended: bool, at: Tenths) {
        loop {
            let Some(client) = self.work.clients.get_mut(&conn) else { return };
            let before = client.intake.held();
            let room = self.work.bounds.bodies.saturating_sub(self.work.bodies);
            let said = client.intake.next(&mut ring, room);
            let after = client.intake.held();
            self.work.bodies = (self.work.bodies + after).saturating_sub(before);
            match said {
                Ok(Some(said)) => self.said(conn, said, at),
                Ok(None) => break,
                Err(fastcgi::Broken) => {
                    log::warn!("a client's record can't be read");
                    return self.drop_client(conn);
                }
            }
        }
        let Some(client) = self.work.clients.get_mut(&conn) else { return };
        if ended {
            return self.drop_client(conn);
        }
        client.ended = client.intake.last;
        if client.outbox.crowded() {
            client.paused = Some(ring);
        } else {
            self.work.effects.push(Effect::Read(conn, ring));
        }
    }

    fn said(&mut self, conn: ConnId, said: Said, at: Tenths) {
        let work = &mut self.work;
        match said {
            Said::Ask(id, request) => self.take(conn, id, request, at),
            Said::Check(id) => {
                let status = if work.phase.serving() { 200 } else { 503 };
                work.reply(conn, id, Reply::bare(status));
            }
            Said::Unusable(id, status, why) => {
                log::warn!("a request can't be used: {why}");
                work.reply(conn, id, Reply::bare(status));
            }
            Said::Twice(id) => {
                log::warn!("a request can't be used: its id is in use");
                if let Some(client) = work.clients.get_mut(&conn) {
                    client.outbox.put(id, Reply::bare(400), true);
                    work.write_client(conn);
                }
            }
            Said::Abort(id) => {
                if let Some(client) = work.clients.get_mut(&conn) {
                    let held = client.outbox.held;
                    client.outbox.forget(id);
                    work.bodies -= held - client.outbox.held;
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
    fn take(&mut self, conn: ConnId, id: u16, request: Box<Request>, at: Tenths) {
        let work = &mut self.work;
        let Some(offering) = work.offerings.iter().position(|o| *o == request.offering) else {
            log::warn!("a request can't be used: its class is unknown");
            return work.reply(conn, id, Reply::bare(404));
        };
        // Nothing was pushed yet, so trying again is harmless.
        if !work.phase.takes() || work.bodies + 2 * request.body.len() > work.bounds.bodies {
            return work.reply(conn, id, Reply::bare(503));
        }
        let Some(client) = work.clients.get_mut(&conn) else { return };
        let access = work.next_access;
        work.next_access += 1;
        client.accesses.insert(id, access);
        // Once for the access, and once more on its way to a cache.
        work.bodies += 2 * request.body.len();
        let until = (at + work.ahead).min(work.now) + request.wait_ms * 10;
        let asked = Access {
            id: access,
            offering,
            object: request.object,
            part: request.part,
            group: request.group,
            kb: request.kb,
            until,
        };
        work.accesses.insert(access, Taken { client: conn, id, request, done: false, sent: Vec::new() });
        work.most.accesses = work.most.accesses.max(work.accesses.len());
        self.front.access(work.now, &asked, work);
    }

    /// The client does not wait any more.
    fn leave(&mut self, access: AccessId) {
        if let Some(taken) = self.work.accesses.get_mut(&access)
            && !std::mem::replace(&mut taken.done, true)
        {
            self.front.left(access, &mut self.work);
            self.work.tidy(access);
        }
    }

    fn drop_client(&mut self, conn: ConnId) {
        let Some(client) = self.work.clients.remove(&conn) else { return };
        self.work.bodies = self.work.bodies.saturating_sub(client.outbox.held + client.intake.held());
        self.work.close(conn);
        for access in client.accesses.into_values() {
            self.leave(access);
        }
        self.work.unpark();
    }

    fn wrote(&mut self, conn: ConnId, ring: Ring, failed: bool) {
        let work = &mut self.work;
        let now = work.now;
        if let Some(client) = work.clients.get_mut(&conn) {
            client.out = Some(ring);
            if failed {
                return self.drop_client(conn);
            }
            work.write_client(conn);
            if let Some(client) = work.clients.get_mut(&conn)
                && !client.outbox.crowded()
                && let Some(ring) = client.paused.take()
            {
                let at = now - work.ahead;
                self.client_read(conn, ring, false, at);
            }
            let work = &mut self.work;
            let over = |c: &Client| c.ended && c.intake.open() == 0 && c.outbox.is_empty() && c.out.is_some();
            if work.clients.get(&conn).is_some_and(over) {
                self.drop_client(conn);
            }
        } else if let Some(line) = work.lines.get_mut(&conn) {
            line.out = Some(ring);
            // A failed write is not the end yet: an answer may be there to be read.
            if !failed && let Some(ring) = line.to_write() {
                work.effects.push(Effect::Write(conn, ring));
            }
        }
    }

    // ---- time

    fn sweep(&mut self) {
        let work = &mut self.work;
        let now = work.now;
        work.timers.set(now + SWEEP, Timer::Sweep);
        if work.feed.up && work.feed.heard + Feed::SILENCE < now {
            log::info!("feed: silent");
            work.lose_feed();
        }
        let idle = work.idle * 3 / 4;
        let old = |l: &Line| l.state == State::Idle && l.since + idle < now;
        let old: Vec<_> = work.lines.iter().filter(|(_, l)| old(l)).map(|(&c, l)| (c, l.cache)).collect();
        for (conn, cache) in old {
            work.pools.remove(cache, conn);
            work.close(conn);
        }
        let stuck = |c: &Client| c.out.is_none() && c.wrote + UNREAD < now;
        let stuck: Vec<_> = work.clients.iter().filter(|(_, c)| stuck(c)).map(|(&conn, _)| conn).collect();
        for conn in stuck {
            log::warn!("a client does not read its answers");
            self.drop_client(conn);
        }
        self.work.unpark();
        if now >= self.work.told_at + TOLD {
            self.work.told_at = now;
            log::info!("at the most: {:?}", self.work.most);
        }
    }

    /// Before the hard stop: every open access is ended now.
    fn end_all(&mut self) {
        self.front.stop(&mut self.work);
    }
}

impl Work {
    fn due(&mut self) -> Option<Timer> {
        let at = self.timers.next()?;
        let timer = self.timers.due(self.now)?;
        self.most.late = self.most.late.max(self.now - at);
        Some(timer)
    }

    fn connect(&mut self, to: SocketAddr) -> ConnId {
        let conn = self.next_conn;
        self.next_conn += 1;
        self.effects.push(Effect::Connect(conn, to));
        conn
    }

    fn close(&mut self, conn: ConnId) {
        let line = self.lines.remove(&conn);
        if let Some(line) = &line {
            self.bodies = self.bodies.saturating_sub(line.held());
        }
        self.closing.insert(conn, line.is_some());
        self.effects.push(Effect::Close(conn));
    }

    fn closed(&mut self, conn: ConnId) {
        self.closing.remove(&conn);
    }

    /// Connections to caches, those being closed included.
    fn lines_used(&self) -> usize {
        self.lines.len() + self.closing.values().filter(|&&line| line).count()
    }

    // ---- the control feed

    fn connect_feed(&mut self) {
        if self.feed.conn.is_none() && !self.phase.gone() {
            self.feed.conn = Some(self.connect(self.feed_at));
        }
    }

    fn lose_feed(&mut self) {
        if let Some(conn) = self.feed.conn {
            self.close(conn);
        }
        let delay = self.feed.lost();
        self.timers.set(self.now + delay, Timer::FeedConnect);
    }

    fn list(&mut self, whole: bool, members: &[feed::Listed]) {
        if whole {
            let listed: FxHashSet<_> = members.iter().filter_map(|l| push::number(&l.member.id)).collect();
            let left: Vec<_> = self.places.keys().copied().filter(|c| !listed.contains(c)).collect();
            for cache in left {
                self.places.remove(&cache);
                self.drop_idle(cache);
            }
        }
        for listed in members {
            let Some(cache) = push::number(&listed.member.id) else { continue };
            let place = Place { at: listed.at, started: listed.member.started };
            let moved =
                self.places.get(&cache).is_some_and(|p| (p.at, p.started) != (place.at, place.started));
            if listed.member.standing == Standing::Gone {
                self.places.remove(&cache);
                self.drop_idle(cache);
            } else {
                if moved {
                    self.drop_idle(cache);
                }
                self.places.insert(cache, place);
            }
        }
    }

    fn drop_idle(&mut self, cache: u32) {
        for conn in self.pools.drop_all(cache) {
            self.close(conn);
        }
    }

    // ---- clients

    fn accepted(&mut self, conn: ConnId) {
        if self.clients.len() >= self.bounds.clients {
            log::warn!("no descriptor left for a client");
            return self.close(conn);
        }
        let client = Client {
            intake: Intake::default(),
            paused: None,
            out: Some(Ring::new(bounds::CLIENT_OUT)),
            wrote: self.now,
            outbox: Outbox::default(),
            accesses: FxHashMap::default(),
            ended: false,
        };
        self.clients.insert(conn, client);
        // What was lent is taken back, as far as it is not in use.
        while self.lines_used() > self.bounds.lines_with(self.clients.len()) && self.close_idle().is_some() {}
        self.most.clients = self.most.clients.max(self.clients.len());
        self.effects.push(Effect::Read(conn, Ring::new(bounds::CLIENT_IN)));
    }

    fn write_client(&mut self, conn: ConnId) {
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

    fn reply(&mut self, conn: ConnId, id: u16, reply: Reply<'_>) {
        let Some(client) = self.clients.get_mut(&conn) else {
            self.bodies = self.bodies.saturating_sub(reply.body.len());
            return;
        };
        client.outbox.put(id, reply, false);
        self.write_client(conn);
    }

    fn reply_plain(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.outbox.put_plain(bytes);
            self.write_client(conn);
        }
    }

    /// The one final answer of an access.
    fn answer(&mut self, access: AccessId, reply: Reply<'_>) {
        if let Some(taken) = self.accesses.get_mut(&access) {
            taken.done = true;
            let (client, id) = (taken.client, taken.id);
            self.reply(client, id, reply);
        }
    }

    fn tidy(&mut self, access: AccessId) {
        let over = |t: &Taken| t.done && t.sent.iter().all(|s| !s.live);
        if self.accesses.get(&access).is_some_and(over)
            && !self.ends.iter().any(|e| e.0 == access)
            && let Some(taken) = self.accesses.remove(&access)
        {
            self.bodies = self.bodies.saturating_sub(2 * taken.request.body.len());
        }
    }

    // ---- pushes

    fn connected(&mut self, conn: ConnId, up: bool) {
        if self.feed.conn == Some(conn) {
            if !up {
                let delay = self.feed.lost();
                return self.timers.set(self.now + delay, Timer::FeedConnect);
            }
            let mut ring = Ring::new(8);
            ring.put(&self.feed.begin(self.now));
            self.effects.push(Effect::Write(conn, ring));
            return self.effects.push(Effect::Read(conn, Ring::new(bounds::FEED_IN)));
        }
        let Some(line) = self.lines.get_mut(&conn) else { return };
        if !up {
            let carries = line.carries.take();
            self.lines.remove(&conn);
            if let Some((access, push)) = carries {
                self.end_push(access, push, Got::bare(Outcome::Unreachable));
            }
            return;
        }
        line.out = Some(Ring::new(bounds::LINE_OUT));
        (line.state, line.since) = (State::Idle, self.now);
        let (cache, carries) = (line.cache, line.carries);
        self.effects.push(Effect::Read(conn, Ring::new(bounds::LINE_IN)));
        match carries {
            Some((access, push)) => self.send(conn, access, push),
            None if self.places.contains_key(&cache) => self.pools.put(cache, conn),
            None => self.close(conn),
        }
    }

    /// Writes a push's request on a connection that is up and free.
    fn send(&mut self, conn: ConnId, access: AccessId, push: usize) {
        let Some(taken) = self.accesses.get_mut(&access) else { return };
        let Some(sent) = taken.sent.get_mut(push) else { return };
        let Some(line) = self.lines.get_mut(&conn) else { return };
        sent.conn = Some(conn);
        line.carries = Some((access, push));
        line.begin(std::mem::take(&mut sent.request), taken.request.tag.is_some());
        if let Some(ring) = line.to_write() {
            self.effects.push(Effect::Write(conn, ring));
        }
    }

    fn line_read(&mut self, conn: ConnId, mut ring: Ring, ended: bool) {
        let room = self.bounds.bodies.saturating_sub(self.bodies);
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let before = line.held();
        let progress = line.take(&mut ring, room);
        self.bodies = (self.bodies + line.held()).saturating_sub(before);
        self.most.bodies = self.most.bodies.max(self.bodies);
        let cache = line.cache;
        match progress {
            Progress::Whole(got, closes) => {
                // From here on the bytes are the answer's.
                self.bodies += got.body.len();
                line.since = self.now;
                let carries = line.carries.take();
                if ended || closes || !self.places.contains_key(&cache) {
                    self.close(conn);
                } else {
                    line.state = State::Idle;
                    self.pools.put(cache, conn);
                    self.effects.push(Effect::Read(conn, ring));
                }
                if let Some((access, push)) = carries {
                    self.end_push(access, push, got);
                }
            }
            Progress::More if !ended => self.effects.push(Effect::Read(conn, ring)),
            Progress::Needs(_) if !ended => {
                line.parked = Some(ring);
                self.parked.push_back(conn);
            }
            Progress::More | Progress::Needs(_) => self.break_line(conn, "it ended too soon"),
            Progress::Broken(why) => self.break_line(conn, why),
        }
    }

    fn break_line(&mut self, conn: ConnId, why: &str) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let (cache, carries) = (line.cache, line.carries.take());
        self.pools.remove(cache, conn);
        self.close(conn);
        if let Some((access, push)) = carries {
            log::info!("an answer of s-{cache:08x} is broken: {why}");
            self.end_push(access, push, Got::bare(Outcome::Broken));
        }
    }

    /// Room for bodies has come free: answers that waited for it go on, the first first.
    fn unpark(&mut self) {
        for _ in 0..self.parked.len() {
            let Some(conn) = self.parked.pop_front() else { return };
            if let Some(ring) = self.lines.get_mut(&conn).and_then(|l| l.parked.take()) {
                self.line_read(conn, ring, false);
            }
        }
    }

    fn end_push(&mut self, access: AccessId, push: usize, got: Got) {
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) {
            (sent.live, sent.conn, sent.request) = (false, None, Vec::new());
        }
        self.ends.push_back((access, push, got));
    }

    /// Gives a push up: a connection that carries it is closed, one that is being made is kept for another.
    fn stop_push(&mut self, access: AccessId, push: usize, outcome: Outcome) {
        let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) else { return };
        if !sent.live {
            return;
        }
        if let Some(conn) = sent.conn
            && let Some(line) = self.lines.get_mut(&conn)
        {
            line.carries = None;
            if line.state != State::Connecting {
                self.close(conn);
            }
        }
        self.end_push(access, push, Got::bare(outcome));
    }

    /// Word has come that some pushes must heed. Those that still wait for a connection have not: a connection may
    /// take longer than the word's grace. They end as never sent, and the module decides anew.
    fn recall(&mut self, concerned: impl Fn(&Taken, &Sent) -> bool) {
        let mut stale = Vec::new();
        for (&access, taken) in &self.accesses {
            let waits = |s: &Sent| s.live && !s.request.is_empty() && concerned(taken, s);
            stale.extend((0..taken.sent.len()).filter(|&n| waits(&taken.sent[n])).map(|n| (access, n)));
        }
        stale.sort_unstable();
        for (access, push) in stale {
            self.stop_push(access, push, Outcome::NeverSent);
        }
    }

    /// Closes the connection to a cache that is idle longest.
    fn close_idle(&mut self) -> Option<()> {
        let idle = self.lines.iter().filter(|(_, l)| l.state == State::Idle && l.carries.is_none());
        let (conn, cache) = idle.min_by_key(|(_, l)| l.since).map(|(&c, l)| (c, l.cache))?;
        self.pools.remove(cache, conn);
        self.close(conn);
        // Its descriptor is given back before the next is asked for: effects go in order.
        self.closing.insert(conn, false);
        Some(())
    }

    /// A connection for a push: an idle one, or a new one where descriptors allow.
    fn carry(&mut self, cache: u32, access: AccessId, push: usize) -> Option<()> {
        let at = self.places.get(&cache)?.at;
        if let Some(conn) = self.pools.get(cache) {
            self.send(conn, access, push);
            return Some(());
        }
        if self.lines_used() >= self.bounds.lines_with(self.clients.len()) {
            self.close_idle()?;
        }
        let conn = self.connect(at);
        self.lines.insert(conn, Line::new(cache, (access, push), self.now));
        self.most.lines = self.most.lines.max(self.lines_used());
        if let Some(sent) = self.accesses.get_mut(&access).and_then(|t| t.sent.get_mut(push)) {
            sent.conn = Some(conn);
        }
        Some(())
    }
}

impl Outlet for Work {
    fn push(&mut self, p: &Push<'_>) {
        let Some(taken) = self.accesses.get_mut(&p.access) else { return };
        let number = taken.sent.len();
        let r = &*taken.request;
        let ask = Ask {
            offering: &r.offering,
            key: &r.key,
            part: r.part,
            id: &r.id,
            wait_ms: (p.wait / 10).max(1),
            source: Some(p.source).filter(|s| *s != p.cache),
            rank: p.rank,
            // 0 would mean the fresh time.
            age_ms: if p.age > 0 { (p.age / 10).max(1) } else { 0 },
            join: p.join,
            kept_only: p.kept_only,
            renew: p.renew,
            have: r.tag.as_deref(),
            body: &r.body,
        };
        let request = http::request(&ask);
        log::debug!("push {:?}", String::from_utf8_lossy(&request));
        let cache = push::number(p.cache).unwrap_or(u32::MAX);
        let names = [Some(cache), ask.source.and_then(push::number)];
        taken.sent.push(Sent { names, at: self.now, conn: None, request, live: true });
        self.timers.set(self.now + p.wait, Timer::PushOver(p.access, number));
        if self.carry(cache, p.access, number).is_none() {
            self.end_push(p.access, number, Got::bare(Outcome::NeverSent));
        }
    }

    fn withdraw(&mut self, access: AccessId, push: usize) {
        self.stop_push(access, push, Outcome::Withdrawn);
    }

    fn decline(&mut self, access: AccessId, stay_away: Tenths) {
        self.answer(access, Reply { stay_away, ..Reply::bare(503) });
        self.tidy(access);
    }

    fn give_up(&mut self, access: AccessId) {
        self.answer(access, Reply::bare(500));
        self.tidy(access);
    }

    fn wake(&mut self, at: Tenths, key: u64) {
        self.timers.set(at, Timer::Module(key));
    }

    /// The feed is followed from the start.
    fn follow_list(&mut self) {}

    fn log(&mut self, text: fmt::Arguments<'_>) {
        log::info!("{text}");
    }
}

const _: () = assert!(intake::MOST_WRITE <= http::MOST_BODY);
