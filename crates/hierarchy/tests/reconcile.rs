//! Putting a desired shape in place of another, rollbacks to an older version, and the faults of a shape.

use std::collections::BTreeMap;

use doorgrade_hierarchy::reconcile::{ShapeFault, faults, replacement};
use doorgrade_hierarchy::{ApplyOutcome, Change, ChangeKind, PendingReason, Shape, Standing};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn change(member: &str, stamp: (u64, u64), tier: u8, standing: Standing, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let kind = ChangeKind::Present { tier, standing, fills_from };
    Change { member: member.into(), incarnation: stamp.0, number: stamp.1, kind }
}

fn in_service(member: &str, tier: u8, sources: &[&str]) -> Change {
    change(member, (1, 1), tier, Standing::InService, sources)
}

fn shape(changes: &[Change]) -> Shape {
    let mut shape = Shape::new();
    changes.iter().for_each(|c| drop(shape.apply(c)));
    shape
}

/// By member: tier, standing, sources in force, and whether the newest change is in force.
type View = BTreeMap<String, (u8, Standing, Vec<String>, bool)>;

fn view(shape: &Shape) -> View {
    let members = shape.members().into_iter();
    let own = |s: &&str| (*s).to_owned();
    members
        .map(|m| {
            let from = m.fills_from.iter().map(own).collect();
            (m.name.to_owned(), (m.tier, m.standing, from, m.newest_in_force))
        })
        .collect()
}

/// Puts `desired` in place of `current`; whether that changed anything.
fn replace(current: &mut Shape, desired: &Shape) -> bool {
    let (new, outcomes) = replacement(current, &desired.changes());
    assert!(
        !outcomes.iter().any(|o| matches!(o, ApplyOutcome::Rejected(_) | ApplyOutcome::Superseded { .. })),
        "{outcomes:?}"
    );
    let changed = new.revision != current.revision;
    *current = new;
    changed
}

#[test]
fn a_rollback_undoes_changes_with_later_numbers() {
    let old = [in_service("a", 2, &[]), in_service("t1", 1, &["a"]), in_service("t2", 1, &["a"])];
    let new = [
        in_service("a", 2, &[]),
        change("t1", (1, 2), 1, Standing::Draining, &["a"]),
        in_service("t3", 1, &["a"]),
    ];
    let (old, new) = (shape(&old), shape(&new));
    let mut current = Shape::new();
    assert!(replace(&mut current, &old));
    assert!(!replace(&mut current, &old), "nothing differs, so nothing changes");
    // t1 drains, t3 is added, t2 ends.
    assert!(replace(&mut current, &new));
    assert_eq!(view(&current), view(&new));
    // The rollback: t1's older number has no effect by itself, t2 has ended, t3 has to end.
    assert!(replace(&mut current, &old));
    assert_eq!(view(&current), view(&old));
    assert_eq!(current.changes(), old.changes(), "as if nothing else had ever been in use");
}

#[test]
fn a_later_incarnation_in_the_desired_shape_is_kept() {
    let mut current = shape(&[in_service("a", 1, &[]), change("t", (7, 3), 0, Standing::InService, &["a"])]);
    let desired = shape(&[in_service("a", 1, &[]), change("t", (9, 1), 0, Standing::Draining, &["a"])]);
    replace(&mut current, &desired);
    assert_eq!(current.member("t").map(|m| (m.incarnation, m.number)), Some((9, 1)));
}

