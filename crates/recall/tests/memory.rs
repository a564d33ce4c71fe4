//! What is believed, for how long, and from whom: plain cases, and random runs against a plain model.

use std::collections::BTreeMap;

use doorgrade::Ticks;
use doorgrade_recall::{Fill, Memory, Purge, Refused, Rules, Snapshot, Source, Why};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: Ticks = 10_000;
const NOW: Ticks = 1_000 * S;

fn rules() -> Rules {
    Rules { fresh: vec![8 * S, 0, 20 * S], purge_done: 6 * S, most: 50 }
}

fn fill(object: u64, made: Ticks, seen: Ticks) -> Fill {
    Fill { offering: 0, object, part: 0, group: (object % 4) as u16, made, seen }
}

fn told(memory: &mut Memory, now: Ticks, fill: Fill) -> Result<(), Why> {
    let (news, _, tally) = memory.hear(now, Source::Neighbour, &[fill], &[]);
    assert_eq!(news.len() as u64, tally.fills);
    match tally.dropped.into_keys().next() {
        Some(why) => Err(why),
        None => Ok(()),
    }
}

#[test]
fn what_others_say_never_overrules_what_was_seen() {
    let mut memory = Memory::new(rules());
    memory.saw(NOW, fill(1, NOW - 2 * S, NOW));
    assert_eq!(told(&mut memory, NOW + 1, fill(1, NOW - S, NOW + 1)), Err(Why::Known));
    assert_eq!(memory.all(NOW + 1).0, [fill(1, NOW - 2 * S, NOW)]);
    // Of two others, the one who saw it last; of equals, the younger copy.
    assert_eq!(told(&mut memory, NOW, fill(2, NOW - 3 * S, NOW - S)), Ok(()));
    assert_eq!(told(&mut memory, NOW, fill(2, NOW - S, NOW - 2 * S)), Err(Why::Older));
    assert_eq!(told(&mut memory, NOW, fill(2, NOW - 2 * S, NOW - S)), Ok(()));
    // And what it sees goes before all of them, an older copy too.
    memory.saw(NOW, fill(2, NOW - 7 * S, NOW - 5 * S));
    assert_eq!(memory.all(NOW).0.iter().find(|f| f.object == 2), Some(&fill(2, NOW - 7 * S, NOW - 5 * S)));
}

#[test]
fn what_does_not_hold_is_dropped_with_its_reason() {
    let mut memory = Memory::new(rules());
    memory.purged(NOW, Purge { object: Some(3), group: 3, at: NOW - S });
    memory.purged(NOW, Purge { object: None, group: 2, at: NOW - S });
    let cases = [
        (fill(1, NOW - 8 * S, NOW), Err(Why::Ended)),
        (fill(1, NOW + S, NOW), Err(Why::Future)),
        (fill(3, NOW - 2 * S, NOW), Err(Why::Purged)),
        (fill(6, NOW - 2 * S, NOW), Err(Why::Purged)),
        (Fill { offering: 1, ..fill(1, NOW, NOW) }, Err(Why::Foreign)),
        (Fill { offering: 9, ..fill(1, NOW, NOW) }, Err(Why::Foreign)),
        (fill(3, NOW - S, NOW), Ok(())),
        (fill(1, NOW - 7 * S, NOW), Ok(())),
    ];
    for (fill, is) in cases {
        assert_eq!(told(&mut memory, NOW, fill), is, "{fill:?}");
    }
    // True for as long as it is, and no longer.
    assert_eq!(memory.all(NOW + S - 1).0.len(), 2);
    assert_eq!(memory.all(NOW + S).0.len(), 1);
}

