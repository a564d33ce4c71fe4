//! What it costs to check each change of shape for loops: as the shape does it (the order alone, and all that
//! hearing a change takes), and by a search of the whole.

use std::time::Instant;

use doorgrade_hierarchy::order::TopologicalOrder;
use doorgrade_hierarchy::{ApplyOutcome, Change, ChangeKind, Shape, Standing};
use fastrand::Rng;

use crate::{Figures, RunArgs};

/// A hierarchy of so many members: an archive, a few in each upper tier, most in the lowest; in tier 1 some hang
/// under one another.
struct World {
    names: Vec<String>,
    tiers: Vec<u8>,
    sources: Vec<Vec<usize>>,
}

impl World {
    fn new(count: usize, rng: &mut Rng) -> World {
        let mut world = World { names: Vec::new(), tiers: Vec::new(), sources: Vec::new() };
        for n in 0..count {
            // A twentieth in tier 3, a fifth in tier 2.
            let tier = match n {
                0 => 4,
                n if n <= (count / 20).max(2) => 3,
                n if n <= (count / 4).max(4) => 2,
                _ => 1,
            };
            world.names.push(format!("m-{n:06}"));
            world.tiers.push(tier);
            let sources = world.choose(n, rng);
            world.sources.push(sources);
        }
        world
    }

    /// Two sources, of any that stand before it in number: no loop among them.
    fn choose(&self, n: usize, rng: &mut Rng) -> Vec<usize> {
        if n == 0 {
            return Vec::new();
        }
        let near = |rng: &mut Rng| {
            // Half of the time one of its own tier, else one of the tier above.
            let from = n.saturating_sub(50.min(n));
            let same = rng.usize(from..n);
            let above = self.tiers.iter().take(n).filter(|&&t| t > self.tiers[n]).count();
            let above = if above > 0 { rng.usize(0..above) } else { 0 };
            if rng.bool() && self.tiers[same] >= self.tiers[n] { same } else { above }
        };
        let mut two = vec![near(rng), near(rng)];
        two.dedup();
        two
    }

    fn change(&self, n: usize, number: u64) -> Change {
        let fills_from = self.sources[n].iter().map(|&s| self.names[s].as_str().into()).collect();
        let kind = ChangeKind::Present { tier: self.tiers[n], standing: Standing::InService, fills_from };
        Change { member: self.names[n].as_str().into(), incarnation: 1, number, kind }
    }

    /// Puts a member's edges within its tier into the order; false if they close a loop.
    fn hang(&self, order: &mut TopologicalOrder, n: usize) -> bool {
        order.remove_sources(n as u32);
        let mut level = self.sources[n].iter().filter(|&&s| self.tiers[s] == self.tiers[n]);
        let sound = level.all(|&s| order.add_edge(n as u32, s as u32).is_ok());
        if !sound {
            order.remove_sources(n as u32);
        }
        sound
    }

