//! What all fronts together send those that have just started, against N + 2 root N + 2, in virtual time.

use doorgrade_lab::cold::{Case, cases, play, share};

/// However traffic is spread over few fronts or many, over several cold ones, with retries and fills: what they send
/// together stays within what acceptance allows. Without budgets it does not.
#[test]
fn fronts_do_not_send_a_cold_cache_more_than_acceptance_allows() {
    for fronts in [1, 20, 30, 100] {
        for n in [2.0, 8.0] {
            for (name, case) in cases(fronts, n) {
                let runs: Vec<_> = (0..6).map(|seed| play(&case, 7_000 + seed)).collect();
                let over = runs.iter().filter(|r| r.cache > 1.0 || r.parent > 1.0).count();
                let most = |of: fn(&doorgrade_lab::cold::Run) -> f64| runs.iter().map(of).fold(0.0, f64::max);
                let worst = (most(|r| r.cache), most(|r| r.parent));
                if name == "baseline" {
                    assert!(fronts < 20 || over > 0, "{fronts}, {n}: the rig shows no fall: {worst:?}");
                } else {
                    assert_eq!(over, 0, "{fronts} fronts, N {n}, {name}: {worst:?} of what is allowed");
                    assert!(runs.iter().any(|r| r.used > 0.05), "{fronts}, {n}, {name}: nothing is sent");
                }
            }
        }
    }
}

/// Hundreds of fronts that see an access now and then, small budgets, some cold at once: each front's one access more was
/// too much together (a quarter of such runs went over before only a part of the accesses might name a cold one).
#[test]
fn hundreds_of_fronts_that_see_little_do_not_add_up_to_too_much() {
    let case = Case { fronts: 300, n: 2.0, uneven: true, several: true, ..Case::PLAIN };
    let over: Vec<_> =
        (1_000..1_020).map(|seed| play(&case, seed).cache).filter(|worst| *worst > 1.0).collect();
    assert!(over.is_empty(), "{over:?} of what is allowed, in {} of 20 runs", over.len());
}

#[test]
fn the_interval_of_a_share_holds_at_none_and_at_all() {
    let (none, low, high) = share(0, 100);
    assert!(none == 0.0 && low == 0.0 && (0.03..0.04).contains(&high), "{low} to {high}");
    let (all, low, high) = share(100, 100);
    assert!(all == 1.0 && (0.96..0.97).contains(&low) && high > 0.999, "{low} to {high}");
}

#[test]
fn the_same_seed_is_the_same_run() {
    let case = Case { fronts: 20, uneven: true, ..Case::PLAIN };
    let [one, two] = [3, 3].map(|seed| play(&case, seed));
    assert!(one.cache == two.cache && one.declined == two.declined);
}
