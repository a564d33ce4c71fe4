//! Measures the time to check a change of the shape for fill loops, in hierarchies of 100 to 100 000 members. Three
//! methods are timed on the same changes: the incremental topological order alone, all of `Shape::apply`, and as the baseline a
//! depth-first search of the whole hierarchy after each change. All three must agree on which changes close a loop.

use std::time::Instant;

use doorgrade_hierarchy::order::TopologicalOrder;
use doorgrade_hierarchy::{ApplyOutcome, Change, ChangeKind, Shape, Standing};
use fastrand::Rng;

use crate::{Figures, RunArgs};

/// A generated hierarchy: an archive, a few members in each upper tier, most in tier 1. Some members fill from others of
/// their own tier.
struct Hierarchy {
    names: Vec<String>,
    tiers: Vec<u8>,
    sources: Vec<Vec<usize>>,
}

impl Hierarchy {
    fn new(count: usize, rng: &mut Rng) -> Hierarchy {
        let mut hierarchy = Hierarchy { names: Vec::new(), tiers: Vec::new(), sources: Vec::new() };
        for n in 0..count {
            // 5% in tier 3 and 20% in tier 2.
            let tier = match n {
                0 => 4,
                n if n <= (count / 20).max(2) => 3,
                n if n <= (count / 4).max(4) => 2,
                _ => 1,
            };
            hierarchy.names.push(format!("m-{n:06}"));
            hierarchy.tiers.push(tier);
            let sources = hierarchy.choose_sources(n, rng);
            hierarchy.sources.push(sources);
        }
        hierarchy
    }

    /// Up to two sources with lower numbers than the member, so that they close no loop.
    fn choose_sources(&self, n: usize, rng: &mut Rng) -> Vec<usize> {
        if n == 0 {
            return Vec::new();
        }
        let choose_one = |rng: &mut Rng| {
            // In half of the cases a member of the same tier among the 50 before it, otherwise one of a tier above.
            let from = n.saturating_sub(50.min(n));
            let recent = rng.usize(from..n);
            let above_count = self.tiers.iter().take(n).filter(|&&t| t > self.tiers[n]).count();
            let above = if above_count > 0 { rng.usize(0..above_count) } else { 0 };
            if rng.bool() && self.tiers[recent] >= self.tiers[n] { recent } else { above }
        };
        let mut sources = vec![choose_one(rng), choose_one(rng)];
        sources.dedup();
        sources
    }

    /// The change that reports the member with its present sources.
    fn change(&self, n: usize, number: u64) -> Change {
        let fills_from = self.sources[n].iter().map(|&s| self.names[s].as_str().into()).collect();
        let kind = ChangeKind::Present { tier: self.tiers[n], standing: Standing::InService, fills_from };
        Change { member: self.names[n].as_str().into(), incarnation: 1, number, kind }
    }

    /// Replaces the member's edges within its tier in the order; false if they would close a loop, and then it has none.
    fn update_edges(&self, order: &mut TopologicalOrder, n: usize) -> bool {
        order.remove_sources(n as u32);
        let mut within_tier = self.sources[n].iter().filter(|&&s| self.tiers[s] == self.tiers[n]);
        let loop_free = within_tier.all(|&s| order.add_edge(n as u32, s as u32).is_ok());
        if !loop_free {
            order.remove_sources(n as u32);
        }
        loop_free
    }

    /// The baseline: a depth-first search of the whole hierarchy, as cheap as it can be (each member visited once, with one
    /// byte of state: 0 not visited, 1 on the path, 2 done).
    fn has_loop(&self, state: &mut Vec<u8>, path: &mut Vec<(u32, u32)>) -> bool {
        state.clear();
        state.resize(self.sources.len(), 0);
        for root in 0..self.sources.len() as u32 {
            if state[root as usize] != 0 {
                continue;
            }
            state[root as usize] = 1;
            path.push((root, 0));
            while let Some((node, next_source)) = path.last_mut() {
                let Some(&source) = self.sources[*node as usize].get(*next_source as usize) else {
                    state[*node as usize] = 2;
                    path.pop();
                    continue;
                };
                *next_source += 1;
                match state[source] {
                    0 => {
                        state[source] = 1;
                        path.push((source as u32, 0));
                    }
                    1 => {
                        path.clear();
                        return true;
                    }
                    _ => {}
                }
            }
        }
        false
    }
}

struct Cost {
    /// Seconds per change, of the check in the topological order alone.
    order_s: f64,
    /// Seconds per change, of `Shape::apply`.
    apply_s: f64,
    /// Seconds per change, of the search of the whole hierarchy.
    search_s: f64,
    /// Nodes that the check in the order visited, per change.
    nodes_visited: f64,
    /// Changes that would have closed a loop.
    loops: usize,
}

