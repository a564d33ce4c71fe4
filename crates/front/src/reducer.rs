//! Every state change of the front. Takes one input, changes state, and asks for effects; no I/O inside.

mod clients;
mod outlet;
mod places;
mod pushes;
mod sent;
mod tiers;
mod told;
mod trace;
mod types;

use std::collections::VecDeque;
use std::net::SocketAddr;

use doorgrade::{Front, Outcome, PushResult, Ticks};
use doorgrade_recall::Fill;
use rustc_hash::FxHashMap;

use crate::answer::Reply;
use crate::bounds::Bounds;
use crate::clock::Timers;
use crate::config::Config;
use crate::conn::ConnId;
use crate::feed;
use crate::follow::Feed;
use crate::intake::Request;
use crate::phase::Phase;
use crate::push::{Line, Pools, State};
use crate::reasons::{CacheEnd, ClientEnd, Counts, Cut};
use crate::stamps::{Stamps, Told};
use clients::Client;
pub use doorgrade_control_client::Observation as Learned;
use places::{Ending, Want};
use tiers::Tiers;
pub use types::{Effect, Input, Made, Most, Served};
use types::{LINGER, Listener, SILENT, SWEEP, TOLD, Taken, Timer, UNFINISHED, UNREAD, Work};

pub struct Reducer {
    front: Front,
    work: Work,
}

