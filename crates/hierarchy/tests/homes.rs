//! Homes and their handovers, the shield's rate limit, and loop detection by headers.

use doorgrade_hierarchy::cdn_loop::{self, LoopError};
use doorgrade_hierarchy::homes::{
    Home, Homes, RestoreError, SavedList, home_of, min_moved_share, moved_share,
};
use doorgrade_hierarchy::shield::{Admission, ArchiveOutcome, Shield};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn list(names: &[&str]) -> Vec<Home> {
    names.iter().map(|n| Home::named(n, 1.0)).collect()
}

const DURATION: u64 = 100_000;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// The share that moves, computed in closed form and counted over objects.
    #[test]
    fn the_computed_moved_share_matches_a_count(
        old in prop::collection::vec(0.0..4.0f64, 2..9),
        new in prop::collection::vec(0.0..4.0f64, 2..9),
    ) {
        let list = |weights: &[f64]| -> Vec<Home> {
            let rounded = weights.iter().map(|r| r.round());
            let named = rounded.enumerate().map(|(n, w)| Home::named(&format!("t-{n}"), w));
            named.filter(|h| h.weight > 0.0).collect()
        };
        let (old, new) = (list(&old), list(&new));
        prop_assume!(!old.is_empty() && !new.is_empty());
        let differ = |o: &u64| home_of(&old, *o).unwrap().key != home_of(&new, *o).unwrap().key;
        let counted = (0..20_000).filter(differ).count() as f64 / 20_000.0;
        let (computed, minimum) = (moved_share(&old, &new), min_moved_share(&old, &new));
        prop_assert!((counted - computed).abs() < 0.02, "counted {counted}, computed {computed}");
        prop_assert!(
            minimum <= computed + 1e-9 && computed <= 2.0 * minimum + 1e-9,
            "minimum {minimum}, computed {computed}"
        );
    }

    /// With lists that change at any time, each object has a home, no dead member and no member twice is asked for a
    /// copy, and after the last handover each object is at its home in the newest list.
    #[test]
    fn handovers_end_whatever_changes_in_between(
        steps in prop::collection::vec((0..DURATION, prop::collection::btree_set(0..6u8, 1..6)), 1..12),
        dead in 0..6u8,
    ) {
        let (mut homes, mut now) = (Homes::default(), 1_000);
        let dead = Home::named(&format!("t-{dead}"), 1.0).key;
        for (wait, names) in &steps {
            now += wait;
            let names: Vec<String> = names.iter().map(|n| format!("t-{n}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            homes.set_members(now, list(&names), DURATION);
            for object in 0..60 {
                let route = homes.route(now, object, |key| key != dead);
                prop_assert!(route.home.is_some());
                prop_assert!(!route.old_homes.contains(&dead) && !route.old_homes.contains(&route.home.unwrap()));
            }
        }
        now += 21 * DURATION;
        prop_assert!(!homes.in_handover(now));
        for object in 0..60 {
            let route = homes.route(now, object, |_| true);
            prop_assert_eq!(route.home, home_of(homes.newest(), object).map(|h| h.key));
            prop_assert!(route.old_homes.is_empty() && !route.recently_moved);
        }
    }

    #[test]
    fn no_header_makes_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(header) = cdn_loop::forward_header([&*text], "own") {
            prop_assert!(matches!(cdn_loop::forward_header([&*header], "own"), Err(LoopError::Cycle(_))));
        }
    }
}

