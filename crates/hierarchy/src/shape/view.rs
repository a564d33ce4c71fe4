//! What a shape shows of itself.

use super::{Aside, Change, Member, Shape, Slot, Told};

impl Shape {
    /// Changes that stand but are not in force, by their members' names.
    pub fn asides(&self) -> Vec<Aside> {
        let mut asides: Vec<Aside> = self
            .aside
            .iter()
            .filter_map(|&slot| {
                let s = &self.slots[slot as usize];
                let (incarnation, number) = s.words.first()?.stamp;
                Some(Aside { member: s.name.clone(), incarnation, number, why: self.why(slot)? })
            })
            .collect();
        asides.sort_by(|a, b| a.member.cmp(&b.member));
        asides
    }

    fn view(&self, slot: u32) -> Option<Member<'_>> {
        let s = &self.slots[slot as usize];
        let newest = s.words.first()?;
        Some(Member {
            name: &s.name,
            incarnation: newest.stamp.0,
            number: newest.stamp.1,
            tier: newest.tier,
            standing: newest.standing,
            fills_from: s.sources.iter().map(|&x| &*self.slots[x as usize].name).collect(),
            root: newest.sources.is_empty(),
            newest: s.stands == 0,
        })
    }

    pub fn member(&self, name: &str) -> Option<Member<'_>> {
        self.view(*self.by_name.get(name)?)
    }

    /// All live members, the highest tier first, by name within it.
    pub fn members(&self) -> Vec<Member<'_>> {
        let mut all: Vec<_> = (0..self.slots.len() as u32).filter_map(|n| self.view(n)).collect();
        all.sort_by(|a, b| (b.tier, a.name).cmp(&(a.tier, b.name)));
        all
    }

    pub fn len(&self) -> usize {
        self.live
    }

    pub fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// The least incarnation that a member of this name may start under now.
    pub fn free_incarnation(&self, name: &str) -> u64 {
        let ended = self.dead.get(name).map_or(0, |ended| ended.saturating_add(1));
        let forgotten = if self.floor > 0 { self.floor.saturating_add(1) } else { 0 };
        ended.max(forgotten)
    }

    /// Names held of the dead, and the incarnation up to which the dead are forgotten.
    pub fn dead(&self) -> (usize, u64) {
        (self.dead.len(), self.floor)
    }

    /// Slots in use, for members and for names that somebody mentions.
    pub fn names(&self) -> usize {
        self.by_name.len()
    }

    /// The most members that a fill can come through, the first and the last included: a fill that has come
    /// through more goes round a ring that this shape doesn't show. At least 1.
    pub fn depth(&self) -> usize {
        let mut depth: Vec<u32> = vec![0; self.slots.len()];
        let mut path: Vec<(u32, usize)> = Vec::new();
        for root in 0..self.slots.len() as u32 {
            path.push((root, 0));
            while let Some((node, at)) = path.pop() {
                let s = &self.slots[node as usize];
                if depth[node as usize] > 0 || !s.live() {
                    continue;
                }
                if let Some(&next) = s.sources.get(at) {
                    path.push((node, at + 1));
                    path.push((next, 0));
                } else {
                    depth[node as usize] =
                        1 + s.sources.iter().map(|&x| depth[x as usize]).max().unwrap_or(0);
                }
            }
        }
        depth.into_iter().max().unwrap_or(0).max(1) as usize
    }

    /// Live members whose fills can't end at a root, by name: one walk over all.
    pub fn cut_off(&self) -> Vec<&str> {
        // Of each slot whether it reaches one, once that is known; nothing in force leads round.
        let mut reaches: Vec<Option<bool>> = vec![None; self.slots.len()];
        let mut path: Vec<u32> = Vec::new();
        for start in 0..self.slots.len() as u32 {
            path.push(start);
            while let Some(&node) = path.last() {
                let s = &self.slots[node as usize];
                let root = s.serves() && s.words.first().is_some_and(|w| w.sources.is_empty());
                let unknown = s.sources.iter().copied().find(|&x| reaches[x as usize].is_none());
                match unknown.filter(|_| !root && reaches[node as usize].is_none()) {
                    Some(above) => path.push(above),
                    None => {
                        let above = s.sources.iter().any(|&x| reaches[x as usize] == Some(true));
                        reaches[node as usize].get_or_insert(root || above);
                        path.pop();
                    }
                }
            }
        }
        let cut = |(s, reaches): &(&Slot, &Option<bool>)| s.live() && **reaches != Some(true);
        let mut names: Vec<&str> =
            self.slots.iter().zip(&reaches).filter(cut).map(|(s, _)| &*s.name).collect();
        names.sort_unstable();
        names
    }

    /// Whether a fill that a member asks its sources for can end at a root.
    pub fn reaches_root(&self, name: &str) -> bool {
        self.member(name).is_some() && !self.cut_off().contains(&name)
    }

    /// All that is known, as changes: whoever hears them all ends with this shape.
    pub fn changes(&self) -> Vec<Change> {
        let mut all = Vec::new();
        for s in self.slots.iter().filter(|s| s.live()) {
            for w in &s.words {
                let fills_from = w.sources.iter().map(|&x| self.slots[x as usize].name.clone()).collect();
                let told = Told::Stands { tier: w.tier, standing: w.standing, fills_from };
                let (incarnation, number) = w.stamp;
                all.push(Change { member: s.name.clone(), incarnation, number, told });
            }
        }
        let ends = self.dead.iter().map(|(member, &incarnation)| Change {
            member: member.clone(),
            incarnation,
            number: 0,
            told: Told::Gone,
        });
        all.extend(ends);
        all.sort();
        all
    }
}
