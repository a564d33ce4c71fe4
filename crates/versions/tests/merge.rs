//! Merging and reverting changes.

// Tests have a clock.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::time::{Duration, Instant};

use doorgrade_versions::merge::{Conflict, merge, revert};
use proptest::prelude::*;

const MEMBERS: usize = 250;

/// A hierarchy like those that `doorgrade-lab config` streams, with the standing of each member.
fn members(standings: &[&str]) -> String {
    let mut text = String::from("log { level = \"info\" }\nhierarchy { tier = 1 }\n");
    text += "member \"s-000000ff\" {\n  incarnation = 1\n  number = 1\n  tier = 2\n  fills_from = []\n}\n";
    for (n, standing) in standings.iter().enumerate() {
        text += &format!(
            "member \"s-0001{n:04x}\" {{\n  incarnation = 1\n  number = 1\n  tier = 1\n  standing = \"{standing}\"\n  \
             fills_from = [\"s-000000ff\"]\n}}\n"
        );
    }
    text
}

/// All members are in service except these.
fn drained(members_drained: &[usize]) -> String {
    let standing = |n| if members_drained.contains(&n) { "draining" } else { "in_service" };
    members(&(0..MEMBERS).map(standing).collect::<Vec<_>>())
}

fn added(names: &[&str]) -> String {
    let block =
        |name: &&str| format!("member \"{name}\" {{\n  incarnation = 1\n  number = 1\n  tier = 1\n}}\n");
    drained(&[]) + &names.iter().map(block).collect::<String>()
}

fn text(merged: Result<Vec<u8>, Conflict>) -> String {
    String::from_utf8(merged.expect("no conflict")).unwrap()
}

#[test]
fn changes_of_two_members_are_merged() {
    let (base, one, two) = (drained(&[]), drained(&[3]), drained(&[200]));
    assert_eq!(text(merge(base.as_bytes(), one.as_bytes(), two.as_bytes())), drained(&[3, 200]));
}

#[test]
fn one_of_five_changes_is_reverted() {
    let (before, after) = (drained(&[10]), drained(&[10, 20]));
    let all = drained(&[10, 20, 30, 40, 50]);
    let rest = text(revert(before.as_bytes(), after.as_bytes(), all.as_bytes()));
    assert_eq!(rest, drained(&[10, 30, 40, 50]));
}

#[test]
fn of_two_added_members_the_first_is_reverted_and_the_second_stays() {
    let (none, one, two) = (added(&[]), added(&["s-a"]), added(&["s-a", "s-b"]));
    assert_eq!(text(revert(none.as_bytes(), one.as_bytes(), two.as_bytes())), added(&["s-b"]));
    // The second one is also merged alone into the proven content.
    assert_eq!(text(merge(one.as_bytes(), none.as_bytes(), two.as_bytes())), added(&["s-b"]));
}

#[test]
fn members_next_to_each_other_are_independent() {
    let base = drained(&[]);
    let first = base
        .replace("member \"s-00010000\" {\n  incarnation = 1", "member \"s-00010000\" {\n  incarnation = 2");
    let (removed, kept) = base.split_once("member \"s-00010000\"").unwrap();
    let rest = kept.split_once("}\n").unwrap().1;
    let without = format!("{removed}{rest}");
    let conflict = merge(base.as_bytes(), first.as_bytes(), without.as_bytes());
    assert!(conflict.is_err(), "one changes what the other removes");
    let next = base
        .replace("member \"s-00010001\" {\n  incarnation = 1", "member \"s-00010001\" {\n  incarnation = 2");
    let merged = text(merge(base.as_bytes(), next.as_bytes(), without.as_bytes()));
    assert_eq!(merged, next.replace(&base[removed.len()..base.len() - rest.len()], ""));
}

#[test]
fn a_conflict_names_the_lines() {
    let (base, one) = (drained(&[]), drained(&[3]));
    let two = one.replace("draining", "out");
    let conflict = revert(base.as_bytes(), one.as_bytes(), two.as_bytes()).unwrap_err();
    let line = base.lines().zip(one.lines()).position(|(a, b)| a != b).unwrap() + 1;
    assert_eq!(conflict.lines, line..line + 1);
    assert_eq!(
        conflict.to_string(),
        format!("two changes conflict at lines {line} to {line}: publish again from the newest content")
    );
}

#[test]
fn adjacent_lines_of_one_block_conflict() {
    let base = drained(&[]);
    let member = "member \"s-00010000\" {\n  incarnation = 1\n  number = 1";
    let one = base.replace(member, "member \"s-00010000\" {\n  incarnation = 2\n  number = 1");
    let two = base.replace(member, "member \"s-00010000\" {\n  incarnation = 1\n  number = 2");
    assert!(merge(base.as_bytes(), one.as_bytes(), two.as_bytes()).is_err());
}

