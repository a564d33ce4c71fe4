//! Who is ill, and how much each may be sent.

use super::*;

impl Front {
    /// Of one push in a member's share of bad ones: the last dozen or two count.
    pub(super) const MARK: f64 = 1.0 / 16.0;
    /// How long a member is left alone at first (some round trips, a reconnect), and at the most.
    pub(super) const HOLDS: [Ticks; 2] = [2_500, 10_000];
    /// Limits follow what is answered in time: each answer in time while half is in use raises it by a tenth
    /// over the crew, each late push lowers it by a tenth. They are this front's part of the zone's, which is
    /// two at least. A late fill says less of its cache, the more fronts share the link.
    pub(super) const RAISE: f64 = 0.1;
    pub(super) const FALL: f64 = 0.9;
    /// While fewer of the answered pushes are late, limits rise four times as fast.
    pub(super) const QUICK: f64 = 0.002;

    pub(super) fn lower(&mut self, c: usize, filled: bool) {
        let fall = if filled { Self::FALL.powf(1.0 / self.crew.sqrt()) } else { Self::FALL };
        self.peers[c].limit = (self.peers[c].limit * fall).max(2.0 / self.crew);
    }

    pub(super) fn used(&self, now: Ticks, c: usize) -> f64 {
        self.peers[c].out.mean(now, self.over) / self.peers[c].limit
    }

    pub(super) fn judge(
        &mut self,
        now: Ticks,
        place: usize,
        to: (usize, usize),
        e: &PushResult,
        out: &mut dyn EffectSink,
    ) {
        let (cache, source) = to;
        let h = &mut self.held[place];
        let (a, at) = (h.access, h.sent[e.push].at);
        let late = now + h.sent[0].at > h.soft_at + at;
        let sent = &mut h.sent[e.push];
        match e.outcome {
            Outcome::Handled => {
                let in_time = now <= h.soft_at;
                let raise = if self.late < Self::QUICK { 4.0 } else { 1.0 } * Self::RAISE / self.crew;
                self.lost -= self.lost / 32.0;
                self.late += (f64::from(u8::from(late)) - self.late) / 32.0;
                let filled = matches!(e.cache_status, CacheStatus::Filled | CacheStatus::FilledByOrigin);
                // An answer says how old its copy is, whoever filled it: a restarted front learns it at once.
                // Clocks differ: what is off by more than the threshold's width, later than now or older than
                // what was asked for, counts as untold; less moves a renewal by as much.
                let fresh = self.classes[a.offering].of.fresh_time;
                let off = (Self::BETA * fresh as f64) as Ticks;
                let made =
                    e.origin_sent_at.filter(|&m| m <= now + off && at <= m + fresh + off).map(|m| m.min(now));
                let known = made.or(filled.then_some(now));
                if let Some((fill, known)) = self.fills.get_mut(&(a.object, a.part)).zip(known) {
                    fill.at = known;
                }
                let class = &mut self.classes[a.offering];
                class.patience = (class.patience * if sent.overdue { 1.02 } else { 0.999 }).clamp(0.5, 2.0);
                if a.kb == 0.0 || self.flow == 0.0 {
                    class.mean += (e.latency as f64 - class.mean) / 64.0;
                }
                if in_time && sent.fill && self.filling.mean(now, self.over) >= 0.5 * self.fill_limit {
                    self.fill_limit += raise;
                }
                let mean = class.mean;
                let meant = filled || sent.fill && self.notes != StatusReporting::All;
                for c in hops(to) {
                    let busy = self.used(now, c) >= 0.5;
                    let p = &mut self.peers[c];
                    p.answered = if meant { now } else { p.answered };
                    p.carries.count(now, Self::RATE_OVER, if c == cache || meant { mean } else { 0.0 });
                    p.limit += if in_time && busy { raise } else { 0.0 };
                }
                self.praise(now, cache);
                if source != cache && (filled || self.notes != StatusReporting::All) {
                    self.praise(now, source);
                }
            }
            Outcome::TimedOut => self.lost += (1.0 - self.lost) / 32.0,
            Outcome::Withdrawn | Outcome::NeverSent => {}
            // Connections may break everywhere alike; only one that can't be made means a dead member.
            Outcome::Broken => self.mark(now, cache, 4.0 * Self::MARK, out),
            Outcome::Unreachable => {
                self.peers[cache].hush = u32::MAX;
                self.mark(now, cache, 0.6, out);
            }
            Outcome::Error | Outcome::Full | Outcome::Miss => {
                let origin = source != cache && self.peers[source].role == Role::Origin;
                match e.cache_status {
                    // The origin refuses behind all parents alike until asked less: fills fall to a few.
                    n if n == CacheStatus::OriginFailed || n == CacheStatus::SourceRefused && origin => {
                        self.fill_limit = (self.fill_limit * Self::FALL).max(4.0 / self.crew);
                        self.refused_at = now;
                    }
                    CacheStatus::SourceRefused | CacheStatus::SourceLost if source != cache => {
                        sent.source_failed = true;
                        self.mark(now, source, 2.0 * Self::MARK, out);
                    }
                    CacheStatus::SourceLacks | CacheStatus::NoFillPlace => {}
                    // Failed by two caches, the access itself is at fault, and goes no further.
                    _ if e.outcome == Outcome::Error && h.failed_twice() => {}
                    // A refusal may be the source's, too, where that isn't told and one was named.
                    _ if e.outcome == Outcome::Error
                        || e.outcome == Outcome::Full
                            && source != cache
                            && self.notes != StatusReporting::All =>
                    {
                        hops(to).for_each(|c| self.mark(now, c, 2.0 * Self::MARK, out));
                    }
                    _ if e.outcome == Outcome::Full => self.lower(cache, false),
                    _ => {}
                }
            }
        }
    }

