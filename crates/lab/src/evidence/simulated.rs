//! A trial in virtual time: simulated fronts of an arm and of a control group report every half second, under disturbances
//! that a trial has to tolerate. The tests of `doorgrade-versions` include this file, too.

use doorgrade_versions::evidence::{Comparison, Counts, FrontKey, FrontSample, TestSettings, Verdict};
use fastrand::Rng;

/// Mean accesses of a front in a report interval of 0.5 s, at 930 a second.
pub const INTERVAL_ACCESSES: f64 = 465.0;
/// Accesses of a front in half a minute, which the baseline of its answered share is measured on.
pub const BASELINE_ACCESSES: u64 = 27_900;

/// The report intervals of a storm, which takes 3 s. It begins before there can be a verdict.
const STORM_INTERVALS: std::ops::Range<usize> = 1..7;

/// A temporary drop of the answered share that the change under trial does not cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Storm {
    None,
    /// All fronts answer 20 to 60% less for 3 s, each by a share of its own.
    Everywhere,
    /// The fronts of one station answer half as much for 3 s.
    Station,
    /// Like `Station`, but no front of the control group is affected.
    StationWithoutControl,
}

/// The false counts that one front of the arm reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liar {
    None,
    AnswersNothing,
    AnswersAll,
    /// A billion accesses, none answered.
    HugeNothing,
    /// A billion accesses, all answered.
    HugeAll,
}

#[derive(Clone, Copy, Debug)]
pub struct Trial {
    pub arm: usize,
    pub control: usize,
    pub stations: usize,
    /// The share by which the change lowers the answered share of the arm, from the first interval on.
    pub drop: f64,
    /// Standard deviation of the difference between a front's answered share during the trial and its baseline.
    pub drift: f64,
    /// Standard deviation of a front's answered share between intervals.
    pub jitter: f64,
    /// Accesses that each front's baseline is measured on.
    pub baseline: u64,
    pub storm: Storm,
    pub liar: Liar,
    pub intervals: usize,
}

/// Four canaries and a control group of sixteen fronts, for ten seconds.
pub const CANARY: Trial = Trial {
    arm: 4,
    control: 16,
    stations: 44,
    drop: 0.0,
    drift: 0.002,
    jitter: 0.005,
    baseline: BASELINE_ACCESSES,
    storm: Storm::None,
    liar: Liar::None,
    intervals: 20,
};

/// A tenth of 1,000 fronts, and a control group of the same size.
pub const WIDE: Trial = Trial { arm: 100, control: 100, ..CANARY };

pub type Reports = Vec<(FrontKey, FrontSample)>;

struct Front {
    station: usize,
    share: f64,
    /// Its access rate, relative to the mean.
    relative_rate: f64,
    baseline: Counts,
    /// The factor of its answered share during a storm everywhere.
    storm_factor: f64,
}

/// A standard normal variate, by the Box-Muller transform.
fn standard_normal(rng: &mut Rng) -> f64 {
    let (u, v) = (1.0 - rng.f64(), rng.f64());
    (-2.0 * u.ln()).sqrt() * (v * std::f64::consts::TAU).cos()
}

/// A binomial variate, from the geometric gaps between events, or by the normal approximation where there are many.
fn binomial(rng: &mut Rng, n: u64, p: f64) -> u64 {
    if p > 0.5 {
        return n - binomial(rng, n, 1.0 - p);
    }
    let mean = n as f64 * p;
    if p <= 0.0 {
        return 0;
    }
    if mean > 60.0 {
        let value = mean + (mean * (1.0 - p)).sqrt() * standard_normal(rng);
        return value.round().clamp(0.0, n as f64) as u64;
    }
    let (mut position, mut count) = (0.0, 0);
    loop {
        position += ((1.0 - rng.f64()).ln() / (1.0 - p).ln()).floor() + 1.0;
        if position > n as f64 {
            return count;
        }
        count += 1;
    }
}

