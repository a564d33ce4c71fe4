//! Publication in waves, and when one stops.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Account, Do, Line, NotPublished, Rollout, Service, Stop, Tally, Ticks, Version, rank};
use crate::message::ToFront;
use crate::{Id, MOST_CONTENT, Reason};

impl Service {
    /// Whether anything may be published now.
    pub(super) fn may_publish(&self, bytes: usize, expects: u64) -> Result<(), NotPublished> {
        if let Some(by) = self.superseded {
            return Err(NotPublished::Superseded { by });
        }
        if let Some(trials) = &self.trials {
            return trials.may_publish(bytes);
        }
        if expects != self.last() {
            return Err(NotPublished::Expected { last: self.last() });
        }
        if let Some(r) = self.rollout.as_ref().filter(|r| r.stopped.is_none()) {
            return Err(NotPublished::UnderWay { id: r.id });
        }
        if bytes > MOST_CONTENT {
            return Err(NotPublished::TooLong(bytes));
        }
        Ok(())
    }

    /// A new version. `expects`: the last number that whoever publishes has seen.
    pub fn publish(
        &mut self,
        now: Ticks,
        content: Arc<[u8]>,
        note: &str,
        expects: u64,
        out: &mut Vec<Do>,
    ) -> Result<Id, NotPublished> {
        self.may_publish(content.len(), expects)?;
        if self.trials.is_some() {
            return self.publish_change(now, content, note, expects, out);
        }
        let id = Id::of(self.epoch, self.last() + 1, &content);
        if self.keys.seal(&id).is_none() {
            return Err(NotPublished::NoKey);
        }
        let version = Version { id, content, note: note.into(), at: now };
        out.push(Do::Store(version.clone()));
        self.versions.insert(id.number, version);
        self.first = self.first.min(id.number);
        let keeps = |n: &u64| Some(*n) == self.base || *n == id.number;
        while self.versions.len() > self.rules.history
            && let Some(oldest) = self.versions.keys().copied().find(|n| !keeps(n))
        {
            self.versions.remove(&oldest);
        }
        let (wave, tally) = (0, Tally::default());
        let canaries = self.canaries(id.number);
        let (answered, stopped, falling) = (None, None, None);
        let since = now;
        self.rollout = Some(Rollout { id, wave, since, answered, tally, canaries, stopped, falling });
        self.store_state(out);
        self.open_wave(now, out);
        Ok(id)
    }

    /// It could not be stored: whoever hears of this before anything of it was sent has never published it.
    pub fn withdraw(&mut self, id: Id) {
        if let Some(trials) = &mut self.trials {
            trials.withdraw(id.number);
            self.versions.remove(&id.number);
            return;
        }
        if self.rollout.as_ref().is_some_and(|r| r.id == id) {
            self.rollout = None;
            self.versions.remove(&id.number);
            for front in &mut self.fronts {
                front.offered = front.offered.filter(|o| o.0 != id);
                if front.account.0 == id.number {
                    (front.account, front.counted) = ((0, Account::Apart), false);
                }
            }
            self.awaited.retain(|a| a.2 != id);
        }
    }

    /// Back to an older content, as a new number: it goes to all at once that it may, which is who runs the bad one.
    pub fn roll_back(&mut self, now: Ticks, number: u64, out: &mut Vec<Do>) -> Result<Id, NotPublished> {
        let content = self.versions.get(&number).ok_or(NotPublished::NoSuchVersion)?.content.clone();
        if self.trials.is_some() {
            return self.roll_back_trials(now, number, content, out);
        }
        self.stop(Stop::ByHand, out);
        let note = format!("back to {number}");
        let id = self.publish(now, content, &note, self.last(), out)?;
        if let Some(r) = &mut self.rollout {
            // It was good before: no canary has to say so again.
            (r.wave, r.since) = (self.rules.shares.len(), now);
        }
        self.store_state(out);
        (0..self.fronts.len()).for_each(|at| self.offer(now, at, out));
        Ok(id)
    }

    pub fn stop(&mut self, why: Stop, out: &mut Vec<Do>) {
        if let Some(r) = self.rollout.as_mut().filter(|r| r.stopped.is_none()) {
            r.stopped = Some(why.clone());
            let id = r.id;
            out.push(Do::Tell(Line::Stopped { id, why }));
            self.store_state(out);
        }
    }

