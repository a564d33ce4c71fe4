//! Every state change of the front. Takes one input, changes state, and asks for effects; no I/O inside.

mod clients;
mod pushes;
mod tiers;

use std::collections::VecDeque;
use std::net::SocketAddr;

use doorgrade::{AccessId, Ended, Front, Member, Offering, Outcome, Standing, Tenths};
use doorgrade_hierarchy::homes::Kept;
use doorgrade_recall::{Fill, Purge};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::answer::Reply;
use crate::bounds::{self, Bounds};
use crate::clock::Timers;
use crate::config::{Config, Renewal};
use crate::conn::ConnId;
use crate::feed::{self, Names};
use crate::follow::Feed;
use crate::intake::Request;
use crate::phase::Phase;
use crate::push::{self, Got, Line, Place, Pools, State};
use crate::ring::Ring;
use clients::Client;
use pushes::Sent;
use tiers::Tiers;

/// What came of a connection that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Made {
    Up,
    Refused,
    /// Nobody was asked: this machine has no descriptor or no address left.
    NoMeans,
}

/// One thing that has happened.
pub enum Input {
    Listening,
    Accepted(ConnId),
    Connected(ConnId, Made),
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
    /// Clients' connections can't be accepted for want of descriptors or memory.
    NoMeans,
    /// No client's connection comes any more.
    Deaf,
    /// Time has passed.
    Tick,
    Stop,
    /// Clients are told to go elsewhere, or not any more; all that they ask is still taken.
    Drain(bool),
    Reload(Box<Renewal>),
    /// What was known before the start, or is known to neighbours, and holds.
    Recall(Vec<Fill>, Vec<Purge>),
    /// Homes of objects as they were before the start, and when that was written.
    Homes(Tenths, Vec<Kept>),
}

/// What the front has seen itself, for whoever remembers it. Times are the system's.
#[derive(Clone, Debug, PartialEq)]
pub enum Learned {
    Fill(Fill),
    Purge(Purge),
    Homes(Vec<Kept>),
}

/// One thing to do.
#[derive(Debug)]
pub enum Effect {
    Connect(ConnId, SocketAddr),
    Read(ConnId, Ring),
    Write(ConnId, Ring),
    /// The beginning of a request on a connection that has carried others: written only if it is still good.
    Begin(ConnId, Ring),
    /// A client's connection is to be ended in order; unless something has come that was not told yet, where the last
    /// is false.
    Finish(ConnId, bool),
    Close(ConnId),
    /// Nobody is to be let in any more.
    ShutDoor,
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
    /// The other side has not ended a connection that was to be ended in order.
    Finished(ConnId),
    Phase,
}

const SWEEP: Tenths = 2_500;
/// How often the log has the highest counts.
const TOLD: Tenths = 100_000;
/// A client that has not read a ring's worth in this time, the longest it may wait for an answer, never will.
const UNREAD: Tenths = 100_000;
/// A client to which nothing is owed and that says nothing for so long has vanished, or holds on for good:
/// protocol fact, clients close what is idle after 4 s.
const SILENT: Tenths = 60_000;
/// Whoever has not sent a whole request in this time never will. A client is owed an answer or a close within
/// 3 s of connecting; two sweeps and some less.
const UNFINISHED: Tenths = 24_000;
/// How long the other side may take to end a connection that was ended here: some round trips to a client, whose
/// requests that cross the end come again within 50 ms.
const FINISH: Tenths = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    Open,
    Closing,
    Shut,
}

struct Taken {
    client: ConnId,
    id: u16,
    request: Box<Request>,
    repeatable: bool,
    /// The final answer was given, or is not owed any more.
    done: bool,
    sent: Vec<Sent>,
    /// Its soft limit, as the module sees it.
    soft_at: Tenths,
    /// What it is worth, and until when it earns that.
    worth: f64,
    aim: Tenths,
}

/// Benefit asked for, and had within the soft limit, in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub asked: f64,
    pub in_time: f64,
}

