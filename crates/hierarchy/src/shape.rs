//! The members of a hierarchy and the sources that each fills from, merged from numbered changes.
//!
//! **Merging.** A member is identified by its name. Each start of it is an incarnation, and each change that it
//! announces has a number within the incarnation. A change carries the member's complete state: tier, standing
//! and list of sources. The newest change counts; a few older ones are kept to fall back on. `ChangeKind::Gone`
//! is final for its incarnation and all earlier ones. So the shape is a function of the set of changes applied,
//! whatever their order and however often each arrived.
//!
//! **In force.** Of a member's changes, the newest usable one is in force. A change is unusable while none of its
//! sources is known and in service, while a source is in a lower tier than the member, or while it would close a cycle.
//! Since no edge leads to a lower tier, all members of a cycle are in one tier, and only edges within a tier can close
//! one. Of the changes in a cycle, the one with the greatest number is skipped (on a tie, that of the greatest name):
//! if the numbers come from one sequence, this is the newest change; otherwise it is at least the same change on all
//! fronts. Its member falls back to its previous change. Once the obstacle is gone, the skipped change comes into force
//! by itself.
//!
//! **Tombstones.** Ended members are kept by name and incarnation, at most `MAX_TOMBSTONES` of them; those of the
//! lowest incarnations are dropped first. From then on no unknown member of an incarnation up to the dropped one is
//! accepted, so that a late change never revives an ended member. A live member that had not been announced by then has
//! to start a new incarnation.

mod cycles;
mod types;
mod view;

use std::collections::BTreeSet;

use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;

pub use crate::order::MAX_SOURCES;
use crate::order::TopologicalOrder;
pub use types::{
    ApplyOutcome, Change, ChangeKind, Member, PendingChange, PendingReason, Rejection, Standing,
};

/// Ten times as many members as any installation has named; at about half a kilobyte each, 64 MB in all.
pub const MAX_MEMBERS: usize = 1 << 17;
/// Each takes twelve bytes and a name. Enough for some days of restarts in a large installation.
pub const MAX_TOMBSTONES: usize = 1 << 16;
/// Changes kept of one member: the newest, and those to fall back on.
pub const MAX_CHANGES_PER_MEMBER: usize = 4;
/// Tiers are numbered below this.
pub const MAX_TIERS: u8 = 16;
/// A longer name of a member is rejected.
pub const MAX_NAME_BYTES: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StoredChange {
    /// Incarnation and number: the greater is the newer.
    stamp: (u64, u64),
    tier: u8,
    standing: Standing,
    /// Slots of its sources, in the order given.
    sources: ArrayVec<u32, MAX_SOURCES>,
}

/// A name in use: a live member, or a source that some member names but that has not been announced.
#[derive(Default)]
struct Slot {
    name: Box<str>,
    /// Newest first; empty if this is not a live member.
    changes: ArrayVec<StoredChange, MAX_CHANGES_PER_MEMBER>,
    /// Index of the change in force; the number of changes if none is.
    in_force: usize,
    /// The sources in force.
    sources: ArrayVec<u32, MAX_SOURCES>,
    /// Members that name this one as a source, and in how many of their stored changes.
    named_by: FxHashMap<u32, u32>,
}

impl Slot {
    fn is_live(&self) -> bool {
        !self.changes.is_empty()
    }

    /// May be filled from.
    fn in_service(&self) -> bool {
        self.changes.first().is_some_and(|c| c.standing == Standing::InService)
    }

    fn tier(&self) -> u8 {
        self.changes.first().map_or(0, |c| c.tier)
    }
}

