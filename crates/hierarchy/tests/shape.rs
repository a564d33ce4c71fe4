//! The shape against a reference implementation that evaluates the whole set of changes each time, by other means.

use std::collections::{BTreeMap, BTreeSet};

use doorgrade_hierarchy::shape::{MAX_CHANGES_PER_MEMBER, Rejection};
use doorgrade_hierarchy::{ApplyOutcome, Change, ChangeKind, PendingReason, Shape, Standing};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn present(member: &str, incarnation: u64, number: u64, tier: u8, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let kind = ChangeKind::Present { tier, standing: Standing::InService, fills_from };
    Change { member: member.into(), incarnation, number, kind }
}

fn gone(member: &str, incarnation: u64) -> Change {
    Change { member: member.into(), incarnation, number: 0, kind: ChangeKind::Gone }
}

fn apply_all(shape: &mut Shape, changes: &[Change]) {
    changes.iter().for_each(|c| drop(shape.apply(c)));
}

/// By member: tier, standing, sources in force, and whether the newest change is in force.
type View = BTreeMap<String, (u8, Standing, Vec<String>, bool)>;

fn view(shape: &Shape) -> View {
    let state = |m: &doorgrade_hierarchy::shape::Member<'_>| {
        (m.tier, m.standing, m.fills_from.iter().map(|&s| s.to_owned()).collect(), m.newest_in_force)
    };
    shape.members().iter().map(|m| (m.name.to_owned(), state(m))).collect()
}

/// The members that a set of changes results in, following the opening comment of `shape.rs` literally.
fn expected(applied: &[Change]) -> View {
    let mut ended: BTreeMap<&str, u64> = BTreeMap::new();
    for c in applied.iter().filter(|c| c.kind == ChangeKind::Gone) {
        let known = ended.entry(&c.member).or_default();
        *known = (*known).max(c.incarnation);
    }
    type Stored<'a> = ((u64, u64), u8, Standing, Vec<&'a str>);
    let mut changes: BTreeMap<&str, Vec<Stored<'_>>> = BTreeMap::new();
    for c in applied {
        let ChangeKind::Present { tier, standing, fills_from } = &c.kind else { continue };
        if fills_from.contains(&c.member) || ended.get(&*c.member).is_some_and(|&e| c.incarnation <= e) {
            continue;
        }
        let sources = fills_from.iter().map(|s| &**s).collect();
        changes.entry(&c.member).or_default().push(((c.incarnation, c.number), *tier, *standing, sources));
    }
    for list in changes.values_mut() {
        list.sort_by_key(|c| std::cmp::Reverse(c.0));
        list.dedup();
        list.truncate(MAX_CHANGES_PER_MEMBER);
    }
    let tier = |m: &str| changes.get(m).map(|c| c[0].1);
    let in_service = |m: &str| changes.get(m).is_some_and(|c| c[0].2 == Standing::InService);
    let edges = |m: &str, n: usize| -> Vec<&str> {
        let change = changes[m].get(n);
        change.map_or(vec![], |c| c.3.iter().copied().filter(|s| in_service(s)).collect())
    };
    let usable = |m: &str, n: usize| {
        let sources = edges(m, n);
        changes[m][n].3.is_empty() || !sources.is_empty() && sources.iter().all(|s| tier(s) >= tier(m))
    };
    let next =
        |m: &str, start: usize| (start..changes[m].len()).find(|&n| usable(m, n)).unwrap_or(changes[m].len());
    let mut in_force: BTreeMap<&str, usize> = changes.keys().map(|&m| (m, next(m, 0))).collect();
    loop {
        let mut reachable: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for &m in changes.keys() {
            let (mut found, mut stack) = (BTreeSet::new(), vec![m]);
            while let Some(x) = stack.pop() {
                stack.extend(edges(x, in_force[x]).into_iter().filter(|&s| found.insert(s)));
            }
            reachable.insert(m, found);
        }
        let cyclic: Vec<&str> = changes.keys().copied().filter(|m| reachable[m].contains(m)).collect();
        if cyclic.is_empty() {
            break;
        }
        let number = |m: &str| changes[m][in_force[m]].0.1;
        let skipped: Vec<&str> = cyclic
            .iter()
            .copied()
            .filter(|&m| {
                let cycle = cyclic.iter().filter(|&&o| reachable[m].contains(o) && reachable[o].contains(m));
                cycle.clone().all(|&o| (number(o), o) <= (number(m), m))
            })
            .collect();
        for m in skipped {
            in_force.insert(m, next(m, in_force[m] + 1));
        }
    }
    let state = |m: &&str| {
        let sources = edges(m, in_force[m]).iter().map(|&s| s.to_owned()).collect();
        ((*m).to_owned(), (changes[m][0].1, changes[m][0].2, sources, in_force[m] == 0))
    };
    changes.keys().map(state).collect()
}

