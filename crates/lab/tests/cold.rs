//! The load that all fronts together send to members that have just started, in virtual time. With a budget of N accesses,
//! N + 2 sqrt(N) + 2 are allowed in a window.

use doorgrade_lab::cold::{ColdCase, ColdRun, cases, share_with_interval, simulate};

/// The total stays within the allowed load for few fronts or many, even and uneven traffic, one or several cold caches, with
/// retries and fills. Without limits it does not.
#[test]
fn fronts_do_not_send_cold_members_more_than_the_allowed_load() {
    for fronts in [1, 20, 30, 100] {
        for budget in [2.0, 8.0] {
            for (name, case) in cases(fronts, budget) {
                let runs: Vec<_> = (0..6).map(|seed| simulate(&case, 7_000 + seed)).collect();
                let over = runs.iter().filter(|r| r.cache_ratio > 1.0 || r.parent_ratio > 1.0).count();
                let max = |value: fn(&ColdRun) -> f64| runs.iter().map(value).fold(0.0, f64::max);
                let worst = (max(|r| r.cache_ratio), max(|r| r.parent_ratio));
                if name == "baseline" {
                    assert!(
                        fronts < 20 || over > 0,
                        "{fronts}, {budget}: the simulation shows no overload: {worst:?}"
                    );
                } else {
                    assert_eq!(over, 0, "{fronts} fronts, N {budget}, {name}: {worst:?} of what is allowed");
                    assert!(
                        runs.iter().any(|r| r.relative_use > 0.05),
                        "{fronts}, {budget}, {name}: nothing is sent"
                    );
                }
            }
        }
    }
}

/// Hundreds of fronts with few accesses each, small budgets, and several cold caches: one access more from each front added
/// up to more than the allowed load in a quarter of such runs, before only a part of the accesses could go to a cold cache.
#[test]
fn hundreds_of_fronts_with_little_traffic_do_not_overload_a_cold_cache() {
    let case = ColdCase { fronts: 300, budget: 2.0, uneven: true, several_caches: true, ..ColdCase::PLAIN };
    let over: Vec<_> =
        (1_000..1_020).map(|seed| simulate(&case, seed).cache_ratio).filter(|ratio| *ratio > 1.0).collect();
    assert!(over.is_empty(), "{over:?} of what is allowed, in {} of 20 runs", over.len());
}

#[test]
fn the_interval_of_a_share_is_valid_for_none_and_for_all() {
    let (none, low, high) = share_with_interval(0, 100);
    assert!(none == 0.0 && low == 0.0 && (0.03..0.04).contains(&high), "{low} to {high}");
    let (all, low, high) = share_with_interval(100, 100);
    assert!(all == 1.0 && (0.96..0.97).contains(&low) && high > 0.999, "{low} to {high}");
}

#[test]
fn the_same_seed_is_the_same_run() {
    let case = ColdCase { fronts: 20, uneven: true, ..ColdCase::PLAIN };
    let [one, two] = [3, 3].map(|seed| simulate(&case, seed));
    assert!(one.cache_ratio == two.cache_ratio && one.declined == two.declined);
}