    /// Some connected fronts of different stations.
    fn canaries(&self, number: u64) -> BTreeSet<Box<str>> {
        let (mut chosen, mut stations) = (BTreeSet::new(), BTreeSet::new());
        let start = rank(&number.to_string());
        let ring = self.by_rank.range((start, 0)..).chain(self.by_rank.range(..(start, 0)));
        for (&(_, at), ()) in ring {
            if chosen.len() >= self.rules.canaries {
                break;
            }
            let front = &self.fronts[at];
            if front.conn.is_some() && stations.insert(&front.station) {
                chosen.insert(front.name.clone());
            }
        }
        chosen
    }

    /// Whether it is a front's turn to have the version that is being published.
    fn turn(&self, r: &Rollout, at: usize) -> bool {
        if r.canaries.contains(&self.fronts[at].name) {
            return true;
        }
        let Some(share) = r.wave.checked_sub(1).and_then(|w| self.rules.shares.get(w)) else {
            return r.wave > self.rules.shares.len();
        };
        let place = self.fronts[at].rank.wrapping_sub(rank(&r.id.number.to_string()));
        *share >= 1.0 || (place as f64) < share * u64::MAX as f64
    }

    /// The fronts whose turn a wave makes it: work for them alone.
    fn of_wave(&self, r: &Rollout) -> Vec<usize> {
        let Some(wave) = r.wave.checked_sub(1) else {
            return r.canaries.iter().filter_map(|name| self.by_name.get(name).copied()).collect();
        };
        let share = |w: usize| self.rules.shares.get(w).copied().unwrap_or(1.0);
        let before = wave.checked_sub(1).map_or(0.0, share);
        let start = rank(&r.id.number.to_string());
        let at = |share: f64| start.wrapping_add((share.min(1.0) * u64::MAX as f64) as u64);
        let (from, to) = (at(before), at(share(wave)));
        let ring: Vec<usize> = if from <= to && share(wave) - before < 1.0 {
            self.by_rank.range((from, 0)..(to, 0)).map(|(k, ())| k.1).collect()
        } else {
            let ends = self.by_rank.range((from, 0)..).chain(self.by_rank.range(..(to, 0)));
            ends.map(|(k, ())| k.1).collect()
        };
        ring
    }

    fn open_wave(&mut self, now: Ticks, out: &mut Vec<Do>) {
        let Some(r) = &self.rollout else { return };
        let fronts = self.of_wave(r);
        let (id, wave, of) = (r.id, r.wave, self.rules.shares.len());
        out.push(Do::Tell(Line::Wave { id, wave, of, fronts: fronts.len() }));
        for at in fronts {
            self.offer(now, at, out);
        }
        self.wake(now + self.rules.soak, out);
    }

    /// The mean service of all fronts that the publication has not gone to.
    pub(super) fn others(&self) -> Option<f64> {
        let served = &self.rollout.as_ref()?.tally.served;
        let count = self.serves.1.checked_sub(served.count).filter(|&c| c > 0)?;
        Some((self.serves.0 - served.now) / count as f64)
    }

    /// What a front is to have now.
    pub(super) fn goal(&self, at: usize) -> Option<Id> {
        if self.superseded.is_some() {
            return None;
        }
        if let Some(trials) = &self.trials {
            return trials.goal(at);
        }
        let base = self.base.and_then(|n| self.versions.get(&n)).map(|v| v.id);
        match &self.rollout {
            Some(r) if r.stopped.is_none() && self.turn(r, at) => Some(r.id),
            _ => base,
        }
    }

    pub(super) fn offer(&mut self, now: Ticks, at: usize, out: &mut Vec<Do>) {
        if self.trials.is_some() {
            return self.offer_trial(now, at, out);
        }
        let Some(goal) = self.goal(at) else { return };
        let front = &mut self.fronts[at];
        let Some(conn) = front.conn else { return };
        let has = front.runs.is_some_and(|r| r.place() >= goal.place());
        let asked = front.offered.is_some_and(|o| o.0 == goal);
        // What it ran it can't say; of what is published from now on nobody ran anything later.
        let unknown = front.runs.is_none() && self.listens.is_some() && goal.number < self.first;
        if has || asked || unknown {
            return;
        }
        front.offered = Some((goal, now));
        out.push(Do::Send(conn, ToFront::Offer { id: goal }));
        self.awaited.push_back((now + self.rules.answer_within, at, goal));
        self.account(at, goal, Account::Went);
    }

