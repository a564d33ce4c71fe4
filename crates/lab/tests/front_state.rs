//! The draws behind the figures of a front's own state, and that the table that others are held against is the module's.

use doorgrade_lab::front_state::popularity::{Draws, Popularity};
use doorgrade_lab::front_state::site::{Case, ENTRIES, Found, run};
use doorgrade_lab::front_state::tables::{Rule, Table, Variant};

/// A tenth of a site's, so that an exact sum takes no time.
const OBJECTS: u32 = 9_100_000;

#[test]
fn draws_follow_zipfs_law_over_all_objects() {
    for exponent in [0.8, 0.9, 1.0] {
        let weight = |rank: f64| rank.powf(-exponent);
        let exact: f64 = (1..=OBJECTS).map(|r| weight(f64::from(r))).sum();
        let first = Popularity::new(OBJECTS, exponent).first();
        assert!((first * exact - 1.0).abs() < 1e-4, "{exponent}: {first} for {}", 1.0 / exact);
        let mut draws = Draws::new(OBJECTS, exponent, 7).expect("draws");
        const N: u32 = 300_000;
        let ranks: Vec<u32> = (0..N).map(|_| draws.rank()).collect();
        assert!(ranks.iter().all(|&r| r < OBJECTS));
        for most in [1_000u32, 100_000, 5_000_000] {
            let expected: f64 = (1..=most).map(|r| weight(f64::from(r))).sum::<f64>() / exact;
            let had = ranks.iter().filter(|&&r| r < most).count() as f64 / f64::from(N);
            // Four standard deviations.
            let off = 4.0 * (expected * (1.0 - expected) / f64::from(N)).sqrt();
            assert!((had - expected).abs() < off, "{exponent}, first {most}: {had} for {expected}");
        }
    }
    assert!(Draws::new(0, 0.9, 1).is_none() && Draws::new(10, f64::NAN, 1).is_none());
    assert!(Draws::new(10, -1.0, 1).is_none());
}

fn played(exponent: f64, seed: u64, warm_s: f64, measured_s: f64) -> Found {
    let of = |rule| Variant { rule, entries: ENTRIES };
    let variants = vec![of(Rule::OldestFill), of(Rule::LeastRecentlyUsed)];
    let case = Case { rate: 930.0, exponent, objects: 4_000_000, warm_s, measured_s, seed, variants };
    run(&case).expect("a run")
}

#[test]
fn the_table_that_others_are_held_against_knows_what_the_modules_does() {
    // It turns over in some 90,000 accesses.
    let found = played(0.8, 3, 150.0, 30.0);
    assert!(found.accesses > 25_000 && found.declined == 0, "{found:?}");
    let [oldest, used] = found.variants[..] else { panic!("{found:?}") };
    assert!((oldest - found.known).abs() < 0.002, "{oldest} for {}", found.known);
    assert!(found.known < used && used < found.shared && found.shared < 1.0, "{found:?}");
    // Che's approximation is of the same table.
    let (reach, known) = Popularity::new(4_000_000, 0.8).first_in_first_out(930.0, ENTRIES as f64);
    assert!((reach / found.reach_s - 1.0).abs() < 0.05, "{reach} for {}", found.reach_s);
    assert!((known - found.known).abs() < 0.02, "{known} for {}", found.known);
}

#[test]
fn a_run_is_the_same_again_from_its_seed() {
    let of = |seed| format!("{:?}", played(1.0, seed, 5.0, 2.0));
    assert_eq!(of(5), of(5));
    assert_ne!(of(5), of(6));
}

#[test]
fn a_table_lets_the_oldest_fill_go_and_looks_at_it_once_more() {
    let mut table = Table::new(Variant { rule: Rule::OldestFill, entries: 2 });
    assert!(!table.access(1, 10) && !table.access(2, 20) && table.access(3, 10));
    // Filled again since it was put in: it goes to the end of the queue, and 20 goes.
    table.told(10, 3);
    assert!(!table.access(4, 30));
    assert!(table.access(5, 10) && !table.access(6, 20));
}
