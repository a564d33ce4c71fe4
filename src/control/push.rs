//! A push as it goes out, and what follows on its end.

use super::*;

impl Front {
    pub(super) fn push(
        &mut self,
        now: Ticks,
        place: usize,
        to: (usize, usize),
        next: Next,
        out: &mut dyn EffectSink,
    ) {
        let h = &self.held[place];
        let Held { access: a, lacks, rank, renew, .. } = *h;
        let kept_only = h.kept || h.held;
        let class = &self.classes[a.offering];
        let (work, uncacheable) = (class.mean.max(1.0), class.of.uncacheable);
        const ALPHA: Ticks = 0; // freshness threshold: the paper's basic case
        let mut age = class.of.fresh_time.saturating_sub(ALPHA);
        if let Some(purged) = self.purged_at(now, &a) {
            // Rule 5: from the first word on, nothing older than the purge; 0 would mean any age.
            let since = now.saturating_sub(purged).max(1);
            age = if age == 0 { since } else { age.min(since) };
        }
        if !uncacheable {
            // Overdue: four tenths of the soft limit and half as much again as sending should take, stretched
            // as this offering needs; before the soft limit, so that time is left to do better elsewhere.
            let soft = class.of.soft_limit as f64;
            let overdue = class.patience * (0.4 * soft + 1.5 * h.work);
            let overdue = overdue.min(0.9 * (soft + class.of.transfer_factor * h.work)) as Ticks;
            out.set_timer(now + overdue, a.id << 4 | h.sent.len() as u64);
        }
        let straight = self.peers[to.0].role != Role::Cache;
        let fill = !uncacheable && (straight || to.0 != to.1 && (h.looked || lacks));
        self.filling.add(now, self.over, f64::from(u8::from(fill)));
        for c in hops(to) {
            let leak = self.cold_budget(now, c).map_or(0.0, |b| Self::COLD_LEAK * b.1);
            let p = &mut self.peers[c];
            p.out.add(now, self.over, 1.0);
            p.spent = Fading { sum: p.spent.left(now, leak) + work, at: now };
        }
        let (ended, kept, begin_by, counts) = (None, kept_only, self.begin_by(place), true);
        let (at, overdue, source_failed) = (now, false, false);
        let sent = Sent { to, at, ended, overdue, fill, counts, source_failed, kept, next };
        self.held[place].sent.push(sent);
        let (cache, source) = (&*self.peers[to.0].id, &*self.peers[to.1].id);
        let (wait, join) = (a.deadline - self.margin - now, self.may.join_fills && !uncacheable);
        out.push(&Push {
            access: a.id,
            cache,
            source,
            timeout: wait,
            send_deadline: begin_by,
            max_age: age,
            rank,
            join_fill: join,
            refresh: renew,
            only_if_cached: kept_only,
        });
    }

    pub fn push_ended(&mut self, now: Ticks, id: AccessId, e: &PushResult, out: &mut dyn EffectSink) {
        let Some(&place) = self.places.get(&id) else { return };
        let Some(sent) = self.held[place].sent.get_mut(e.push).filter(|s| s.ended.is_none()) else {
            return;
        };
        sent.ended = Some(e.outcome);
        let Sent { to, next, .. } = *sent;
        self.uncount(now, place, e.push);
        if matches!(e.outcome, Outcome::Handled | Outcome::Error | Outcome::Full | Outcome::Miss) {
            self.heard(now, to.0);
        }
        self.judge(now, place, to, e, out);
        let done = self.held[place].done;
        if e.access_done && !done {
            self.close(place, out);
        } else if !done {
            next(self, now, place, e, out);
        }
        self.tidy(place);
    }

    /// A push is out no more, or its answer is not to be waited for.
    pub(super) fn uncount(&mut self, now: Ticks, place: usize, number: usize) {
        let s = &mut self.held[place].sent[number];
        if std::mem::take(&mut s.counts) {
            self.filling.add(now, self.over, -f64::from(u8::from(s.fill)));
            hops(s.to).for_each(|c| self.peers[c].out.add(now, self.over, -1.0));
        }
    }

    pub(super) fn after_look(&mut self, now: Ticks, place: usize, e: &PushResult, out: &mut dyn EffectSink) {
        match e.outcome {
            Outcome::Miss => self.route(now, place, out),
            _ => self.after_push(now, place, e, out),
        }
    }

    pub(super) fn after_push(&mut self, now: Ticks, place: usize, e: &PushResult, out: &mut dyn EffectSink) {
        if self.held[place].sent.iter().any(|s| s.ended.is_none()) {
            return;
        }
        let cost = if e.outcome.proves_unrun() { 0.25 } else { 1.0 };
        let h = &self.held[place];
        let over = match e.cache_status {
            _ if self.spare_pushes < cost => Some(UnservedReason::NoSparePushes),
            CacheStatus::OriginFailed => Some(UnservedReason::OriginFailed),
            _ if h.kept => Some(UnservedReason::NotHeld),
            _ if h.failed_twice() => Some(UnservedReason::FailedTwice),
            _ => None,
        };
        if let Some(why) = over {
            return self.finish(place, why, out);
        }
        self.spare_pushes -= cost;
        self.route(now, place, out);
    }

