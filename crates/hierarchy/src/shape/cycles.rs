//! Cycles among members of one tier: finds, breaks and reports them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::{PendingReason, Shape};

impl Shape {
    /// Breaks all cycles: skips the change with the greatest number in each, so that its member falls back to its next
    /// usable change, until no cycle is left. Every cycle contains an edge of a member in `changed`, since the edges
    /// of the other members form none. So the result is the same as if all members were searched, and does not depend
    /// on the order in which changes arrived.
    pub(super) fn break_cycles(&mut self, changed: &mut BTreeSet<u32>) {
        loop {
            let cycles = self.cyclic_components(changed);
            if cycles.is_empty() {
                return;
            }
            for cycle in cycles {
                let number = |&n: &u32| {
                    let s = &self.slots[n as usize];
                    (s.changes[s.in_force].stamp.1, &*s.name)
                };
                let Some(&newest) = cycle.iter().max_by(|a, b| number(a).cmp(&number(b))) else { continue };
                self.order.remove_sources(newest);
                changed.insert(newest);
                let next = self.first_usable(newest, self.slots[newest as usize].in_force + 1);
                self.set_in_force(newest, next);
                self.skipped_for_cycle.insert(newest);
            }
        }
    }

    /// The sources in force that are in the member's own tier.
    fn same_tier_sources(&self, slot: u32) -> impl Iterator<Item = u32> + '_ {
        let s = &self.slots[slot as usize];
        let tier = s.tier();
        s.sources.iter().copied().filter(move |&x| self.slots[x as usize].tier() == tier)
    }

    /// Strongly connected components of more than one member, among those reachable from the given members
    /// (Tarjan's algorithm, without recursion).
    fn cyclic_components(&self, from: &BTreeSet<u32>) -> Vec<Vec<u32>> {
        let mut cycles = Vec::new();
        // Index, low link, and whether it is on the stack.
        let mut visited: FxHashMap<u32, (u32, u32, bool)> = FxHashMap::default();
        let (mut stack, mut path): (Vec<u32>, Vec<(u32, Vec<u32>)>) = Default::default();
        for &start in from {
            if visited.contains_key(&start) || !self.slots[start as usize].is_live() {
                continue;
            }
            let index = visited.len() as u32;
            visited.insert(start, (index, index, true));
            stack.push(start);
            path.push((start, self.same_tier_sources(start).collect()));
            while let Some((node, remaining)) = path.last_mut() {
                let node = *node;
                if let Some(next) = remaining.pop() {
                    match visited.get(&next).copied() {
                        None => {
                            let index = visited.len() as u32;
                            visited.insert(next, (index, index, true));
                            stack.push(next);
                            path.push((next, self.same_tier_sources(next).collect()));
                        }
                        Some((index, _, true)) => {
                            let own = visited.entry(node).or_default();
                            own.1 = own.1.min(index);
                        }
                        Some(_) => {}
                    }
                    continue;
                }
                path.pop();
                let (index, low, _) = visited[&node];
                if let Some((parent, _)) = path.last() {
                    let parent = visited.entry(*parent).or_default();
                    parent.1 = parent.1.min(low);
                }
                if index == low {
                    let first = stack.iter().rposition(|&n| n == node).unwrap_or(0);
                    let component = stack.split_off(first);
                    component.iter().for_each(|n| visited.entry(*n).or_default().2 = false);
                    if component.len() > 1 {
                        cycles.push(component);
                    }
                }
            }
        }
        cycles
    }

    /// Why a member's newest change is not in force; none if it is.
    pub(super) fn pending_reason(&self, slot: u32) -> Option<PendingReason> {
        let s = &self.slots[slot as usize];
        let newest = s.changes.first().filter(|_| s.in_force != 0)?;
        let name = |n: u32| self.slots[n as usize].name.clone();
        let in_service = || newest.sources.iter().copied().filter(|&x| self.slots[x as usize].in_service());
        if let Some(lower) = in_service().find(|&x| self.slots[x as usize].tier() < s.tier()) {
            let tier = self.slots[lower as usize].tier();
            return Some(PendingReason::LowerTier { source: name(lower), tier, own_tier: s.tier() });
        }
        if in_service().next().is_none() {
            return Some(PendingReason::NoSource(newest.sources.iter().map(|&x| name(x)).collect()));
        }
        // The cycle may lead through skipped changes of other members, too.
        let cycle = self.shortest_cycle(slot, false).or_else(|| self.shortest_cycle(slot, true));
        Some(PendingReason::Cycle(cycle.unwrap_or_else(|| vec![slot]).into_iter().map(name).collect()))
    }

    /// The shortest cycle that a member's newest change would close within its tier. Goes by the edges in force of
    /// the other members, and with `include_pending` by those of their newest changes, too.
    fn shortest_cycle(&self, slot: u32, include_pending: bool) -> Option<Vec<u32>> {
        let tier = self.slots[slot as usize].tier();
        let mut reached_from: BTreeMap<u32, u32> = BTreeMap::new();
        let mut queue: VecDeque<u32> = [slot].into();
        while let Some(node) = queue.pop_front() {
            let n = &self.slots[node as usize];
            let newest =
                n.changes.first().filter(|_| include_pending || node == slot).map_or(&[][..], |c| &c.sources);
            let in_force = if node == slot { &[][..] } else { &n.sources };
            for &x in in_force.iter().chain(newest) {
                if x == slot {
                    let previous = |at: &u32| reached_from.get(at).copied();
                    let mut cycle: Vec<u32> = std::iter::successors(Some(node), previous).collect();
                    cycle.reverse();
                    return Some(cycle);
                }
                let s = &self.slots[x as usize];
                if s.in_service() && s.tier() == tier && !reached_from.contains_key(&x) {
                    reached_from.insert(x, node);
                    queue.push_back(x);
                }
            }
        }
        None
    }
}
