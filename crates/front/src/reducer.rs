//! The state machine of the front: takes one input, changes its state, and emits effects. No I/O.

mod admission;
mod client;
mod client_ends;
mod clients;
mod control_feed;
mod effects;
mod hierarchy;
mod partial;
mod pushes;
mod sent_push;
mod sweep;
mod trace;
mod types;
mod used_ids;

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
use crate::feed_connections::FeedConnections;
use crate::intake::Request;
use crate::phase::Phase;
use crate::push::Pools;
use crate::reasons::{CacheEnd, ClientEnd, Counts, IoEnd};
use crate::remote_times::{Arrival, RemoteTimes};
use admission::{Shortage, Slots};
use client::Client;
use client_ends::HalfCloseState;
pub use doorgrade_control_client::Observation;
use hierarchy::Hierarchy;
pub use types::{ConnectResult, Effect, Input, Most, Served, SettingsInUse};
use types::{HALF_CLOSE_TIMEOUT, Listener, OpenAccess, SWEEP_INTERVAL, State, Timer};
use used_ids::UsedIds;

/// The decision module, and the state of the front around it.
pub struct Reducer {
    front: Front,
    state: State,
}

impl Reducer {
    pub fn new(config: Config, now: Ticks) -> Self {
        let hierarchy = Hierarchy::new(&config, now);
        let learned = config.files.settings.recall.as_ref().map(|_| Vec::new());
        let Config { platform, limits, known: (last, events), names, feed, seed, files, .. } = config;
        let mut reducer = Reducer {
            front: Front::new(&platform.settings, seed),
            state: State {
                names,
                offering_names: platform.offering_names,
                offerings: platform.settings.offerings.clone(),
                flow_kb_per_s: platform.settings.flow_kb_per_s,
                served: Served::default(),
                bounds: Bounds::new(&limits),
                idle_timeout: platform.idle_timeout,
                max_hard_limit: platform.max_hard_limit,
                feed_address: feed,
                now,
                phase: Phase::new(),
                listener: Listener::Open,
                draining: false,
                timers: Timers::default(),
                effects: Vec::new(),
                clients: FxHashMap::default(),
                slots: Slots::default(),
                shortage: Shortage::default(),
                cache_conns: FxHashMap::default(),
                pools: Pools::default(),
                endpoints: FxHashMap::default(),
                feed: FeedConnections::new(last, platform.connect_timeout, now),
                connect_timeout: platform.connect_timeout,
                accesses: FxHashMap::default(),
                access_by_id: FxHashMap::default(),
                used_ids: UsedIds::new(platform.max_hard_limit),
                next_access: 0,
                next_conn: 0,
                closing: FxHashMap::default(),
                push_ends: VecDeque::new(),
                body_bytes: 0,
                parked: VecDeque::new(),
                peaks: Most::default(),
                counts: Counts::default(),
                counts_logged_at: now,
                unlogged_warnings: 0,
                warned_at: 0,
                remote_times: RemoteTimes::default(),
                hierarchy,
                learned,
            },
        };
        reducer.state.apply_shape(&files.shape);
        tracing::info!("bounds: {:?}; {} events known up to {last}", reducer.state.bounds, events.len());
        let latest = events.iter().filter_map(feed::Event::latest).max().unwrap_or(now);
        for event in events {
            reducer.feed_event(event, Arrival::Startup { latest });
        }
        reducer.deliver_push_ends();
        reducer
    }

    /// When to send the next [`Input::Tick`], even if nothing happens until then.
    pub fn next_tick(&self) -> Option<Ticks> {
        self.state.timers.next()
    }

    /// The settings in use that a reload may replace.
    pub fn settings_in_use(&self) -> SettingsInUse {
        SettingsInUse {
            bounds: self.state.bounds,
            feed: self.state.feed_address,
            shape: self.state.hierarchy.as_ref().map(|h| h.router.shape().changes()),
        }
    }

    /// How many timers are set.
    pub fn timer_count(&self) -> usize {
        self.state.timers.len()
    }

