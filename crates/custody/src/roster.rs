//! Which fronts keep a work: drawn by its name from the list that operators give, and from nothing else.
//!
//! Not from who is there: two fronts that see different fleets would draw different seats for one name, and each would find
//! a majority. A roster changes in two steps: for a while each stage must be known by a majority of both.

use doorgrade::hash;

use crate::{Front, Name};

/// One of the fronts that may keep.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    pub front: Front,
    pub station: u64,
    pub machine: u64,
}

/// The fronts that keep, under a number that grows; and those before them while both count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roster {
    pub number: u32,
    pub places: Vec<Place>,
    pub before: Vec<Place>,
}

/// Three of one list, and three of the one before it where that counts, too.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seats(Vec<[Front; 3]>);

/// Of three.
const MAJORITY: usize = 2;

impl Seats {
    pub fn all(&self) -> impl Iterator<Item = Front> {
        let mut seen = Vec::new();
        self.0.iter().flatten().copied().filter(move |f| {
            let new = !seen.contains(f);
            seen.push(*f);
            new
        })
    }

    /// Two of the three, in each list that counts.
    pub fn majority(&self, of: impl Fn(Front) -> bool) -> bool {
        self.0.iter().all(|three| three.iter().filter(|f| of(**f)).count() >= MAJORITY)
    }

    /// Two of three stand against it, in some list that counts: no majority is left.
    pub fn blocked(&self, by: impl Fn(Front) -> bool) -> bool {
        self.0.iter().any(|three| three.iter().filter(|f| by(**f)).count() >= MAJORITY)
    }

    /// Who goes first of those that may take it over; others come after the seats.
    pub fn rank(&self, front: Front) -> u64 {
        self.all().position(|f| f == front).unwrap_or(3) as u64
    }
}

fn three(places: &[Place], name: Name) -> Option<[Front; 3]> {
    let key = name.0 as u64 ^ (name.0 >> 64) as u64;
    let mut drawn: Vec<(f64, &Place)> = places.iter().map(|p| (hash::unit(key, p.front), p)).collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.front.cmp(&b.1.front)));
    drawn.dedup_by_key(|d| d.1.front);
    let mut chosen: Vec<&Place> = Vec::new();
    // Of stations that have none yet, then of machines that have none, then whoever is left.
    let apart: [fn(&Place, &Place) -> bool; 3] =
        [|a, b| a.station != b.station, |a, b| a.machine != b.machine, |_, _| true];
    for apart in apart {
        for (_, place) in &drawn {
            if chosen.len() < 3
                && chosen.iter().all(|c| c.front != place.front)
                && chosen.iter().all(|c| apart(c, place))
            {
                chosen.push(place);
            }
        }
    }
    Some([chosen.first()?.front, chosen.get(1)?.front, chosen.get(2)?.front])
}

impl Roster {
    /// None where a list has fewer than three.
    pub fn seats(&self, name: Name) -> Option<Seats> {
        let mut lists = vec![three(&self.places, name)?];
        if !self.before.is_empty() {
            let old = three(&self.before, name)?;
            if old != lists[0] {
                lists.push(old);
            }
        }
        Some(Seats(lists))
    }

    /// All that may be asked to remember that a front has begun a new life.
    pub fn fronts(&self) -> Vec<Front> {
        let mut all: Vec<Front> = self.places.iter().chain(&self.before).map(|p| p.front).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
