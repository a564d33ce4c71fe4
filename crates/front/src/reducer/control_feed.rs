//! Events of the control feed, and the connection to it.

use doorgrade::{Member, MemberStatus, Ticks};
use doorgrade_recall::{Fill, Purge};
use rustc_hash::FxHashSet;

use super::{ConnectResult, Effect, Observation, Reducer, State, Timer};
use crate::bounds::{self, Bounds};
use crate::config::ReloadedConfig;
use crate::conn::ConnId;
use crate::feed;
use crate::feed_connections::Freshness;
use crate::intake::Request;
use crate::push::{self, Endpoint};
use crate::reasons::{CacheEnd, IoEnd};
use crate::remote_times::Arrival;
use crate::ring_buffer::RingBuffer;

impl Reducer {
    pub(super) fn feed_event(&mut self, event: feed::Event, arrival: Arrival) {
        let now = self.state.now;
        match event {
            feed::Event::List { complete, members } => {
                let restarted = self.state.apply_member_list(complete, &members);
                let members: Vec<_> =
                    members.into_iter().map(|l| self.state.with_local_start(l.member, arrival)).collect();
                self.state.update_hierarchy(&members, complete);
                self.front.member_list_received(now, &members, complete, &mut self.state);
                let is_listed = |m: &&Member| m.status == MemberStatus::Listed;
                let listed: FxHashSet<_> =
                    members.iter().filter(is_listed).map(|m| push::number(&m.id)).collect();
                let reported: FxHashSet<_> = members.iter().map(|m| push::number(&m.id)).collect();
                let is_leaving = |n: &Option<u32>| {
                    n.is_some() && !listed.contains(n) && (complete || reported.contains(n))
                };
                // A push meant for a member that has restarted since would exceed its budget for a cold
                // start.
                let restarted = |n: &Option<u32>| n.is_some_and(|n| restarted.contains(&n));
                self.state
                    .invalidate_pushes(|_, sent| sent.members.iter().any(|n| is_leaving(n) || restarted(n)));
            }
            feed::Event::Purge { object, group, at } => {
                if let Some(learned) = &mut self.state.learned {
                    learned.push(Observation::Purge(Purge { object, group: group as u16, at }));
                }
                self.apply_purge(object, group, self.state.remote_times.purged_at(now, at, arrival));
            }
        }
    }

    /// Applies a purge; `at` is a time of this process.
    fn apply_purge(&mut self, object: Option<u64>, group: u64, at: Ticks) {
        let now = self.state.now;
        self.state.trace_purge(object, group, at);
        self.front.purge_received(now, object, group, now.saturating_sub(at));
        let concerns = |r: &Request| object.map_or(r.group == group, |o| r.object == o);
        self.state.invalidate_pushes(|open_access, _| concerns(&open_access.request));
    }

    /// Restores fills and purges known from before the start or to other fronts. The decision module prefers
    /// what it has seen since.
    pub(super) fn restore_recalled(&mut self, fills: &[Fill], purges: &[Purge]) {
        let now = self.state.now;
        for p in purges {
            let at = self.state.remote_times.to_local(now, p.at);
            self.apply_purge(p.object, u64::from(p.group), at);
        }
        for f in fills {
            self.front.restore_fill(now, (f.object, f.part), f.made_at, f.requested_at);
        }
    }

    pub(super) fn feed_read(&mut self, conn: ConnId, mut buffer: RingBuffer, ended: Option<IoEnd>) {
        loop {
            let State { feed, names, now, .. } = &mut self.state;
            let Some((connection, position)) = feed.get_mut(conn) else { return };
            match connection.next_event(position, &mut buffer, names, *now) {
                Ok(Some(event)) => {
                    let arrival = connection.arrival(position);
                    self.feed_event(event, arrival);
                }
                Ok(None) => break,
                Err(feed::Malformed(what)) => {
                    tracing::warn!(
                        "feed: {what} is malformed; reconnecting, last event {}",
                        position.last_event
                    );
                    return self.state.lose_feed(conn);
                }
            }
        }
        self.state.feed_heard(conn);
        if let Some(end) = ended {
            tracing::info!("feed: connection lost: {end}");
            self.state.lose_feed(conn);
        } else {
            buffer.release_if_empty();
            self.state.effects.push(Effect::Read(conn, buffer));
        }
    }
}

fn log_freshness(freshness: &Freshness) {
    match freshness {
        Freshness::Stale(silence) => tracing::warn!(
            "feed: nothing heard for {} ms; the list of caches and the purges may be out of date",
            silence / 10
        ),
        Freshness::Fresh(silence) => tracing::info!("feed: heard again after {} ms", silence / 10),
    }
}

