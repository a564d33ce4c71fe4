//! Evaluation of the fronts' records: the time until a change was in use at all fronts, the share of fronts that a harmful
//! one reached, and the time until it was removed from all.

use doorgrade_versions::Ticks;

use super::control_only::AppliedContents;

/// A published change.
#[derive(Clone, Copy, Debug)]
pub struct Published {
    pub change: usize,
    /// The number of the version.
    pub number: u64,
    pub at: Ticks,
}

/// The contents that each front has applied.
pub struct Records(pub Vec<AppliedContents>);

fn seconds_between(from: Ticks, to: Ticks) -> f64 {
    to.saturating_sub(from) as f64 / 1e4
}

impl Records {
    /// Whether a front has a change in use at a time.
    fn is_in_use(applied: &AppliedContents, change: usize, at: Ticks) -> bool {
        applied.iter().rev().find(|r| r.0 <= at).is_some_and(|r| r.1.changes.contains(&change))
    }

    /// The number of fronts without a change at a time.
    pub fn count_without(&self, change: usize, at: Ticks) -> usize {
        self.0.iter().filter(|applied| !Records::is_in_use(applied, change, at)).count()
    }

    /// The times at which a front starts (+1) or stops (-1) using a change, in order.
    fn transitions(&self, change: usize) -> Vec<(Ticks, i64)> {
        let mut transitions = Vec::new();
        for applied in &self.0 {
            let mut had_change = false;
            for (at, summary) in applied {
                let has_change = summary.changes.contains(&change);
                if has_change != had_change {
                    transitions.push((*at, if has_change { 1 } else { -1 }));
                }
                had_change = has_change;
            }
        }
        transitions.sort_unstable();
        transitions
    }

    /// Seconds from its publication until all fronts had a change in use for the first time.
    pub fn time_to_all(&self, published: &Published) -> Option<f64> {
        let mut count = 0;
        for (at, delta) in self.transitions(published.change) {
            count += delta;
            if count == self.0.len() as i64 {
                return Some(seconds_between(published.at, at));
            }
        }
        None
    }

    /// The largest share of fronts that had all of these changes in use at a time.
    pub fn reach(&self, changes: &[usize]) -> f64 {
        let mut all: Vec<(Ticks, i64)> = Vec::new();
        for applied in &self.0 {
            let mut had_change = false;
            for (at, summary) in applied {
                let has_change = changes.iter().all(|c| summary.changes.contains(c));
                if has_change != had_change {
                    all.push((*at, if has_change { 1 } else { -1 }));
                }
                had_change = has_change;
            }
        }
        all.sort_unstable();
        let (mut count, mut max_count) = (0, 0);
        for (_, delta) in all {
            count += delta;
            max_count = max_count.max(count);
        }
        max_count as f64 / self.0.len().max(1) as f64
    }

    /// Seconds from when a change was found harmful until no front had it in use; none if one still has.
    pub fn removed_after(&self, change: usize, found: Ticks) -> Option<f64> {
        let still =
            self.0.iter().any(|applied| applied.last().is_some_and(|r| r.1.changes.contains(&change)));
        let last = self.transitions(change).iter().filter(|m| m.1 < 0).map(|m| m.0).max();
        (!still).then(|| last.map_or(0.0, |at| seconds_between(found, at)))
    }
}

/// A quantile of values in any order.
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(((sorted.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
}
