//! Membership: what a member sends, receives, keeps and works as the fleet grows, at rest and in each trouble. In virtual
//! time by the thousand; at two sizes between real sockets, too.

pub mod play;
pub mod world;

use rayon::prelude::*;

use self::play::{Cost, Played, Trouble, play};
use super::{Context, Needs, Part, Point, Quantity, ScaleError};
use crate::allocated;

/// Runs side by side, each of one size and seed.
const RUNS_AT_ONCE: usize = 3;
/// Each member keeps something of each other.
const BYTES_A_PAIR: u64 = 1_000;
const ROLE: &str = "membership";

pub(super) const PART: Part = Part {
    name: "members",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, _| Needs {
        processes: 0,
        resident_bytes: RUNS_AT_ONCE as u64 * (size * size) as u64 * BYTES_A_PAIR,
    },
    run,
};

struct Run {
    size: usize,
    seed: u64,
    costs: Vec<(Trouble, Cost)>,
    /// Bytes that a member keeps in the end, after all troubles.
    memory: f64,
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let runs = virtual_runs(context)?;
    slopes(context, &runs)?;
    at_the_largest(context, &runs);
    Ok(())
}

fn virtual_runs(context: &mut Context) -> Result<Vec<Run>, ScaleError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(RUNS_AT_ONCE).build();
    let pool = pool.map_err(|e| context.fault(e))?;
    let (seeds, budget) = (context.seeds(), context.budget.clone());
    let mut runs = Vec::new();
    for size in context.sizes() {
        for seeds in seeds.chunks(RUNS_AT_ONCE) {
            budget.check_start("members", (PART.needs)(size, context.options.quick))?;
            let one = |&seed: &u64| play(seed, size, &budget).map(|played| (seed, played));
            let played: Vec<_> = pool.install(|| seeds.par_iter().map(one).collect::<Result<_, _>>())?;
            // One after another, so that what is given back is of this one alone.
            runs.extend(played.into_iter().map(|(seed, played)| weighed(size, seed, played)));
        }
    }
    Ok(runs)
}

fn weighed(size: usize, seed: u64, played: Played) -> Run {
    let Played { costs, mut world } = played;
    let before = allocated();
    world.nodes.iter_mut().for_each(|n| n.members = None);
    let memory = before.saturating_sub(allocated()) as f64 / size as f64;
    Run { size, seed, costs, memory }
}

/// What is measured of each trouble.
type Measure = (&'static str, &'static str, &'static str, fn(&Cost) -> f64);
const MEASURES: [Measure; 5] = [
    ("sent_bytes_per_s", "bytes/s", "sent a second by a member, mean of 30 s", |c| c.sent),
    ("received_bytes_per_s", "bytes/s", "received a second by a member, mean of 30 s", |c| c.received),
    ("worst_bytes_per_s", "bytes/s", "sent or received a second, worst member, worst 30 s", |c| c.worst),
    ("core_share", "cores", "processor time of a member's decisions, mean of 30 s", |c| c.core_share),
    ("know_s", "s", "until 99.9% of pairs know each other", |c| c.know_s),
];

fn points(runs: &[Run], trouble: Trouble, of: fn(&Cost) -> f64) -> Vec<Point> {
    let point = |run: &Run| {
        let cost = run.costs.iter().find(|c| c.0 == trouble).map(|c| c.1).unwrap_or_default();
        Point { size: run.size, seed: run.seed, value: of(&cost) }
    };
    runs.iter().map(point).collect()
}

fn slopes(context: &mut Context, runs: &[Run]) -> Result<(), ScaleError> {
    for trouble in Trouble::ALL {
        for (name, unit, what, of) in MEASURES {
            let id = format!("members_{}_{name}", trouble.name());
            let what = format!("{what}; {}", trouble.what());
            let quantity = Quantity { id: &id, role: ROLE, what: &what, unit };
            let fit = context.slope(&quantity, &points(runs, trouble, of))?;
            context.put(&format!("{id}_shape"), super::growth_name(fit.growth));
        }
    }
    let memory: Vec<Point> =
        runs.iter().map(|r| Point { size: r.size, seed: r.seed, value: r.memory }).collect();
    let what = "kept by a member after all troubles";
    let quantity = Quantity { id: "members_memory_bytes", role: ROLE, what, unit: "bytes" };
    context.slope(&quantity, &memory)?;
    Ok(())
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0.0, 0.0), |(n, s), v| (n + 1.0, s + v));
    sum / f64::max(count, 1.0)
}

/// Figures at the largest size played; the worst one of all seeds where it is of the worst member.
fn at_the_largest(context: &mut Context, runs: &[Run]) {
    let Some(size) = runs.iter().map(|r| r.size).max() else { return };
    let largest = || runs.iter().filter(|r| r.size == size);
    for trouble in Trouble::ALL {
        let of = |of: fn(&Cost) -> f64| {
            largest().flat_map(|r| &r.costs).filter(move |c| c.0 == trouble).map(move |c| of(&c.1))
        };
        let name = |figure: &str| format!("members_{}_{figure}_{size}", trouble.name());
        context.ratio(&name("bytes_per_s"), mean(of(|c| c.sent)));
        context.ratio(&name("received_bytes_per_s"), mean(of(|c| c.received)));
        context.ratio(&name("worst_bytes_per_s"), of(|c| c.worst).fold(0.0, f64::max));
        context.ratio(&name("core_share"), mean(of(|c| c.core_share)));
        context.ratio(&name("know_s"), mean(of(|c| c.know_s)));
    }
    context.put(&format!("members_memory_bytes_{size}"), mean(largest().map(|r| r.memory)).round());
}
