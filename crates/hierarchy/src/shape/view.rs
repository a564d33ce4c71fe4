//! Queries of a shape.

use super::{Change, ChangeKind, Member, PendingChange, Shape, Slot};

impl Shape {
    /// The newest changes that are not in force, by member name.
    pub fn pending_changes(&self) -> Vec<PendingChange> {
        let mut pending: Vec<PendingChange> = self
            .pending
            .iter()
            .filter_map(|&slot| {
                let s = &self.slots[slot as usize];
                let (incarnation, number) = s.changes.first()?.stamp;
                Some(PendingChange {
                    member: s.name.clone(),
                    incarnation,
                    number,
                    reason: self.pending_reason(slot)?,
                })
            })
            .collect();
        pending.sort_by(|a, b| a.member.cmp(&b.member));
        pending
    }

    fn view(&self, slot: u32) -> Option<Member<'_>> {
        let s = &self.slots[slot as usize];
        let newest = s.changes.first()?;
        Some(Member {
            name: &s.name,
            incarnation: newest.stamp.0,
            number: newest.stamp.1,
            tier: newest.tier,
            standing: newest.standing,
            fills_from: s.sources.iter().map(|&x| &*self.slots[x as usize].name).collect(),
            root: newest.sources.is_empty(),
            newest_in_force: s.in_force == 0,
        })
    }

    pub fn member(&self, name: &str) -> Option<Member<'_>> {
        self.view(*self.by_name.get(name)?)
    }

    /// All live members, the highest tier first, by name within a tier.
    pub fn members(&self) -> Vec<Member<'_>> {
        let mut all: Vec<_> = (0..self.slots.len() as u32).filter_map(|n| self.view(n)).collect();
        all.sort_by(|a, b| (b.tier, a.name).cmp(&(a.tier, b.name)));
        all
    }

    /// The number of live members.
    pub fn len(&self) -> usize {
        self.live_count
    }

    pub fn is_empty(&self) -> bool {
        self.live_count == 0
    }

    /// The least incarnation that a member of this name may start under now.
    pub fn free_incarnation(&self, name: &str) -> u64 {
        let after_ended = self.tombstones.get(name).map_or(0, |ended| ended.saturating_add(1));
        let after_forgotten =
            if self.forgotten_up_to > 0 { self.forgotten_up_to.saturating_add(1) } else { 0 };
        after_ended.max(after_forgotten)
    }

    /// The number of tombstones, and the incarnation up to which others have been dropped.
    pub fn tombstones(&self) -> (usize, u64) {
        (self.tombstones.len(), self.forgotten_up_to)
    }

    /// The number of names in use, by members and by changes that name them as sources.
    pub fn name_count(&self) -> usize {
        self.by_name.len()
    }

    /// The most members that a fill can pass through, the first and the last included, and at least 1. A fill that
    /// has passed through more goes round in a cycle that this shape does not show.
    pub fn depth(&self) -> usize {
        let mut depth: Vec<u32> = vec![0; self.slots.len()];
        let mut path: Vec<(u32, usize)> = Vec::new();
        for start in 0..self.slots.len() as u32 {
            path.push((start, 0));
            while let Some((node, next_source)) = path.pop() {
                let s = &self.slots[node as usize];
                if depth[node as usize] > 0 || !s.is_live() {
                    continue;
                }
                if let Some(&source) = s.sources.get(next_source) {
                    path.push((node, next_source + 1));
                    path.push((source, 0));
                } else {
                    depth[node as usize] =
                        1 + s.sources.iter().map(|&x| depth[x as usize]).max().unwrap_or(0);
                }
            }
        }
        depth.into_iter().max().unwrap_or(0).max(1) as usize
    }

    /// Live members whose fills can't end at a root, by name. Takes one walk over all members.
    pub fn cut_off(&self) -> Vec<&str> {
        // Whether each slot reaches a root, once that is known. The edges in force have no cycles.
        let mut reaches: Vec<Option<bool>> = vec![None; self.slots.len()];
        let mut path: Vec<u32> = Vec::new();
        for start in 0..self.slots.len() as u32 {
            path.push(start);
            while let Some(&node) = path.last() {
                let s = &self.slots[node as usize];
                let root = s.in_service() && s.changes.first().is_some_and(|c| c.sources.is_empty());
                let unknown = s.sources.iter().copied().find(|&x| reaches[x as usize].is_none());
                match unknown.filter(|_| !root && reaches[node as usize].is_none()) {
                    Some(source) => path.push(source),
                    None => {
                        let through_source = s.sources.iter().any(|&x| reaches[x as usize] == Some(true));
                        reaches[node as usize].get_or_insert(root || through_source);
                        path.pop();
                    }
                }
            }
        }
        let is_cut_off = |(s, reaches): &(&Slot, &Option<bool>)| s.is_live() && **reaches != Some(true);
        let mut names: Vec<&str> =
            self.slots.iter().zip(&reaches).filter(is_cut_off).map(|(s, _)| &*s.name).collect();
        names.sort_unstable();
        names
    }

    /// Whether a fill through this member can end at a root.
    pub fn reaches_root(&self, name: &str) -> bool {
        self.member(name).is_some() && !self.cut_off().contains(&name)
    }

    /// The whole shape as changes: applied to an empty shape, they give an equal one.
    pub fn changes(&self) -> Vec<Change> {
        let mut all = Vec::new();
        for s in self.slots.iter().filter(|s| s.is_live()) {
            for c in &s.changes {
                let fills_from = c.sources.iter().map(|&x| self.slots[x as usize].name.clone()).collect();
                let kind = ChangeKind::Present { tier: c.tier, standing: c.standing, fills_from };
                let (incarnation, number) = c.stamp;
                all.push(Change { member: s.name.clone(), incarnation, number, kind });
            }
        }
        let ended = self.tombstones.iter().map(|(member, &incarnation)| Change {
            member: member.clone(),
            incarnation,
            number: 0,
            kind: ChangeKind::Gone,
        });
        all.extend(ended);
        all.sort();
        all
    }
}