    /// A front counts differently from now on, if it is about the version that is being published.
    pub(super) fn account(&mut self, at: usize, id: Id, account: Account) {
        let others = self.others();
        let Some(r) = self.rollout.as_mut().filter(|r| r.id == id) else { return };
        let own = &mut self.fronts[at].account;
        let before = if own.0 == id.number { own.1 } else { Account::Apart };
        *own = (id.number, account);
        if before == account {
            return;
        }
        if before == Account::Apart {
            r.tally.went += 1;
            let serves = f64::from(self.fronts[at].serves);
            if !serves.is_nan() {
                let served = &mut r.tally.served;
                (served.before, served.now) = (served.before + serves, served.now + serves);
                served.count += 1;
                if let Some(mean) = others {
                    (served.others, served.beside) = (served.others + mean, served.beside + 1);
                }
            }
            self.fronts[at].counted = !serves.is_nan();
        }
        if let Some(count) = r.tally.count(before) {
            *count -= 1;
        }
        if let Some(count) = r.tally.count(account) {
            *count += 1;
        }
        if account == Account::Went {
            r.answered = None;
        }
    }

    /// Whether the publication goes on, or stops.
    pub(super) fn look(&mut self, now: Ticks, out: &mut Vec<Do>) {
        while let Some(&(by, at, id)) = self.awaited.front() {
            let front = &self.fronts[at];
            let waits = front.offered.is_some_and(|o| o.0 == id)
                && front.runs != Some(id)
                && front.turned_down.as_ref().is_none_or(|t| t.0 != id);
            if waits && by > now {
                break;
            }
            self.awaited.pop_front();
            // One that is on its way back has not answered either.
            let away = front.conn.is_none() && front.account == (id.number, Account::Went);
            if waits || away {
                self.account(at, id, Account::Missing);
            }
        }
        let Some(r) = self.rollout.as_ref().filter(|r| r.stopped.is_none()) else { return };
        let Tally { went, runs, refused, missing, .. } = r.tally;
        let of = went.max(1) as f64;
        if refused as f64 > self.rules.refused * of {
            let first = r.tally.first.clone().unwrap_or(Reason::Contradicts);
            return self.stop(Stop::Refused { count: refused, of: went, first }, out);
        }
        if missing as f64 > self.rules.missing * of {
            return self.stop(Stop::Missing { count: missing, of: went }, out);
        }
        // Reports come seconds apart, so a storm is heard of one front first and of the others later: a fall counts
        // once it has lasted for half the time that a wave is watched.
        let (dropped, lasts) = (self.dropped(), self.rules.soak / 2);
        if let Some(r) = &mut self.rollout {
            r.falling = dropped.is_some().then(|| r.falling.unwrap_or(now));
        }
        let falling = self.rollout.as_ref().and_then(|r| r.falling);
        if let Some(stop) = dropped.filter(|_| falling.is_some_and(|since| now >= since + lasts)) {
            return self.stop(stop, out);
        }
        // Somebody at least has to run it, or nothing is known of it.
        let answered = runs > 0 && runs + refused + missing >= went;
        let r = self.rollout.as_mut().filter(|_| answered);
        let Some(r) = r else { return };
        let since = *r.answered.get_or_insert(now);
        // The canaries are watched for as long as a change needs to show, also where there are none to be had.
        let soaked = now >= since + self.rules.soak && now >= r.since + self.rules.soak;
        if !soaked {
            let at = since.max(r.since) + self.rules.soak;
            return self.wake(at, out);
        }
        if let Some(since) = falling {
            return self.wake(since + lasts, out);
        }
        let Some(r) = &mut self.rollout else { return };
        if r.wave >= self.rules.shares.len() {
            let id = r.id;
            self.base = Some(id.number);
            self.rollout = None;
            self.store_state(out);
            out.push(Do::Tell(Line::Everywhere(id)));
        } else {
            (r.wave, r.since, r.answered) = (r.wave + 1, now, None);
            self.store_state(out);
            self.open_wave(now, out);
        }
    }

    /// By how much the service of those it went to has fallen, less what that of all others has fallen meanwhile; none
    /// where it may have.
    fn dropped(&self) -> Option<Stop> {
        let r = self.rollout.as_ref()?;
        let served = &r.tally.served;
        let mean = |sum: f64| sum / served.count.max(1) as f64;
        let (before, now) = (mean(served.before), mean(served.now));
        let beside = served.beside.max(1) as f64;
        let others =
            self.others().filter(|_| served.beside > 0).map_or(0.0, |now| now - served.others / beside);
        // If the others do better this one is not to blame for not doing so: only their fall counts.
        let fall = before - now + others.min(0.0);
        let thousandths = |share: f64| (1e3 * share).round();
        let stop = Stop::Dropped {
            from: thousandths(before) as u32,
            to: thousandths(now) as u32,
            others: thousandths(others) as i32,
        };
        (fall > self.rules.drop).then_some(stop)
    }
}