impl State {
    pub(super) fn connect_feed(&mut self) {
        while !self.phase.exited()
            && let Some(attempt) = self.feed.next_attempt(self.now)
        {
            let conn = self.connect(self.feed_address, attempt.timeout);
            self.feed.begin(conn, attempt, self.now);
        }
    }

    /// Makes another connection if none has brought a frame lately, and reports if what is known is old.
    pub(super) fn check_feed(&mut self) {
        if self.feed.has_only_silent(self.now) {
            tracing::info!("feed: silent");
        }
        self.connect_feed();
        let freshness = self.feed.check_freshness(self.now);
        freshness.iter().for_each(log_freshness);
    }

    /// If a connection has brought a frame, the others are closed.
    fn feed_heard(&mut self, conn: ConnId) {
        if !self.feed.get_mut(conn).is_some_and(|(connection, _)| connection.take_heard()) {
            return;
        }
        let (others, freshness) = self.feed.heard(conn, self.now);
        others.into_iter().for_each(|other| self.close(other));
        freshness.iter().for_each(log_freshness);
    }

    /// Events that were sent but not read yet are sent again: the new connection starts after the last event
    /// applied.
    pub(super) fn reload(&mut self, config: &ReloadedConfig) {
        self.bounds = Bounds::new(&config.limits);
        self.client_bound_changed();
        // Files that no longer enable the hierarchy take effect at the next start.
        if config.files.settings.hierarchy.is_some() || !config.files.shape.is_empty() {
            self.apply_shape(&config.files.shape);
        }
        tracing::info!("configuration reloaded; bounds: {:?}; feed at {}", self.bounds, config.feed);
        if std::mem::replace(&mut self.feed_address, config.feed) != config.feed {
            // Connections that are still being established are closed once they are up.
            let established = self.feed.moved(self.now);
            established.into_iter().for_each(|conn| self.close(conn));
            self.connect_feed();
        }
    }

    pub(super) fn feed_connected(&mut self, conn: ConnId, result: ConnectResult) {
        if result != ConnectResult::Connected {
            let at = self.feed.lost(conn, self.now);
            self.timers.set(at, Timer::FeedConnect);
            return;
        }
        let Some((bytes, excess)) = self.feed.established(conn, self.now) else { return };
        excess.into_iter().for_each(|excess| self.close(excess));
        tracing::info!("feed: connected; last event {}", self.feed.position.last_event);
        let mut buffer = RingBuffer::new(bytes.len());
        buffer.put(&bytes);
        self.effects.push(Effect::Write(conn, buffer));
        self.effects.push(Effect::Read(conn, RingBuffer::new(bounds::FEED_IN)));
    }

    fn lose_feed(&mut self, conn: ConnId) {
        self.close(conn);
        let at = self.feed.lost(conn, self.now);
        self.timers.set(at, Timer::FeedConnect);
    }

    /// Applies the list, and returns the members that have restarted or have another address.
    pub(super) fn apply_member_list(&mut self, complete: bool, members: &[feed::ListedMember]) -> Vec<u32> {
        let mut restarted = Vec::new();
        if complete {
            let listed: FxHashSet<_> = members.iter().filter_map(|l| push::number(&l.member.id)).collect();
            let gone: Vec<_> = self.endpoints.keys().copied().filter(|c| !listed.contains(c)).collect();
            for cache in gone {
                self.endpoints.remove(&cache);
                self.close_idle_conns(cache);
            }
        }
        for listed in members {
            let Some(cache) = push::number(&listed.member.id) else { continue };
            let (member, standing) = (&*listed.member.id, listed.member.status);
            tracing::debug!(member, ?standing, started = listed.member.started_at, "listed");
            let endpoint = Endpoint { address: listed.address, started_at: listed.member.started_at };
            let moved = self.endpoints.get(&cache).is_some_and(|p| *p != endpoint);
            if listed.member.status == MemberStatus::Gone {
                self.endpoints.remove(&cache);
                self.close_idle_conns(cache);
            } else {
                if moved {
                    self.close_idle_conns(cache);
                    restarted.push(cache);
                }
                self.endpoints.insert(cache, endpoint);
            }
        }
        let endpoints = &self.endpoints;
        self.remote_times.retain(|member| endpoints.contains_key(&member));
        restarted
    }

    /// The member with its start converted to a time of this process.
    fn with_local_start(&mut self, member: Member, arrival: Arrival) -> Member {
        let number = push::number(&member.id).unwrap_or(u32::MAX);
        let started_at =
            member.started_at.map(|at| self.remote_times.started_at(self.now, number, at, arrival));
        Member { started_at, ..member }
    }

    pub(super) fn close_idle_conns(&mut self, cache: u32) {
        for conn in self.pools.drop_all(cache) {
            self.close_cache_conn(conn, CacheEnd::Unlisted);
        }
    }
}