#[derive(Default)]
pub struct Shape {
    slots: Vec<Slot>,
    free_slots: Vec<u32>,
    by_name: FxHashMap<Box<str>, u32>,
    live_count: usize,
    order: TopologicalOrder,
    /// Members that have a change skipped because it would close a cycle.
    skipped_for_cycle: BTreeSet<u32>,
    /// Members whose newest change is not in force, for whatever reason.
    pending: BTreeSet<u32>,
    /// The last ended incarnation by name.
    tombstones: FxHashMap<Box<str>, u64>,
    tombstones_by_incarnation: BTreeSet<(u64, Box<str>)>,
    /// Tombstones up to this incarnation may have been dropped.
    forgotten_up_to: u64,
    max_tombstones: usize,
    /// Grows with each change of what is in force.
    pub revision: u64,
}

impl Shape {
    pub fn new() -> Shape {
        Shape { max_tombstones: MAX_TOMBSTONES, ..Shape::default() }
    }

    /// An empty shape that keeps fewer tombstones than [`MAX_TOMBSTONES`], or more.
    pub fn with_max_tombstones(max_tombstones: usize) -> Shape {
        Shape { max_tombstones, ..Shape::default() }
    }

    // ---- applying changes

    /// Adds a change to the shape, and updates which changes are in force.
    pub fn apply(&mut self, change: &Change) -> ApplyOutcome {
        match self.try_apply(change) {
            Ok(outcome) => outcome,
            Err(rejection) => ApplyOutcome::Rejected(rejection),
        }
    }

    fn try_apply(&mut self, change: &Change) -> Result<ApplyOutcome, Rejection> {
        let Change { member, incarnation, number, kind } = change;
        check_name(member)?;
        let ChangeKind::Present { tier, standing, fills_from } = kind else {
            return Ok(self.end_incarnation(member, *incarnation));
        };
        if *tier >= MAX_TIERS {
            return Err(Rejection::InvalidTier(*tier));
        }
        if fills_from.len() > MAX_SOURCES {
            return Err(Rejection::TooManySources(fills_from.len()));
        }
        fills_from.iter().try_for_each(|s| check_name(s))?;
        if fills_from.contains(member) {
            return Err(Rejection::SelfSource);
        }
        if let Some(&ended) = self.tombstones.get(member).filter(|&&ended| *incarnation <= ended) {
            return Err(Rejection::IncarnationEnded { ended });
        }
        let known = self.by_name.get(member).copied().filter(|&s| self.slots[s as usize].is_live());
        let older = |s: u32| self.slots[s as usize].changes.first().is_some_and(|c| *incarnation < c.stamp.0);
        if known.is_none_or(older) && *incarnation <= self.forgotten_up_to {
            return Err(Rejection::IncarnationForgotten { up_to: self.forgotten_up_to });
        }
        if known.is_none() && self.live_count >= MAX_MEMBERS {
            return Err(Rejection::TooManyMembers);
        }
        let stamp = (*incarnation, *number);
        let slot = self.slot_for(member);
        // A source that is named twice counts once.
        let mut sources = ArrayVec::new();
        for source in fills_from {
            let source_slot = self.slot_for(source);
            if !sources.contains(&source_slot) {
                sources.push(source_slot);
            }
        }
        let stored = StoredChange { stamp, tier: *tier, standing: *standing, sources };
        // Counted before any other change is removed: a source that both name must not be released in between.
        for &source in &stored.sources {
            *self.slots[source as usize].named_by.entry(slot).or_default() += 1;
        }
        let changes = &self.slots[slot as usize].changes;
        let newest = changes.first().map(|c| c.stamp);
        let index = changes.iter().position(|c| c.stamp <= stamp).unwrap_or(changes.len());
        let mut outcome = Ok(ApplyOutcome::Applied);
        if let Some(same) = changes.get(index).filter(|c| c.stamp == stamp) {
            if *same == stored {
                self.remove_references(slot, &stored.sources);
                return Ok(ApplyOutcome::Duplicate);
            }
            // The greater one is kept: arbitrary, but the same on all fronts that receive both.
            outcome = Err(Rejection::Conflict);
            if *same > stored {
                self.remove_references(slot, &stored.sources);
                return outcome;
            }
            self.remove_change(slot, index);
        } else if index == MAX_CHANGES_PER_MEMBER {
            self.remove_references(slot, &stored.sources);
            return Ok(superseded(newest));
        } else if changes.is_full() {
            self.remove_change(slot, MAX_CHANGES_PER_MEMBER - 1);
        }
        let is_new = !self.slots[slot as usize].is_live();
        if is_new {
            self.live_count += 1;
            self.order.add_node(slot);
        }
        let visible_state = |s: &Slot| (s.in_service(), s.tier());
        let before = visible_state(&self.slots[slot as usize]);
        self.slots[slot as usize].changes.insert(index, stored);
        let visibly_changed = before != visible_state(&self.slots[slot as usize]);
        self.update_in_force(slot, is_new || visibly_changed);
        outcome?;
        if index > 0 {
            return Ok(superseded(newest));
        }
        Ok(self.pending_reason(slot).map_or(ApplyOutcome::Applied, ApplyOutcome::Pending))
    }

