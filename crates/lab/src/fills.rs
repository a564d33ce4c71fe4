//! What a front's table of remembered fills knows, beside tables of other sizes and rules on the same accesses.

use crate::front_state::popularity::Popularity;
use crate::front_state::site::{self, Case, ENTRIES, Found};
use crate::front_state::tables::{Rule, Variant};

use crate::{Figures, RunArgs};

/// Objects of a site (of 4 billion in all).
const OBJECTS: u32 = 91_000_000;
const HOUR_S: f64 = 3_600.0;
const CREW: f64 = 23.0;
/// Rates that a front may have, in accesses a second, and exponents with a meaning.
const RATES: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;
const EXPONENTS: std::ops::RangeInclusive<f64> = 0.1..=2.0;

/// Accesses of one front before what is counted, and counted: the table of 65,536 has turned over once at the least.
const SHORT: [f64; 2] = [200_000.0, 40_000.0];

/// Sizes as multiples of today's.
const VARIANTS: [(Rule, &str, usize); 9] = [
    (Rule::OldestFill, "oldest_fill", 1),
    (Rule::OldestFill, "oldest_fill", 4),
    (Rule::OldestFill, "oldest_fill", 16),
    (Rule::LeastRecentlyUsed, "least_recently_used", 1),
    (Rule::LeastRecentlyUsed, "least_recently_used", 4),
    (Rule::LeastRecentlyUsed, "least_recently_used", 16),
    (Rule::FrequencySketch, "frequency_sketch", 1),
    (Rule::FrequencySketch, "frequency_sketch", 4),
    (Rule::FrequencySketch, "frequency_sketch", 16),
];

/// The case of a rate and an exponent; a quick one is too short to tell what an hour would know.
pub fn case(rate: f64, exponent: f64, seed: u64, quick: bool) -> Case {
    let variants = VARIANTS.map(|v| Variant { rule: v.0, entries: v.2 * ENTRIES }).to_vec();
    let (warm_s, measured_s) = if quick { (150.0, 30.0) } else { (HOUR_S, 600.0) };
    Case { rate, exponent, objects: OBJECTS, warm_s, measured_s, seed, variants }
}

/// No longer than it takes the table to turn over, without other tables.
pub fn short(rate: f64, exponent: f64, seed: u64) -> Case {
    let seconds = |accesses: f64| accesses / rate;
    let (warm_s, measured_s) = (seconds(SHORT[0]), seconds(SHORT[1]));
    Case { rate, exponent, objects: OBJECTS, warm_s, measured_s, seed, variants: Vec::new() }
}

pub fn run(how: &RunArgs, rate: f64, exponent: f64) -> Result<Figures, String> {
    if !RATES.contains(&rate) {
        return Err(format!("--rate {rate}: it may be {} to {}", RATES.start(), RATES.end()));
    }
    if !EXPONENTS.contains(&exponent) {
        return Err(format!("--exponent {exponent}: it may be {} to {}", EXPONENTS.start(), EXPONENTS.end()));
    }
    let found = site::run(&case(rate, exponent, how.seed, how.quick)).ok_or("nothing to draw from")?;
    let mut figures = Figures::default();
    figures.put("rate", rate);
    figures.put("exponent", exponent);
    figures.put("seed", how.seed);
    put(&mut figures, &found, how.quick);
    che(&mut figures, rate, exponent);
    Ok(figures)
}

fn put(figures: &mut Figures, found: &Found, quick: bool) {
    figures.put("accesses", found.accesses);
    figures.put("declined", found.declined);
    figures.put_rounded("pushes_per_access", found.pushes_per_access);
    figures.put_rounded("looks_per_access", found.looks_per_access);
    figures.put_rounded("reach_s", found.reach_s);
    figures.put_rounded("shortest_stay_s", found.shortest_s);
    figures.put_rounded("known_share", found.known);
    figures.put_rounded("entry_share", found.entry);
    figures.put_rounded("wrongly_lacking_share", found.wrongly_lacking);
    figures.put_rounded("shared_table_known_share", found.shared);
    for ((_, name, size), &known) in VARIANTS.iter().zip(&found.variants) {
        figures.put_rounded(&format!("{name}_x{size}_known_share"), known);
    }
    if !quick {
        figures.put_rounded("hour_known_share", found.hour);
        figures.put_rounded("hour_asked_share", found.hour_asked);
        figures.put_rounded("shared_hour_known_share", found.shared_hour);
        figures.put_rounded("shared_hour_asked_share", found.shared_hour_asked);
        figures.put("distinct_in_the_hour", found.distinct_hour);
    }
}

/// Reckoned, not measured: Che's approximation of the same.
fn che(figures: &mut Figures, rate: f64, exponent: f64) {
    let objects = Popularity::new(OBJECTS, exponent);
    let (reach, known) = objects.first_in_first_out(rate, ENTRIES as f64);
    let used = objects.least_recently_used(rate, ENTRIES as f64);
    figures.put_rounded("che_reach_s", reach);
    figures.put_rounded("che_known_share", known);
    figures.put_rounded("che_least_recently_used_reach_s", used.0);
    figures.put_rounded("che_least_recently_used_known_share", used.1);
    figures.put_rounded("che_hour_asked_share", objects.seen(rate, HOUR_S));
    figures.put_rounded("che_shared_hour_asked_share", objects.seen(rate * CREW, HOUR_S));
    figures.put_rounded("che_shared_hour_known_share", objects.renewed(rate * CREW, HOUR_S));
}
