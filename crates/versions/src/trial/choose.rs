//! Which fronts take part in an experiment: arms of different stations, and a control group of the same stations.

use std::collections::BTreeMap;

use super::batch::Batch;
use super::contents::Key;
use super::members::{Group, Slot};
use super::{Step, Trials};
use crate::Ticks;

/// Fronts that may be chosen, by station; each is given once.
pub(super) struct Pool {
    stations: Vec<(u32, Vec<usize>)>,
    of: BTreeMap<u32, usize>,
    next: usize,
    left: usize,
    /// How many of them are known by their long run.
    known: usize,
}

/// A well-mixed number, so that it is not always the same fronts that go first (SplitMix64).
fn mixed(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

impl Pool {
    pub fn left(&self) -> usize {
        self.left
    }

    pub fn known(&self) -> usize {
        self.known
    }

    fn pop(&mut self, index: usize) -> Option<usize> {
        let at = self.stations.get_mut(index)?.1.pop()?;
        self.left -= 1;
        Some(at)
    }

    /// One of the next station that has any.
    pub fn any(&mut self) -> Option<usize> {
        for _ in 0..self.stations.len() {
            let index = self.next % self.stations.len();
            self.next = index + 1;
            if let Some(at) = self.pop(index) {
                return Some(at);
            }
        }
        None
    }

    /// One of this station, or else of another.
    pub fn like(&mut self, station: u32) -> Option<usize> {
        let own = self.of.get(&station).copied().and_then(|index| self.pop(index));
        own.or_else(|| self.any())
    }
}

impl Trials {
    /// Fronts that may take part where `base` is what the changes are laid on: those in the wide experiment where that
    /// is its content, or else those that have no part in anything. Whoever has said how it serves comes first.
    pub(super) fn pool(&self, now: Ticks, base: Option<Key>, seed: u64) -> Pool {
        let wide = self.wide.as_ref().map(|w| w.content).filter(|w| Some(*w) == base);
        let may = |at: &usize| {
            let m = &self.members[*at];
            let free = match wide {
                Some(key) => {
                    m.place == Some(key)
                        && m.seat(Slot::Canary).is_none()
                        && m.seat(Slot::Wide).is_some_and(|s| s.group != Group::Control)
                }
                None => m.place.is_none() && !m.has_seat(),
            };
            m.connected && free && m.believed(now)
        };
        let mut fronts: Vec<usize> = (0..self.members.len()).filter(may).collect();
        // The last of a station's is taken first.
        fronts.sort_by_key(|&at| (self.members[at].known(), mixed(seed ^ mixed(at as u64))));
        let mut stations: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        let left = fronts.len();
        let known = fronts.iter().filter(|&&at| self.members[at].known()).count();
        fronts.into_iter().for_each(|at| stations.entry(self.members[at].station).or_default().push(at));
        let mut stations: Vec<(u32, Vec<usize>)> = stations.into_iter().collect();
        stations.sort_by_key(|s| mixed(seed ^ u64::from(s.0)));
        let of = stations.iter().enumerate().map(|(index, s)| (s.0, index)).collect();
        Pool { stations, of, next: 0, left, known }
    }

    /// Brings each arm and the control group to their sizes.
    pub(super) fn fill(&mut self, now: Ticks, batch: &mut Batch) {
        let missing = |has: usize, size: usize| size.saturating_sub(has);
        let experiment = &batch.experiment;
        let replaced = |at: &usize| self.members[*at].seat(experiment.slot).is_some_and(|s| s.replaced);
        let present = |fronts: &[usize]| fronts.iter().filter(|at| !replaced(at)).count();
        let wants: Vec<usize> = experiment.arms.iter().map(|a| missing(present(&a.fronts), a.size)).collect();
        let control = missing(experiment.control.len(), experiment.control_size);
        if control == 0 && wants.iter().all(|&w| w == 0) {
            return;
        }
        let mut pool = self.pool(now, batch.base, batch.lineage ^ now);
        let slot = experiment.slot;
        for (arm, want) in wants.into_iter().enumerate() {
            let content = batch.experiment.arms[arm].content;
            let hash = self.contents.id(content).map(|id| id.hash);
            for _ in 0..want {
                // One that turned it down never starts on it.
                let fits = |at: &usize| hash.is_none_or(|h| !self.members[*at].refused.contains(&h));
                let Some(at) = std::iter::from_fn(|| pool.any()).find(fits) else { break };
                batch.experiment.arms[arm].fronts.push(at);
                batch.experiment.arms[arm].given += 1;
                let m = &mut self.members[at];
                // Of two experiments whose arms it can't both be in, the later.
                m.seats[Slot::Wide as usize] = None;
                m.sit(slot, Group::Arm(arm), now);
                m.place = Some(content);
                if slot == Slot::Canary
                    && let Some(wide) = &mut self.wide
                {
                    wide.experiment.leave(at, Group::Arm(0));
                }
                self.pace(at);
                self.aim(at);
            }
        }
        let stations: Vec<u32> = batch
            .experiment
            .arms
            .iter()
            .flat_map(|a| &a.fronts)
            .map(|&at| self.members[at].station)
            .collect();
        for nth in 0..control {
            let chosen = match stations.get(nth % stations.len().max(1)) {
                Some(station) => pool.like(*station),
                None => pool.any(),
            };
            let Some(at) = chosen else { break };
            batch.experiment.control.push(at);
            self.members[at].sit(slot, Group::Control, now);
            self.pace(at);
        }
    }

    /// Tells a front how often to report, where that is another pace than it keeps.
    pub(super) fn pace(&mut self, at: usize) {
        let m = &mut self.members[at];
        let fast = m.has_seat();
        if m.connected && m.fast != fast {
            m.fast = fast;
            let every = if fast { self.rules.report_fast } else { self.rules.report_slow };
            self.steps.push(Step::Pace(at, every));
        }
    }

    /// Its goal may be another than it was: it is offered that, under a number that is later than what it runs.
    pub(super) fn aim(&mut self, at: usize) {
        let m = &self.members[at];
        let Some(key) = m.place.or(self.proven) else { return };
        let Some(id) = self.contents.id(key) else { return };
        if m.runs.is_some_and(|runs| runs.hash == id.hash) {
            return;
        }
        // What it was offered may have come to it, though it has not said so yet.
        let runs = m.runs.map_or((0, 0), |runs| runs.place());
        let later = runs >= id.place() || m.offered.is_some_and(|o| o > id.place());
        let restated = if later { self.contents.restate(key).cloned() } else { None };
        if let Some(version) = restated.filter(|_| Some(key) == self.proven) {
            self.dirty = true;
            self.steps.extend([Step::Base(Some(version.id.number)), Step::Keep(version)]);
        }
        self.members[at].offered = self.contents.id(key).map(|id| id.place());
        self.steps.push(Step::Offer(at));
    }
}