#[test]
fn a_purge_ends_what_is_told_in_the_same_breath_and_what_was_known() {
    let mut memory = Memory::new(rules());
    memory.saw(NOW, fill(5, NOW - 2 * S, NOW));
    let purge = Purge { object: Some(5), group: 1, at: NOW - S };
    let (fills, purges, _) = memory.hear(NOW, Source::Neighbour, &[fill(5, NOW - 3 * S, NOW)], &[purge]);
    assert_eq!((fills.len(), purges.len()), (0, 1));
    assert!(memory.all(NOW).0.is_empty(), "older than the purge, though seen itself");
    // An older word of it changes nothing; one that is over, or to come, is none.
    let again = |at| memory_hears(&mut Memory::new(rules()), at);
    assert_eq!((again(NOW - 6 * S), again(NOW + S), again(NOW - 5 * S)), (0, 0, 1));
}

fn memory_hears(memory: &mut Memory, at: Ticks) -> usize {
    memory.hear(NOW, Source::Neighbour, &[], &[Purge { object: None, group: 1, at }]).1.len()
}

#[test]
fn a_flood_stays_within_bounds_and_what_was_asked_for_last_stays() {
    let mut memory = Memory::new(rules());
    for object in 0..500 {
        memory.saw(NOW + object, fill(object, NOW, NOW + object));
    }
    let (fills, _) = memory.all(NOW + 500);
    assert_eq!(fills.iter().map(|f| f.object).collect::<Vec<_>>(), (450..500).rev().collect::<Vec<_>>());
    assert_eq!(told(&mut memory, NOW + 500, fill(9_000, NOW, NOW + 10)), Err(Why::Full));
    for object in 0..10_000 {
        memory.purged(NOW, Purge { object: Some(object), group: 0, at: NOW });
    }
    assert!(memory.purges() <= doorgrade_recall::MOST_PURGES);
}

#[test]
fn a_snapshot_is_read_by_its_own_front_in_its_own_deployment_soon_enough() {
    let mut memory = Memory::new(rules());
    memory.saw(NOW, fill(1, NOW - S, NOW));
    memory.saw(NOW, fill(2, NOW - 7 * S, NOW));
    let snapshot = Snapshot::take(&memory, "n1", 7, NOW);
    assert_eq!(snapshot.check("n1", &rules(), NOW + 2 * S), Ok(()));
    assert_eq!(snapshot.check("n2", &rules(), NOW), Err(Refused::Front("n1".into())));
    let other = Rules { fresh: vec![9 * S, 0, 20 * S], ..rules() };
    assert_eq!(snapshot.check("n1", &other, NOW), Err(Refused::Deployment));
    assert_eq!(
        snapshot.check("n1", &Rules { most: 7, ..rules() }, NOW),
        Ok(()),
        "how much is kept changes nothing"
    );
    assert_eq!(snapshot.check("n1", &rules(), NOW - 3 * S), Err(Refused::Future(3 * S)));
    assert_eq!(snapshot.check("n1", &rules(), NOW + 20 * S), Err(Refused::Old(20 * S)));
    assert_eq!(
        Snapshot { format: 2, ..snapshot.clone() }.check("n1", &rules(), NOW),
        Err(Refused::Format(2))
    );
    // Of what it has, what still holds.
    let mut back = Memory::new(rules());
    let (fills, _, tally) = back.hear(NOW + 2 * S, Source::Snapshot, &snapshot.fills, &snapshot.purges);
    assert_eq!(fills, [fill(1, NOW - S, NOW)]);
    assert_eq!(tally.to_string(), "1 parts and 0 purges taken; dropped: 1 over");
}

