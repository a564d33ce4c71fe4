//! Names, and which fronts keep a work.

use std::collections::BTreeSet;

use doorgrade_custody::{Front, Name, Place, Roster};

fn place(n: u64, stations: u64) -> Place {
    Place { front: 100 + n, station: n % stations, machine: n / 2 }
}

fn roster(fronts: u64, stations: u64) -> Roster {
    Roster { number: 1, places: (0..fronts).map(|n| place(n, stations)).collect(), before: Vec::new() }
}

fn seats(roster: &Roster, name: u128) -> Vec<Front> {
    roster.seats(Name(name)).unwrap().all().collect()
}

#[test]
fn a_name_is_16_to_64_hex_digits_large_or_small() {
    assert_eq!(Name::read("0123456789abcdef"), Name::read("0123456789ABCDEF"));
    assert_ne!(Name::read("0123456789abcdef"), Name::read("00123456789abcdef"));
    assert!(Name::read(&"a".repeat(64)).is_some());
    for bad in ["", "0123456789abcde", "0123456789abcdeg", &"a".repeat(65), "0123456789abcde\u{e9}"] {
        assert_eq!(Name::read(bad), None, "{bad}");
    }
}

#[test]
fn seats_stand_apart_where_they_can_and_each_front_has_its_share() {
    let all = roster(12, 3);
    let mut counts = [0; 12];
    for name in 0..4_000 {
        let seats = seats(&all, name);
        let stations: BTreeSet<u64> = seats.iter().map(|f| (f - 100) % 3).collect();
        assert_eq!((seats.len(), stations.len()), (3, 3), "one in each station");
        seats.iter().for_each(|f| counts[(f - 100) as usize] += 1);
    }
    assert!(counts.iter().all(|c| (800..1_200).contains(c)), "{counts:?}");
    // One station: of different machines. Two machines: of different fronts all the same.
    let machines = |seats: &[Front]| seats.iter().map(|f| (f - 100) / 2).collect::<BTreeSet<_>>().len();
    assert!((0..200).all(|name| machines(&seats(&roster(8, 1), name)) == 3));
    assert!((0..200).all(|name| seats(&roster(4, 1), name).len() == 3));
    assert_eq!(roster(2, 2).seats(Name(1)), None);
}

#[test]
fn one_that_leaves_the_roster_moves_only_the_works_that_it_kept() {
    let (all, mut less) = (roster(12, 3), roster(12, 3));
    less.places.retain(|p| p.front != 105);
    let moved = (0..2_000).filter(|&name| seats(&all, name) != seats(&less, name));
    assert!(moved.clone().all(|name| seats(&all, name).contains(&105)));
    assert!(moved.count() > 300);
}

#[test]
fn while_two_rosters_count_a_majority_is_one_of_both() {
    let (mut both, old) = (roster(12, 3), roster(6, 3));
    (both.number, both.before) = (2, old.places.clone());
    let name = (0..100).find(|&n| seats(&old, n).iter().all(|f| !seats(&roster(12, 3), n).contains(f)));
    let name = Name(name.unwrap());
    let (new, before) = (seats(&roster(12, 3), name.0), seats(&old, name.0));
    let seats = both.seats(name).unwrap();
    assert_eq!(seats.all().count(), 6);
    assert!(!seats.majority(|f| new.contains(&f)) && !seats.majority(|f| before.contains(&f)));
    assert!(seats.majority(|f| new[..2].contains(&f) || before[1..].contains(&f)));
    assert!(seats.blocked(|f| before[..2].contains(&f)) && !seats.blocked(|f| new[0] == f || before[0] == f));
    assert_eq!(both.fronts().len(), 12);
}