    /// The plain way: a search of the whole shape, in the leanest form it can have (one walk, one byte a member).
    fn has_loop(&self, state: &mut Vec<u8>, path: &mut Vec<(u32, u32)>) -> bool {
        state.clear();
        state.resize(self.sources.len(), 0);
        for root in 0..self.sources.len() as u32 {
            if state[root as usize] != 0 {
                continue;
            }
            state[root as usize] = 1;
            path.push((root, 0));
            while let Some((node, at)) = path.last_mut() {
                let Some(&next) = self.sources[*node as usize].get(*at as usize) else {
                    state[*node as usize] = 2;
                    path.pop();
                    continue;
                };
                *at += 1;
                match state[next] {
                    0 => {
                        state[next] = 1;
                        path.push((next as u32, 0));
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
    /// Seconds a change: the check alone; all that hearing it takes; the search of the whole.
    checked: f64,
    heard: f64,
    searched: f64,
    looked: f64,
    rings: usize,
}

/// The same changes, one way after the other: none has to find its memory cold because of another.
fn measure(count: usize, changes: usize, seed: u64) -> Cost {
    let mut rng = Rng::with_seed(seed);
    let mut world = World::new(count, &mut rng);
    let first = world.sources.clone();
    let told: Vec<(usize, Vec<usize>)> = (0..changes)
        .map(|_| {
            let n = rng.usize(1..count);
            // One in ten names what stands behind it: loops are offered.
            let other = (n + 1 + rng.usize(0..20)).min(count - 1);
            let behind = rng.u8(0..10) == 0 && other != n && world.tiers[other] == world.tiers[n];
            (n, if behind { vec![other] } else { world.choose(n, &mut rng) })
        })
        .collect();
    let per = |at: Instant| at.elapsed().as_secs_f64() / changes as f64;

    // The check alone. What would close a loop stays out.
    let mut order = TopologicalOrder::default();
    (0..count as u32).for_each(|n| order.add_node(n));
    (0..count).for_each(|n| assert!(world.hang(&mut order, n), "no loop to begin with"));
    let before = order.nodes_visited;
    let mut sound = Vec::with_capacity(changes);
    let at = Instant::now();
    for (n, sources) in &told {
        let old = std::mem::replace(&mut world.sources[*n], sources.clone());
        sound.push(world.hang(&mut order, *n));
        if sound.last() == Some(&false) {
            world.sources[*n] = old;
            world.hang(&mut order, *n);
        }
    }
    let (checked, looked) = (per(at), (order.nodes_visited - before) as f64 / changes as f64);

    // All that hearing a change takes. The sources first: whoever comes before its source waits for it.
    world.sources.clone_from(&first);
    let mut shape = Shape::new();
    (0..count).for_each(|n| drop(shape.apply(&world.change(n, 1))));
    let mut words = Vec::with_capacity(changes);
    for (number, ((n, sources), sound)) in told.iter().zip(&sound).enumerate() {
        let old = std::mem::replace(&mut world.sources[*n], sources.clone());
        words.push((world.change(*n, 2 + 2 * number as u64), *sound));
        if !sound {
            // Its member tells its old sources anew.
            world.sources[*n] = old;
            words.push((world.change(*n, 3 + 2 * number as u64), true));
        }
    }
    let at = Instant::now();
    for (change, sound) in &words {
        let taken = shape.apply(change) == ApplyOutcome::Applied;
        assert_eq!(taken, *sound, "the shape and the order disagree");
    }
    let heard = per(at);

    // The search of the whole after each change.
    world.sources.clone_from(&first);
    let (mut state, mut path) = (Vec::new(), Vec::new());
    let at = Instant::now();
    for ((n, sources), sound) in told.iter().zip(&sound) {
        let old = std::mem::replace(&mut world.sources[*n], sources.clone());
        let looped = std::hint::black_box(world.has_loop(&mut state, &mut path));
        assert_eq!(*sound, !looped, "the order and the search disagree");
        if looped {
            world.sources[*n] = old;
        }
    }
    Cost { checked, heard, searched: per(at), looked, rings: sound.iter().filter(|s| !**s).count() }
}

pub fn run(how: &RunArgs) -> Figures {
    let mut figures = Figures::default();
    for (count, changes) in [(100, 20_000), (10_000, 2_000), (100_000, 200)] {
        let changes = if how.quick { changes / 2 } else { changes };
        let cost = measure(count, changes, how.seed);
        figures.put_rounded(&format!("checked_us_{count}"), cost.checked * 1e6);
        figures.put_rounded(&format!("heard_us_{count}"), cost.heard * 1e6);
        figures.put_rounded(&format!("search_us_{count}"), cost.searched * 1e6);
        figures.put_rounded(&format!("check_ratio_{count}"), cost.checked / cost.searched);
        figures.put_rounded(&format!("heard_ratio_{count}"), cost.heard / cost.searched);
        figures.put_rounded(&format!("looked_{count}"), cost.looked);
        figures.put(&format!("rings_{count}"), cost.rings);
        if count == 10_000 {
            figures.put_rounded("check_ratio", cost.checked / cost.searched);
        }
    }
    figures
}
