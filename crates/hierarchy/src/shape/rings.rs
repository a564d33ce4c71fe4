//! Loops among members of one tier: found, broken, and told of.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::{Shape, Why};

impl Shape {
    /// While there is a ring, its greatest change gives way to the next word of its member. Every ring has an
    /// edge of a member in `changed`: the others were without one. That makes the result the same as if all
    /// members were looked at, and so independent of the order in which changes came.
    pub(super) fn break_rings(&mut self, changed: &mut BTreeSet<u32>) {
        loop {
            let rings = self.rings(changed);
            if rings.is_empty() {
                return;
            }
            for ring in rings {
                let number = |&n: &u32| {
                    let s = &self.slots[n as usize];
                    (s.words[s.stands].stamp.1, &*s.name)
                };
                let Some(&gives_way) = ring.iter().max_by(|a, b| number(a).cmp(&number(b))) else { continue };
                self.order.cut(gives_way);
                changed.insert(gives_way);
                let next = self.first_usable(gives_way, self.slots[gives_way as usize].stands + 1);
                self.hang(gives_way, next);
                self.ringed.insert(gives_way);
            }
        }
    }

    /// The edges in force that lead on within a member's tier.
    fn level(&self, slot: u32) -> impl Iterator<Item = u32> + '_ {
        let s = &self.slots[slot as usize];
        let tier = s.tier();
        s.sources.iter().copied().filter(move |&x| self.slots[x as usize].tier() == tier)
    }

    /// Sets of members that reach one another, of those reached from the given ones (Tarjan, without recursion).
    fn rings(&self, from: &BTreeSet<u32>) -> Vec<Vec<u32>> {
        let mut rings = Vec::new();
        // Index and lowest link; a finished one has no place on the stack.
        let mut seen: FxHashMap<u32, (u32, u32, bool)> = FxHashMap::default();
        let (mut stack, mut path): (Vec<u32>, Vec<(u32, Vec<u32>)>) = Default::default();
        for &root in from {
            if seen.contains_key(&root) || !self.slots[root as usize].live() {
                continue;
            }
            let index = seen.len() as u32;
            seen.insert(root, (index, index, true));
            stack.push(root);
            path.push((root, self.level(root).collect()));
            while let Some((node, left)) = path.last_mut() {
                let node = *node;
                if let Some(next) = left.pop() {
                    match seen.get(&next).copied() {
                        None => {
                            let index = seen.len() as u32;
                            seen.insert(next, (index, index, true));
                            stack.push(next);
                            path.push((next, self.level(next).collect()));
                        }
                        Some((index, _, true)) => {
                            let own = seen.entry(node).or_default();
                            own.1 = own.1.min(index);
                        }
                        Some(_) => {}
                    }
                    continue;
                }
                path.pop();
                let (index, low, _) = seen[&node];
                if let Some((above, _)) = path.last() {
                    let above = seen.entry(*above).or_default();
                    above.1 = above.1.min(low);
                }
                if index == low {
                    let start = stack.iter().rposition(|&n| n == node).unwrap_or(0);
                    let ring = stack.split_off(start);
                    ring.iter().for_each(|n| seen.entry(*n).or_default().2 = false);
                    if ring.len() > 1 {
                        rings.push(ring);
                    }
                }
            }
        }
        rings
    }

    /// Why a member's newest change is not in force.
    pub(super) fn why(&self, slot: u32) -> Option<Why> {
        let s = &self.slots[slot as usize];
        let word = s.words.first().filter(|_| s.stands != 0)?;
        let name = |n: u32| self.slots[n as usize].name.clone();
        let serving = || word.sources.iter().copied().filter(|&x| self.slots[x as usize].serves());
        if let Some(low) = serving().find(|&x| self.slots[x as usize].tier() < s.tier()) {
            let tier = self.slots[low as usize].tier();
            return Some(Why::LowerTier { source: name(low), tier, own: s.tier() });
        }
        if serving().next().is_none() {
            return Some(Why::NoSource(word.sources.iter().map(|&x| name(x)).collect()));
        }
        // What is in force closes it, or what others wish that gave way, too.
        let ring = self.way_round(slot, false).or_else(|| self.way_round(slot, true));
        Some(Why::Ring(ring.unwrap_or_else(|| vec![slot]).into_iter().map(name).collect()))
    }

    /// The shortest ring that a member's newest change would close, within its tier.
    fn way_round(&self, slot: u32, wishes: bool) -> Option<Vec<u32>> {
        let tier = self.slots[slot as usize].tier();
        let mut from: BTreeMap<u32, u32> = BTreeMap::new();
        let mut queue: VecDeque<u32> = [slot].into();
        while let Some(node) = queue.pop_front() {
            let n = &self.slots[node as usize];
            let wished = n.words.first().filter(|_| wishes || node == slot).map_or(&[][..], |w| &w.sources);
            let in_force = if node == slot { &[][..] } else { &n.sources };
            for &x in in_force.iter().chain(wished) {
                if x == slot {
                    let before = |at: &u32| from.get(at).copied();
                    let mut ring: Vec<u32> = std::iter::successors(Some(node), before).collect();
                    ring.reverse();
                    return Some(ring);
                }
                let s = &self.slots[x as usize];
                if s.serves() && s.tier() == tier && !from.contains_key(&x) {
                    from.insert(x, node);
                    queue.push_back(x);
                }
            }
        }
        None
    }
}