    fn end_incarnation(&mut self, member: &str, incarnation: u64) -> ApplyOutcome {
        let ended = self.tombstones.get(member).copied();
        if ended.is_some_and(|ended| incarnation <= ended)
            || ended.is_none() && incarnation <= self.forgotten_up_to
        {
            let known = self.by_name.get(member).map(|&s| &self.slots[s as usize]);
            // A live member's incarnation may be below `forgotten_up_to`; its end still has to take effect.
            if !known.is_some_and(|s| s.changes.iter().any(|c| c.stamp.0 <= incarnation)) {
                return ApplyOutcome::Duplicate;
            }
        }
        if let Some(old) = ended {
            self.tombstones_by_incarnation.remove(&(old, member.into()));
        }
        self.tombstones.insert(member.into(), incarnation);
        self.tombstones_by_incarnation.insert((incarnation, member.into()));
        while self.tombstones.len() > self.max_tombstones
            && let Some((oldest, name)) = self.tombstones_by_incarnation.pop_first()
        {
            self.tombstones.remove(&name);
            self.forgotten_up_to = self.forgotten_up_to.max(oldest);
        }
        let Some(&slot) = self.by_name.get(member) else { return ApplyOutcome::Applied };
        let was_live = self.slots[slot as usize].is_live();
        while self.slots[slot as usize].changes.last().is_some_and(|c| c.stamp.0 <= incarnation) {
            let last = self.slots[slot as usize].changes.len() - 1;
            self.remove_change(slot, last);
        }
        if was_live {
            if !self.slots[slot as usize].is_live() {
                self.live_count -= 1;
            }
            self.update_in_force(slot, true);
            self.release_if_unused(slot);
        }
        ApplyOutcome::Applied
    }

    // ---- names and slots

