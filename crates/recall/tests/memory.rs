//! What is remembered, for how long, and from whom: single cases, and random runs against a simple model.

use std::collections::BTreeMap;

use doorgrade::Ticks;
use doorgrade_recall::{DropReason, Fill, Memory, Purge, Rules, Snapshot, SnapshotRejection, Source};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Ticks = 10_000;
const NOW: Ticks = 1_000 * SECOND;

fn rules() -> Rules {
    Rules { fresh_times: vec![8 * SECOND, 0, 20 * SECOND], purge_done: 6 * SECOND, max_fills: 50 }
}

fn fill(object: u64, made_at: Ticks, requested_at: Ticks) -> Fill {
    Fill { offering: 0, object, part: 0, group: (object % 4) as u16, made_at, requested_at }
}

fn import_one(memory: &mut Memory, now: Ticks, fill: Fill) -> Result<(), DropReason> {
    let (imported, _, stats) = memory.import(now, Source::Neighbour, &[fill], &[]);
    assert_eq!(imported.len() as u64, stats.fills);
    match stats.dropped.into_keys().next() {
        Some(reason) => Err(reason),
        None => Ok(()),
    }
}

#[test]
fn imported_fills_never_overrule_own_ones() {
    let mut memory = Memory::new(rules());
    memory.record_fill(NOW, fill(1, NOW - 2 * SECOND, NOW));
    assert_eq!(
        import_one(&mut memory, NOW + 1, fill(1, NOW - SECOND, NOW + 1)),
        Err(DropReason::SeenLocally)
    );
    assert_eq!(memory.valid(NOW + 1).0, [fill(1, NOW - 2 * SECOND, NOW)]);
    // Of two imported ones the one requested last stays; if these are equal, the younger copy.
    assert_eq!(import_one(&mut memory, NOW, fill(2, NOW - 3 * SECOND, NOW - SECOND)), Ok(()));
    assert_eq!(
        import_one(&mut memory, NOW, fill(2, NOW - SECOND, NOW - 2 * SECOND)),
        Err(DropReason::Outdated)
    );
    assert_eq!(import_one(&mut memory, NOW, fill(2, NOW - 2 * SECOND, NOW - SECOND)), Ok(()));
    // A fill that the front sees itself replaces all of them, even if its copy is older.
    memory.record_fill(NOW, fill(2, NOW - 7 * SECOND, NOW - 5 * SECOND));
    assert_eq!(
        memory.valid(NOW).0.iter().find(|f| f.object == 2),
        Some(&fill(2, NOW - 7 * SECOND, NOW - 5 * SECOND))
    );
}

#[test]
fn invalid_fills_are_dropped_with_a_reason() {
    let mut memory = Memory::new(rules());
    memory.record_purge(NOW, Purge { object: Some(3), group: 3, at: NOW - SECOND });
    memory.record_purge(NOW, Purge { object: None, group: 2, at: NOW - SECOND });
    let cases = [
        (fill(1, NOW - 8 * SECOND, NOW), Err(DropReason::Expired)),
        (fill(1, NOW + SECOND, NOW), Err(DropReason::Future)),
        (fill(3, NOW - 2 * SECOND, NOW), Err(DropReason::Purged)),
        (fill(6, NOW - 2 * SECOND, NOW), Err(DropReason::Purged)),
        (Fill { offering: 1, ..fill(1, NOW, NOW) }, Err(DropReason::UnknownOffering)),
        (Fill { offering: 9, ..fill(1, NOW, NOW) }, Err(DropReason::UnknownOffering)),
        (fill(3, NOW - SECOND, NOW), Ok(())),
        (fill(1, NOW - 7 * SECOND, NOW), Ok(())),
    ];
    for (fill, expected) in cases {
        assert_eq!(import_one(&mut memory, NOW, fill), expected, "{fill:?}");
    }
    // Valid up to the end of its time, and no longer.
    assert_eq!(memory.valid(NOW + SECOND - 1).0.len(), 2);
    assert_eq!(memory.valid(NOW + SECOND).0.len(), 1);
}

