//! Shapes that come whole: what leads there, back again, and which would do harm.

use std::collections::BTreeMap;

use doorgrade_hierarchy::aim::{Harm, aim, harms};
use doorgrade_hierarchy::{Change, Heard, Shape, Standing, Told, Why};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn stands(member: &str, stamp: (u64, u64), tier: u8, standing: Standing, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let told = Told::Stands { tier, standing, fills_from };
    Change { member: member.into(), incarnation: stamp.0, number: stamp.1, told }
}

fn plain(member: &str, tier: u8, sources: &[&str]) -> Change {
    stands(member, (1, 1), tier, Standing::InService, sources)
}

fn shape(changes: &[Change]) -> Shape {
    let mut shape = Shape::new();
    changes.iter().for_each(|c| drop(shape.hear(c)));
    shape
}

type Seen = BTreeMap<String, (u8, Standing, Vec<String>, bool)>;

fn seen(shape: &Shape) -> Seen {
    let members = shape.members().into_iter();
    let own = |s: &&str| (*s).to_owned();
    members
        .map(|m| {
            let from = m.fills_from.iter().map(own).collect();
            (m.name.to_owned(), (m.tier, m.standing, from, m.newest))
        })
        .collect()
}

/// Goes from one to the other, and says how many changes it took.
fn go(now: &mut Shape, wanted: &Shape) -> usize {
    let changes = aim(now, wanted);
    for change in &changes {
        let heard = now.hear(change);
        assert!(!matches!(heard, Heard::Refused(_) | Heard::Late { .. }), "{change:?}: {heard:?}");
    }
    changes.len()
}

#[test]
fn going_back_to_an_older_version_undoes_what_later_numbers_had_told() {
    let old = [plain("a", 2, &[]), plain("t1", 1, &["a"]), plain("t2", 1, &["a"])];
    let new =
        [plain("a", 2, &[]), stands("t1", (1, 2), 1, Standing::Draining, &["a"]), plain("t3", 1, &["a"])];
    let (old, new) = (shape(&old), shape(&new));
    let mut now = Shape::new();
    assert_eq!(go(&mut now, &old), 3);
    assert_eq!(go(&mut now, &old), 0, "what stands is not told again");
    // t1 drains, t3 comes, t2 is not wanted any more.
    assert_eq!(go(&mut now, &new), 3);
    assert_eq!(seen(&now), seen(&new));
    // Back: t1's older number says nothing by itself, t2 has ended, t3 goes.
    assert_eq!(go(&mut now, &old), 3);
    assert_eq!(seen(&now), seen(&old));
    assert_eq!(now.member("t2").map(|m| m.incarnation), Some(2), "whoever had ended starts once more");
}

#[test]
fn a_member_that_started_anew_by_its_own_word_keeps_its_incarnation() {
    let mut now = shape(&[plain("a", 1, &[]), stands("t", (7, 3), 0, Standing::InService, &["a"])]);
    let wanted = shape(&[plain("a", 1, &[]), stands("t", (9, 1), 0, Standing::Draining, &["a"])]);
    go(&mut now, &wanted);
    assert_eq!(now.member("t").map(|m| (m.incarnation, m.number)), Some((9, 1)));
}

#[test]
fn shapes_that_would_do_harm_are_named_with_the_member_and_the_reason() {
    let ring = shape(&[plain("a", 2, &[]), plain("t1", 1, &["t2", "a"]), plain("t2", 1, &["t1", "a"])]);
    let found = harms(&ring, 1, 10);
    assert!(matches!(&found[..], [Harm::Aside(aside)] if matches!(aside.why, Why::Ring(_))), "{found:?}");
    assert!(found[0].to_string().contains("ring: t"), "{}", found[0]);

    let empty = shape(&[plain("a", 2, &[]), stands("t1", (1, 1), 1, Standing::Draining, &["a"])]);
    assert_eq!(harms(&empty, 1, 10), [Harm::EmptyTier(1)]);
    assert_eq!(harms(&Shape::new(), 1, 10), [Harm::EmptyTier(1)]);

    let below = plain("t3", 1, &["t2"]);
    let lost = shape(&[plain("a", 2, &[]), plain("t1", 1, &["a"]), plain("t2", 1, &["nobody"]), below]);
    let found = harms(&lost, 1, 10);
    assert!(matches!(&found[0], Harm::Aside(aside) if matches!(aside.why, Why::NoSource(_))), "{found:?}");
    assert!(found.contains(&Harm::CutOff("t3".into())));

    let spent = shape(&[plain("a", 1, &[]), stands("t", (u64::MAX, 1), 1, Standing::InService, &["a"])]);
    assert_eq!(harms(&spent, 1, 10), [Harm::Spent("t".into())]);
    assert_eq!(harms(&lost, 1, 1).len(), 1, "no more is told than asked for");
    let sound = shape(&[plain("a", 2, &[]), plain("t1", 1, &["a"]), plain("t2", 1, &["a", "t1"])]);
    assert_eq!(harms(&sound, 1, 10), []);
}

/// A shape of some members that is as told: sources stand in a later place, so nothing closes a ring.
fn sound(rng: &mut Rng) -> Shape {
    let names = ["r", "a", "b", "c", "d", "e", "f", "g"];
    let mut changes = vec![stands("r", (rng.u64(1..4), rng.u64(1..5)), 3, Standing::InService, &[])];
    for n in 1..names.len() {
        if rng.u8(0..4) == 0 {
            continue;
        }
        // The root is always one of them, so that it has a source in service.
        let mut sources = vec!["r"];
        let others = changes.iter().map(|c| c.member.to_string()).collect::<Vec<_>>();
        let picked: Vec<&str> =
            names[1..n].iter().copied().filter(|s| others.iter().any(|o| o == s)).collect();
        sources.extend(picked.into_iter().filter(|_| rng.bool()));
        let standing = if rng.u8(0..5) == 0 { Standing::Draining } else { Standing::InService };
        changes.push(stands(names[n], (rng.u64(1..4), rng.u64(1..5)), 1, standing, &sources));
    }
    shape(&changes)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), cases: 400, ..ProptestConfig::default() })]

    /// Whatever was in use, also by members' own word, what is wanted stands after one turn, and no turn is needed then.
    #[test]
    fn what_is_wanted_stands(seed in any::<u64>()) {
        let mut rng = Rng::with_seed(seed);
        let mut now = if rng.bool() { Shape::remembering(2) } else { Shape::new() };
        for _ in 0..12 {
            let wanted = sound(&mut rng);
            prop_assert_eq!(wanted.asides(), []);
            go(&mut now, &wanted);
            prop_assert_eq!(seen(&now), seen(&wanted));
            prop_assert_eq!(go(&mut now, &wanted), 0);
        }
    }
}
