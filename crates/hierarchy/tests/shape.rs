//! The shape against an oracle that looks at all that was heard, anew each time and by other means.

use std::collections::{BTreeMap, BTreeSet};

use doorgrade_hierarchy::shape::{DEPTH, Refusal};
use doorgrade_hierarchy::{Change, Heard, Shape, Standing, Told, Why};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn stands(member: &str, incarnation: u64, number: u64, tier: u8, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let told = Told::Stands { tier, standing: Standing::InService, fills_from };
    Change { member: member.into(), incarnation, number, told }
}

fn gone(member: &str, incarnation: u64) -> Change {
    Change { member: member.into(), incarnation, number: 0, told: Told::Gone }
}

fn hear(shape: &mut Shape, changes: &[Change]) {
    changes.iter().for_each(|c| drop(shape.hear(c)));
}

/// Tier, standing, sources in force, whether the newest change is in force.
type Seen = BTreeMap<String, (u8, Standing, Vec<String>, bool)>;

fn seen(shape: &Shape) -> Seen {
    let of = |m: &doorgrade_hierarchy::shape::Member<'_>| {
        (m.tier, m.standing, m.fills_from.iter().map(|&s| s.to_owned()).collect(), m.newest)
    };
    shape.members().iter().map(|m| (m.name.to_owned(), of(m))).collect()
}

/// What a set of changes comes to, by the opening comment of `shape.rs` read literally.
fn oracle(heard: &[Change]) -> Seen {
    let mut ended: BTreeMap<&str, u64> = BTreeMap::new();
    for c in heard.iter().filter(|c| c.told == Told::Gone) {
        let known = ended.entry(&c.member).or_default();
        *known = (*known).max(c.incarnation);
    }
    type Word<'a> = ((u64, u64), u8, Standing, Vec<&'a str>);
    let mut words: BTreeMap<&str, Vec<Word<'_>>> = BTreeMap::new();
    for c in heard {
        let Told::Stands { tier, standing, fills_from } = &c.told else { continue };
        if fills_from.contains(&c.member) || ended.get(&*c.member).is_some_and(|&e| c.incarnation <= e) {
            continue;
        }
        let sources = fills_from.iter().map(|s| &**s).collect();
        words.entry(&c.member).or_default().push(((c.incarnation, c.number), *tier, *standing, sources));
    }
    for list in words.values_mut() {
        list.sort_by_key(|w| std::cmp::Reverse(w.0));
        list.dedup();
        list.truncate(DEPTH);
    }
    let tier = |m: &str| words.get(m).map(|w| w[0].1);
    let serves = |m: &str| words.get(m).is_some_and(|w| w[0].2 == Standing::InService);
    let edges = |m: &str, n: usize| -> Vec<&str> {
        let word = words[m].get(n);
        word.map_or(vec![], |w| w.3.iter().copied().filter(|s| serves(s)).collect())
    };
    let usable = |m: &str, n: usize| {
        let live = edges(m, n);
        words[m][n].3.is_empty() || !live.is_empty() && live.iter().all(|s| tier(s) >= tier(m))
    };
    let next =
        |m: &str, from: usize| (from..words[m].len()).find(|&n| usable(m, n)).unwrap_or(words[m].len());
    let mut at: BTreeMap<&str, usize> = words.keys().map(|&m| (m, next(m, 0))).collect();
    loop {
        let mut reach: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for &m in words.keys() {
            let (mut found, mut stack) = (BTreeSet::new(), vec![m]);
            while let Some(x) = stack.pop() {
                stack.extend(edges(x, at[x]).into_iter().filter(|&s| found.insert(s)));
            }
            reach.insert(m, found);
        }
        let ringed: Vec<&str> = words.keys().copied().filter(|m| reach[m].contains(m)).collect();
        if ringed.is_empty() {
            break;
        }
        let number = |m: &str| words[m][at[m]].0.1;
        let gives_way: Vec<&str> = ringed
            .iter()
            .copied()
            .filter(|&m| {
                let ring = ringed.iter().filter(|&&o| reach[m].contains(o) && reach[o].contains(m));
                ring.clone().all(|&o| (number(o), o) <= (number(m), m))
            })
            .collect();
        for m in gives_way {
            at.insert(m, next(m, at[m] + 1));
        }
    }
    let of = |m: &&str| {
        let sources = edges(m, at[m]).iter().map(|&s| s.to_owned()).collect();
        ((*m).to_owned(), (words[m][0].1, words[m][0].2, sources, at[m] == 0))
    };
    words.keys().map(of).collect()
}

