//! Homes, hand-overs, the archive's account and loops told by headers.

use doorgrade_hierarchy::homes::{Home, Homes, Kept, NotRecalled, first, least, moved};
use doorgrade_hierarchy::shield::{Came, Shield, Verdict};
use doorgrade_hierarchy::via::{self, Cut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn list(names: &[&str]) -> Vec<Home> {
    names.iter().map(|n| Home::named(n, 1.0)).collect()
}

const SPREAD: u64 = 100_000;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// The share that moves, in closed form, against a count over objects.
    #[test]
    fn the_share_that_moves_is_as_said(
        old in prop::collection::vec(0.0..4.0f64, 2..9),
        new in prop::collection::vec(0.0..4.0f64, 2..9),
    ) {
        let list = |weights: &[f64]| -> Vec<Home> {
            let rounded = weights.iter().map(|w| w.round());
            let named = rounded.enumerate().map(|(n, w)| Home::named(&format!("t-{n}"), w));
            named.filter(|h| h.weight > 0.0).collect()
        };
        let (old, new) = (list(&old), list(&new));
        prop_assume!(!old.is_empty() && !new.is_empty());
        let differ = |o: &u64| first(&old, *o).unwrap().key != first(&new, *o).unwrap().key;
        let counted = (0..20_000).filter(differ).count() as f64 / 20_000.0;
        let (said, floor) = (moved(&old, &new), least(&old, &new));
        prop_assert!((counted - said).abs() < 0.02, "counted {counted}, said {said}");
        prop_assert!(floor <= said + 1e-9 && said <= 2.0 * floor + 1e-9, "least {floor}, said {said}");
    }

    /// Lists that change at any time: an object has a home whenever there is one, nobody dead is asked to hold,
    /// nobody twice, and once the last hand-over is over all is the newest list's.
    #[test]
    fn hand_overs_end_whatever_comes_between(
        steps in prop::collection::vec((0..SPREAD, prop::collection::btree_set(0..6u8, 1..6)), 1..12),
        dead in 0..6u8,
    ) {
        let (mut homes, mut now) = (Homes::default(), 1_000);
        let dead = Home::named(&format!("t-{dead}"), 1.0).key;
        for (wait, names) in &steps {
            now += wait;
            let names: Vec<String> = names.iter().map(|n| format!("t-{n}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            homes.list(now, list(&names), SPREAD);
            for object in 0..60 {
                let way = homes.way(now, object, |key| key != dead);
                prop_assert!(way.home.is_some());
                prop_assert!(!way.holders.contains(&dead) && !way.holders.contains(&way.home.unwrap()));
            }
        }
        now += 21 * SPREAD;
        prop_assert!(!homes.handing_over(now));
        for object in 0..60 {
            let way = homes.way(now, object, |_| true);
            prop_assert_eq!(way.home, first(homes.newest(), object).map(|h| h.key));
            prop_assert!(way.holders.is_empty() && !way.fresh);
        }
    }

    #[test]
    fn no_header_makes_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(header) = via::pass_on([&*text], "own") {
            prop_assert!(matches!(via::pass_on([&*header], "own"), Err(Cut::Ring(_))));
        }
    }
}

#[test]
fn a_new_member_takes_its_objects_one_after_the_other_as_it_grows_warm() {
    let mut homes = Homes::default();
    homes.list(0, list(&["a", "b"]), SPREAD);
    let cold = Home { from: 0.1, ..Home::named("c", 1.0) };
    let change = homes.list(1_000, [list(&["a", "b"]), vec![cold]].concat(), SPREAD).unwrap();
    assert!((change.moved - 1.0 / 3.0).abs() < 1e-9 && (change.moved - change.least).abs() < 1e-9);
    let taken = |now: u64| {
        let ways = (0..9_000).map(|o| homes.way(now, o, |_| true));
        let taken: Vec<_> = ways.filter(|w| w.home == Some(cold.key)).collect();
        let holders = taken.iter().filter(|w| w.fresh && w.holders.len() == 1).count();
        (taken.len(), holders)
    };
    assert_eq!(taken(1_000).0, 0);
    // In a quarter of the time it has 0.1 / 4 + 0.9 / 32 of 0.55: a tenth of a third.
    let (quarter, asked) = taken(1_000 + SPREAD / 4);
    assert!((230..350).contains(&quarter) && asked == quarter, "{quarter}");
    let (all, asked) = taken(1_000 + SPREAD);
    assert!((2_850..3_150).contains(&all) && asked > 0, "{all}");
    assert_eq!(taken(1_000 + 21 * SPREAD), (all, 0));
    // Once their old homes are gone nobody waits for a turn, and nobody dead is asked.
    let way = (0..9_000).map(|o| homes.way(2_000, o, |key| key == cold.key)).filter(|w| w.fresh);
    assert!(way.clone().count() > 2_800 && way.clone().all(|w| w.holders.is_empty()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]

    /// One that dies at any time in any hand-overs and reads what it wrote names the same homes as one that lived.
    #[test]
    fn a_hand_over_is_known_again_after_a_restart_as_if_there_had_been_none(
        steps in prop::collection::vec((0..SPREAD, prop::collection::btree_set(0..6u8, 1..6)), 1..8),
        away in 0..SPREAD,
    ) {
        let (mut lived, mut now, mut last) = (Homes::default(), 1_000, Vec::new());
        for (wait, names) in &steps {
            now += wait;
            let names: Vec<String> = names.iter().map(|n| format!("t-{n}")).collect();
            last = list(&names.iter().map(String::as_str).collect::<Vec<_>>());
            lived.list(now, last.clone(), SPREAD);
        }
        let (taken, kept) = (now, lived.kept());
        now += away;
        let mut back = Homes::default();
        back.list(now, last, SPREAD);
        let known = back.recall(now, taken, &kept);
        prop_assert_eq!(known.is_ok(), kept.len() > 1, "{:?}", known);
        for later in [0, SPREAD / 3, SPREAD, 3 * SPREAD, 25 * SPREAD] {
            for object in 0..60 {
                prop_assert_eq!(
                    back.way(now + later, object, |_| true),
                    lived.way(now + later, object, |_| true)
                );
            }
        }
    }
}

#[test]
fn homes_that_changed_while_a_front_was_away_are_handed_over_from_what_it_knew() {
    let mut before = Homes::default();
    before.list(1_000, list(&["a", "b"]), SPREAD);
    let (taken, kept) = (2_000, before.kept());
    let now = 5_000;
    let mut back = Homes::default();
    back.list(now, list(&["a", "b", "c"]), SPREAD);
    assert_eq!(back.recall(now, taken, &kept), Ok(2));
    let moves = |o: &u64| first(&list(&["a", "b", "c"]), *o).unwrap().key == Home::named("c", 1.0).key;
    let half = (0..200).filter(moves).filter(|&o| {
        let way = back.way(now + SPREAD / 2, o, |_| true);
        way.home == Some(Home::named("c", 1.0).key) && way.holders.len() == 1
    });
    assert!((15..=50).contains(&half.count()), "some have gone, and their old homes are asked first");
    assert_eq!(back.recall(now, taken, &kept), Err(NotRecalled::Known), "what it has seen itself stays");
    // What can't be shown to hold is left out, with the reason.
    let fresh = |names: &[&str]| {
        let mut homes = Homes::default();
        homes.list(now, list(names), SPREAD);
        homes
    };
    let bad = |k: Kept| vec![k];
    let one = kept[0].clone();
    for (taken, kept, why) in [
        (taken, vec![], NotRecalled::Nothing),
        (taken, kept.clone(), NotRecalled::Nothing),
        (now + 20_000, kept.clone(), NotRecalled::Future),
        (taken, bad(Kept { begun: now + 20_000, ..one.clone() }), NotRecalled::Future),
        (taken, bad(Kept { homes: vec![], ..one.clone() }), NotRecalled::Foreign),
        (taken, bad(Kept { homes: vec![(1, f64::NAN, 1.0)], ..one.clone() }), NotRecalled::Foreign),
        (taken, vec![one.clone(); 9], NotRecalled::Foreign),
        (taken, bad(Kept { spread: u64::MAX, ..one.clone() }), NotRecalled::Foreign),
    ] {
        let mut homes = fresh(&["a", "b"]);
        assert_eq!(homes.recall(now, taken, &kept), Err(why));
        assert_eq!(homes.way(now, 7, |_| true), fresh(&["a", "b"]).way(now, 7, |_| true));
    }
    let mut late = Homes::default();
    late.list(now + 30 * SPREAD, list(&["a", "b", "c"]), SPREAD);
    assert_eq!(late.recall(now + 30 * SPREAD, taken, &kept), Err(NotRecalled::Old));
}

/// Two come, one of them goes and comes back, each in the middle of the hand-over before: the first homes are still
/// asked for what only they hold. (A list that was dropped too soon cost the archive a burst.)
#[test]
fn changes_in_the_middle_of_others_lose_no_holder() {
    let mut homes = Homes::default();
    let lists: [&[&str]; 5] =
        [&["a", "b"], &["a", "b", "c"], &["a", "b", "c", "d"], &["a", "b", "d"], &["a", "b", "c", "d"]];
    for (n, names) in lists.iter().enumerate() {
        homes.list(1 + n as u64 * SPREAD / 3, list(names), SPREAD);
    }
    let now = 1 + 4 * SPREAD / 3 + 3 * SPREAD;
    let (old, new) = (list(lists[0]), list(lists[4]));
    for object in 0..2_000 {
        let (was, is) = (first(&old, object).unwrap().key, first(&new, object).unwrap().key);
        let way = homes.way(now, object, |_| true);
        assert_eq!(way.home, Some(is), "long after its turn");
        // However late it is asked for the first time: not all that moves is popular.
        assert!(was == is || way.holders.contains(&was), "{way:?}");
    }
    // A tier told member by member is one change.
    let mut homes = Homes::default();
    homes.list(0, list(&["a", "b"]), SPREAD);
    let all: Vec<String> = (0..14).map(|n| format!("t-{n}")).collect();
    let all: Vec<&str> = ["a", "b"].into_iter().chain(all.iter().map(String::as_str)).collect();
    for n in 3..=all.len() {
        homes.list(1_000 + n as u64 * 10, list(&all[..n]), SPREAD);
    }
    let held = (0..2_000).filter(|&o| homes.way(now, o, |_| true).fresh).count();
    assert!(held > 1_650, "{held} of some 1,750 that moved are known to have");
}

#[test]
fn the_account_holds_a_burst_to_little_over_what_is_usual() {
    let mut shield = Shield::new(1, 0);
    let mut now = 0;
    // Two minutes of 40 fills a second through a parent that has half of them.
    for n in 0..4_800u64 {
        now = n * 250;
        let likelihood = shield.likelihood(7);
        if shield.ask(now, likelihood, now + 4_000, false) == Verdict::Go {
            shield.book(now, likelihood);
            let came = if n % 2 == 0 { Came::FromArchive } else { Came::FromElsewhere };
            shield.ended(now + 300, Some(7), likelihood, came);
        }
    }
    assert!((shield.likelihood(7) - 0.5).abs() < 0.1);
    assert!((20.0..28.0).contains(&shield.account()), "{}", shield.account());
    // Ten times as many, all of them for the archive: the busiest second is 1.5 times the usual 20 at most.
    let (start, mut went) = (now, vec![0; 10]);
    let (mut waits, mut refused) = (0, 0);
    for n in 0..4_000u64 {
        now = start + n * 25;
        match shield.ask(now, 1.0, now + 4_000, false) {
            Verdict::Go => {
                went[(n / 400) as usize] += 1;
                shield.book(now, 1.0);
                shield.ended(now + 300, Some(7), 1.0, Came::FromArchive);
            }
            Verdict::Wait(at) => {
                assert!(at > now && at < now + 4_000);
                waits += 1;
            }
            Verdict::No => refused += 1,
        }
    }
    assert!(went.iter().all(|&n| n <= 30) && went.iter().sum::<i32>() > 150, "{went:?}");
    assert!(waits > 0);
    // What waits pushes those behind it out of their soft limit: they are told so at once.
    shield.waits(20.0);
    assert_eq!(shield.ask(now, 1.0, now + 4_000, false), Verdict::No);
    shield.waited(20.0);
    assert!(refused < 4_000);
    // Refusals and late answers shrink it, answers in time bring it back.
    let before = shield.account();
    (0..10).for_each(|_| shield.ended(now, None, 1.0, Came::Late));
    assert!(shield.account() < 0.5 * before);
    (0..100).for_each(|_| shield.ended(now, None, 1.0, Came::FromArchive));
    assert!(shield.account() > 0.9 * before);
}

#[test]
fn a_lull_does_not_cost_the_next_rise_its_account() {
    let mut shield = Shield::new(3, 0);
    for n in 0..6_000u64 {
        shield.book(n * 100, 1.0);
        shield.ended(n * 100, None, 1.0, Came::FromArchive);
    }
    let busy = shield.account();
    assert!(busy > 100.0);
    shield.ask(600_000 + 18_000_000, 1.0, 0, false);
    assert!(shield.account() > 0.7 * busy, "half an hour later");
    shield.ask(600_000 + 600_000_000, 1.0, 0, false);
    assert!(shield.account() < 2.0, "the next day, the floor: {}", shield.account());
}

#[test]
fn a_fill_that_comes_round_is_cut_on_its_first_turn() {
    let begun = via::begin("n 1", 3);
    assert_eq!(begun, "doorgrade-n-1;most=3");
    let to_b = via::pass_on([&*begun], "a").unwrap();
    assert_eq!(to_b, "doorgrade-n-1;most=3, a");
    let to_a = via::pass_on([&*to_b], "b").unwrap();
    let ring: Vec<Box<str>> = ["a", "b", "a"].map(Into::into).into();
    assert_eq!(via::pass_on([&*to_a], "a"), Err(Cut::Ring(ring)));
    // Those that append nothing are found by depth.
    let to_d = via::pass_on([&*to_a], "c").unwrap();
    assert_eq!(via::pass_on([&*to_d], "d"), Err(Cut::TooDeep { through: 4, most: 3 }));
    // As the RFC writes them: parameters, several values, quoted commas, empty elements.
    let names =
        via::read(["foo123.foocdn.example, barcdn.example; trace=\"a,b;\\\"c\"", "AnotherCDN; x=1;y, ,"]);
    assert_eq!(names.unwrap().names, ["foo123.foocdn.example", "barcdn.example", "AnotherCDN"]);
    let long = "a,".repeat(65);
    for bad in ["a \"b", "; x=1", "a b", "a\u{1}", "\"q\"", &*long, &*"a".repeat(5_000)] {
        assert!(matches!(via::read([bad]), Err(Cut::Unreadable(_))), "{bad}");
    }
}
