//! What the control feed tells, and the connection to it.

use doorgrade::{Member, MemberStatus, Ticks};
use doorgrade_recall::{Fill, Purge};
use rustc_hash::FxHashSet;

use super::{Effect, Learned, Made, Reducer, Timer, Work};
use crate::bounds::{self, Bounds};
use crate::config::Renewal;
use crate::conn::ConnId;
use crate::feed;
use crate::intake::Request;
use crate::push::{self, Place};
use crate::reasons::{CacheEnd, Cut};
use crate::ring::Ring;
use crate::stamps::Told;

impl Reducer {
    pub(super) fn hear(&mut self, event: feed::Event, told: Told) {
        let now = self.work.now;
        match event {
            feed::Event::List { whole, members } => {
                let anew = self.work.list(whole, &members);
                let members: Vec<_> =
                    members.into_iter().map(|l| self.work.started(l.member, told)).collect();
                self.work.list_tiers(&members, whole);
                self.front.member_list_received(now, &members, whole, &mut self.work);
                let stays = |m: &&Member| m.status == MemberStatus::Listed;
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
                self.purged(object, group, self.work.stamps.purged(now, at, told));
            }
        }
    }

    /// At a time of this process.
    fn purged(&mut self, object: Option<u64>, group: u64, at: Ticks) {
        let now = self.work.now;
        self.front.purge_received(now, object, group, now.saturating_sub(at));
        let of = |r: &Request| object.map_or(r.group == group, |o| r.object == o);
        self.work.recall(|taken, _| of(&taken.request));
    }

    /// Memory from before the start, or of others. What was seen since goes before it, in the module.
    pub(super) fn recall(&mut self, fills: &[Fill], purges: &[Purge]) {
        let now = self.work.now;
        for p in purges {
            let at = self.work.stamps.local(now, p.at);
            self.purged(p.object, u64::from(p.group), at);
        }
        for f in fills {
            self.front.restore_fill(now, (f.object, f.part), f.made_at, f.requested_at);
        }
    }

    pub(super) fn feed_read(&mut self, conn: ConnId, mut ring: Ring, ended: Option<Cut>) {
        loop {
            match self.work.feed.take(&mut ring, &self.work.names, self.work.now) {
                Ok(Some(event)) => self.hear(event, self.work.feed.told()),
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
        if let Some(cut) = ended {
            tracing::info!("feed: connection lost: {cut}");
            self.work.lose_feed();
        } else {
            self.work.effects.push(Effect::Read(conn, ring));
        }
    }
}

impl Work {
    pub(super) fn connect_feed(&mut self) {
        if self.feed.conn.is_none() && !self.phase.gone() {
            self.feed.conn = Some(self.connect(self.feed_at));
        }
    }

    /// What was told but not read yet comes again: the new connection starts from the last event taken.
    pub(super) fn reload(&mut self, to: &Renewal) {
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

    pub(super) fn feed_connected(&mut self, conn: ConnId, made: Made) {
        if made != Made::Up {
            let delay = self.feed.lost();
            return self.timers.set(self.now + delay, Timer::FeedConnect);
        }
        tracing::info!("feed: connected, after event {}", self.feed.number);
        let mut ring = Ring::new(8);
        ring.put(&self.feed.begin(self.now));
        self.effects.push(Effect::Write(conn, ring));
        self.effects.push(Effect::Read(conn, Ring::new(bounds::FEED_IN)));
    }

    pub(super) fn lose_feed(&mut self) {
        if let Some(conn) = self.feed.conn {
            self.close(conn);
        }
        let delay = self.feed.lost();
        self.timers.set(self.now + delay, Timer::FeedConnect);
    }

    /// Takes the list, and says which members have started anew or stand elsewhere.
    pub(super) fn list(&mut self, whole: bool, members: &[feed::Listed]) -> Vec<u32> {
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
            let (member, standing) = (&*listed.member.id, listed.member.status);
            tracing::debug!(member, ?standing, started = listed.member.started_at, "listed");
            let place = Place { at: listed.at, started: listed.member.started_at };
            let moved = self.places.get(&cache).is_some_and(|p| *p != place);
            if listed.member.status == MemberStatus::Gone {
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
        let places = &self.places;
        self.stamps.forget(|member| places.contains_key(&member));
        anew
    }

    /// A member as it is told, its start as a time of this process.
    fn started(&mut self, member: Member, told: Told) -> Member {
        let number = push::number(&member.id).unwrap_or(u32::MAX);
        let started = member.started_at.map(|at| self.stamps.started(self.now, number, at, told));
        Member { started_at: started, ..member }
    }

    pub(super) fn drop_idle(&mut self, cache: u32) {
        for conn in self.pools.drop_all(cache) {
            self.close_line(conn, CacheEnd::Unlisted);
        }
    }
}
