//! The sampler behind the figures of a front's state, and the simulated table that stands for the decision module's.

use doorgrade_lab::front_state::popularity::{Popularity, ZipfSampler};
use doorgrade_lab::front_state::site::{ENTRIES, SiteCase, SiteStats, run};
use doorgrade_lab::front_state::tables::{EvictionPolicy, Table, TableConfig};

/// A tenth of a site's objects, so that an exact sum takes no time.
const OBJECTS: u32 = 9_100_000;

#[test]
fn samples_follow_zipfs_law_over_all_objects() {
    for exponent in [0.8, 0.9, 1.0] {
        let weight = |rank: f64| rank.powf(-exponent);
        let exact: f64 = (1..=OBJECTS).map(|r| weight(f64::from(r))).sum();
        let top_share = Popularity::new(OBJECTS, exponent).top_share();
        assert!((top_share * exact - 1.0).abs() < 1e-4, "{exponent}: {top_share} for {}", 1.0 / exact);
        let mut sampler = ZipfSampler::new(OBJECTS, exponent, 7).expect("a sampler");
        const N: u32 = 300_000;
        let ranks: Vec<u32> = (0..N).map(|_| sampler.sample()).collect();
        assert!(ranks.iter().all(|&r| r < OBJECTS));
        for first in [1_000u32, 100_000, 5_000_000] {
            let expected: f64 = (1..=first).map(|r| weight(f64::from(r))).sum::<f64>() / exact;
            let actual = ranks.iter().filter(|&&r| r < first).count() as f64 / f64::from(N);
            // Four standard deviations.
            let tolerance = 4.0 * (expected * (1.0 - expected) / f64::from(N)).sqrt();
            assert!(
                (actual - expected).abs() < tolerance,
                "{exponent}, first {first}: {actual} for {expected}"
            );
        }
    }
    assert!(ZipfSampler::new(0, 0.9, 1).is_none() && ZipfSampler::new(10, f64::NAN, 1).is_none());
    assert!(ZipfSampler::new(10, -1.0, 1).is_none());
}

fn simulated(exponent: f64, seed: u64, warm_up_s: f64, measured_s: f64) -> SiteStats {
    let table = |policy| TableConfig { policy, max_entries: ENTRIES };
    let tables = vec![table(EvictionPolicy::OldestFill), table(EvictionPolicy::LeastRecentlyUsed)];
    let case = SiteCase { rate: 930.0, exponent, objects: 4_000_000, warm_up_s, measured_s, seed, tables };
    run(&case).expect("a run")
}

#[test]
fn the_simulated_fifo_table_knows_what_the_modules_table_does() {
    // All entries are replaced in some 90,000 accesses.
    let stats = simulated(0.8, 3, 150.0, 30.0);
    assert!(stats.accesses > 25_000 && stats.declined == 0, "{stats:?}");
    let [fifo, lru] = stats.tables_known[..] else { panic!("{stats:?}") };
    assert!((fifo - stats.known).abs() < 0.002, "{fifo} for {}", stats.known);
    assert!(stats.known < lru && lru < stats.shared_known && stats.shared_known < 1.0, "{stats:?}");
    // Che's approximation of the same table.
    let (stay_s, known) = Popularity::new(4_000_000, 0.8).first_in_first_out(930.0, ENTRIES as f64);
    assert!((stay_s / stats.stay_s - 1.0).abs() < 0.05, "{stay_s} for {}", stats.stay_s);
    assert!((known - stats.known).abs() < 0.02, "{known} for {}", stats.known);
}

#[test]
fn a_run_is_reproducible_from_its_seed() {
    let run = |seed| format!("{:?}", simulated(1.0, seed, 5.0, 2.0));
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn a_table_evicts_the_oldest_fill_unless_it_was_filled_again() {
    let mut table = Table::new(TableConfig { policy: EvictionPolicy::OldestFill, max_entries: 2 });
    assert!(!table.access(1, 10) && !table.access(2, 20) && table.access(3, 10));
    // 10 was filled again since it was queued: it goes to the end of the queue, and 20 is evicted.
    table.fill_reported(10, 3);
    assert!(!table.access(4, 30));
    assert!(table.access(5, 10) && !table.access(6, 20));
}