    /// A push is out longer than usual: it marks all it names; the access goes past those left alone.
    pub(super) fn overdue(&mut self, now: Ticks, place: usize, number: usize, out: &mut dyn EffectSink) {
        let h = &mut self.held[place];
        let (a, soft_at, twice) = (h.access, h.soft_at, 2 * h.soft_at - h.sent[0].at);
        if now >= twice {
            // Few answers are late, and its cache gave others since: a work or connection that hangs is not
            // the load's doing, and holds no room until its time is up. Not under load: all is late then.
            if self.late < 0.125 && self.peers[h.sent[number].to.0].carries.at > h.sent[number].at {
                self.uncount(now, place, number);
            }
            return;
        }
        let last = h.sent.len() == number + 1;
        let Sent { to: to @ (cache, source), at, fill, .. } = h.sent[number];
        // Where an eighth of the pushes vanish though their caches answer others, an overdue one is taken for
        // lost: it marks nobody and is withdrawn. Where next to no answer is late, one out half of its
        // soft limit is stuck: it gets a second copy. Neither lowers a limit. Covers answers that never come.
        let lost = self.lost > 0.125 && self.peers[cache].answered > at;
        let half = (at + soft_at) / 2;
        let told = self.notes == StatusReporting::All;
        let answers = |c: usize| self.peers[c].answered > at || told && c != cache && self.peers[c].bad < 0.3;
        let stuck = self.late < Self::QUICK && now >= half && hops(to).all(answers);
        if !std::mem::replace(&mut h.sent[number].overdue, true) && !lost {
            let silent = u32::from(self.peers[cache].answered < at);
            self.peers[cache].hush = self.peers[cache].hush.saturating_add(silent);
            hops(to).for_each(|c| self.mark(now, c, Self::MARK, out));
        }
        if now >= soft_at && !lost && !stuck {
            if fill && !hops(to).any(|c| self.stands_out(now, c) > 0.0) {
                // Four at least in a zone, to tell when fills are quick again.
                self.fill_limit = (self.fill_limit * Self::FALL).max(4.0 / self.crew);
            }
            hops(to).for_each(|c| self.lower(c, fill && c == cache));
        }
        let source_ill = source != cache && !self.well(now, source);
        let ill = lost || stuck || source_ill || !self.well(now, cache);
        let idempotent = self.classes[a.offering].of.repeat_policy == RepeatPolicy::Idempotent;
        if ill && last && idempotent && self.spare_pushes >= 1.0 && self.may.hedged_pushes {
            self.spare_pushes -= 1.0;
            self.held[place].sent[number].source_failed = source_ill;
            if self.may.cancel_pushes && (lost || !stuck) {
                out.cancel_push(a.id, number);
            }
            self.route(now, place, out);
        } else {
            let until = if now < half { half } else { soft_at };
            let next = if now < soft_at { until.min(now + (now - at).max(20)) } else { twice };
            out.set_timer(next, a.id << 4 | number as u64);
        }
    }

    /// Ends the access at once: a decline where it may be said that a further try is harmless.
    pub(super) fn finish(&mut self, place: usize, why: UnservedReason, out: &mut dyn EffectSink) {
        let h = &self.held[place];
        let harmless = match self.repeat_policy(&h.access) {
            RepeatPolicy::Idempotent | RepeatPolicy::Deduplicated { within: Group::All, .. } => true,
            _ => h.sent.iter().all(|s| s.ended.is_some_and(Outcome::proves_unrun)),
        };
        if harmless {
            // No advice to stay away goes with it, though clients might heed it: their own waits spread them,
            // and whoever comes back later finds less of the soft limit left.
            out.decline(h.access.id, why);
        } else {
            out.give_up(h.access.id, why);
        }
        self.close(place, out);
        self.tidy(place);
    }

    pub(super) fn close(&mut self, place: usize, out: &mut dyn EffectSink) {
        let h = &mut self.held[place];
        h.done = true;
        if self.may.cancel_pushes
            && self.classes[h.access.offering].of.repeat_policy == RepeatPolicy::Idempotent
        {
            let out_still = (0..h.sent.len()).filter(|&n| h.sent[n].ended.is_none());
            out_still.for_each(|n| out.cancel_push(h.access.id, n));
        }
    }

    pub(super) fn tidy(&mut self, place: usize) {
        let ended = |h: &&Held| h.done && h.sent.iter().all(|s| s.ended.is_some());
        if let Some(h) = self.held.get(place).filter(ended) {
            self.places.remove(&h.access.id);
            self.held.remove(place);
        }
    }

    pub fn timer_fired(&mut self, now: Ticks, key: u64, out: &mut dyn EffectSink) {
        if key == u64::MAX {
            return out.request_member_list();
        }
        let Some(&place) = self.places.get(&(key >> 4)) else { return };
        let (h, number) = (&self.held[place], (key & 15) as usize);
        if !h.done && h.sent.get(number).is_some_and(|s| s.ended.is_none()) {
            self.overdue(now, place, number, out);
        } else if !h.done && number == h.sent.len() && h.sent.iter().all(|s| s.ended.is_some()) {
            self.route(now, place, out); // it has waited for a way
        }
    }

    pub fn client_left(&mut self, id: AccessId, out: &mut dyn EffectSink) {
        let Some(&place) = self.places.get(&id) else { return };
        self.close(place, out);
        self.tidy(place);
    }

    /// A stream has started, and is the client's from now on.
    pub fn stream_started(&mut self, id: AccessId) {
        self.places.get(&id).into_iter().for_each(|&place| self.held[place].done = true);
    }

    /// The front ends by then: no attempt is to begin, nor wait, past it.
    pub fn set_shutdown_deadline(&mut self, at: Ticks) {
        self.end_by = at;
        self.held.iter_mut().for_each(|(_, h)| h.access.deadline = h.access.deadline.min(at));
    }

    /// The front is about to stop: what is still open ends now.
    pub fn stop(&mut self, out: &mut dyn EffectSink) {
        let open: Vec<_> = self.held.iter().filter(|(_, h)| !h.done).map(|(place, _)| place).collect();
        open.into_iter().for_each(|place| self.finish(place, UnservedReason::FrontEnds, out));
    }
}
