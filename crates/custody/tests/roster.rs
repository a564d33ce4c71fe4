//! Request ids, and which fronts are selected as replicas.

use std::collections::BTreeSet;

use doorgrade_custody::{Candidate, FrontId, RequestId, Roster};

fn candidate(n: u64, stations: u64) -> Candidate {
    Candidate { front: 100 + n, station: n % stations, machine: n / 2 }
}

fn roster(fronts: u64, stations: u64) -> Roster {
    Roster {
        version: 1,
        candidates: (0..fronts).map(|n| candidate(n, stations)).collect(),
        previous: Vec::new(),
    }
}

fn replicas(roster: &Roster, id: u128) -> Vec<FrontId> {
    roster.replicas(RequestId(id)).unwrap().all().collect()
}

#[test]
fn an_id_is_16_to_64_hex_digits_in_either_case() {
    assert_eq!(RequestId::parse("0123456789abcdef"), RequestId::parse("0123456789ABCDEF"));
    assert_ne!(RequestId::parse("0123456789abcdef"), RequestId::parse("00123456789abcdef"));
    assert!(RequestId::parse(&"a".repeat(64)).is_some());
    for bad in ["", "0123456789abcde", "0123456789abcdeg", &"a".repeat(65), "0123456789abcde\u{e9}"] {
        assert_eq!(RequestId::parse(bad), None, "{bad}");
    }
}

#[test]
fn replicas_are_spread_over_stations_and_machines_and_evenly_over_fronts() {
    let all = roster(12, 3);
    let mut counts = [0; 12];
    for id in 0..4_000 {
        let replicas = replicas(&all, id);
        let stations: BTreeSet<u64> = replicas.iter().map(|f| (f - 100) % 3).collect();
        assert_eq!((replicas.len(), stations.len()), (3, 3), "one in each station");
        replicas.iter().for_each(|f| counts[(f - 100) as usize] += 1);
    }
    assert!(counts.iter().all(|c| (800..1_200).contains(c)), "{counts:?}");
    // One station: on different machines. Two machines: different fronts all the same.
    let machines =
        |replicas: &[FrontId]| replicas.iter().map(|f| (f - 100) / 2).collect::<BTreeSet<_>>().len();
    assert!((0..200).all(|id| machines(&replicas(&roster(8, 1), id)) == 3));
    assert!((0..200).all(|id| replicas(&roster(4, 1), id).len() == 3));
    assert_eq!(roster(2, 2).replicas(RequestId(1)), None);
}

#[test]
fn a_front_that_leaves_the_roster_moves_only_the_requests_that_it_stored() {
    let (all, mut smaller) = (roster(12, 3), roster(12, 3));
    smaller.candidates.retain(|c| c.front != 105);
    let moved = (0..2_000).filter(|&id| replicas(&all, id) != replicas(&smaller, id));
    assert!(moved.clone().all(|id| replicas(&all, id).contains(&105)));
    assert!(moved.count() > 300);
}

#[test]
fn while_two_rosters_count_a_majority_of_both_is_needed() {
    let (mut both, old) = (roster(12, 3), roster(6, 3));
    (both.version, both.previous) = (2, old.candidates.clone());
    let id = (0..100).find(|&n| replicas(&old, n).iter().all(|f| !replicas(&roster(12, 3), n).contains(f)));
    let id = RequestId(id.unwrap());
    let (new, previous) = (replicas(&roster(12, 3), id.0), replicas(&old, id.0));
    let replicas = both.replicas(id).unwrap();
    assert_eq!(replicas.all().count(), 6);
    assert!(!replicas.majority(|f| new.contains(&f)) && !replicas.majority(|f| previous.contains(&f)));
    assert!(replicas.majority(|f| new[..2].contains(&f) || previous[1..].contains(&f)));
    assert!(
        replicas.blocked(|f| previous[..2].contains(&f))
            && !replicas.blocked(|f| new[0] == f || previous[0] == f)
    );
    assert_eq!(both.fronts().len(), 12);
}
