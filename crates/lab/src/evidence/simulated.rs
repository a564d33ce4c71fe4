//! A trial in virtual time: an arm and a control group of simulated fronts that report each half second, with what may
//! befall them. Also included by the tests of `doorgrade-versions`.

use doorgrade_versions::evidence::{Comparison, Counts, FrontKey, FrontSample, TestSettings, Verdict};
use fastrand::Rng;

/// Accesses that a front ends in one report interval of 0.5 s, at 930 a second.
pub const ASKED: f64 = 465.0;
/// Accesses of a baseline of half a minute.
pub const BASELINE: u64 = 27_900;

/// Intervals that a storm takes, 3 s: it comes on while there is no verdict yet.
const STORM: std::ops::Range<usize> = 1..7;

/// What befalls both groups while the trial is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Storm {
    None,
    /// All fronts answer 20 to 60% less for 3 s, each another share.
    Everywhere,
    /// The fronts of one station answer half for 3 s.
    Station,
    /// As `Station`, and the control group has no front there.
    StationWithoutControl,
}

/// One front of the arm that does not tell the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liar {
    None,
    AnswersNothing,
    AnswersAll,
    /// A billion accesses, none answered.
    HugeNothing,
    /// As many, all answered.
    HugeAll,
}

#[derive(Clone, Copy, Debug)]
pub struct Trial {
    pub arm: usize,
    pub control: usize,
    pub stations: usize,
    /// Of the answered share, in the arm, from its first interval.
    pub drop: f64,
    /// Standard deviation of what a front's share strays from its baseline for the whole trial.
    pub drift: f64,
    /// Standard deviation of what it strays in one interval.
    pub jitter: f64,
    pub baseline: u64,
    pub storm: Storm,
    pub liar: Liar,
    pub intervals: usize,
}

/// Four canaries beside sixteen, ten seconds.
pub const CANARY: Trial = Trial {
    arm: 4,
    control: 16,
    stations: 44,
    drop: 0.0,
    drift: 0.002,
    jitter: 0.005,
    baseline: BASELINE,
    storm: Storm::None,
    liar: Liar::None,
    intervals: 20,
};

/// A tenth of 1,000 fronts beside another.
pub const WIDE: Trial = Trial { arm: 100, control: 100, ..CANARY };

pub type Reports = Vec<(FrontKey, FrontSample)>;

struct Front {
    station: usize,
    share: f64,
    pace: f64,
    baseline: Counts,
    /// What a storm everywhere leaves it.
    left: f64,
}

/// Normal, mean 0 and deviation 1 (Box and Muller).
fn normal(rng: &mut Rng) -> f64 {
    let (u, v) = (1.0 - rng.f64(), rng.f64());
    (-2.0 * u.ln()).sqrt() * (v * std::f64::consts::TAU).cos()
}

/// How many of `n` come out with probability `p`: counted by the gaps between the rarer ones, or normal where many are rare.
fn binomial(rng: &mut Rng, n: u64, p: f64) -> u64 {
    if p > 0.5 {
        return n - binomial(rng, n, 1.0 - p);
    }
    let mean = n as f64 * p;
    if p <= 0.0 {
        return 0;
    }
    if mean > 60.0 {
        let drawn = mean + (mean * (1.0 - p)).sqrt() * normal(rng);
        return drawn.round().clamp(0.0, n as f64) as u64;
    }
    let (mut at, mut count) = (0.0, 0);
    loop {
        at += ((1.0 - rng.f64()).ln() / (1.0 - p).ln()).floor() + 1.0;
        if at > n as f64 {
            return count;
        }
        count += 1;
    }
}

fn front(rng: &mut Rng, trial: &Trial, station: usize) -> Front {
    let own = (0.97 + 0.015 * normal(rng)).clamp(0.85, 0.998);
    let baseline = Counts { accesses: trial.baseline, answered: binomial(rng, trial.baseline, own) };
    let share = own + trial.drift * normal(rng);
    Front { station, share, pace: 0.5 + rng.f64(), baseline, left: 0.4 + 0.4 * rng.f64() }
}

