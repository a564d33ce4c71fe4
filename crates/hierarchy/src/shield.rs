//! A front's rate limit on fills that reach the archive, directly or through parents.
//!
//! **One budget.** A miss reaches the archive when the archive is named as the source, when an access goes straight to
//! it, and through a parent that lacks the object. The last case is not known when the push goes out. So the shield
//! estimates, for each parent, the probability that a fill from it reaches the archive, learned from responses that
//! report who filled them, and a push takes that probability out of the budget; for an object that has just moved to
//! its home it takes a full fill. The response corrects the reservation.
//!
//! **Its size.** Fronts share no state, so each limits its own part: a little above its average rate
//! (`average_rate`), times a factor (`rate_factor`) that falls and rises by whether the archive responds in time, as
//! the limits of the decision module (`doorgrade`) do. So a change of shape can raise the load by a quarter, not
//! several times. If demand really rises, the limit follows by a quarter each half minute, and the highest average of
//! the last hours is not forgotten at once (`peak_rate`). Until a front has learned its average it uses an initial
//! rate.
//!
//! **Over budget.** Other fills may be served only by members that hold a copy. If none does, the access waits for
//! budget, provided that its turn comes within its soft limit and behind those already queued; else it is declined at
//! once.

use doorgrade::Ticks;
use rustc_hash::FxHashMap;

/// The rate limit in terms of the average rate. A reshuffle of objects may raise the archive's busiest second by
/// half at most: a quarter here leaves the other quarter for chance and for what other fronts misjudge.
const RATE_HEADROOM: f64 = 1.25;
/// Ticks: half a minute. Longer than the bursts of a handover, shorter than the daily rise of demand.
const AVERAGE_TIME_CONSTANT: f64 = 300_000.0;
/// Ticks: two hours. The peak of the average fades slowly, so that a lull does not lower the limit for the next rise.
const PEAK_TIME_CONSTANT: f64 = 72_000_000.0;
/// Fills a second of a zone, until its fronts have learned their average: the decision module's initial limit of
/// twenty pushes.
const INITIAL_RATE: f64 = 20.0;
/// Ticks: a fifth of a second. A front may save up this much budget, since fills come in clumps and the archive's
/// busiest second is what counts.
const BURST_TIME: f64 = 2_000.0;
/// Fills a second of a zone, however low the average: as the decision module's limits, which are two at least.
const MIN_RATE: f64 = 2.0;
/// As the decision module's limits: a tenth less for each late or failed fill, a hundredth more for each in time.
const RATE_DECREASE: f64 = 0.9;
const RATE_INCREASE: f64 = 0.01;
const MIN_RATE_FACTOR: f64 = 0.05;
/// The weight of one response in a parent's probability: an average over some dozens of responses, since the
/// probability shifts with what the parent holds.
const LEARNING_RATE: f64 = 1.0 / 32.0;
/// Used for a parent until its responses are known: half of its fills reach the archive.
const INITIAL_PROBABILITY: f64 = 0.5;

const TICKS_PER_SECOND: f64 = 10_000.0;

/// Whether a fill may go out now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    Admit,
    /// The budget will suffice at this time.
    WaitUntil(Ticks),
    /// The budget will not suffice in time.
    Reject,
}

/// Whether a fill reached the archive, and how the archive responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArchiveOutcome {
    /// It reached the archive, which responded in time.
    InTime,
    /// It reached the archive, which responded late.
    Late,
    /// It reached the archive, which refused it or broke off.
    Failed,
    /// It did not reach the archive.
    NotAsked,
    /// It is not known whether it reached the archive.
    Unknown,
}

#[derive(Clone, Debug)]
pub struct Shield {
    zone_fronts: f64,
    /// Fills a second: an exponential moving average.
    average_rate: f64,
    /// The highest average rate, fading.
    peak_rate: f64,
    /// How much of its time the average has seen, from 0 to 1.
    average_coverage: f64,
    averaged_at: Ticks,
    /// Applied to the rate limit: less than 1 while the archive fails or responds late.
    rate_factor: f64,
    /// Fills that may be sent at once: the tokens of a token bucket. Negative after more was sent than allowed.
    budget: f64,
    refilled_at: Ticks,
    /// The sum of the probabilities of all accesses that wait.
    queued: f64,
    /// By the key of a parent: how likely a fill from it reaches the archive.
    archive_probability: FxHashMap<u64, f64>,
    max_parents: usize,
    /// Reservations made so far.
    pub sent: u64,
    /// How often a fill had to wait or was rejected so far.
    pub held_back: u64,
}

impl Shield {
    /// For one of the `zone_fronts` fronts of a zone.
    pub fn new(zone_fronts: u32, now: Ticks) -> Shield {
        let zone_fronts = f64::from(zone_fronts.max(1));
        let mut shield = Shield {
            zone_fronts,
            average_rate: 0.0,
            peak_rate: 0.0,
            average_coverage: 0.0,
            averaged_at: now,
            rate_factor: 1.0,
            budget: 0.0,
            refilled_at: now,
            queued: 0.0,
            archive_probability: FxHashMap::default(),
            max_parents: 1024,
            sent: 0,
            held_back: 0,
        };
        shield.budget = shield.max_budget();
        shield
    }