/// Times the three methods one after the other, so that none evicts the data of another from the processor's caches.
fn measure(count: usize, changes: usize, seed: u64) -> Cost {
    let mut rng = Rng::with_seed(seed);
    let mut hierarchy = Hierarchy::new(count, &mut rng);
    let initial_sources = hierarchy.sources.clone();
    let new_sources: Vec<(usize, Vec<usize>)> = (0..changes)
        .map(|_| {
            let n = rng.usize(1..count);
            // One change in ten names a member with a higher number in the same tier, which may close a loop.
            let other = (n + 1 + rng.usize(0..20)).min(count - 1);
            let backward = rng.u8(0..10) == 0 && other != n && hierarchy.tiers[other] == hierarchy.tiers[n];
            (n, if backward { vec![other] } else { hierarchy.choose_sources(n, &mut rng) })
        })
        .collect();
    let per_change = |started_at: Instant| started_at.elapsed().as_secs_f64() / changes as f64;

    // The order alone. A change that would close a loop is undone.
    let mut order = TopologicalOrder::default();
    (0..count as u32).for_each(|n| order.add_node(n));
    (0..count)
        .for_each(|n| assert!(hierarchy.update_edges(&mut order, n), "the generated hierarchy has a loop"));
    let visited_before = order.nodes_visited;
    let mut loop_free = Vec::with_capacity(changes);
    let started_at = Instant::now();
    for (n, sources) in &new_sources {
        let old = std::mem::replace(&mut hierarchy.sources[*n], sources.clone());
        loop_free.push(hierarchy.update_edges(&mut order, *n));
        if loop_free.last() == Some(&false) {
            hierarchy.sources[*n] = old;
            hierarchy.update_edges(&mut order, *n);
        }
    }
    let (order_s, nodes_visited) =
        (per_change(started_at), (order.nodes_visited - visited_before) as f64 / changes as f64);

    // All of `Shape::apply`. Members are added in the order of their numbers: one that is added before its source would
    // wait for it.
    hierarchy.sources.clone_from(&initial_sources);
    let mut shape = Shape::new();
    (0..count).for_each(|n| drop(shape.apply(&hierarchy.change(n, 1))));
    let mut applied = Vec::with_capacity(changes);
    for (number, ((n, sources), loop_free)) in new_sources.iter().zip(&loop_free).enumerate() {
        let old = std::mem::replace(&mut hierarchy.sources[*n], sources.clone());
        applied.push((hierarchy.change(*n, 2 + 2 * number as u64), *loop_free));
        if !loop_free {
            // The member reports its old sources again.
            hierarchy.sources[*n] = old;
            applied.push((hierarchy.change(*n, 3 + 2 * number as u64), true));
        }
    }
    let started_at = Instant::now();
    for (change, loop_free) in &applied {
        let accepted = shape.apply(change) == ApplyOutcome::Applied;
        assert_eq!(accepted, *loop_free, "the shape and the order disagree");
    }
    let apply_s = per_change(started_at);

    // The search of the whole hierarchy after each change.
    hierarchy.sources.clone_from(&initial_sources);
    let (mut state, mut path) = (Vec::new(), Vec::new());
    let started_at = Instant::now();
    for ((n, sources), loop_free) in new_sources.iter().zip(&loop_free) {
        let old = std::mem::replace(&mut hierarchy.sources[*n], sources.clone());
        let has_loop = std::hint::black_box(hierarchy.has_loop(&mut state, &mut path));
        assert_eq!(*loop_free, !has_loop, "the order and the search disagree");
        if has_loop {
            hierarchy.sources[*n] = old;
        }
    }
    Cost {
        order_s,
        apply_s,
        search_s: per_change(started_at),
        nodes_visited,
        loops: loop_free.iter().filter(|free| !**free).count(),
    }
}

pub fn run(run_args: &RunArgs) -> Figures {
    let mut figures = Figures::default();
    for (count, changes) in [(100, 20_000), (10_000, 2_000), (100_000, 200)] {
        let changes = if run_args.quick { changes / 2 } else { changes };
        let cost = measure(count, changes, run_args.seed);
        figures.put_rounded(&format!("checked_us_{count}"), cost.order_s * 1e6);
        figures.put_rounded(&format!("heard_us_{count}"), cost.apply_s * 1e6);
        figures.put_rounded(&format!("search_us_{count}"), cost.search_s * 1e6);
        figures.put_rounded(&format!("check_ratio_{count}"), cost.order_s / cost.search_s);
        figures.put_rounded(&format!("heard_ratio_{count}"), cost.apply_s / cost.search_s);
        figures.put_rounded(&format!("looked_{count}"), cost.nodes_visited);
        figures.put(&format!("rings_{count}"), cost.loops);
        if count == 10_000 {
            figures.put_rounded("check_ratio", cost.order_s / cost.search_s);
        }
    }
    figures
}