/// A plain model: every word that was ever said, looked through anew each time.
#[derive(Default)]
struct Model {
    own: BTreeMap<u64, Fill>,
    purges: Vec<Purge>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// Any order of what is seen, purged and told, with absurd times: nothing that is over, purged or to come is ever
    /// given to anybody, what was seen itself stands, and bounds hold.
    #[test]
    fn nothing_is_believed_that_cannot_be_shown_to_hold(seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let (mut memory, mut model, mut now) = (Memory::new(rules()), Model::default(), NOW);
        for _ in 0..120 {
            now += rng.u64(0..S);
            let at = |rng: &mut Rng| match rng.u8(..8) {
                0 => u64::MAX / 2,
                1 => 0,
                2 => now + rng.u64(0..20 * S),
                _ => now - rng.u64(0..12 * S),
            };
            // Fewer than may be remembered: what was seen is never pushed out.
            let object = rng.u64(..45);
            match rng.u8(..4) {
                0 => {
                    let fill = fill(object, now - rng.u64(0..9 * S), now);
                    memory.saw(now, fill);
                    let ours = |p: &&Purge| p.object.map_or(p.group == fill.group, |o| o == object);
                    if fill.made + 8 * S > now && model.purges.iter().filter(ours).all(|p| fill.made >= p.at) {
                        model.own.insert(object, fill);
                    }
                }
                1 => {
                    let object = Some(object).filter(|_| rng.bool());
                    let purge = Purge { object, group: object.map_or(rng.u16(..4), |o| (o % 4) as u16), at: at(&mut rng) };
                    if rng.bool() {
                        memory.purged(now, purge);
                    } else {
                        memory.hear(now, Source::Neighbour, &[], &[purge]);
                    }
                    // One that acts; from then on it ends what is older for good.
                    if purge.at <= now + 500 && purge.at + 6 * S > now {
                        model.purges.push(purge);
                        // What it ends may be told anew by others.
                        let ours = |f: &Fill| purge.object.map_or(purge.group == f.group, |o| o == f.object);
                        model.own.retain(|_, f| !ours(f) || f.made >= purge.at);
                    }
                }
                _ => {
                    let fills: Vec<Fill> = (0..rng.usize(..8)).map(|_| fill(rng.u64(..45), at(&mut rng), at(&mut rng))).collect();
                    let (news, _, tally) = memory.hear(now, Source::Neighbour, &fills, &[]);
                    prop_assert_eq!(news.len() as u64 + tally.dropped.values().sum::<u64>(), fills.len() as u64);
                }
            }
            let (fills, purges) = memory.all(now);
            prop_assert!(fills.len() <= 50 && purges.iter().all(|p| p.at + 6 * S > now));
            for f in &fills {
                prop_assert!(f.made <= now + 500 && f.made + 8 * S > now, "{f:?} at {now}");
                let purged = |p: &&Purge| p.object.map_or(p.group == f.group, |o| o == f.object);
                prop_assert!(model.purges.iter().filter(purged).all(|p| f.made >= p.at), "{f:?}");
                if let Some(own) = model.own.get(&f.object).filter(|own| own.made + 8 * S > now) {
                    // Seen itself and still true: nobody's word stands in its place.
                    prop_assert_eq!(own, f);
                }
            }
        }
    }
}

/// A snapshot as the first version of the program wrote it: part of what stands on disks.
const FIRST: &str = "01026e319be6c9b1b1d2e4961f80ade204070380f10400c09a0ce0d403320100010001e090e10480ade204020003f0dee10401090180ade204";

#[test]
fn a_snapshot_of_the_first_format_opens() {
    let bytes: Vec<u8> =
        (0..FIRST.len() / 2).map(|n| u8::from_str_radix(&FIRST[2 * n..2 * n + 2], 16).unwrap()).collect();
    let is: Snapshot = postcard::from_bytes(&bytes).unwrap();
    let purges =
        vec![Purge { object: None, group: 3, at: NOW - S }, Purge { object: Some(9), group: 1, at: NOW }];
    let fills = vec![fill(1, NOW - 2 * S, NOW)];
    let deployment = rules().deployment();
    let should = Snapshot {
        format: 1,
        front: "n1".into(),
        deployment,
        taken: NOW,
        life: 7,
        rules: rules(),
        fills,
        purges,
    };
    assert_eq!(is, should);
    assert_eq!(is.check("n1", &rules(), NOW), Ok(()));
    // Cut off anywhere it is no snapshot, and no panic.
    assert!((0..bytes.len()).all(|n| postcard::from_bytes::<Snapshot>(&bytes[..n]).is_err()));
}