/// The most that was in use at once, for the log.
#[derive(Default, Debug)]
pub struct Most {
    pub clients: usize,
    pub lines: usize,
    pub bodies: usize,
    pub accesses: usize,
    /// The longest a timer came late, and something read waited in the queue, in tenths of a millisecond.
    pub late: Tenths,
    pub queued: Tenths,
}

pub struct Reducer {
    front: Front,
    work: Work,
}

struct Work {
    names: Names,
    /// Their names.
    offerings: Vec<String>,
    /// What they are worth and until when, and the rate at which a part is sent.
    worths: Vec<Offering>,
    flow_kb_per_s: f64,
    served: Served,
    bounds: Bounds,
    idle: Tenths,
    longest: Tenths,
    feed_at: SocketAddr,
    now: Tenths,
    phase: Phase,
    /// Clients' connections come, may still come though nobody is to be let in, or come no more.
    door: Door,
    /// `/check` says that it is not ready, though it serves: operators want clients to go elsewhere.
    drains: bool,
    timers: Timers<Timer>,
    effects: Vec<Effect>,
    clients: FxHashMap<ConnId, Client>,
    lines: FxHashMap<ConnId, Line>,
    pools: Pools,
    places: FxHashMap<u32, Place>,
    feed: Feed,
    accesses: FxHashMap<AccessId, Taken>,
    /// Of the accesses above by their clients' ids, the last of each.
    by_id: FxHashMap<u64, AccessId>,
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
    /// Not yet in the log, and when the last was.
    complaints: usize,
    complained_at: Tenths,
    /// By how much `now` is ahead of the system's clock, which was set back.
    ahead: Tenths,
    /// Parents in tiers, where operators have said so.
    tiers: Option<Tiers>,
    /// What was seen since it was asked last; none where nobody remembers it.
    learned: Option<Vec<Learned>>,
}