    /// The effects to carry out, in order.
    pub fn effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.state.effects.drain(..)
    }

    /// The observations to store since the last call.
    pub fn learned(&mut self) -> Vec<Observation> {
        self.state.learned.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub fn learned_count(&self) -> usize {
        self.state.learned.as_ref().map_or(0, Vec::len)
    }

    /// How many client connections may be open at once.
    pub fn max_clients(&self) -> usize {
        self.state.max_accepted()
    }

    pub fn served(&self) -> Served {
        self.state.served
    }

    pub fn peaks(&self) -> &Most {
        &self.state.peaks
    }

    /// Sets what the wall clock shows, by which times of other machines are converted.
    pub fn set_wall(&mut self, now: Ticks, unix: Ticks) {
        self.state.remote_times.set_wall(now, unix);
    }

    pub fn input(&mut self, now: Ticks, input: Input) {
        self.state.now = self.state.now.max(now);
        if let Input::Read { received_at, .. } = &input {
            let queued = self.state.now.saturating_sub(*received_at);
            self.state.peaks.queued = self.state.peaks.queued.max(queued);
        }
        match input {
            Input::Listening => {
                self.state.phase.serve();
                self.state.connect_feed();
                self.state.timers.set(self.state.now + SWEEP_INTERVAL, Timer::Sweep);
            }
            Input::Accepted(conn, waiting_since) => self.state.accepted(conn, waiting_since),
            Input::Connected(conn, result) if self.state.feed.contains(conn) => {
                self.state.feed_connected(conn, result);
            }
            Input::Connected(conn, result) => self.state.connected(conn, result),
            Input::Read { conn, buffer, ended, received_at } if self.state.clients.contains_key(&conn) => {
                self.client_read(conn, buffer, ended, received_at);
            }
            Input::Read { conn, buffer, ended, .. } if self.state.feed.contains(conn) => {
                self.feed_read(conn, buffer, ended);
            }
            Input::Read { conn, buffer, ended, .. } => self.state.cache_read(conn, buffer, ended),
            Input::Wrote { conn, failed, .. } if self.state.clients.contains_key(&conn) => {
                self.client_wrote(conn, failed);
            }
            Input::Wrote { conn, buffer, failed: Some(IoEnd::ClientLeft) } => {
                if let Some(client) = self.state.release_unsent(conn, buffer) {
                    self.drop_client(client, ClientEnd::Left);
                }
            }
            Input::Wrote {
                conn,
                buffer,
                failed: Some(end @ (IoEnd::ClientDataPending | IoEnd::Expired)),
            } => {
                self.state.restart_request(conn, buffer, end == IoEnd::ClientDataPending);
            }
            Input::Wrote { conn, buffer, failed } => self.state.cache_wrote(conn, buffer, failed),
            Input::HalfClosed(conn) => self.state.half_closed(conn),
            Input::Closed(conn) => self.closed(conn),
            Input::AcceptFailed => self.state.accept_failed(),
            Input::ListenerClosed => self.state.listener = Listener::Closed,
            Input::Tick => {}
            Input::Reload(config) => self.state.reload(&config),
            Input::Recall(fills, purges) => self.restore_recalled(&fills, &purges),
            Input::Homes(saved_at, lists) => self.state.restore_homes(saved_at, lists),
            Input::Drain(on) => {
                if std::mem::replace(&mut self.state.draining, on) != on {
                    tracing::info!(
                        "{}",
                        if on { "draining: health checks fail" } else { "no longer draining" }
                    );
                }
            }
            Input::Stop => {
                let State { phase, timers, now, max_hard_limit, .. } = &mut self.state;
                for at in phase.stop(*now, *max_hard_limit).into_iter().flatten() {
                    timers.set(at, Timer::Phase);
                }
                if let Some(at) = phase.deadline() {
                    self.front.set_shutdown_deadline(at);
                }
                tracing::info!("told to stop");
            }
        }
        self.deliver_push_ends();
        while let Some(timer) = self.state.pop_due_timer() {
            self.timer(timer);
            self.deliver_push_ends();
        }
        self.state.free_excess_slots();
        self.advance();
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Decisions(key) => self.front.timer_fired(self.state.now, key, &mut self.state),
            Timer::PushTimeout(access, push) => self.state.stop_push(access, push, Outcome::TimedOut),
            Timer::FeedConnect => self.state.connect_feed(),
            Timer::Sweep => self.sweep(),
            Timer::HalfCloseTimeout(conn) => {
                let since = |c: &Client| match c.half_close {
                    HalfCloseState::ShutDown(since) => Some(since),
                    _ => None,
                };
                let since = self.state.clients.get(&conn).and_then(since);
                if since.is_some_and(|since| since + HALF_CLOSE_TIMEOUT <= self.state.now) {
                    self.drop_client(conn, ClientEnd::Closed);
                }
            }
            Timer::Phase => {
                // Ends every open access before the hard stop.
                if self.state.phase.deadline().is_some_and(|at| at <= self.state.now) {
                    self.front.stop(&mut self.state);
                    self.state.decline_all_partial(ClientEnd::FrontEnds);
                }
            }
        }
    }

    /// Reports all ends of pushes to the decision module, including those that this causes.
    fn deliver_push_ends(&mut self) {
        while let Some((id, push, push_end)) = self.state.push_ends.pop_front() {
            let (now, outcome, cache_status) = (self.state.now, push_end.outcome, push_end.cache_status);
            let open_access = self.state.accesses.get(&id);
            let latency =
                open_access.and_then(|a| a.pushes.get(push)).map_or(0, |s| now.saturating_sub(s.sent_at));
            if outcome == Outcome::Handled
                && let Some((ms, open_access)) = push_end.origin_sent_ms.zip(open_access)
                && self.state.learned.is_some()
            {
                let fill = fill(&self.state.offering_names, &open_access.request, ms, now);
                self.state.learned.iter_mut().for_each(|learned| learned.push(Observation::Fill(fill)));
            }
            if outcome == Outcome::Handled && open_access.is_some_and(|a| !a.done) {
                let (tag, not_modified) = (push_end.tag.as_deref(), push_end.status == 304);
                self.state.answer(id, Reply { tag, not_modified, body: push_end.body, ..Reply::empty(200) });
            } else {
                self.state.body_bytes = self.state.body_bytes.saturating_sub(push_end.body.len());
            }
            let access_done = self.state.accesses.get(&id).is_none_or(|a| a.done);
            // The value comes from outside and may overflow.
            let origin_sent_at = push_end.origin_sent_ms.and_then(|ms| ms.checked_mul(10));
            let origin_sent_at = origin_sent_at.map(|at| self.state.remote_times.to_local(now, at));
            let result = PushResult { push, outcome, access_done, latency, cache_status, origin_sent_at };
            self.state.report_push_end(id, &result, push_end.cycle.as_deref());
            self.front.push_ended(now, id, &result, &mut self.state);
            self.state.remove_if_done(id);
        }
    }

    fn closed(&mut self, conn: ConnId) {
        // A half-closed connection is reported closed once the client has closed it, too.
        if self.state.clients.contains_key(&conn) {
            self.drop_client(conn, ClientEnd::Closed);
        }
        self.state.closing.remove(&conn);
    }

    fn advance(&mut self) {
        let state = &mut self.state;
        // Inputs before `Listening`, such as a recall, must not count as a shutdown.
        if state.phase.deadline().is_none() {
            return;
        }
        if !state.phase.accepts(state.now) {
            if state.listener == Listener::Open {
                state.listener = Listener::Closing;
                state.effects.push(Effect::StopListening);
                let open = state.accesses.values().filter(|a| !a.done).count();
                tracing::info!("requests are declined; {open} open, {} clients", state.clients.len());
            }
            // Connections at rest, until the front exits. One with a partial request may still complete it.
            let at_rest = state.clients.iter().filter(|(_, c)| c.is_at_rest());
            let at_rest: Vec<_> = at_rest.map(|(&conn, _)| conn).collect();
            at_rest.into_iter().for_each(|conn| state.half_close(conn, ClientEnd::FrontEnds));
        }
        let open = state.accesses.values().any(|a| !a.done);
        let connected = !state.clients.is_empty() || state.listener != Listener::Closed;
        state.phase.advance(state.now, open, connected);
        if state.phase.exited() {
            state.effects.push(Effect::Exit);
        }
    }
}