fn change() -> impl Strategy<Value = Change> {
    let name = || (0..7u8).prop_map(|n| format!("m-{n}").into_boxed_str());
    let standing = prop_oneof![6 => Just(Standing::InService), 1 => Just(Standing::Draining)];
    let told = prop_oneof![
        8 => (1..4u8, standing, prop::collection::btree_set(name(), 0..3)).prop_map(|(tier, standing, s)| {
            Told::Stands { tier, standing, fills_from: s.into_iter().collect() }
        }),
        1 => Just(Told::Gone),
    ];
    (name(), 1..4u64, 0..40u64, told).prop_map(|(member, incarnation, number, told)| Change {
        member,
        incarnation,
        number,
        told,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any order, repeats and gaps: after each change the shape is what the set heard so far comes to.
    #[test]
    fn the_same_changes_give_the_same_shape(
        all in prop::collection::vec(change(), 1..60),
        order in any::<prop::sample::Index>(),
        seed in any::<u64>(),
    ) {
        // Of two changes with one number only one is told here; `contradictions` has them.
        let mut by_number = BTreeMap::new();
        for c in &all {
            let end = c.told == Told::Gone;
            by_number.entry((c.member.clone(), c.incarnation, c.number, end)).or_insert_with(|| c.clone());
        }
        let all: Vec<Change> = by_number.into_values().collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut shape, mut heard) = (Shape::new(), Vec::new());
        let mut shuffled = all.clone();
        rng.shuffle(&mut shuffled);
        let cut = order.index(shuffled.len());
        shuffled.extend(all[..all.len().min(cut)].to_vec());
        for c in shuffled {
            shape.hear(&c);
            heard.push(c);
            prop_assert_eq!(seen(&shape), oracle(&heard));
            prop_assert!(shape.names() <= 7);
        }
        let mut told_again = Shape::new();
        hear(&mut told_again, &shape.changes());
        prop_assert_eq!(seen(&told_again), seen(&shape));
        let mut other = Shape::new();
        rng.shuffle(&mut heard);
        hear(&mut other, &heard);
        prop_assert_eq!(other.changes(), shape.changes());
    }

    /// With room for two of the dead: they stay dead, and the table never grows.
    #[test]
    fn the_forgotten_do_not_come_back(all in prop::collection::vec(change(), 1..200)) {
        let (mut shape, mut ended) = (Shape::remembering(2), BTreeMap::<Box<str>, u64>::new());
        for c in all {
            shape.hear(&c);
            if c.told == Told::Gone {
                let known = ended.entry(c.member.clone()).or_default();
                *known = (*known).max(c.incarnation);
            }
            let back = |m: &doorgrade_hierarchy::shape::Member<'_>| {
                ended.get(m.name).is_some_and(|&e| m.incarnation <= e)
            };
            prop_assert!(!shape.members().iter().any(back));
            prop_assert!(shape.dead().0 <= 2 && shape.names() <= 7);
        }
    }
}

/// Two changes, each sound, that close a loop when the second comes first.
#[test]
fn a_loop_made_by_the_order_of_arrival_is_named_and_resolves_itself() {
    let mut shape = Shape::new();
    hear(
        &mut shape,
        &[
            stands("archive", 1, 1, 3, &[]),
            stands("up", 1, 1, 2, &["archive"]),
            stands("a", 1, 1, 1, &["up"]),
            stands("b", 1, 1, 1, &["a"]),
        ],
    );
    // Meant: b goes under `up`, then a under b. The second is heard first.
    let ring = Heard::Aside(Why::Ring(vec!["a".into(), "b".into()]));
    assert_eq!(shape.hear(&stands("a", 1, 3, 1, &["b"])), ring);
    assert_eq!(shape.member("a").unwrap().fills_from, ["up"], "it keeps its last sound source");
    assert_eq!(shape.member("b").unwrap().fills_from, ["a"]);
    assert_eq!(shape.asides().len(), 1);
    assert_eq!(shape.hear(&stands("b", 1, 2, 1, &["up"])), Heard::Taken);
    assert_eq!(shape.member("a").unwrap().fills_from, ["b"], "what waited is taken by itself");
    assert!(shape.asides().is_empty());
    assert_eq!(shape.depth(), 4);
}