impl Reducer {
    pub fn new(config: Config, now: Tenths) -> Self {
        let tiers = Tiers::new(&config, now);
        let learned = config.files.settings.recall.as_ref().map(|_| Vec::new());
        let Config { told, limits, known: (number, events), names, feed, seed, files, whole, .. } = config;
        let mut reducer = Reducer {
            front: Front::new(&told.settings, seed),
            work: Work {
                names,
                offerings: told.offerings,
                worths: told.settings.offerings.clone(),
                flow_kb_per_s: told.settings.flow_kb_per_s,
                served: Served::default(),
                bounds: Bounds::new(&limits),
                idle: told.idle,
                longest: told.longest,
                feed_at: feed,
                now,
                phase: Phase::new(),
                door: Door::Open,
                drains: false,
                timers: Timers::default(),
                effects: Vec::new(),
                clients: FxHashMap::default(),
                lines: FxHashMap::default(),
                pools: Pools::default(),
                places: FxHashMap::default(),
                feed: Feed::new(number),
                accesses: FxHashMap::default(),
                by_id: FxHashMap::default(),
                next_access: 0,
                next_conn: 0,
                closing: FxHashMap::default(),
                ends: VecDeque::new(),
                bodies: 0,
                parked: VecDeque::new(),
                most: Most::default(),
                told_at: now,
                complaints: 0,
                complained_at: 0,
                ahead: 0,
                tiers,
                learned,
            },
        };
        reducer.work.take_shape(&files.shape, whole);
        tracing::info!(
            "bounds: {:?}; {} events known up to number {number}",
            reducer.work.bounds,
            events.len()
        );
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

    pub fn learned(&mut self) -> Vec<Learned> {
        self.work.learned.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub fn learned_now(&self) -> usize {
        self.work.learned.as_ref().map_or(0, Vec::len)
    }

    /// How many clients' connections may be let in.
    pub fn clients(&self) -> usize {
        self.work.bounds.accepted()
    }

    pub fn served(&self) -> Served {
        self.work.served
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
        if let Input::Read { at, .. } = &input {
            let queued = self.work.now.saturating_sub(at + self.work.ahead);
            self.work.most.queued = self.work.most.queued.max(queued);
        }
        match input {
            Input::Listening => {
                self.work.phase.serve();
                self.work.connect_feed();
                self.work.timers.set(self.work.now + SWEEP, Timer::Sweep);
            }
            Input::Accepted(conn) => self.work.accepted(conn),
            Input::Connected(conn, made) if self.work.feed.conn == Some(conn) => {
                self.work.feed_connected(conn, made);
            }
            Input::Connected(conn, made) => self.work.connected(conn, made),
            Input::Read { conn, ring, ended, at } if self.work.clients.contains_key(&conn) => {
                self.client_read(conn, ring, ended, at);
            }
            Input::Read { conn, ring, ended, .. } if self.work.feed.conn == Some(conn) => {
                self.feed_read(conn, ring, ended);
            }
            Input::Read { conn, ring, ended, .. } => self.work.line_read(conn, ring, ended),
            Input::Wrote { conn, ring, failed } if self.work.clients.contains_key(&conn) => {
                self.client_wrote(conn, ring, failed);
            }
            Input::Wrote { conn, ring, failed } => self.work.line_wrote(conn, ring, failed),
            Input::Closed(conn) => self.closed(conn),
            Input::NoMeans => self.work.make_room(),
            Input::Deaf => self.work.door = Door::Shut,
            Input::Tick => {}
            Input::Reload(renewal) => self.work.reload(&renewal),
            Input::Recall(fills, purges) => self.recall(&fills, &purges),
            Input::Homes(taken, kept) => self.work.recall_homes(taken, kept),
            Input::Drain(on) => {
                if std::mem::replace(&mut self.work.drains, on) != on {
                    tracing::info!(
                        "{}",
                        if on { "clients are told to go elsewhere" } else { "clients are welcome again" }
                    );
                }
            }
            Input::Stop => {
                let Work { phase, timers, now, longest, .. } = &mut self.work;
                for at in phase.leave(*now, *longest).into_iter().flatten() {
                    timers.set(at, Timer::Phase);
                }
                if let Some(at) = phase.end_by() {
                    self.front.end_by(at);
                }
                tracing::info!("told to stop");
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
            Timer::Finished(conn) => {
                let due = |c: &Client| c.finishing.is_some_and(|since| since + FINISH <= self.work.now);
                if self.work.clients.get(&conn).is_some_and(due) {
                    self.drop_client(conn);
                }
            }
            Timer::Phase => {
                // Before the hard stop: every open access is ended now.
                if self.work.phase.end_by().is_some_and(|at| at <= self.work.now) {
                    self.front.stop(&mut self.work);
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
            if outcome == Outcome::Handled
                && let Some((ms, taken)) = got.made_at.zip(taken)
                && self.work.learned.is_some()
            {
                let at = now.saturating_sub(self.work.ahead);
                let fill = fill(&self.work.offerings, &taken.request, ms, at);
                self.work.learned.iter_mut().for_each(|learned| learned.push(Learned::Fill(fill)));
            }
            if outcome == Outcome::Handled && taken.is_some_and(|t| !t.done) {
                let (tag, same) = (got.tag.as_deref(), got.status == 304);
                self.work.answer(id, Reply { tag, same, body: got.body, ..Reply::bare(200) });
            } else {
                self.work.bodies = self.work.bodies.saturating_sub(got.body.len());
            }
            let settled = self.work.accesses.get(&id).is_none_or(|t| t.done);
            // Bytes from outside: a number that no clock holds is no time.
            let made = got.made_at.and_then(|ms| ms.checked_mul(10)?.checked_add(self.work.ahead));
            let ended = Ended { push, outcome, settled, lag, note, made };
            self.work.tell_tiers(id, &ended, got.ring.as_deref());
            self.front.ended(now, id, &ended, &mut self.work);
            self.work.tidy(id);
        }
    }

    fn closed(&mut self, conn: ConnId) {
        // One that was ended in order is closed when the other side has ended it, too.
        if self.work.clients.contains_key(&conn) {
            self.drop_client(conn);
        }
        self.work.closing.remove(&conn);
    }

    fn advance(&mut self) {
        let work = &mut self.work;
        if work.phase.serving() {
            return;
        }
        if !work.phase.takes(work.now) {
            if work.door == Door::Open {
                work.door = Door::Closing;
                work.effects.push(Effect::ShutDoor);
            }
            // Those that rest until the front ends them, too. Half a request may still become a whole one.
            let rests = |c: &Client| c.owed_nothing() && !c.intake.unfinished();
            let rest: Vec<_> = work.clients.iter().filter(|(_, c)| rests(c)).map(|(&conn, _)| conn).collect();
            rest.into_iter().for_each(|conn| work.finish(conn));
        }
        let open = work.accesses.values().any(|t| !t.done);
        let connected = !work.clients.is_empty() || work.door != Door::Shut;
        work.phase.advance(work.now, open, connected);
        if work.phase.gone() {
            work.effects.push(Effect::Exit);
        }
    }

    // ---- the control feed

    fn hear(&mut self, event: feed::Event) {
        let now = self.work.now;
        match event {
            feed::Event::List { whole, members } => {
                let anew = self.work.list(whole, &members);
                let moved = |m: Member| Member { started: m.started.map(|t| t + self.work.ahead), ..m };
                let members: Vec<Member> = members.into_iter().map(|l| moved(l.member)).collect();
                self.work.list_tiers(&members, whole);
                self.front.listed(now, &members, whole, &mut self.work);
                let stays = |m: &&Member| m.standing == Standing::Listed;
                let stay: FxHashSet<_> = members.iter().filter(stays).map(|m| push::number(&m.id)).collect();
                let told: FxHashSet<_> = members.iter().map(|m| push::number(&m.id)).collect();
                let leaves =
                    |n: &Option<u32>| n.is_some() && !stay.contains(n) && (whole || told.contains(n));
                // What was meant for one that has started anew since would come on top of its budget.
                let anew = |n: &Option<u32>| n.is_some_and(|n| anew.contains(&n));
                self.work.recall(|_, sent| sent.names.iter().any(|n| leaves(n) || anew(n)));
            }
            feed::Event::Purge { object, group, at } => {
                if let Some(seen) = &mut self.work.learned {
                    seen.push(Learned::Purge(Purge { object, group: group as u16, at }));
                }
                self.purged(object, group, at);
            }
        }
    }

    fn purged(&mut self, object: Option<u64>, group: u64, at: Tenths) {
        let now = self.work.now;
        self.front.purged(now, object, group, now.saturating_sub(at.saturating_add(self.work.ahead)));
        let of = |r: &Request| object.map_or(r.group == group, |o| r.object == o);
        self.work.recall(|taken, _| of(&taken.request));
    }

    /// Memory from before the start, or of others. What was seen since goes before it, in the module.
    fn recall(&mut self, fills: &[Fill], purges: &[Purge]) {
        let (now, ahead) = (self.work.now, self.work.ahead);
        purges.iter().for_each(|p| self.purged(p.object, u64::from(p.group), p.at));
        for f in fills {
            let moved = |at: Tenths| at.saturating_add(ahead);
            self.front.recall(now, (f.object, f.part), moved(f.made), moved(f.seen));
        }
    }

    fn feed_read(&mut self, conn: ConnId, mut ring: Ring, ended: bool) {
        loop {
            match self.work.feed.take(&mut ring, &self.work.names, self.work.now) {
                Ok(Some(event)) => self.hear(event),
                Ok(None) => break,
                Err(feed::Malformed(what)) => {
                    tracing::warn!(
                        "feed: {what} can't be used, connecting anew after {}",
                        self.work.feed.number
                    );
                    return self.work.lose_feed();
                }
            }
        }
        if ended {
            tracing::info!("feed: connection lost");
            self.work.lose_feed();
        } else {
            self.work.effects.push(Effect::Read(conn, ring));
        }
    }

    // ---- time

    fn sweep(&mut self) {
        let work = &mut self.work;
        let now = work.now;
        work.timers.set(now + SWEEP, Timer::Sweep);
        if work.feed.up && work.feed.heard + Feed::SILENCE < now {
            tracing::info!("feed: silent");
            work.lose_feed();
        }
        let idle = work.idle * 3 / 4;
        let old = |l: &Line| l.state == State::Idle && l.since + idle < now;
        let old: Vec<_> = work.lines.iter().filter(|(_, l)| old(l)).map(|(&c, l)| (c, l.cache)).collect();
        for (conn, cache) in old {
            work.pools.remove(cache, conn);
            work.close(conn);
        }
        let unread = |c: &Client| c.out.is_none() && c.wrote + UNREAD < now;
        let late =
            |c: &Client| c.idle_since() + SILENT < now || c.began.is_some_and(|at| at + UNFINISHED < now);
        let lost = work.clients.iter().filter(|(_, c)| unread(c) || c.owed_nothing() && late(c));
        for conn in lost.map(|(&conn, _)| conn).collect::<Vec<_>>() {
            self.work.complain(
                "a client is silent, reads nothing, or never ends its request: its connection is closed",
            );
            if self.work.clients.get(&conn).is_some_and(unread) {
                self.drop_client(conn);
            } else {
                self.work.finish(conn);
            }
        }
        self.work.unpark();
        if now >= self.work.told_at + TOLD {
            self.work.told_at = now;
            tracing::info!("at the most: {:?}", self.work.most);
        }
    }
}

/// An answer has told how old its copy is.
fn fill(offerings: &[String], r: &Request, made_ms: u64, seen: Tenths) -> Fill {
    let offering = offerings.iter().position(|o| *o == r.offering).unwrap_or(0) as u16;
    let (object, part, group, made) = (r.object, r.part, r.group as u16, made_ms.saturating_mul(10));
    Fill { offering, object, part, group, made, seen }
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

    /// What was told but not read yet comes again: the new connection starts from the last event taken.
    fn reload(&mut self, to: &Renewal) {
        self.bounds = Bounds::new(&to.limits);
        self.take_shape(&to.files.shape, to.whole);
        tracing::info!("configuration taken anew; bounds: {:?}; feed at {}", self.bounds, to.feed);
        if std::mem::replace(&mut self.feed_at, to.feed) != to.feed {
            // One that is still being made is closed once it is up.
            if let Some(conn) = self.feed.conn.filter(|_| self.feed.up) {
                self.close(conn);
            }
            self.feed.moved();
            self.connect_feed();
        }
    }

    fn feed_connected(&mut self, conn: ConnId, made: Made) {
        if made != Made::Up {
            let delay = self.feed.lost();
            return self.timers.set(self.now + delay, Timer::FeedConnect);
        }
        let mut ring = Ring::new(8);
        ring.put(&self.feed.begin(self.now));
        self.effects.push(Effect::Write(conn, ring));
        self.effects.push(Effect::Read(conn, Ring::new(bounds::FEED_IN)));
    }

    fn lose_feed(&mut self) {
        if let Some(conn) = self.feed.conn {
            self.close(conn);
        }
        let delay = self.feed.lost();
        self.timers.set(self.now + delay, Timer::FeedConnect);
    }

    /// Takes the list, and says which members have started anew or stand elsewhere.
    fn list(&mut self, whole: bool, members: &[feed::Listed]) -> Vec<u32> {
        let mut anew = Vec::new();
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
            let moved = self.places.get(&cache).is_some_and(|p| *p != place);
            if listed.member.standing == Standing::Gone {
                self.places.remove(&cache);
                self.drop_idle(cache);
            } else {
                if moved {
                    self.drop_idle(cache);
                    anew.push(cache);
                }
                self.places.insert(cache, place);
            }
        }
        anew
    }

    fn drop_idle(&mut self, cache: u32) {
        for conn in self.pools.drop_all(cache) {
            self.close(conn);
        }
    }
}