#[test]
fn a_purge_removes_older_fills_of_the_same_import_and_known_ones() {
    let mut memory = Memory::new(rules());
    memory.record_fill(NOW, fill(5, NOW - 2 * SECOND, NOW));
    let purge = Purge { object: Some(5), group: 1, at: NOW - SECOND };
    let (fills, purges, _) =
        memory.import(NOW, Source::Neighbour, &[fill(5, NOW - 3 * SECOND, NOW)], &[purge]);
    assert_eq!((fills.len(), purges.len()), (0, 1));
    assert!(memory.valid(NOW).0.is_empty(), "older than the purge, although the front saw it itself");
    // A purge that is over, or in the future, is not imported.
    let imported_at = |at| imported_purges(&mut Memory::new(rules()), at);
    assert_eq!(
        (imported_at(NOW - 6 * SECOND), imported_at(NOW + SECOND), imported_at(NOW - 5 * SECOND)),
        (0, 0, 1)
    );
}

fn imported_purges(memory: &mut Memory, at: Ticks) -> usize {
    memory.import(NOW, Source::Neighbour, &[], &[Purge { object: None, group: 1, at }]).1.len()
}

#[test]
fn a_flood_stays_within_limits_and_the_latest_requested_fills_stay() {
    let mut memory = Memory::new(rules());
    for object in 0..500 {
        memory.record_fill(NOW + object, fill(object, NOW, NOW + object));
    }
    let (fills, _) = memory.valid(NOW + 500);
    assert_eq!(fills.iter().map(|f| f.object).collect::<Vec<_>>(), (450..500).rev().collect::<Vec<_>>());
    assert_eq!(import_one(&mut memory, NOW + 500, fill(9_000, NOW, NOW + 10)), Err(DropReason::Full));
    for object in 0..10_000 {
        memory.record_purge(NOW, Purge { object: Some(object), group: 0, at: NOW });
    }
    assert!(memory.purge_count() <= doorgrade_recall::MAX_PURGES);
}

#[test]
fn a_snapshot_is_only_read_by_its_own_front_in_its_deployment_before_it_expires() {
    let mut memory = Memory::new(rules());
    memory.record_fill(NOW, fill(1, NOW - SECOND, NOW));
    memory.record_fill(NOW, fill(2, NOW - 7 * SECOND, NOW));
    let snapshot = Snapshot::take(&memory, "n1", 7, NOW);
    assert_eq!(snapshot.check("n1", &rules(), NOW + 2 * SECOND), Ok(()));
    assert_eq!(snapshot.check("n2", &rules(), NOW), Err(SnapshotRejection::Front("n1".into())));
    let other = Rules { fresh_times: vec![9 * SECOND, 0, 20 * SECOND], ..rules() };
    assert_eq!(snapshot.check("n1", &other, NOW), Err(SnapshotRejection::Deployment));
    assert_eq!(
        snapshot.check("n1", &Rules { max_fills: 7, ..rules() }, NOW),
        Ok(()),
        "the maximum number of fills does not matter"
    );
    assert_eq!(snapshot.check("n1", &rules(), NOW - 3 * SECOND), Err(SnapshotRejection::Future(3 * SECOND)));
    assert_eq!(
        snapshot.check("n1", &rules(), NOW + 20 * SECOND),
        Err(SnapshotRejection::Expired(20 * SECOND))
    );
    assert_eq!(
        Snapshot { format: 2, ..snapshot.clone() }.check("n1", &rules(), NOW),
        Err(SnapshotRejection::Format(2))
    );
    // Of its entries, those that are still valid.
    let mut restored = Memory::new(rules());
    let (fills, _, stats) =
        restored.import(NOW + 2 * SECOND, Source::Snapshot, &snapshot.fills, &snapshot.purges);
    assert_eq!(fills, [fill(1, NOW - SECOND, NOW)]);
    assert_eq!(stats.to_string(), "1 parts and 0 purges taken; dropped: 1 over");
}