fn front(rng: &mut Rng, trial: &Trial, station: usize) -> Front {
    let baseline_share = (0.97 + 0.015 * standard_normal(rng)).clamp(0.85, 0.998);
    let baseline =
        Counts { accesses: trial.baseline, answered: binomial(rng, trial.baseline, baseline_share) };
    let share = baseline_share + trial.drift * standard_normal(rng);
    Front { station, share, relative_rate: 0.5 + rng.f64(), baseline, storm_factor: 0.4 + 0.4 * rng.f64() }
}

/// The counts that a front reports instead of the true ones.
fn reported(liar: Liar, counts: Counts) -> Counts {
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
    /// Passes the reports of the arm and of the control group to `done`, interval by interval, until it returns true.
    pub fn reports(&self, seed: u64, mut done: impl FnMut(usize, &Reports, &Reports) -> bool) {
        let rng = &mut Rng::with_seed(seed);
        let arm: Vec<Front> = (0..self.arm).map(|n| front(rng, self, n % self.stations)).collect();
        // The control group's fronts are spread over the stations of the arm.
        let arm_stations = self.arm.min(self.stations);
        let control: Vec<Front> = (0..self.control).map(|n| front(rng, self, n % arm_stations)).collect();
        let storm_station = rng.usize(..arm_stations);
        for interval in 0..self.intervals {
            let mut report = |fronts: &[Front], is_arm: bool| -> Reports {
                let each = fronts.iter().enumerate().map(|(key, f)| {
                    let counts =
                        self.counts(rng, f, self.storm_factor(f, interval, storm_station, is_arm), is_arm);
                    let liar = if is_arm && key == 0 { self.liar } else { Liar::None };
                    (key, FrontSample { counts: reported(liar, counts), baseline: f.baseline })
                });
                each.collect()
            };
            let (arm, control) = (report(&arm, true), report(&control, false));
            if done(interval, &arm, &control) {
                return;
            }
        }
    }

    /// The factor of a front's answered share in an interval.
    fn storm_factor(&self, f: &Front, interval: usize, storm_station: usize, is_arm: bool) -> f64 {
        let in_storm = STORM_INTERVALS.contains(&interval);
        match self.storm {
            Storm::Everywhere if in_storm => f.storm_factor,
            Storm::Station if in_storm && f.station == storm_station => 0.5,
            Storm::StationWithoutControl if in_storm && is_arm && f.station == storm_station => 0.5,
            _ => 1.0,
        }
    }

    fn counts(&self, rng: &mut Rng, f: &Front, storm_factor: f64, is_arm: bool) -> Counts {
        let accesses = INTERVAL_ACCESSES * f.relative_rate;
        let accesses = (accesses + accesses.sqrt() * standard_normal(rng)).round().max(0.0) as u64;
        let drop = if is_arm { self.drop } else { 0.0 };
        let share =
            (f.share * storm_factor * (1.0 - drop) + self.jitter * standard_normal(rng)).clamp(0.0, 1.0);
        Counts { accesses, answered: binomial(rng, accesses, share) }
    }

    /// Passes the verdict after each interval to `done`, until it returns true.
    pub fn verdicts(&self, settings: TestSettings, seed: u64, mut done: impl FnMut(usize, Verdict) -> bool) {
        let mut comparison = Comparison::new(settings);
        self.reports(seed, |interval, arm, control| {
            comparison.observe(arm, control);
            done(interval, comparison.verdict())
        });
    }

    /// The first verdict other than undecided, or the last one, and the number of intervals until then.
    pub fn first_verdict(&self, settings: TestSettings, seed: u64) -> (Verdict, usize) {
        let mut last = (Verdict::Undecided { accesses: 0 }, 0);
        self.verdicts(settings, seed, |interval, verdict| {
            last = (verdict, interval + 1);
            !matches!(verdict, Verdict::Undecided { .. })
        });
        last
    }

    /// Whether the verdict is harmful after any interval, also if it was harmless before.
    pub fn ever_harmful(&self, settings: TestSettings, seed: u64) -> bool {
        let mut harmful = false;
        self.verdicts(settings, seed, |_, verdict| {
            harmful = matches!(verdict, Verdict::Harmful { .. });
            harmful
        });
        harmful
    }
}
