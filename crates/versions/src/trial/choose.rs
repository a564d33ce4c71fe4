//! Chooses the fronts of an experiment: arms from different stations, and a control group from the same
//! stations.

use std::collections::BTreeMap;

use super::batch::Batch;
use super::contents::ContentKey;
use super::members::{Group, Slot};
use super::{Effect, Trials};
use crate::Ticks;

/// Eligible fronts by station; each is handed out once.
pub(super) struct Pool {
    stations: Vec<(u32, Vec<usize>)>,
    by_station: BTreeMap<u32, usize>,
    next: usize,
    available: usize,
    /// How many of them have a baseline.
    with_baseline: usize,
}

/// Mixes a seed (SplitMix64), so that it is not always the same fronts that go first.
fn mix(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

impl Pool {
    pub fn available(&self) -> usize {
        self.available
    }

    pub fn with_baseline(&self) -> usize {
        self.with_baseline
    }

    fn pop(&mut self, index: usize) -> Option<usize> {
        let index = self.stations.get_mut(index)?.1.pop()?;
        self.available -= 1;
        Some(index)
    }

    /// A front of the next station that has any left.
    pub fn take_next(&mut self) -> Option<usize> {
        for _ in 0..self.stations.len() {
            let index = self.next % self.stations.len();
            self.next = index + 1;
            if let Some(index) = self.pop(index) {
                return Some(index);
            }
        }
        None
    }

    /// A front of this station, or else of another one.
    pub fn take_from_station(&mut self, station: u32) -> Option<usize> {
        let own = self.by_station.get(&station).copied().and_then(|index| self.pop(index));
        own.or_else(|| self.take_next())
    }
}

impl Trials {
    /// Fronts that are eligible for an experiment on `base`: those of the wide experiment if `base` is its
    /// content, otherwise those in no experiment. Fronts with a baseline come first.
    pub(super) fn pool(&self, now: Ticks, base: Option<ContentKey>, seed: u64) -> Pool {
        let wide = self.wide.as_ref().map(|w| w.content).filter(|w| Some(*w) == base);
        let eligible = |index: &usize| {
            let m = &self.members[*index];
            let free = match wide {
                Some(key) => {
                    m.assigned == Some(key)
                        && m.enrollment(Slot::Canary).is_none()
                        && m.enrollment(Slot::Wide).is_some_and(|e| e.group != Group::Control)
                }
                None => m.assigned.is_none() && !m.is_enrolled(),
            };
            m.connected && free && m.is_trusted(now)
        };
        let mut fronts: Vec<usize> = (0..self.members.len()).filter(eligible).collect();
        // The last front of each station is taken first.
        fronts.sort_by_key(|&index| (self.members[index].has_baseline(), mix(seed ^ mix(index as u64))));
        let mut stations: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        let available = fronts.len();
        let with_baseline = fronts.iter().filter(|&&index| self.members[index].has_baseline()).count();
        fronts
            .into_iter()
            .for_each(|index| stations.entry(self.members[index].station).or_default().push(index));
        let mut stations: Vec<(u32, Vec<usize>)> = stations.into_iter().collect();
        stations.sort_by_key(|s| mix(seed ^ u64::from(s.0)));
        let by_station = stations.iter().enumerate().map(|(index, s)| (s.0, index)).collect();
        Pool { stations, by_station, next: 0, available, with_baseline }
    }

    /// Fills each arm and the control group up to their sizes.
    pub(super) fn fill(&mut self, now: Ticks, batch: &mut Batch) {
        let missing = |has: usize, size: usize| size.saturating_sub(has);
        let experiment = &batch.experiment;
        let replaced =
            |index: &usize| self.members[*index].enrollment(experiment.slot).is_some_and(|e| e.replaced);
        let present = |fronts: &[usize]| fronts.iter().filter(|index| !replaced(index)).count();
        let vacancies: Vec<usize> =
            experiment.arms.iter().map(|a| missing(present(&a.fronts), a.size)).collect();
        let control = missing(experiment.control.len(), experiment.control_size);
        if control == 0 && vacancies.iter().all(|&vacant| vacant == 0) {
            return;
        }
        let mut pool = self.pool(now, batch.base, batch.generation ^ now);
        let slot = experiment.slot;
        for (arm, vacant) in vacancies.into_iter().enumerate() {
            let content = batch.experiment.arms[arm].content;
            let hash = self.contents.id(content).map(|id| id.hash);
            for _ in 0..vacant {
                // A front never applies a content that it rejected.
                let fits = |index: &usize| hash.is_none_or(|h| !self.members[*index].rejected.contains(&h));
                let Some(index) = std::iter::from_fn(|| pool.take_next()).find(fits) else { break };
                batch.experiment.arms[arm].fronts.push(index);
                batch.experiment.arms[arm].assigned += 1;
                let m = &mut self.members[index];
                // A front can't be in the arms of two experiments: it moves to the later one.
                m.enrollments[Slot::Wide as usize] = None;
                m.enroll(slot, Group::Arm(arm), now);
                m.assigned = Some(content);
                if slot == Slot::Canary
                    && let Some(wide) = &mut self.wide
                {
                    wide.experiment.leave(index, Group::Arm(0));
                }
                self.update_report_interval(index);
                self.offer_target(index);
            }
        }
        let stations: Vec<u32> = batch
            .experiment
            .arms
            .iter()
            .flat_map(|a| &a.fronts)
            .map(|&index| self.members[index].station)
            .collect();
        for nth in 0..control {
            let chosen = match stations.get(nth % stations.len().max(1)) {
                Some(station) => pool.take_from_station(*station),
                None => pool.take_next(),
            };
            let Some(index) = chosen else { break };
            batch.experiment.control.push(index);
            self.members[index].enroll(slot, Group::Control, now);
            self.update_report_interval(index);
        }
    }

    /// Requests another report interval from a front if it has changed.
    pub(super) fn update_report_interval(&mut self, index: usize) {
        let m = &mut self.members[index];
        let fast = m.is_enrolled();
        if m.connected && m.fast_reports != fast {
            m.fast_reports = fast;
            let interval = if fast { self.rules.report_fast } else { self.rules.report_slow };
            self.effects.push(Effect::SetReportInterval(index, interval));
        }
    }

    /// Offers a front its target, which may have changed, under a later number than the front runs.
    pub(super) fn offer_target(&mut self, index: usize) {
        let m = &self.members[index];
        let Some(key) = m.assigned.or(self.proven) else { return };
        let Some(id) = self.contents.id(key) else { return };
        if m.running.is_some_and(|running| running.hash == id.hash) {
            return;
        }
        // It may already run what it was offered without having confirmed it.
        let running = m.running.map_or((0, 0), |running| running.position());
        let needs_renumbering = running >= id.position() || m.offered.is_some_and(|o| o > id.position());
        let renumbered = if needs_renumbering { self.contents.renumber(key).cloned() } else { None };
        if let Some(version) = renumbered.filter(|_| Some(key) == self.proven) {
            self.dirty = true;
            self.effects.extend([Effect::SetBase(Some(version.id.number)), Effect::Store(version)]);
        }
        self.members[index].offered = self.contents.id(key).map(|id| id.position());
        self.effects.push(Effect::Offer(index));
    }
}
