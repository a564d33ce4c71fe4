//! What a front may send the archive, by whatever way, and what becomes of the rest.
//!
//! **One account.** A miss reaches the archive when it is named as the source, when an access goes straight to
//! it, and behind a parent that lacks the object. The last is not seen when the push goes out, so each parent has
//! a likelihood, learned from answers that tell who filled them, and a push is booked at its likelihood; an
//! object that has just moved to its home is booked in full. When the answer comes the booking is made good.
//!
//! **Its size.** Fronts share nothing, so each keeps to its own part: a little more a second than what it sent in
//! ordinary times (`usual`), in whatever measure the archive took that in time (`keeps`), as the module's own
//! limits go. A change of shape can so raise the load by a quarter, not several times; a true rise of the demand
//! is followed, by a quarter each half minute, and what was usual in the last hours is not forgotten at once
//! (`crest`). Until a front has learned what is usual it has a starting guess.
//!
//! **The rest** is asked for only of those who hold a copy. Where none does, an access waits for the account while
//! that ends within its soft limit and the queue of those before it is short; else it is declined at once.

use doorgrade::Ticks;
use rustc_hash::FxHashMap;

/// The account of one second, in terms of what is usual: a reshuffle is to raise the archive's busiest second by
/// half at most. A quarter leaves as much for chance and for what other fronts misjudge.
const OVER_USUAL: f64 = 1.25;
/// What is usual is an average over half a minute: longer than a hand-over's bursts, shorter than a day's rise.
const USUAL_OVER: f64 = 300_000.0;
/// A lull must not cost the next rise its account: the crest of what was usual fades over two hours.
const CREST_OVER: f64 = 72_000_000.0;
/// A zone's guess before its fronts know better, in fills a second: the module's starting limit of twenty pushes.
const START: f64 = 20.0;
/// A front may save up a fifth of a second's account: fills come in clumps, and the busiest second counts.
const BURST: f64 = 2_000.0;
/// Of a zone, in fills a second, however little is usual: as the module's limits, which are two at least.
const FLOOR: f64 = 2.0;
/// As the module's limits: a tenth less for each late or refused fill, a hundredth more for each in time.
const FALL: f64 = 0.9;
const RAISE: f64 = 0.01;
const LEAST: f64 = 0.05;
/// Learned from some dozens of answers: a parent's likelihood shifts with what it holds.
const LEARN: f64 = 1.0 / 32.0;
/// Until a parent's answers tell: half of its fills go on.
const UNTOLD: f64 = 0.5;

const SECOND: f64 = 10_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Go,
    /// There will be room at this time.
    Wait(Ticks),
    /// Nobody can say when, or it is too far off.
    No,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// The archive was asked and answered in time.
    FromArchive,
    /// It was asked and answered late.
    Late,
    /// It refused, or broke off.
    Refused,
    /// It was not asked.
    FromElsewhere,
    /// Nobody knows.
    Untold,
}

#[derive(Clone, Debug)]
pub struct Shield {
    crew: f64,
    /// Fills a second; an average that fades.
    usual: f64,
    crest: f64,
    learned: f64,
    counted_at: Ticks,
    keeps: f64,
    /// What may be sent at once.
    room: f64,
    at: Ticks,
    /// Accesses that wait, in fills.
    waiting: f64,
    likelihood: FxHashMap<u64, f64>,
    most_parents: usize,
    pub sent: u64,
    pub held_back: u64,
}

impl Shield {
    /// For one of a station's `crew` fronts.
    pub fn new(crew: u32, now: Ticks) -> Shield {
        let crew = f64::from(crew.max(1));
        let mut shield = Shield {
            crew,
            usual: 0.0,
            crest: 0.0,
            learned: 0.0,
            counted_at: now,
            keeps: 1.0,
            room: 0.0,
            at: now,
            waiting: 0.0,
            likelihood: FxHashMap::default(),
            most_parents: 1024,
            sent: 0,
            held_back: 0,
        };
        shield.room = shield.most();
        shield
    }