#[test]
fn faults_are_reported_with_the_member_and_the_reason() {
    let cyclic = shape(&[
        in_service("a", 2, &[]),
        in_service("t1", 1, &["t2", "a"]),
        in_service("t2", 1, &["t1", "a"]),
    ]);
    let found = faults(&cyclic, 1, 10);
    assert!(
        matches!(&found[..], [ShapeFault::Pending(pending)] if matches!(pending.reason, PendingReason::Cycle(_))),
        "{found:?}"
    );
    assert!(found[0].to_string().contains("ring: t"), "{}", found[0]);

    let empty = shape(&[in_service("a", 2, &[]), change("t1", (1, 1), 1, Standing::Draining, &["a"])]);
    assert_eq!(faults(&empty, 1, 10), [ShapeFault::EmptyTier(1)]);
    assert_eq!(faults(&Shape::new(), 1, 10), [ShapeFault::EmptyTier(1)]);

    let dependent = in_service("t3", 1, &["t2"]);
    let cut_off = shape(&[
        in_service("a", 2, &[]),
        in_service("t1", 1, &["a"]),
        in_service("t2", 1, &["nobody"]),
        dependent,
    ]);
    let found = faults(&cut_off, 1, 10);
    assert!(
        matches!(&found[0], ShapeFault::Pending(pending) if matches!(pending.reason, PendingReason::NoSource(_))),
        "{found:?}"
    );
    assert!(found.contains(&ShapeFault::CutOff("t3".into())));

    let exhausted =
        shape(&[in_service("a", 1, &[]), change("t", (u64::MAX, 1), 1, Standing::InService, &["a"])]);
    assert_eq!(faults(&exhausted, 1, 10), [ShapeFault::NumbersExhausted("t".into())]);
    assert_eq!(faults(&cut_off, 1, 1).len(), 1, "no more than `max` are reported");
    let valid =
        shape(&[in_service("a", 2, &[]), in_service("t1", 1, &["a"]), in_service("t2", 1, &["a", "t1"])]);
    assert_eq!(faults(&valid, 1, 10), []);
}

/// A random valid shape: a member's sources come before it in `names`, so that there is no cycle.
fn random_shape(rng: &mut Rng) -> Shape {
    let names = ["r", "a", "b", "c", "d", "e", "f", "g"];
    let mut changes = vec![change("r", (rng.u64(1..4), rng.u64(1..5)), 3, Standing::InService, &[])];
    for n in 1..names.len() {
        if rng.u8(0..4) == 0 {
            continue;
        }
        // Always includes the root, so that a source is in service.
        let mut sources = vec!["r"];
        let others = changes.iter().map(|c| c.member.to_string()).collect::<Vec<_>>();
        let picked: Vec<&str> =
            names[1..n].iter().copied().filter(|s| others.iter().any(|o| o == s)).collect();
        sources.extend(picked.into_iter().filter(|_| rng.bool()));
        let standing = if rng.u8(0..5) == 0 { Standing::Draining } else { Standing::InService };
        changes.push(change(names[n], (rng.u64(1..4), rng.u64(1..5)), 1, standing, &sources));
    }
    shape(&changes)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), cases: 400, ..ProptestConfig::default() })]

    /// Whatever was in use before, a desired shape is in use as if it had been the first, and putting it in place
    /// again changes nothing.
    #[test]
    fn a_desired_shape_leaves_nothing_of_those_before(seed in any::<u64>()) {
        let mut rng = Rng::with_seed(seed);
        let mut current = if rng.bool() { Shape::with_max_tombstones(2) } else { Shape::new() };
        for _ in 0..12 {
            let desired = random_shape(&mut rng);
            prop_assert_eq!(desired.pending_changes(), []);
            replace(&mut current, &desired);
            prop_assert_eq!(view(&current), view(&desired));
            prop_assert_eq!(current.changes(), desired.changes());
            prop_assert!(!replace(&mut current, &desired));
        }
    }
}

/// A change that can't be in force, here because it closes a cycle, leaves its member the sources that it had.
#[test]
fn a_member_keeps_its_sources_while_its_new_ones_can_not_be_used() {
    let sound = [in_service("a", 2, &[]), in_service("t1", 1, &["a"]), in_service("t2", 1, &["t1"])];
    let cyclic = [
        in_service("a", 2, &[]),
        change("t1", (1, 2), 1, Standing::InService, &["t2"]),
        in_service("t2", 1, &["t1"]),
    ];
    let (current, _) = replacement(&shape(&sound), &cyclic);
    assert_eq!(current.member("t1").map(|m| m.fills_from), Some(vec!["a"]));
    let (current, _) = replacement(&current, &sound);
    assert_eq!(current.changes(), shape(&sound).changes());
}