fn change() -> impl Strategy<Value = Change> {
    let name = || (0..7u8).prop_map(|n| format!("m-{n}").into_boxed_str());
    let standing = prop_oneof![6 => Just(Standing::InService), 1 => Just(Standing::Draining)];
    let kind = prop_oneof![
        8 => (1..4u8, standing, prop::collection::btree_set(name(), 0..3)).prop_map(|(tier, standing, s)| {
            ChangeKind::Present { tier, standing, fills_from: s.into_iter().collect() }
        }),
        1 => Just(ChangeKind::Gone),
    ];
    (name(), 1..4u64, 0..40u64, kind).prop_map(|(member, incarnation, number, kind)| Change {
        member,
        incarnation,
        number,
        kind,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order, with repeats and gaps: after each change the shape is what the set applied so far results in.
    #[test]
    fn the_same_changes_give_the_same_shape(
        all in prop::collection::vec(change(), 1..60),
        order in any::<prop::sample::Index>(),
        seed in any::<u64>(),
    ) {
        // At most one change for each number here; conflicting changes are tested below.
        let mut by_number = BTreeMap::new();
        for c in &all {
            let is_end = c.kind == ChangeKind::Gone;
            by_number.entry((c.member.clone(), c.incarnation, c.number, is_end)).or_insert_with(|| c.clone());
        }
        let all: Vec<Change> = by_number.into_values().collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut shape, mut applied) = (Shape::new(), Vec::new());
        let mut shuffled = all.clone();
        rng.shuffle(&mut shuffled);
        let repeat_count = order.index(shuffled.len());
        shuffled.extend(all[..all.len().min(repeat_count)].to_vec());
        for c in shuffled {
            shape.apply(&c);
            applied.push(c);
            prop_assert_eq!(view(&shape), expected(&applied));
            prop_assert!(shape.name_count() <= 7);
        }
        let mut rebuilt = Shape::new();
        apply_all(&mut rebuilt, &shape.changes());
        prop_assert_eq!(view(&rebuilt), view(&shape));
        let mut other = Shape::new();
        rng.shuffle(&mut applied);
        apply_all(&mut other, &applied);
        prop_assert_eq!(other.changes(), shape.changes());
    }

    /// With room for two tombstones: ended members stay ended, and the table stays within its bound.
    #[test]
    fn ended_members_do_not_come_back(all in prop::collection::vec(change(), 1..200)) {
        let (mut shape, mut ended) = (Shape::with_max_tombstones(2), BTreeMap::<Box<str>, u64>::new());
        for c in all {
            shape.apply(&c);
            if c.kind == ChangeKind::Gone {
                let known = ended.entry(c.member.clone()).or_default();
                *known = (*known).max(c.incarnation);
            }
            let is_revived = |m: &doorgrade_hierarchy::shape::Member<'_>| {
                ended.get(m.name).is_some_and(|&e| m.incarnation <= e)
            };
            prop_assert!(!shape.members().iter().any(is_revived));
            prop_assert!(shape.tombstones().0 <= 2 && shape.name_count() <= 7);
        }
    }
}

/// Two changes that are both fine in their order, but close a cycle when the second arrives first.
#[test]
fn a_cycle_made_by_the_order_of_arrival_is_reported_and_resolves_itself() {
    let mut shape = Shape::new();
    apply_all(
        &mut shape,
        &[
            present("archive", 1, 1, 3, &[]),
            present("up", 1, 1, 2, &["archive"]),
            present("a", 1, 1, 1, &["up"]),
            present("b", 1, 1, 1, &["a"]),
        ],
    );
    // Intended: b fills from `up`, then a from b. The second change arrives first.
    let cycle = ApplyOutcome::Pending(PendingReason::Cycle(vec!["a".into(), "b".into()]));
    assert_eq!(shape.apply(&present("a", 1, 3, 1, &["b"])), cycle);
    assert_eq!(shape.member("a").unwrap().fills_from, ["up"], "it keeps its previous source");
    assert_eq!(shape.member("b").unwrap().fills_from, ["a"]);
    assert_eq!(shape.pending_changes().len(), 1);
    assert_eq!(shape.apply(&present("b", 1, 2, 1, &["up"])), ApplyOutcome::Applied);
    assert_eq!(shape.member("a").unwrap().fills_from, ["b"], "the pending change comes into force by itself");
    assert!(shape.pending_changes().is_empty());
    assert_eq!(shape.depth(), 4);
}