    /// Fills a second.
    pub fn rate_limit(&self) -> f64 {
        let initial = INITIAL_RATE / self.zone_fronts;
        // The initial rate is used for the part of the average's time that has not been seen yet.
        let average = self.average_rate + (1.0 - self.average_coverage) * initial;
        (RATE_HEADROOM * average.max(self.peak_rate)).max(MIN_RATE / self.zone_fronts) * self.rate_factor
    }

    fn max_budget(&self) -> f64 {
        // At least one fill, or a small budget would never admit any.
        (self.rate_limit() * BURST_TIME / TICKS_PER_SECOND).max(1.0)
    }

    /// Refills the budget and ages the averages up to `now`.
    fn advance(&mut self, now: Ticks) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        self.budget = (self.budget + elapsed * self.rate_limit() / TICKS_PER_SECOND).min(self.max_budget());
        self.refilled_at = self.refilled_at.max(now);
        let elapsed = now.saturating_sub(self.averaged_at) as f64;
        let decay = (-elapsed / AVERAGE_TIME_CONSTANT).exp();
        self.average_rate *= decay;
        self.average_coverage = 1.0 - (1.0 - self.average_coverage) * decay;
        // An average over less than its time constant is mostly noise: it sets no peak yet.
        let candidate = if self.average_coverage > 0.8 { self.average_rate } else { 0.0 };
        self.peak_rate = (self.peak_rate * (-elapsed / PEAK_TIME_CONSTANT).exp()).max(candidate);
        self.averaged_at = self.averaged_at.max(now);
    }

    /// How likely a fill from this parent reaches the archive.
    pub fn archive_probability(&self, parent: u64) -> f64 {
        self.archive_probability.get(&parent).copied().unwrap_or(INITIAL_PROBABILITY)
    }

    /// Whether a fill that reaches the archive with this probability may go out now, for an access that can wait
    /// until `soft_limit_at`. One that has waited (`queued`) goes before those that still wait, another behind them.
    pub fn admit(&mut self, now: Ticks, probability: f64, soft_limit_at: Ticks, queued: bool) -> Admission {
        self.advance(now);
        let ahead = if queued { 0.0 } else { self.queued };
        // The tolerance covers rounding errors in a sum of probabilities.
        if self.budget - ahead + 1e-6 >= probability.min(self.max_budget()) || probability <= 0.0 {
            return Admission::Admit;
        }
        self.held_back += 1;
        let per_tick = self.rate_limit() / TICKS_PER_SECOND;
        let wait = (probability - self.budget + ahead) / per_tick;
        let at = now + wait.clamp(1.0, 1e12) as Ticks;
        if at < soft_limit_at { Admission::WaitUntil(at) } else { Admission::Reject }
    }

    /// An access begins to wait for a fill of this probability.
    pub fn enqueue(&mut self, probability: f64) {
        self.queued += probability;
    }

    /// An access no longer waits for a fill of this probability.
    pub fn dequeue(&mut self, probability: f64) {
        self.queued = (self.queued - probability).max(0.0);
    }

    /// A push has gone out that reaches the archive with this probability.
    pub fn reserve(&mut self, now: Ticks, probability: f64) {
        self.advance(now);
        self.sent += 1;
        // Bounded below by one burst: pushes sent over budget must not block others for long.
        self.budget = (self.budget - probability).max(-self.max_budget());
    }

    /// A push has ended: corrects its reservation by what is now known, and learns from it.
    pub fn settle(&mut self, now: Ticks, parent: Option<u64>, reserved: f64, outcome: ArchiveOutcome) {
        self.advance(now);
        let reached = match outcome {
            ArchiveOutcome::NotAsked => 0.0,
            ArchiveOutcome::Unknown => reserved,
            ArchiveOutcome::InTime | ArchiveOutcome::Late | ArchiveOutcome::Failed => 1.0,
        };
        self.budget = (self.budget + reserved - reached).clamp(-self.max_budget(), self.max_budget());
        self.average_rate += reached * TICKS_PER_SECOND / AVERAGE_TIME_CONSTANT;
        match outcome {
            ArchiveOutcome::Late | ArchiveOutcome::Failed => {
                self.rate_factor = (self.rate_factor * RATE_DECREASE).max(MIN_RATE_FACTOR);
            }
            ArchiveOutcome::InTime => self.rate_factor = (self.rate_factor + RATE_INCREASE).min(1.0),
            ArchiveOutcome::NotAsked | ArchiveOutcome::Unknown => {}
        }
        if let Some(parent) = parent.filter(|_| outcome != ArchiveOutcome::Unknown) {
            if self.archive_probability.len() >= self.max_parents
                && !self.archive_probability.contains_key(&parent)
            {
                self.archive_probability.clear();
            }
            let probability = self.archive_probability.entry(parent).or_insert(INITIAL_PROBABILITY);
            *probability += (reached - *probability) * LEARNING_RATE;
        }
    }
}