#[test]
fn a_cold_member_takes_over_its_objects_as_its_capacity_grows() {
    let mut homes = Homes::default();
    homes.set_members(0, list(&["a", "b"]), DURATION);
    let cold = Home { initial_capacity: 0.1, ..Home::named("c", 1.0) };
    let change = homes.set_members(1_000, [list(&["a", "b"]), vec![cold]].concat(), DURATION).unwrap();
    assert!(
        (change.moved_share - 1.0 / 3.0).abs() < 1e-9
            && (change.moved_share - change.min_moved_share).abs() < 1e-9
    );
    let taken = |now: u64| {
        let routes = (0..9_000).map(|o| homes.route(now, o, |_| true));
        let taken: Vec<_> = routes.filter(|r| r.home == Some(cold.key)).collect();
        let old_homes = taken.iter().filter(|r| r.recently_moved && r.old_homes.len() == 1).count();
        (taken.len(), old_homes)
    };
    assert_eq!(taken(1_000).0, 0);
    // After a quarter of the time it has (0.1 / 4 + 0.9 / 32) / 0.55, about a tenth, of its third of the objects.
    let (quarter, asked) = taken(1_000 + DURATION / 4);
    assert!((230..350).contains(&quarter) && asked == quarter, "{quarter}");
    let (all, asked) = taken(1_000 + DURATION);
    assert!((2_850..3_150).contains(&all) && asked > 0, "{all}");
    assert_eq!(taken(1_000 + 21 * DURATION), (all, 0));
    // If the old homes are gone, objects move at once, and no dead member is asked.
    let moved = (0..9_000).map(|o| homes.route(2_000, o, |key| key == cold.key)).filter(|r| r.recently_moved);
    assert!(moved.clone().count() > 2_800 && moved.clone().all(|r| r.old_homes.is_empty()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]

    /// A front that restarts at any time during handovers and restores its saved lists has the same homes as one that
    /// kept running.
    #[test]
    fn restored_handovers_go_on_as_without_a_restart(
        steps in prop::collection::vec((0..DURATION, prop::collection::btree_set(0..6u8, 1..6)), 1..8),
        away in 0..DURATION,
    ) {
        let (mut running, mut now, mut last) = (Homes::default(), 1_000, Vec::new());
        for (wait, names) in &steps {
            now += wait;
            let names: Vec<String> = names.iter().map(|n| format!("t-{n}")).collect();
            last = list(&names.iter().map(String::as_str).collect::<Vec<_>>());
            running.set_members(now, last.clone(), DURATION);
        }
        let (saved_at, saved) = (now, running.save());
        now += away;
        let mut restored = Homes::default();
        restored.set_members(now, last, DURATION);
        let result = restored.restore(now, saved_at, &saved);
        prop_assert_eq!(result.is_ok(), saved.len() > 1, "{:?}", result);
        for later in [0, DURATION / 3, DURATION, 3 * DURATION, 25 * DURATION] {
            for object in 0..60 {
                prop_assert_eq!(
                    restored.route(now + later, object, |_| true),
                    running.route(now + later, object, |_| true)
                );
            }
        }
    }
}

#[test]
fn homes_that_changed_during_a_restart_are_handed_over_from_the_saved_ones() {
    let mut before = Homes::default();
    before.set_members(1_000, list(&["a", "b"]), DURATION);
    let (saved_at, saved) = (2_000, before.save());
    let now = 5_000;
    let mut restored = Homes::default();
    restored.set_members(now, list(&["a", "b", "c"]), DURATION);
    assert_eq!(restored.restore(now, saved_at, &saved), Ok(2));
    let moves = |o: &u64| home_of(&list(&["a", "b", "c"]), *o).unwrap().key == Home::named("c", 1.0).key;
    let half = (0..200).filter(moves).filter(|&o| {
        let route = restored.route(now + DURATION / 2, o, |_| true);
        route.home == Some(Home::named("c", 1.0).key) && route.old_homes.len() == 1
    });
    assert!((15..=50).contains(&half.count()), "some have moved, and their old homes are asked first");
    assert_eq!(
        restored.restore(now, saved_at, &saved),
        Err(RestoreError::AlreadyKnown),
        "what it has seen since the start has precedence"
    );
    // Saved lists that can't be valid are rejected with the reason, and change nothing.
    let fresh = |names: &[&str]| {
        let mut homes = Homes::default();
        homes.set_members(now, list(names), DURATION);
        homes
    };
    let only = |list: SavedList| vec![list];
    let one = saved[0].clone();
    for (saved_at, saved, reason) in [
        (saved_at, vec![], RestoreError::NoHandover),
        (saved_at, saved.clone(), RestoreError::NoHandover),
        (now + 20_000, saved.clone(), RestoreError::FromFuture),
        (saved_at, only(SavedList { started_at: now + 20_000, ..one.clone() }), RestoreError::FromFuture),
        (saved_at, only(SavedList { homes: vec![], ..one.clone() }), RestoreError::Invalid),
        (saved_at, only(SavedList { homes: vec![(1, f64::NAN, 1.0)], ..one.clone() }), RestoreError::Invalid),
        (saved_at, vec![one.clone(); 9], RestoreError::Invalid),
        (saved_at, only(SavedList { duration: u64::MAX, ..one.clone() }), RestoreError::Invalid),
    ] {
        let mut homes = fresh(&["a", "b"]);
        assert_eq!(homes.restore(now, saved_at, &saved), Err(reason));
        assert_eq!(homes.route(now, 7, |_| true), fresh(&["a", "b"]).route(now, 7, |_| true));
    }
    let mut late = Homes::default();
    late.set_members(now + 30 * DURATION, list(&["a", "b", "c"]), DURATION);
    assert_eq!(late.restore(now + 30 * DURATION, saved_at, &saved), Err(RestoreError::TooOld));
}

/// Two members are added, and one of them is removed and added again, each in the middle of the handover before. The
/// first homes must still be asked for what only they hold: a list that was dropped too soon cost the archive a burst.
#[test]
fn changes_during_handovers_lose_no_old_home() {
    let mut homes = Homes::default();
    let lists: [&[&str]; 5] =
        [&["a", "b"], &["a", "b", "c"], &["a", "b", "c", "d"], &["a", "b", "d"], &["a", "b", "c", "d"]];
    for (n, names) in lists.iter().enumerate() {
        homes.set_members(1 + n as u64 * DURATION / 3, list(names), DURATION);
    }
    let now = 1 + 4 * DURATION / 3 + 3 * DURATION;
    let (old, new) = (list(lists[0]), list(lists[4]));
    for object in 0..2_000 {
        let (old_home, new_home) = (home_of(&old, object).unwrap().key, home_of(&new, object).unwrap().key);
        let route = homes.route(now, object, |_| true);
        assert_eq!(route.home, Some(new_home), "long after it moved");
        // However late its first access after the change is: not all objects that move are popular.
        assert!(old_home == new_home || route.old_homes.contains(&old_home), "{route:?}");
    }
    // Members that are added one by one in a short time are one change.
    let mut homes = Homes::default();
    homes.set_members(0, list(&["a", "b"]), DURATION);
    let all: Vec<String> = (0..14).map(|n| format!("t-{n}")).collect();
    let all: Vec<&str> = ["a", "b"].into_iter().chain(all.iter().map(String::as_str)).collect();
    for n in 3..=all.len() {
        homes.set_members(1_000 + n as u64 * 10, list(&all[..n]), DURATION);
    }
    let moved = (0..2_000).filter(|&o| homes.route(now, o, |_| true).recently_moved).count();
    assert!(moved > 1_650, "{moved} are known to have moved; about 1,750 have");
}

#[test]
fn the_shield_limits_a_burst_to_little_more_than_the_average() {
    let mut shield = Shield::new(1, 0);
    let mut now = 0;
    // Two minutes of 40 fills a second through a parent that holds half of the objects.
    for n in 0..4_800u64 {
        now = n * 250;
        let probability = shield.archive_probability(7);
        if shield.admit(now, probability, now + 4_000, false) == Admission::Admit {
            shield.reserve(now, probability);
            let outcome = if n % 2 == 0 { ArchiveOutcome::InTime } else { ArchiveOutcome::NotAsked };
            shield.settle(now + 300, Some(7), probability, outcome);
        }
    }
    assert!((shield.archive_probability(7) - 0.5).abs() < 0.1);
    assert!((20.0..28.0).contains(&shield.rate_limit()), "{}", shield.rate_limit());
    // Ten times as many, all of which reach the archive: at most 1.5 times the usual 20 in the busiest second.
    let (start, mut admitted) = (now, vec![0; 10]);
    let (mut waits, mut rejected) = (0, 0);
    for n in 0..4_000u64 {
        now = start + n * 25;
        match shield.admit(now, 1.0, now + 4_000, false) {
            Admission::Admit => {
                admitted[(n / 400) as usize] += 1;
                shield.reserve(now, 1.0);
                shield.settle(now + 300, Some(7), 1.0, ArchiveOutcome::InTime);
            }
            Admission::WaitUntil(at) => {
                assert!(at > now && at < now + 4_000);
                waits += 1;
            }
            Admission::Reject => rejected += 1,
        }
    }
    assert!(admitted.iter().all(|&n| n <= 30) && admitted.iter().sum::<i32>() > 150, "{admitted:?}");
    assert!(waits > 0);
    // With a long queue ahead, an access could not go out within its soft limit, so it is rejected at once.
    shield.enqueue(20.0);
    assert_eq!(shield.admit(now, 1.0, now + 4_000, false), Admission::Reject);
    shield.dequeue(20.0);
    assert!(rejected < 4_000);
    // Late responses lower the limit, responses in time raise it again.
    let before = shield.rate_limit();
    (0..10).for_each(|_| shield.settle(now, None, 1.0, ArchiveOutcome::Late));
    assert!(shield.rate_limit() < 0.5 * before);
    (0..100).for_each(|_| shield.settle(now, None, 1.0, ArchiveOutcome::InTime));
    assert!(shield.rate_limit() > 0.9 * before);
}

#[test]
fn a_lull_does_not_lower_the_limit_for_the_next_rise() {
    let mut shield = Shield::new(3, 0);
    for n in 0..6_000u64 {
        shield.reserve(n * 100, 1.0);
        shield.settle(n * 100, None, 1.0, ArchiveOutcome::InTime);
    }
    let busy = shield.rate_limit();
    assert!(busy > 100.0);
    shield.admit(600_000 + 18_000_000, 1.0, 0, false);
    assert!(shield.rate_limit() > 0.7 * busy, "half an hour later");
    shield.admit(600_000 + 600_000_000, 1.0, 0, false);
    assert!(shield.rate_limit() < 2.0, "the minimum, the next day: {}", shield.rate_limit());
}

#[test]
fn a_fill_that_goes_round_in_a_cycle_is_rejected_on_its_first_turn() {
    let initial = cdn_loop::initial_header("n 1", 3);
    assert_eq!(initial, "doorgrade-n-1;most=3");
    let to_b = cdn_loop::forward_header([&*initial], "a").unwrap();
    assert_eq!(to_b, "doorgrade-n-1;most=3, a");
    let to_a = cdn_loop::forward_header([&*to_b], "b").unwrap();
    let cycle: Vec<Box<str>> = ["a", "b", "a"].map(Into::into).into();
    assert_eq!(cdn_loop::forward_header([&*to_a], "a"), Err(LoopError::Cycle(cycle)));
    // Loops through members that don't append their names are detected by depth.
    let to_d = cdn_loop::forward_header([&*to_a], "c").unwrap();
    assert_eq!(cdn_loop::forward_header([&*to_d], "d"), Err(LoopError::TooDeep { hops: 4, max: 3 }));
    // The syntax of RFC 8586: parameters, several values, quoted commas, empty elements.
    let hops = cdn_loop::parse([
        "foo123.foocdn.example, barcdn.example; trace=\"a,b;\\\"c\"",
        "AnotherCDN; x=1;y, ,",
    ]);
    assert_eq!(hops.unwrap().names, ["foo123.foocdn.example", "barcdn.example", "AnotherCDN"]);
    let long = "a,".repeat(65);
    for bad in ["a \"b", "; x=1", "a b", "a\u{1}", "\"q\"", &*long, &*"a".repeat(5_000)] {
        assert!(matches!(cdn_loop::parse([bad]), Err(LoopError::Malformed(_))), "{bad}");
    }
}