    pub(super) fn well(&self, now: Ticks, c: usize) -> bool {
        let p = &self.peers[c];
        p.held_until <= now && (p.trial == 0 || p.out.count == 0.0)
    }

    /// A push naming this member went wrong, or is overdue. Which hop was at fault is seldom told, so every
    /// one named is marked; the one at fault stands out, and is left alone a while, longer each time, then
    /// tried with one push at a time. Covers silent, slow, failing and lost members; a fast failer attracts
    /// nothing, and a recovered one is found again. May hurt where over half of a role is ill.
    pub(super) fn mark(&mut self, now: Ticks, c: usize, weight: f64, out: &mut dyn EffectSink) {
        self.peers[c].bad += (1.0 - self.peers[c].bad) * weight;
        let p = &self.peers[c];
        if p.held_until > now {
            return;
        }
        // Chance alone does not get there; marks stay on a told source though it was a hit. Three prove one.
        let told = p.role != Role::Cache && self.notes == StatusReporting::All;
        if self.stands_out(now, c) > if told { 0.4 } else { 0.16 } {
            let trial = if p.role == Role::Cache { 1 } else { 3 };
            let p = &mut self.peers[c];
            out.log(format_args!("{:?} {} left alone for {} ms", p.role, p.id, p.held_for / 10));
            // Longer where this front asks rarely: a hold must spare some pushes to be worth a trial.
            (p.held_until, p.trial) = (now + (p.held_for as f64 * self.crew.sqrt()) as Ticks, trial);
            p.held_for = (p.held_for * 2).min(Self::HOLDS[1]);
        }
    }

    /// By how much a member's share of bad pushes is over twice that of the better half of its likes (caches
    /// of the zone; parents and origin) that answered lately: a kind, a cell or two parents struck at once
    /// don't hide each other, while a link or load that is bad for all makes nobody stand out.
    pub(super) fn stands_out(&self, now: Ticks, c: usize) -> f64 {
        let cache = self.peers[c].role == Role::Cache;
        let set = if cache { &self.caches } else { &self.parents };
        let likes = set.iter().copied().chain(self.origin.filter(|_| !cache)).filter(|&o| o != c);
        let lately = likes.map(|o| &self.peers[o]).filter(|p| p.carries.at + 20_000 > now);
        let mut theirs: ArrayVec<f64, 16> = lately.map(|p| p.bad).take(16).collect();
        theirs.sort_by(f64::total_cmp);
        let half = theirs.len().div_ceil(2);
        self.peers[c].bad - 2.0 * (theirs[..half].iter().sum::<f64>() / half.max(1) as f64).max(0.08)
    }

    /// Answers again. After a second of silence it is taken for just started, whatever the list says: a zone
    /// that comes back cold must not be asked for all at once. Costs one that only hung a slow return.
    pub(super) fn heard(&mut self, now: Ticks, c: usize) {
        let p = &mut self.peers[c];
        if p.hush >= 3 && p.answered + 10_000 < now {
            p.started = p.started.max(Some(now));
            self.begin(now, c);
        }
        let p = &mut self.peers[c];
        (p.answered, p.hush) = (now, 0);
    }

    pub(super) fn praise(&mut self, now: Ticks, c: usize) {
        let p = &mut self.peers[c];
        p.bad *= 1.0 - Self::MARK;
        if p.trial > 0 && p.held_until <= now {
            p.trial -= 1;
            p.bad = if p.trial == 0 { 0.0 } else { p.bad };
        }
        if p.bad < 0.02 && p.trial == 0 {
            p.held_for = Self::HOLDS[0].max(p.held_for - p.held_for / 16);
        }
        self.learn_usual(now, c);
    }
}