    /// Fills a second.
    pub fn account(&self) -> f64 {
        let guess = START / self.crew;
        // While half a minute is not yet seen, the guess fills in for the rest of it.
        let usual = self.usual + (1.0 - self.learned) * guess;
        (OVER_USUAL * usual.max(self.crest)).max(FLOOR / self.crew) * self.keeps
    }

    fn most(&self) -> f64 {
        // One fill at the least, or a small account would never let any go.
        (self.account() * BURST / SECOND).max(1.0)
    }

    fn pass(&mut self, now: Ticks) {
        let gone = now.saturating_sub(self.at) as f64;
        self.room = (self.room + gone * self.account() / SECOND).min(self.most());
        self.at = self.at.max(now);
        let gone = now.saturating_sub(self.counted_at) as f64;
        let fades = (-gone / USUAL_OVER).exp();
        self.usual *= fades;
        self.learned = 1.0 - (1.0 - self.learned) * fades;
        // An average over less than its time is chance: it makes no crest yet.
        let risen = if self.learned > 0.8 { self.usual } else { 0.0 };
        self.crest = (self.crest * (-gone / CREST_OVER).exp()).max(risen);
        self.counted_at = self.counted_at.max(now);
    }

    /// How likely a fill from this parent reaches the archive.
    pub fn likelihood(&self, parent: u64) -> f64 {
        self.likelihood.get(&parent).copied().unwrap_or(UNTOLD)
    }

    /// Whether a fill of this likelihood may go now, for an access that can wait until `until`. One whose turn
    /// has come (`queued`) goes before those that wait; another goes behind them.
    pub fn ask(&mut self, now: Ticks, likelihood: f64, until: Ticks, queued: bool) -> Verdict {
        self.pass(now);
        let ahead = if queued { 0.0 } else { self.waiting };
        // A sum of parts may fall short by what floating point drops.
        if self.room - ahead + 1e-6 >= likelihood.min(self.most()) || likelihood <= 0.0 {
            return Verdict::Go;
        }
        self.held_back += 1;
        let per_tenth = self.account() / SECOND;
        let wait = (likelihood - self.room + ahead) / per_tenth;
        let at = now + wait.clamp(1.0, 1e12) as Ticks;
        if at < until { Verdict::Wait(at) } else { Verdict::No }
    }

    /// An access has begun, or ended, to wait for a fill of this likelihood.
    pub fn waits(&mut self, likelihood: f64) {
        self.waiting += likelihood;
    }

    pub fn waited(&mut self, likelihood: f64) {
        self.waiting = (self.waiting - likelihood).max(0.0);
    }

    /// A push has gone out that reaches the archive with this likelihood.
    pub fn book(&mut self, now: Ticks, likelihood: f64) {
        self.pass(now);
        self.sent += 1;
        // No deeper than a burst: what was sent all the same must not shut the account for long.
        self.room = (self.room - likelihood).max(-self.most());
    }

    /// It has ended: what was booked is made good, and all is learned from it that it tells.
    pub fn ended(&mut self, now: Ticks, parent: Option<u64>, booked: f64, came: Came) {
        self.pass(now);
        let reached = match came {
            Came::FromElsewhere => 0.0,
            Came::Untold => booked,
            Came::FromArchive | Came::Late | Came::Refused => 1.0,
        };
        self.room = (self.room + booked - reached).clamp(-self.most(), self.most());
        self.usual += reached * SECOND / USUAL_OVER;
        match came {
            Came::Late | Came::Refused => self.keeps = (self.keeps * FALL).max(LEAST),
            Came::FromArchive => self.keeps = (self.keeps + RAISE).min(1.0),
            Came::FromElsewhere | Came::Untold => {}
        }
        if let Some(parent) = parent.filter(|_| came != Came::Untold) {
            if self.likelihood.len() >= self.most_parents && !self.likelihood.contains_key(&parent) {
                self.likelihood.clear();
            }
            let known = self.likelihood.entry(parent).or_insert(UNTOLD);
            *known += (reached - *known) * LEARN;
        }
    }
}