impl Reducer {
    pub fn new(config: Config, now: Ticks) -> Self {
        let tiers = Tiers::new(&config, now);
        let learned = config.files.settings.recall.as_ref().map(|_| Vec::new());
        let Config { told, limits, known: (number, events), names, feed, seed, files, whole, .. } = config;
        let mut reducer = Reducer {
            front: Front::new(&told.settings, seed),
            work: Work {
                names,
                offerings: told.offering_names,
                worths: told.settings.offerings.clone(),
                flow_kb_per_s: told.settings.flow_kb_per_s,
                served: Served::default(),
                bounds: Bounds::new(&limits),
                idle: told.idle_timeout,
                longest: told.max_hard_limit,
                feed_at: feed,
                now,
                phase: Phase::new(),
                listener: Listener::Open,
                drains: false,
                timers: Timers::default(),
                effects: Vec::new(),
                clients: FxHashMap::default(),
                arrivals: VecDeque::new(),
                want: Want::default(),
                lines: FxHashMap::default(),
                pools: Pools::default(),
                places: FxHashMap::default(),
                feed: Feed::new(number, now),
                accesses: FxHashMap::default(),
                by_id: FxHashMap::default(),
                next_access: 0,
                next_conn: 0,
                closing: FxHashMap::default(),
                ends: VecDeque::new(),
                bodies: 0,
                parked: VecDeque::new(),
                most: Most::default(),
                counts: Counts::default(),
                told_at: now,
                complaints: 0,
                complained_at: 0,
                stamps: Stamps::default(),
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
        let latest = events.iter().filter_map(feed::Event::latest).max().unwrap_or(now);
        for event in events {
            reducer.hear(event, Told::AtStart { latest });
        }
        reducer.settle();
        reducer
    }

    /// When time must be told even if nothing happens.
    pub fn next_tick(&self) -> Option<Ticks> {
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

    /// What the wall clock shows; times that others tell are read by it.
    pub fn set_wall(&mut self, now: Ticks, unix: Ticks) {
        self.work.stamps.set_wall(now, unix);
    }

    pub fn input(&mut self, now: Ticks, input: Input) {
        self.work.now = self.work.now.max(now);
        if let Input::Read { at, .. } = &input {
            let queued = self.work.now.saturating_sub(*at);
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
            Input::Wrote { conn, ring, failed: Some(Cut::ClientLeft) } => {
                if let Some(client) = self.work.not_begun(conn, ring) {
                    self.drop_client(client, ClientEnd::Left);
                }
            }
            Input::Wrote { conn, ring, failed: Some(why @ (Cut::Unheard | Cut::Stale)) } => {
                self.work.begin_after_all(conn, ring, why == Cut::Unheard);
            }
            Input::Wrote { conn, ring, failed } => self.work.line_wrote(conn, ring, failed),
            Input::HalfClosed(conn) => self.work.half_closed(conn),
            Input::Closed(conn) => self.closed(conn),
            Input::NoMeans => self.work.make_room(),
            Input::ListenerClosed => self.work.listener = Listener::Closed,
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
                    self.front.set_shutdown_deadline(at);
                }
                tracing::info!("told to stop");
            }
        }
        self.settle();
        while let Some(timer) = self.work.due() {
            self.timer(timer);
            self.settle();
        }
        if !self.work.arrivals.is_empty() {
            self.work.admit();
        }
        self.advance();
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module(key) => self.front.timer_fired(self.work.now, key, &mut self.work),
            Timer::PushOver(access, push) => self.work.stop_push(access, push, Outcome::TimedOut),
            Timer::FeedConnect => self.work.connect_feed(),
            Timer::Sweep => self.sweep(),
            Timer::Lingered(conn) => {
                let since = |c: &Client| match c.ending {
                    Ending::Sent(since) => Some(since),
                    _ => None,
                };
                let since = self.work.clients.get(&conn).and_then(since);
                if since.is_some_and(|since| since + LINGER <= self.work.now) {
                    self.drop_client(conn, ClientEnd::Closed);
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
                let fill = fill(&self.work.offerings, &taken.request, ms, now);
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
            let made = got.made_at.and_then(|ms| ms.checked_mul(10));
            let made = made.map(|at| self.work.stamps.local(now, at));
            let ended = PushResult {
                push,
                outcome,
                access_done: settled,
                latency: lag,
                cache_status: note,
                origin_sent_at: made,
            };
            self.work.tell_tiers(id, &ended, got.ring.as_deref());
            self.front.push_ended(now, id, &ended, &mut self.work);
            self.work.tidy(id);
        }
    }

    fn closed(&mut self, conn: ConnId) {
        self.work.arrivals.retain(|&waits| waits != conn);
        // One that was ended in order is closed when the other side has ended it, too.
        if self.work.clients.contains_key(&conn) {
            self.drop_client(conn, ClientEnd::Closed);
        }
        self.work.closing.remove(&conn);
    }

    fn advance(&mut self) {
        let work = &mut self.work;
        // Before it serves something may have happened, too: what was remembered is told.
        if work.phase.end_by().is_none() {
            return;
        }
        if !work.phase.takes(work.now) {
            if work.listener == Listener::Open {
                work.listener = Listener::Closing;
                work.effects.push(Effect::StopListening);
                let open = work.accesses.values().filter(|t| !t.done).count();
                tracing::info!(
                    "requests are declined from now on; {open} open, {} clients",
                    work.clients.len()
                );
            }
            // Those that rest until the front ends them, too. Half a request may still become a whole one.
            let rests = |c: &Client| c.owed_nothing() && !c.intake.unfinished();
            let rest: Vec<_> = work.clients.iter().filter(|(_, c)| rests(c)).map(|(&conn, _)| conn).collect();
            rest.into_iter().for_each(|conn| work.half_close(conn, ClientEnd::FrontEnds));
        }
        let open = work.accesses.values().any(|t| !t.done);
        let clients = work.clients.len() + work.arrivals.len();
        let connected = clients > 0 || work.listener != Listener::Closed;
        work.phase.advance(work.now, open, connected);
        if work.phase.gone() {
            work.effects.push(Effect::Exit);
        }
    }

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
            work.close_line(conn, CacheEnd::Rested);
        }
        let unread = |c: &Client| c.out.is_none() && c.wrote + UNREAD < now;
        let late =
            |c: &Client| c.idle_since() + SILENT < now || c.began.is_some_and(|at| at + UNFINISHED < now);
        let lost = work.clients.iter().filter(|(_, c)| unread(c) || c.owed_nothing() && late(c));
        for conn in lost.map(|(&conn, _)| conn).collect::<Vec<_>>() {
            self.work.complain(
                "a client is silent, reads nothing, or never ends its request: its connection is closed",
            );
            let Some(client) = self.work.clients.get(&conn) else { continue };
            if unread(client) {
                self.drop_client(conn, ClientEnd::NotReading);
            } else {
                let idle = client.idle_since() + SILENT < now;
                let why = if idle { ClientEnd::Idle } else { ClientEnd::Unfinished };
                self.work.half_close(conn, why);
            }
        }
        self.work.unpark();
        if now >= self.work.told_at + TOLD {
            self.work.told_at = now;
            self.work.trace_counts();
        }
    }
}

/// An answer has told how old its copy is.
fn fill(offerings: &[String], r: &Request, made_ms: u64, seen: Ticks) -> Fill {
    let offering = offerings.iter().position(|o| *o == r.offering).unwrap_or(0) as u16;
    let (object, part, group, made) = (r.object, r.part, r.group as u16, made_ms.saturating_mul(10));
    Fill { offering, object, part, group, made_at: made, requested_at: seen }
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

    fn close_line(&mut self, conn: ConnId, why: CacheEnd) {
        if let Some(line) = self.lines.get(&conn) {
            self.trace_cache_end(conn, line.cache, why);
        }
        self.close(conn);
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
}
