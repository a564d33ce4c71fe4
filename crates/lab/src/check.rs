//! What it costs to check each change of shape for loops: as the shape does it, and by a search of all of it.

use std::time::Instant;

use doorgrade_hierarchy::{Change, Shape, Standing, Told};
use fastrand::Rng;

use crate::{Figures, How};

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
        let told = Told::Stands { tier: self.tiers[n], standing: Standing::InService, fills_from };
        Change { member: self.names[n].as_str().into(), incarnation: 1, number, told }
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
    /// Seconds a change: all that hearing it takes; the search of the whole.
    heard: f64,
    searched: f64,
    looked: f64,
    rings: usize,
}

fn measure(count: usize, changes: usize, seed: u64) -> Cost {
    let mut rng = Rng::with_seed(seed);
    let mut world = World::new(count, &mut rng);
    let mut shape = Shape::new();
    // The sources first: whoever comes before its source waits for it, which is measured by no one here.
    (0..count).for_each(|n| drop(shape.hear(&world.change(n, 1))));
    let (mut heard, mut searched, mut rings) = (0.0, 0.0, 0);
    let before = shape.looked();
    let (mut state, mut path) = (Vec::new(), Vec::new());
    for number in 0..changes {
        let n = rng.usize(1..count);
        let old = world.sources[n].clone();
        // One in ten names whatever stands behind it, too: loops are offered.
        world.sources[n] = match rng.u8(0..10) {
            0 => {
                let other = (n + 1 + rng.usize(0..20)).min(count - 1);
                if other != n && world.tiers[other] == world.tiers[n] { vec![other] } else { old.clone() }
            }
            _ => world.choose(n, &mut rng),
        };
        let change = world.change(n, number as u64 + 2);
        let at = Instant::now();
        shape.hear(&change);
        heard += at.elapsed().as_secs_f64();
        let at = Instant::now();
        let looped = std::hint::black_box(world.has_loop(&mut state, &mut path));
        searched += at.elapsed().as_secs_f64();
        if looped {
            // What is set aside stays out of the plain shape, too; its member tells its old sources anew.
            rings += 1;
            world.sources[n] = old;
            assert!(!shape.asides().is_empty(), "a loop that the shape did not see");
            shape.hear(&world.change(n, number as u64 + 3));
        }
    }
    let per = changes as f64;
    Cost {
        heard: heard / per,
        searched: searched / per,
        looked: (shape.looked() - before) as f64 / per,
        rings,
    }
}

pub fn run(how: &How) -> Figures {
    let mut figures = Figures::default();
    for (count, changes) in [(100, 20_000), (10_000, 2_000), (100_000, 200)] {
        let changes = if how.quick { changes / 2 } else { changes };
        let cost = measure(count, changes, how.seed);
        figures.ratio(&format!("heard_us_{count}"), cost.heard * 1e6);
        figures.ratio(&format!("search_us_{count}"), cost.searched * 1e6);
        figures.ratio(&format!("check_ratio_{count}"), cost.heard / cost.searched);
        figures.ratio(&format!("looked_{count}"), cost.looked);
        figures.put(&format!("rings_{count}"), cost.rings);
        if count == 10_000 {
            figures.ratio("check_ratio", cost.heard / cost.searched);
        }
    }
    figures
}