#[test]
fn different_members_added_at_one_position_conflict_and_equal_ones_do_not() {
    let (base, one, two) = (added(&[]), added(&["s-a"]), added(&["s-b"]));
    assert!(merge(base.as_bytes(), one.as_bytes(), two.as_bytes()).is_err());
    assert_eq!(text(merge(base.as_bytes(), one.as_bytes(), one.as_bytes())), one);
}

#[test]
fn a_missing_final_line_feed_and_arbitrary_bytes_are_preserved() {
    assert_eq!(merge(b"a\nb\nc", b"A\nb\nc", b"a\nb\nc\r\n").unwrap(), b"A\nb\nc\r\n");
    assert_eq!(merge(b"", b"\xff\x00", b"").unwrap(), b"\xff\x00");
    assert_eq!(merge(b"\xff\n\n\xfe\n", b"\xff\n\n", b"x\n\xff\n\n\xfe\n").unwrap(), b"x\n\xff\n\n");
}

/// A megabyte of lines with this many distinct ones; 0: all differ.
fn hostile(seed: u64, kinds: u64) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut content = Vec::with_capacity(1 << 20);
    while content.len() < 1 << 20 {
        let line = if kinds > 0 { rng.u64(..kinds) } else { rng.u64(..) };
        content.extend_from_slice(format!("{line}\n").as_bytes());
    }
    content
}

/// The limit on compared lines bounds the time on any machine; without it, two of these cases take many
/// minutes.
#[test]
fn hostile_contents_of_a_megabyte_take_a_bounded_time() {
    let start = Instant::now();
    for kinds in [0, 1, 2, 10, 1000] {
        let (base, ours, theirs) = (hostile(1, kinds), hostile(2, kinds), hostile(3, kinds));
        let _ = merge(&base, &ours, &theirs);
        let _ = revert(&base, &ours, &theirs);
        assert!(start.elapsed() < Duration::from_secs(60), "{kinds} kinds of lines: {:?}", start.elapsed());
    }
}

#[test]
fn a_hierarchy_of_thousands_of_members_merges_changes_of_its_first_and_last() {
    let hierarchy = |first: &str, last: &str| {
        let mut standings = vec!["in_service"; 8_000];
        (standings[0], standings[7_999]) = (first, last);
        members(&standings)
    };
    let (base, one) = (hierarchy("in_service", "in_service"), hierarchy("draining", "draining"));
    let two = base.replace("number = 1\n  tier = 2", "number = 2\n  tier = 2");
    let merged = text(merge(base.as_bytes(), one.as_bytes(), two.as_bytes()));
    assert_eq!(merged, one.replace("number = 1\n  tier = 2", "number = 2\n  tier = 2"));
}

fn contents() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(prop_oneof!["[a-c]", "}", " x", ""], 0..12).prop_flat_map(|lines| {
        any::<bool>().prop_map(move |ends| {
            let mut text = lines.join("\n");
            if ends {
                text.push('\n');
            }
            text.into_bytes()
        })
    })
}

proptest! {
    #[test]
    fn a_content_merged_with_itself_or_with_the_base_is_itself(base in contents(), one in contents()) {
        prop_assert_eq!(merge(&base, &one, &one).unwrap(), one.clone());
        prop_assert_eq!(merge(&base, &one, &base).unwrap(), one.clone());
        prop_assert_eq!(merge(&base, &base, &one).unwrap(), one);
    }

    #[test]
    fn reverting_the_last_change_gives_the_content_before(before in contents(), after in contents()) {
        prop_assert_eq!(revert(&before, &after, &after).unwrap(), before);
    }

    #[test]
    fn merges_are_symmetric(base in contents(), one in contents(), two in contents()) {
        match (merge(&base, &one, &two), merge(&base, &two, &one)) {
            (Ok(a), Ok(b)) => prop_assert_eq!(a, b),
            (Err(a), Err(b)) => prop_assert_eq!(a.lines, b.lines),
            (a, b) => prop_assert!(false, "{a:?} but {b:?}"),
        }
    }

    #[test]
    fn independent_changes_can_be_merged_and_reverted_in_any_order(
        one in proptest::collection::btree_set(0..MEMBERS / 2, 1..4),
        two in proptest::collection::btree_set(MEMBERS / 2..MEMBERS, 1..4),
    ) {
        let (one, two): (Vec<_>, Vec<_>) = (one.into_iter().collect(), two.into_iter().collect());
        let (base, a, b) = (drained(&[]), drained(&one), drained(&two));
        let both = text(merge(base.as_bytes(), a.as_bytes(), b.as_bytes()));
        prop_assert_eq!(&both, &drained(&[one, two].concat()));
        prop_assert_eq!(text(revert(base.as_bytes(), a.as_bytes(), both.as_bytes())), b.clone());
        prop_assert_eq!(text(revert(a.as_bytes(), both.as_bytes(), both.as_bytes())), a);
    }

    #[test]
    fn arbitrary_bytes_are_handled(
        base in proptest::collection::vec(any::<u8>(), 0..200),
        one in proptest::collection::vec(any::<u8>(), 0..200),
        two in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = merge(&base, &one, &two);
        let _ = revert(&base, &one, &two);
    }
}