/// The fill that a response reported by the age of its copy.
fn fill(offering_names: &[String], r: &Request, origin_sent_ms: u64, requested_at: Ticks) -> Fill {
    let offering = offering_names.iter().position(|o| *o == r.offering).unwrap_or(0) as u16;
    let (object, part, group, made_at) =
        (r.object, r.part, r.group as u16, origin_sent_ms.saturating_mul(10));
    Fill { offering, object, part, group, made_at, requested_at }
}

impl State {
    fn pop_due_timer(&mut self) -> Option<Timer> {
        let at = self.timers.next()?;
        let timer = self.timers.pop_due(self.now)?;
        self.peaks.late = self.peaks.late.max(self.now - at);
        Some(timer)
    }

    fn connect(&mut self, address: SocketAddr, timeout: Ticks) -> ConnId {
        let conn = self.next_conn;
        self.next_conn += 1;
        self.effects.push(Effect::Connect(conn, address, timeout));
        conn
    }

    fn close_cache_conn(&mut self, conn: ConnId, reason: CacheEnd) {
        if let Some(cache_conn) = self.cache_conns.get(&conn) {
            self.trace_cache_end(conn, cache_conn.cache, reason);
        }
        self.close(conn);
    }

    fn close(&mut self, conn: ConnId) {
        let cache_conn = self.cache_conns.remove(&conn);
        if let Some(cache_conn) = &cache_conn {
            self.body_bytes = self.body_bytes.saturating_sub(cache_conn.held_bytes());
        }
        self.closing.insert(conn, cache_conn.is_some());
        self.effects.push(Effect::Close(conn));
    }

    /// Connections to caches, including those whose descriptors are still being closed.
    fn cache_conns_used(&self) -> usize {
        self.cache_conns.len() + self.closing.values().filter(|&&to_cache| to_cache).count()
    }
}
