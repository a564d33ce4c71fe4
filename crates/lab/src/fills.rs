//! What a front's table of remembered fills knows, compared with tables of other sizes and eviction policies on the same
//! accesses.

use crate::front_state::popularity::Popularity;
use crate::front_state::site::{self, ENTRIES, SiteCase, SiteStats};
use crate::front_state::tables::{EvictionPolicy, TableConfig};

use crate::{Figures, RunArgs};

/// Objects that one site accesses, of 4 billion in all.
const OBJECTS: u32 = 91_000_000;
const HOUR_S: f64 = 3_600.0;
const SITE_FRONTS: f64 = 23.0;
/// Accepted values of `--rate`, in accesses a second, and of `--exponent`.
const RATES: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;
const EXPONENTS: std::ops::RangeInclusive<f64> = 0.1..=2.0;

/// Accesses of one front in the warm-up and in the measured time of a short run: the warm-up replaces all of the table's
/// 65,536 entries at least once.
const SHORT_RUN_ACCESSES: [f64; 2] = [200_000.0, 40_000.0];

/// Policy, name in figures, and size as a multiple of the decision module's table.
const TABLES: [(EvictionPolicy, &str, usize); 9] = [
    (EvictionPolicy::OldestFill, "oldest_fill", 1),
    (EvictionPolicy::OldestFill, "oldest_fill", 4),
    (EvictionPolicy::OldestFill, "oldest_fill", 16),
    (EvictionPolicy::LeastRecentlyUsed, "least_recently_used", 1),
    (EvictionPolicy::LeastRecentlyUsed, "least_recently_used", 4),
    (EvictionPolicy::LeastRecentlyUsed, "least_recently_used", 16),
    (EvictionPolicy::FrequencySketch, "frequency_sketch", 1),
    (EvictionPolicy::FrequencySketch, "frequency_sketch", 4),
    (EvictionPolicy::FrequencySketch, "frequency_sketch", 16),
];

/// The case of a rate and an exponent. A quick one is too short for the figures that span an hour.
pub fn case(rate: f64, exponent: f64, seed: u64, quick: bool) -> SiteCase {
    let tables = TABLES.map(|t| TableConfig { policy: t.0, max_entries: t.2 * ENTRIES }).to_vec();
    let (warm_up_s, measured_s) = if quick { (150.0, 30.0) } else { (HOUR_S, 600.0) };
    SiteCase { rate, exponent, objects: OBJECTS, warm_up_s, measured_s, seed, tables }
}

/// A case that is only long enough to replace all entries of the module's table, without other tables.
pub fn short_case(rate: f64, exponent: f64, seed: u64) -> SiteCase {
    let seconds = |accesses: f64| accesses / rate;
    let (warm_up_s, measured_s) = (seconds(SHORT_RUN_ACCESSES[0]), seconds(SHORT_RUN_ACCESSES[1]));
    SiteCase { rate, exponent, objects: OBJECTS, warm_up_s, measured_s, seed, tables: Vec::new() }
}

pub fn run(run_args: &RunArgs, rate: f64, exponent: f64) -> Result<Figures, String> {
    if !RATES.contains(&rate) {
        return Err(format!("--rate {rate}: expected {} to {}", RATES.start(), RATES.end()));
    }
    if !EXPONENTS.contains(&exponent) {
        return Err(format!("--exponent {exponent}: expected {} to {}", EXPONENTS.start(), EXPONENTS.end()));
    }
    let stats = site::run(&case(rate, exponent, run_args.seed, run_args.quick))
        .ok_or("there are no objects to access")?;
    let mut figures = Figures::default();
    figures.put("rate", rate);
    figures.put("exponent", exponent);
    figures.put("seed", run_args.seed);
    put_stats(&mut figures, &stats, run_args.quick);
    put_approximations(&mut figures, rate, exponent);
    Ok(figures)
}

fn put_stats(figures: &mut Figures, stats: &SiteStats, quick: bool) {
    figures.put("accesses", stats.accesses);
    figures.put("declined", stats.declined);
    figures.put_rounded("pushes_per_access", stats.pushes_per_access);
    figures.put_rounded("looks_per_access", stats.lookups_per_access);
    figures.put_rounded("reach_s", stats.stay_s);
    figures.put_rounded("shortest_stay_s", stats.min_stay_s);
    figures.put_rounded("known_share", stats.known);
    figures.put_rounded("entry_share", stats.has_entry);
    figures.put_rounded("wrongly_lacking_share", stats.wrongly_lacking);
    figures.put_rounded("shared_table_known_share", stats.shared_known);
    for ((_, name, size), &known) in TABLES.iter().zip(&stats.tables_known) {
        figures.put_rounded(&format!("{name}_x{size}_known_share"), known);
    }
    if !quick {
        figures.put_rounded("hour_known_share", stats.hour_known);
        figures.put_rounded("hour_asked_share", stats.hour_accessed);
        figures.put_rounded("shared_hour_known_share", stats.shared_hour_known);
        figures.put_rounded("shared_hour_asked_share", stats.shared_hour_accessed);
        figures.put("distinct_in_the_hour", stats.distinct_in_hour);
    }
}

/// The same figures calculated by Che's approximation.
fn put_approximations(figures: &mut Figures, rate: f64, exponent: f64) {
    let objects = Popularity::new(OBJECTS, exponent);
    let (stay_s, known) = objects.first_in_first_out(rate, ENTRIES as f64);
    let lru = objects.least_recently_used(rate, ENTRIES as f64);
    figures.put_rounded("che_reach_s", stay_s);
    figures.put_rounded("che_known_share", known);
    figures.put_rounded("che_least_recently_used_reach_s", lru.0);
    figures.put_rounded("che_least_recently_used_known_share", lru.1);
    figures.put_rounded("che_hour_asked_share", objects.share_accessed_within(rate, HOUR_S));
    figures.put_rounded(
        "che_shared_hour_asked_share",
        objects.share_accessed_within(rate * SITE_FRONTS, HOUR_S),
    );
    figures.put_rounded("che_shared_hour_known_share", objects.share_with_copy(rate * SITE_FRONTS, HOUR_S));
}