#[test]
fn a_long_ring_is_named_whole() {
    let mut shape = Shape::new();
    let names: Vec<String> = (0..50).map(|n| format!("t-{n:02}")).collect();
    hear(&mut shape, &[stands("archive", 1, 1, 2, &[])]);
    hear(&mut shape, &[stands(&names[0], 1, 1, 1, &["archive"])]);
    for pair in names.windows(2) {
        hear(&mut shape, &[stands(&pair[1], 1, 1, 1, &[&pair[0]])]);
    }
    let Heard::Aside(Why::Ring(ring)) = shape.hear(&stands("t-00", 1, 2, 1, &["t-49"])) else { panic!() };
    assert_eq!((ring.len(), &*ring[0], &*ring[1], &*ring[49]), (50, "t-00", "t-49", "t-01"));
    assert_eq!(shape.member("t-00").unwrap().fills_from, ["archive"]);
}

#[test]
fn a_tier_leaves_at_once_and_comes_back() {
    let mut shape = Shape::new();
    let tier: Vec<String> = (0..5).map(|n| format!("t-{n}")).collect();
    hear(&mut shape, &[stands("archive", 1, 1, 3, &[])]);
    tier.iter().for_each(|t| hear(&mut shape, &[stands(t, 1, 1, 2, &["archive"])]));
    hear(&mut shape, &[stands("e", 1, 1, 1, &["t-0", "t-1"])]);
    tier.iter().for_each(|t| hear(&mut shape, &[gone(t, 1)]));
    let cut_off = Why::NoSource(vec!["t-0".into(), "t-1".into()]);
    assert_eq!(shape.asides().iter().map(|a| &a.why).collect::<Vec<_>>(), [&cut_off]);
    assert!(!shape.reaches_root("e"));
    // Late word of the dead changes nothing; a new incarnation does.
    let late = shape.hear(&stands("t-0", 1, 9, 2, &["archive"]));
    assert_eq!(late, Heard::Refused(Refusal::Dead { ended: 1 }));
    tier.iter().for_each(|t| hear(&mut shape, &[stands(t, 2, 1, 2, &["archive"])]));
    assert!(shape.asides().is_empty() && shape.reaches_root("e"));
    hear(&mut shape, &[gone("archive", 1)]);
    assert!(!shape.reaches_root("e"), "the last one is gone, too");
}

#[test]
fn what_cannot_be_used_is_refused_with_its_reason_and_disturbs_nothing() {
    let mut shape = Shape::new();
    hear(
        &mut shape,
        &[
            stands("archive", 5, 1, 3, &[]),
            stands("up", 5, 1, 2, &["archive"]),
            stands("low", 5, 1, 1, &["up"]),
        ],
    );
    let before = (seen(&shape), shape.revision);
    let refused = [
        (stands("low", 5, 2, 1, &["up", "low"]), Heard::Refused(Refusal::Itself)),
        (stands("low", 5, 2, 16, &["up"]), Heard::Refused(Refusal::Tier(16))),
        (stands("low", 5, 2, 1, &["a b"]), Heard::Refused(Refusal::Name)),
        (
            stands("low", 5, 2, 1, &["1", "2", "3", "4", "5", "6", "7", "8", "9"]),
            Heard::Refused(Refusal::Sources(9)),
        ),
        (stands("low", 5, 1, 1, &["archive"]), Heard::Refused(Refusal::Contradicts)),
        (stands("low", 4, 9, 1, &["archive"]), Heard::Late { incarnation: 5, number: 1 }),
        (stands("low", 5, 1, 1, &["up"]), Heard::Known),
    ];
    for (change, heard) in refused {
        assert_eq!(shape.hear(&change), heard);
        // Of two that contradict each other one stands, the same in any order.
        if heard == Heard::Refused(Refusal::Contradicts) {
            let mut other = Shape::new();
            hear(&mut other, &[change.clone(), stands("low", 5, 1, 1, &["up"])]);
            assert_eq!(
                other.changes()[0],
                shape.changes().iter().find(|c| &*c.member == "low").unwrap().clone()
            );
        }
    }
    assert_eq!(seen(&shape), before.0);
    // An unknown source, and one below: they stand aside, and the last sound source stays.
    let aside = shape.hear(&stands("low", 5, 3, 1, &["nobody"]));
    assert_eq!(aside, Heard::Aside(Why::NoSource(vec!["nobody".into()])));
    let why = Why::LowerTier { source: "low".into(), tier: 1, own: 2 };
    assert_eq!(shape.hear(&stands("up", 5, 2, 2, &["low"])), Heard::Aside(why));
    assert_eq!(shape.member("low").unwrap().fills_from, ["up"]);
    assert_eq!(shape.member("up").unwrap().fills_from, ["archive"]);
    hear(&mut shape, &[stands("nobody", 1, 1, 2, &["archive"])]);
    assert_eq!(shape.member("low").unwrap().fills_from, ["nobody"], "taken once it is known");
}
