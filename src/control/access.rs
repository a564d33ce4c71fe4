//! One access: where it goes next, and what rule 2 allows.

use super::*;

impl Held {
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Sent> {
        self.sent.iter().filter(|s| !s.ended.is_some_and(Outcome::proves_unrun))
    }

    pub(super) fn failed_twice(&self) -> bool {
        let failed = |s: &&Sent| s.ended == Some(Outcome::Error) && !s.source_failed;
        self.sent.iter().filter(failed).count() > 1
    }
}

impl Front {
    pub fn access(&mut self, now: Ticks, a: &Access, out: &mut dyn EffectSink) {
        let class = &mut self.classes[a.offering];
        let work = if a.kb > 0.0 && self.flow > 0.0 { a.kb / self.flow } else { class.mean };
        class.mean += (work - class.mean) / 64.0;
        let soft_at = now + class.of.soft_limit + (class.of.transfer_factor * work) as Ticks;
        let density = class.of.benefit / work.max(1.0);
        self.density += (density - self.density) * if self.density == 0.0 { 1.0 } else { 1.0 / 64.0 };
        // From half a limit to one and a half: under overload the lowest benefit for its work goes first.
        let keen = (0.5 + 0.5 * density / self.density).min(1.5);
        // Further pushes are paid from a fund, so that a shared trouble can't multiply the load.
        self.spare_pushes = (self.spare_pushes + 0.2).min(20.0);
        let ((lacks, rank, renew), draw) = (self.remember(now, a), self.rng.f64());
        let (sent, looked, kept, held, done) = (ArrayVec::new(), false, false, false, false);
        let access = Access { deadline: a.deadline.min(self.end_by), ..*a };
        let held =
            Held { access, work, soft_at, keen, draw, lacks, rank, renew, sent, looked, kept, held, done };
        let place = self.held.insert(held);
        self.places.insert(a.id, place);
        self.route(now, place, out);
    }