fn lie(liar: Liar, counts: Counts) -> Counts {
    const HUGE: u64 = 1_000_000_000;
    match liar {
        Liar::None => counts,
        Liar::AnswersNothing => Counts { answered: 0, ..counts },
        Liar::AnswersAll => Counts { answered: counts.accesses, ..counts },
        Liar::HugeNothing => Counts { accesses: HUGE, answered: 0 },
        Liar::HugeAll => Counts { accesses: HUGE, answered: HUGE },
    }
}

impl Trial {
    /// What the arm and the control group report at each interval, in order, until `done` says that it is enough.
    pub fn reports(&self, seed: u64, mut done: impl FnMut(usize, &Reports, &Reports) -> bool) {
        let rng = &mut Rng::with_seed(seed);
        let arm: Vec<Front> = (0..self.arm).map(|n| front(rng, self, n % self.stations)).collect();
        // The control group's stations are the arm's, in turn.
        let places = self.arm.min(self.stations);
        let control: Vec<Front> = (0..self.control).map(|n| front(rng, self, n % places)).collect();
        let struck = rng.usize(..places);
        for interval in 0..self.intervals {
            let mut report = |fronts: &[Front], is_arm: bool| -> Reports {
                let each = fronts.iter().enumerate().map(|(key, f)| {
                    let counts = self.counts(rng, f, self.left(f, interval, struck, is_arm), is_arm);
                    let liar = if is_arm && key == 0 { self.liar } else { Liar::None };
                    (key, FrontSample { counts: lie(liar, counts), baseline: f.baseline })
                });
                each.collect()
            };
            let (arm, control) = (report(&arm, true), report(&control, false));
            if done(interval, &arm, &control) {
                return;
            }
        }
    }

    /// Share of its answers that a storm leaves a front.
    fn left(&self, f: &Front, interval: usize, struck: usize, is_arm: bool) -> f64 {
        let stormy = STORM.contains(&interval);
        match self.storm {
            Storm::Everywhere if stormy => f.left,
            Storm::Station if stormy && f.station == struck => 0.5,
            Storm::StationWithoutControl if stormy && is_arm && f.station == struck => 0.5,
            _ => 1.0,
        }
    }

    fn counts(&self, rng: &mut Rng, f: &Front, left: f64, is_arm: bool) -> Counts {
        let asked = ASKED * f.pace;
        let asked = (asked + asked.sqrt() * normal(rng)).round().max(0.0) as u64;
        let drop = if is_arm { self.drop } else { 0.0 };
        let share = (f.share * left * (1.0 - drop) + self.jitter * normal(rng)).clamp(0.0, 1.0);
        Counts { accesses: asked, answered: binomial(rng, asked, share) }
    }

    /// The verdict at each look, in order, until `done` says that it is enough.
    pub fn play(&self, settings: TestSettings, seed: u64, mut done: impl FnMut(usize, Verdict) -> bool) {
        let mut comparison = Comparison::new(settings);
        self.reports(seed, |interval, arm, control| {
            comparison.observe(arm, control);
            done(interval, comparison.verdict())
        });
    }

    /// Where it ends if whoever runs the trial stops at the first verdict.
    pub fn first_verdict(&self, settings: TestSettings, seed: u64) -> (Verdict, usize) {
        let mut last = (Verdict::Undecided { accesses: 0 }, 0);
        self.play(settings, seed, |interval, verdict| {
            last = (verdict, interval + 1);
            !matches!(verdict, Verdict::Undecided { .. })
        });
        last
    }

    /// Whether it is called harmful at any look, also after it was called harmless.
    pub fn ever_harmful(&self, settings: TestSettings, seed: u64) -> bool {
        let mut harmful = false;
        self.play(settings, seed, |_, verdict| {
            harmful = matches!(verdict, Verdict::Harmful { .. });
            harmful
        });
        harmful
    }
}
