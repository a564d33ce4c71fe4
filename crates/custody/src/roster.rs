//! Selects the replicas of a request by its id, from the list that operators configure and from nothing else.
//!
//! The current membership plays no part: two fronts that see different members would select different
//! replicas for one id, and each could find a majority. A roster changes in two steps: for a while each stage
//! has to be stored by a majority of both the old and the new list.

use doorgrade::hash;

use crate::{FrontId, RequestId};

/// A front that may be selected as a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    pub front: FrontId,
    pub station: u64,
    pub machine: u64,
}

/// The candidates, under an increasing version, and the previous ones while both count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roster {
    pub version: u32,
    pub candidates: Vec<Candidate>,
    pub previous: Vec<Candidate>,
}

/// Three fronts of the current list, and three of the previous one while that counts, too.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaSet(Vec<[FrontId; 3]>);

/// Number of replicas, of the three in a list, that form a majority.
const MAJORITY: usize = 2;

impl ReplicaSet {
    pub fn all(&self) -> impl Iterator<Item = FrontId> {
        let mut seen = Vec::new();
        self.0.iter().flatten().copied().filter(move |f| {
            let first_time = !seen.contains(f);
            seen.push(*f);
            first_time
        })
    }

    /// Whether two of the three in each list that counts agree.
    pub fn majority(&self, agrees: impl Fn(FrontId) -> bool) -> bool {
        self.0.iter().all(|three| three.iter().filter(|f| agrees(**f)).count() >= MAJORITY)
    }

    /// Whether two of the three in some list that counts rejected it, so that no majority is left.
    pub fn blocked(&self, rejected: impl Fn(FrontId) -> bool) -> bool {
        self.0.iter().any(|three| three.iter().filter(|f| rejected(**f)).count() >= MAJORITY)
    }

    /// The order in which fronts take the request over; others come after the replicas.
    pub fn rank(&self, front: FrontId) -> u64 {
        self.all().position(|f| f == front).unwrap_or(3) as u64
    }
}

fn draw_three(candidates: &[Candidate], id: RequestId) -> Option<[FrontId; 3]> {
    let key = id.0 as u64 ^ (id.0 >> 64) as u64;
    let mut ranked: Vec<(f64, &Candidate)> =
        candidates.iter().map(|c| (hash::unit(key, c.front), c)).collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.front.cmp(&b.1.front)));
    ranked.dedup_by_key(|r| r.1.front);
    let mut selected: Vec<&Candidate> = Vec::new();
    // Prefers fronts at stations without a replica yet, then those on machines without one, then any.
    let separations: [fn(&Candidate, &Candidate) -> bool; 3] =
        [|a, b| a.station != b.station, |a, b| a.machine != b.machine, |_, _| true];
    for is_separate in separations {
        for (_, candidate) in &ranked {
            if selected.len() < 3
                && selected.iter().all(|c| c.front != candidate.front)
                && selected.iter().all(|c| is_separate(c, candidate))
            {
                selected.push(candidate);
            }
        }
    }
    Some([selected.first()?.front, selected.get(1)?.front, selected.get(2)?.front])
}

impl Roster {
    /// None if a list has fewer than three fronts.
    pub fn replicas(&self, id: RequestId) -> Option<ReplicaSet> {
        let mut lists = vec![draw_three(&self.candidates, id)?];
        if !self.previous.is_empty() {
            let previous = draw_three(&self.previous, id)?;
            if previous != lists[0] {
                lists.push(previous);
            }
        }
        Some(ReplicaSet(lists))
    }

    /// All fronts that store the starts of other fronts.
    pub fn fronts(&self) -> Vec<FrontId> {
        let mut all: Vec<FrontId> = self.candidates.iter().chain(&self.previous).map(|c| c.front).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
