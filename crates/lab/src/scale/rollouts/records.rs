//! What happened, by the fronts' own records: when a change was everywhere, how far a harmful one came, when it was gone.

use doorgrade_versions::Ticks;

use super::hollow::Ran;

/// One change as it was published.
#[derive(Clone, Copy, Debug)]
pub struct Published {
    pub change: usize,
    pub number: u64,
    pub at: Ticks,
}

/// All fronts' records.
pub struct Records(pub Vec<Ran>);

fn seconds(from: Ticks, to: Ticks) -> f64 {
    to.saturating_sub(from) as f64 / 1e4
}

impl Records {
    /// Whether a front has a change in use at a time.
    fn has(ran: &Ran, change: usize, at: Ticks) -> bool {
        ran.iter().rev().find(|r| r.0 <= at).is_some_and(|r| r.1.changes.contains(&change))
    }

    /// How many fronts lack a change at a time.
    pub fn lacking(&self, change: usize, at: Ticks) -> usize {
        self.0.iter().filter(|ran| !Records::has(ran, change, at)).count()
    }

    /// Each moment at which a front takes a change into use (+1) or out of use (-1), in order.
    fn moves(&self, change: usize) -> Vec<(Ticks, i64)> {
        let mut moves = Vec::new();
        for ran in &self.0 {
            let mut had = false;
            for (at, facts) in ran {
                let has = facts.changes.contains(&change);
                if has != had {
                    moves.push((*at, if has { 1 } else { -1 }));
                }
                had = has;
            }
        }
        moves.sort_unstable();
        moves
    }

    /// Seconds from its publication until the last front had it, for the first time.
    pub fn everywhere(&self, published: &Published) -> Option<f64> {
        let mut count = 0;
        for (at, change) in self.moves(published.change) {
            count += change;
            if count == self.0.len() as i64 {
                return Some(seconds(published.at, at));
            }
        }
        None
    }

    /// The largest share of fronts that had it at once; of two, that had both.
    pub fn reach(&self, changes: &[usize]) -> f64 {
        let mut all: Vec<(Ticks, i64)> = Vec::new();
        for ran in &self.0 {
            let mut had = false;
            for (at, facts) in ran {
                let has = changes.iter().all(|c| facts.changes.contains(c));
                if has != had {
                    all.push((*at, if has { 1 } else { -1 }));
                }
                had = has;
            }
        }
        all.sort_unstable();
        let (mut count, mut most) = (0, 0);
        for (_, change) in all {
            count += change;
            most = most.max(count);
        }
        most as f64 / self.0.len().max(1) as f64
    }

    /// Seconds from when it was found harmful until no front had it; none where one has it still.
    pub fn undone(&self, change: usize, found: Ticks) -> Option<f64> {
        let still = self.0.iter().any(|ran| ran.last().is_some_and(|r| r.1.changes.contains(&change)));
        let last = self.moves(change).iter().filter(|m| m.1 < 0).map(|m| m.0).max();
        (!still).then(|| last.map_or(0.0, |at| seconds(found, at)))
    }
}

/// At a quantile, of numbers in any order.
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(((sorted.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
}