#[test]
fn a_long_cycle_is_reported_whole() {
    let mut shape = Shape::new();
    let names: Vec<String> = (0..50).map(|n| format!("t-{n:02}")).collect();
    apply_all(&mut shape, &[present("archive", 1, 1, 2, &[])]);
    apply_all(&mut shape, &[present(&names[0], 1, 1, 1, &["archive"])]);
    for pair in names.windows(2) {
        apply_all(&mut shape, &[present(&pair[1], 1, 1, 1, &[&pair[0]])]);
    }
    let ApplyOutcome::Pending(PendingReason::Cycle(cycle)) =
        shape.apply(&present("t-00", 1, 2, 1, &["t-49"]))
    else {
        panic!()
    };
    assert_eq!((cycle.len(), &*cycle[0], &*cycle[1], &*cycle[49]), (50, "t-00", "t-49", "t-01"));
    assert_eq!(shape.member("t-00").unwrap().fills_from, ["archive"]);
}

#[test]
fn a_whole_tier_ends_and_comes_back() {
    let mut shape = Shape::new();
    let tier: Vec<String> = (0..5).map(|n| format!("t-{n}")).collect();
    apply_all(&mut shape, &[present("archive", 1, 1, 3, &[])]);
    tier.iter().for_each(|t| apply_all(&mut shape, &[present(t, 1, 1, 2, &["archive"])]));
    apply_all(&mut shape, &[present("e", 1, 1, 1, &["t-0", "t-1"])]);
    tier.iter().for_each(|t| apply_all(&mut shape, &[gone(t, 1)]));
    let reason = PendingReason::NoSource(vec!["t-0".into(), "t-1".into()]);
    assert_eq!(shape.pending_changes().iter().map(|a| &a.reason).collect::<Vec<_>>(), [&reason]);
    assert!(!shape.reaches_root("e"));
    // A late change of an ended incarnation is rejected; a new incarnation is accepted.
    let late = shape.apply(&present("t-0", 1, 9, 2, &["archive"]));
    assert_eq!(late, ApplyOutcome::Rejected(Rejection::IncarnationEnded { ended: 1 }));
    tier.iter().for_each(|t| apply_all(&mut shape, &[present(t, 2, 1, 2, &["archive"])]));
    assert!(shape.pending_changes().is_empty() && shape.reaches_root("e"));
    apply_all(&mut shape, &[gone("archive", 1)]);
    assert!(!shape.reaches_root("e"), "the archive is gone, too");
}

#[test]
fn unusable_changes_are_rejected_or_pending_with_a_reason_and_disturb_nothing() {
    let mut shape = Shape::new();
    apply_all(
        &mut shape,
        &[
            present("archive", 5, 1, 3, &[]),
            present("up", 5, 1, 2, &["archive"]),
            present("low", 5, 1, 1, &["up"]),
        ],
    );
    let before = (view(&shape), shape.revision);
    let cases = [
        (present("low", 5, 2, 1, &["up", "low"]), ApplyOutcome::Rejected(Rejection::SelfSource)),
        (present("low", 5, 2, 16, &["up"]), ApplyOutcome::Rejected(Rejection::InvalidTier(16))),
        (present("low", 5, 2, 1, &["a b"]), ApplyOutcome::Rejected(Rejection::InvalidName)),
        (
            present("low", 5, 2, 1, &["1", "2", "3", "4", "5", "6", "7", "8", "9"]),
            ApplyOutcome::Rejected(Rejection::TooManySources(9)),
        ),
        (present("low", 5, 1, 1, &["archive"]), ApplyOutcome::Rejected(Rejection::Conflict)),
        (present("low", 4, 9, 1, &["archive"]), ApplyOutcome::Superseded { incarnation: 5, number: 1 }),
        (present("low", 5, 1, 1, &["up"]), ApplyOutcome::Duplicate),
    ];
    for (change, outcome) in cases {
        assert_eq!(shape.apply(&change), outcome);
        // Of two conflicting changes the same one is kept in either order.
        if outcome == ApplyOutcome::Rejected(Rejection::Conflict) {
            let mut other = Shape::new();
            apply_all(&mut other, &[change.clone(), present("low", 5, 1, 1, &["up"])]);
            assert_eq!(
                other.changes()[0],
                shape.changes().iter().find(|c| &*c.member == "low").unwrap().clone()
            );
        }
    }
    assert_eq!(view(&shape), before.0);
    // An unknown source, and one in a lower tier: the changes are pending, and the previous sources stay in force.
    let outcome = shape.apply(&present("low", 5, 3, 1, &["nobody"]));
    assert_eq!(outcome, ApplyOutcome::Pending(PendingReason::NoSource(vec!["nobody".into()])));
    let reason = PendingReason::LowerTier { source: "low".into(), tier: 1, own_tier: 2 };
    assert_eq!(shape.apply(&present("up", 5, 2, 2, &["low"])), ApplyOutcome::Pending(reason));
    assert_eq!(shape.member("low").unwrap().fills_from, ["up"]);
    assert_eq!(shape.member("up").unwrap().fills_from, ["archive"]);
    apply_all(&mut shape, &[present("nobody", 1, 1, 2, &["archive"])]);
    assert_eq!(shape.member("low").unwrap().fills_from, ["nobody"], "in force once the source is known");
}