    pub(super) fn route(&mut self, now: Ticks, place: usize, out: &mut dyn EffectSink) {
        let h = &self.held[place];
        let a = h.access;
        if h.sent.len() >= self.max_pushes {
            return self.finish(place, UnservedReason::OutOfPushes, out);
        }
        if now + self.margin >= a.deadline {
            return self.finish(place, UnservedReason::OutOfTime, out);
        }
        if self.classes[a.offering].of.uncacheable {
            let cache = if self.may.cache_bypass { self.origin } else { self.pick_cache(now, place).ok() };
            return match cache.filter(|&c| self.may_repeat_at(now, place, c)).zip(self.origin) {
                Some((cache, origin)) => self.push(now, place, (cache, origin), Self::after_push, out),
                None => self.finish(place, UnservedReason::NoCache, out),
            };
        }
        let ways = out.fill_routes(&a, h.soft_at);
        let named = self.pick_source(now, place, &ways);
        let (source, held) = (named.map(|n| n.0), named.is_some_and(|n| n.1));
        let through = named.and_then(|n| n.2);
        // Exception to the ordinary path: a full link in feeds on itself, since fills that come too late are
        // not kept and are missed again. Fills have a limit of their own; from half of it on, or without a
        // source, an access first asks the cache what it holds, and is filled on a miss while there is room.
        // Covers a slow or crowded link, parent or origin, purges, cold zones, one-offs; costs a round trip.
        let filling = self.filling.mean(now, self.over) / self.fill_limit;
        // Where the origin refused within two seconds, one fill in 0.2 s a zone finds out if it still does.
        let refused = now < self.refused_at + 20_000;
        // A cold parent's budget is for what is surely missed, too.
        let cold = source.is_some_and(|s| self.cold_age(now, s).is_some());
        let tight = refused || cold || filling >= 0.5;
        let full = if refused { now < self.probe_at } else { filling >= self.held[place].keen };
        let picked = self.pick_cache(now, place);
        // One just started holds nothing, and a look costs as much of its budget as a fill.
        let empty = |c| self.cold_age(now, c).is_some_and(|(_, age)| age < 0.5);
        let looked = self.held[place].looked || source.is_some() && picked.is_ok_and(empty);
        // Past the limit it is the origin, under a tenth of its own: slow parents lower the limit long before
        // they are told from the link. While the origin refuses, a parent gives no more than what it holds.
        let kept = looked && full && refused;
        let source = match looked && full {
            true if kept || held => source.filter(|&s| self.peers[s].role == Role::Parent),
            true if ways.hierarchical => None,
            true => self.origin.filter(|&o| self.well(now, o) && self.used(now, o) < 0.1),
            false => source,
        };
        (self.held[place].kept, self.held[place].held) = (kept, held);
        self.probe_at = if full || !looked { self.probe_at } else { now + (2_000.0 * self.crew) as Ticks };
        match (picked, source) {
            (Ok(cache), source) if !looked && (tight || source.is_none() || through.is_some()) => {
                self.held[place].looked = true;
                self.push(now, place, (cache, cache), Self::after_look, out)
            }
            // The new home takes the old one's copy over. Where it may not, that copy is looked for together
            // with the cache's own: a miss tells of both.
            (Ok(cache), Some(source)) if held => {
                self.push(now, place, (through.unwrap_or(cache), source), Self::after_look, out);
                self.held[place].looked = true;
            }
            (Ok(cache), Some(source)) => self.push(now, place, (cache, source), Self::after_push, out),
            // No cache of the zone is well, or all are cold: straight to the source, over the same link in.
            (Err(false), Some(s))
                if self.may.cache_bypass && !full && !held && self.may_repeat_at(now, place, s) =>
            {
                let from = if self.peers[s].role == Role::Parent { self.origin.unwrap_or(s) } else { s };
                self.push(now, place, (s, from), Self::after_push, out)
            }
            // The archive's account is spent, and will have room within the soft limit.
            (Ok(_), None) if ways.retry_at.is_some_and(|at| at < self.latest(place)) => {
                let number = self.held[place].sent.len() as u64;
                out.set_timer(ways.retry_at.map_or(now, |at| at.max(now + 1)), a.id << 4 | number);
            }
            (Err(true), _) => self.finish(place, UnservedReason::Crowded, out),
            (Err(false), _) => self.finish(place, UnservedReason::NoCache, out),
            (Ok(_), None) => self.finish(place, UnservedReason::NoSource, out),
        }
    }

    /// Until when an access may wait for something before it is pushed.
    pub(super) fn latest(&self, place: usize) -> Ticks {
        let h = &self.held[place];
        h.soft_at.min(h.access.deadline.saturating_sub(self.margin))
    }

    /// What a repeat of it may do. Nobody can know a repeat of what carries no mark.
    pub fn repeat_policy(&self, a: &Access) -> RepeatPolicy {
        match self.classes[a.offering].of.repeat_policy {
            RepeatPolicy::Deduplicated { .. } if !a.has_repeat_id => RepeatPolicy::Unrepeatable,
            effect => effect,
        }
    }

    /// Rule 2: after what may have run, unrepeatable goes nowhere, deduplicated only within group and window.
    pub(super) fn may_repeat_at(&self, now: Ticks, place: usize, cache: usize) -> bool {
        let h = &self.held[place];
        let effect = self.repeat_policy(&h.access);
        now < self.begin_by(place)
            && h.may_have_run().all(|s| match effect {
                RepeatPolicy::Idempotent => true,
                RepeatPolicy::Unrepeatable => false,
                RepeatPolicy::Deduplicated { within, .. } => {
                    let (a, b) = (&self.peers[s.to.0], &self.peers[cache]);
                    match within {
                        Group::All => true,
                        Group::Zone => a.zone == b.zone,
                        Group::Cell => (a.zone, a.cell, a.role) == (b.zone, b.cell, b.role),
                    }
                }
            })
    }

    /// Until when a further push may begin: while caches remember each one that may have run.
    pub(super) fn begin_by(&self, place: usize) -> Ticks {
        let h = &self.held[place];
        match self.repeat_policy(&h.access) {
            RepeatPolicy::Deduplicated { window, .. } => h.may_have_run().map(|s| s.at + window).min(),
            _ => None,
        }
        .unwrap_or(h.access.deadline)
    }
}