    /// The slot of a name; allocates one if there is none.
    fn slot_for(&mut self, name: &str) -> u32 {
        if let Some(&slot) = self.by_name.get(name) {
            return slot;
        }
        let new = Slot { name: name.into(), ..Slot::default() };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.slots[slot as usize] = new;
                slot
            }
            None => {
                self.slots.push(new);
                (self.slots.len() - 1) as u32
            }
        };
        self.order.add_node(slot);
        self.by_name.insert(name.into(), slot);
        slot
    }

    /// Releases a slot that is neither a live member nor named by one.
    fn release_if_unused(&mut self, slot: u32) {
        let s = &self.slots[slot as usize];
        if !s.is_live() && s.named_by.is_empty() && self.by_name.remove(&s.name).is_some() {
            self.slots[slot as usize] = Slot::default();
            self.free_slots.push(slot);
        }
    }

    /// Takes back one count per source that a member's change named; the change was removed or never stored.
    fn remove_references(&mut self, slot: u32, sources: &[u32]) {
        for &source in sources {
            let named_by = &mut self.slots[source as usize].named_by;
            if let Some(count) = named_by.get_mut(&slot) {
                *count -= 1;
                if *count == 0 {
                    named_by.remove(&slot);
                }
            }
            self.release_if_unused(source);
        }
    }

    fn remove_change(&mut self, slot: u32, index: usize) {
        let change = self.slots[slot as usize].changes.remove(index);
        self.remove_references(slot, &change.sources);
    }

    // ---- what is in force

    /// Whether a change is usable apart from cycles, for a member in tier `own_tier`.
    fn is_usable(&self, own_tier: u8, change: &StoredChange) -> bool {
        let mut has_source = change.sources.is_empty();
        for source in change.sources.iter().map(|&s| &self.slots[s as usize]).filter(|s| s.in_service()) {
            if source.tier() < own_tier {
                return false;
            }
            has_source = true;
        }
        has_source
    }

    /// The first change, from index `start` on, that is usable apart from cycles.
    fn first_usable(&self, slot: u32, start: usize) -> usize {
        let s = &self.slots[slot as usize];
        let usable = |&n: &usize| self.is_usable(s.tier(), &s.changes[n]);
        (start..s.changes.len()).find(usable).unwrap_or(s.changes.len())
    }

    /// Puts a member's change into force, with those of its sources that are in service, without a check for
    /// cycles.
    fn set_in_force(&mut self, slot: u32, in_force: usize) {
        let s = &self.slots[slot as usize];
        let sources = s.changes.get(in_force).map(|c| {
            let in_service = c.sources.iter().copied().filter(|&x| self.slots[x as usize].in_service());
            in_service.collect::<ArrayVec<u32, MAX_SOURCES>>()
        });
        let s = &mut self.slots[slot as usize];
        let sources = sources.unwrap_or_default();
        if s.sources != sources || s.in_force != in_force {
            self.revision += 1;
        }
        (s.in_force, s.sources) = (in_force, sources);
        if s.is_live() && s.in_force != 0 {
            self.pending.insert(slot);
        } else {
            self.pending.remove(&slot);
        }
    }

    /// Adds a member's edges within its tier to the topological order; false if they close a cycle.
    fn add_to_order(&mut self, slot: u32) -> bool {
        self.order.remove_sources(slot);
        let s = &self.slots[slot as usize];
        let tier = s.tier();
        let same_tier = s.sources.iter().copied().filter(|&x| self.slots[x as usize].tier() == tier);
        for source in same_tier.collect::<ArrayVec<u32, MAX_SOURCES>>() {
            if self.order.add_edge(slot, source).is_err() {
                self.order.remove_sources(slot);
                return false;
            }
        }
        true
    }

    /// Decides anew what is in force after a change of one member; `visibly_changed`: members that name it are
    /// affected, too.
    fn update_in_force(&mut self, slot: u32, visibly_changed: bool) {
        let mut changed = BTreeSet::from([slot]);
        if visibly_changed {
            changed.extend(self.slots[slot as usize].named_by.keys());
        }
        // The change may undo a cycle, so members with a change skipped start again from their newest one.
        let skipped = std::mem::take(&mut self.skipped_for_cycle);
        let mut acyclic = skipped.is_empty();
        changed.extend(skipped);
        changed.iter().for_each(|&c| self.order.remove_sources(c));
        for &c in &changed {
            let in_force = self.first_usable(c, 0);
            self.set_in_force(c, in_force);
        }
        if acyclic {
            acyclic = changed.iter().all(|&c| self.add_to_order(c));
        }
        if !acyclic {
            changed.iter().for_each(|&c| self.order.remove_sources(c));
            self.break_cycles(&mut changed);
            for &c in &changed {
                let added = self.add_to_order(c);
                debug_assert!(added, "all cycles are broken");
            }
        }
    }
}

fn superseded(newest: Option<(u64, u64)>) -> ApplyOutcome {
    let (incarnation, number) = newest.unwrap_or_default();
    ApplyOutcome::Superseded { incarnation, number }
}

/// Names appear in headers, logs and files: only characters that have no special meaning in any of them.
fn check_name(name: &str) -> Result<(), Rejection> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed);
    if valid { Ok(()) } else { Err(Rejection::InvalidName) }
}