/// A simple model: keeps every entry, and checks all of them each time.
#[derive(Default)]
struct Model {
    own: BTreeMap<u64, Fill>,
    purges: Vec<Purge>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// For any order of fills, purges and imports, with absurd times: nothing that is expired, purged or from
    /// the future is given out, own fills stay, and the limits hold.
    #[test]
    fn only_provably_valid_entries_are_remembered(seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let (mut memory, mut model, mut now) = (Memory::new(rules()), Model::default(), NOW);
        for _ in 0..120 {
            now += rng.u64(0..SECOND);
            let at = |rng: &mut Rng| match rng.u8(..8) {
                0 => u64::MAX / 2,
                1 => 0,
                2 => now + rng.u64(0..20 * SECOND),
                _ => now - rng.u64(0..12 * SECOND),
            };
            // Fewer objects than may be remembered, so that own fills are never removed.
            let object = rng.u64(..45);
            match rng.u8(..4) {
                0 => {
                    let fill = fill(object, now - rng.u64(0..9 * SECOND), now);
                    memory.record_fill(now, fill);
                    let covered = |p: &&Purge| p.object.map_or(p.group == fill.group, |o| o == object);
                    if fill.made_at + 8 * SECOND > now && model.purges.iter().filter(covered).all(|p| fill.made_at >= p.at) {
                        model.own.insert(object, fill);
                    }
                }
                1 => {
                    let object = Some(object).filter(|_| rng.bool());
                    let purge = Purge { object, group: object.map_or(rng.u16(..4), |o| (o % 4) as u16), at: at(&mut rng) };
                    if rng.bool() {
                        memory.record_purge(now, purge);
                    } else {
                        memory.import(now, Source::Neighbour, &[], &[purge]);
                    }
                    // A purge that takes effect ends older fills for good.
                    if purge.at <= now + 500 && purge.at + 6 * SECOND > now {
                        model.purges.push(purge);
                        // Neighbours may supply the removed fills again.
                        let covered = |f: &Fill| purge.object.map_or(purge.group == f.group, |o| o == f.object);
                        model.own.retain(|_, f| !covered(f) || f.made_at >= purge.at);
                    }
                }
                _ => {
                    let fills: Vec<Fill> = (0..rng.usize(..8)).map(|_| fill(rng.u64(..45), at(&mut rng), at(&mut rng))).collect();
                    let (imported, _, stats) = memory.import(now, Source::Neighbour, &fills, &[]);
                    prop_assert_eq!(imported.len() as u64 + stats.dropped.values().sum::<u64>(), fills.len() as u64);
                }
            }
            let (fills, purges) = memory.valid(now);
            prop_assert!(fills.len() <= 50 && purges.iter().all(|p| p.at + 6 * SECOND > now));
            for f in &fills {
                prop_assert!(f.made_at <= now + 500 && f.made_at + 8 * SECOND > now, "{f:?} at {now}");
                let purged = |p: &&Purge| p.object.map_or(p.group == f.group, |o| o == f.object);
                prop_assert!(model.purges.iter().filter(purged).all(|p| f.made_at >= p.at), "{f:?}");
                if let Some(own) = model.own.get(&f.object).filter(|own| own.made_at + 8 * SECOND > now) {
                    // Own and still valid: no imported fill replaces it.
                    prop_assert_eq!(own, f);
                }
            }
        }
    }
}

/// A snapshot as the first version of the program wrote it, as it may be on disks.
const FIRST_FORMAT: &str = "01026e319be6c9b1b1d2e4961f80ade204070380f10400c09a0ce0d403320100010001e090e10480ade204020003f0dee10401090180ade204";

#[test]
fn a_snapshot_of_the_first_format_can_be_read() {
    let bytes: Vec<u8> = (0..FIRST_FORMAT.len() / 2)
        .map(|n| u8::from_str_radix(&FIRST_FORMAT[2 * n..2 * n + 2], 16).unwrap())
        .collect();
    let decoded: Snapshot = postcard::from_bytes(&bytes).unwrap();
    let purges = vec![
        Purge { object: None, group: 3, at: NOW - SECOND },
        Purge { object: Some(9), group: 1, at: NOW },
    ];
    let fills = vec![fill(1, NOW - 2 * SECOND, NOW)];
    let deployment_hash = rules().deployment_hash();
    let expected_snapshot = Snapshot {
        format: 1,
        front: "n1".into(),
        deployment_hash,
        taken_at: NOW,
        incarnation: 7,
        rules: rules(),
        fills,
        purges,
    };
    assert_eq!(decoded, expected_snapshot);
    assert_eq!(decoded.check("n1", &rules(), NOW), Ok(()));
    // Truncated anywhere it is no snapshot, and reading it does not panic.
    assert!((0..bytes.len()).all(|n| postcard::from_bytes::<Snapshot>(&bytes[..n]).is_err()));
}
