//! The cost of the membership protocol for one member as the fleet grows: bytes sent and received, processor time, memory, and
//! the time until all members know each other, for up to 1,000 members in a simulation in virtual time.
//!
//! The phases, in [`phases`], are normal operation as the baseline, and restarts, lost sites and zones, and partitions
//! as the faults; 1% of all datagrams are lost throughout.

pub mod phases;
pub mod simulation;

use rayon::prelude::*;

use self::phases::{Phase, PhaseCost, PhaseRun, run_phases};
use super::{Context, Needs, Part, Point, Quantity, ScaleError};
use crate::allocated;

/// Parallel runs, each of one size and seed.
const MAX_PARALLEL_RUNS: usize = 3;
/// Memory of a member for each other one.
const BYTES_PER_PAIR: u64 = 1_000;
const ROLE: &str = "membership";

pub(super) const PART: Part = Part {
    name: "members",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, _| Needs {
        processes: 0,
        resident_bytes: MAX_PARALLEL_RUNS as u64 * (size * size) as u64 * BYTES_PER_PAIR,
    },
    run,
};

/// The results of one simulation.
struct Run {
    size: usize,
    seed: u64,
    costs: Vec<(Phase, PhaseCost)>,
    /// Memory of one member after all phases.
    member_bytes: f64,
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let runs = run_simulations(context)?;
    fit_slopes(context, &runs)?;
    put_largest_size(context, &runs);
    Ok(())
}

fn run_simulations(context: &mut Context) -> Result<Vec<Run>, ScaleError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(MAX_PARALLEL_RUNS).build();
    let pool = pool.map_err(|e| context.part_error(e))?;
    let (seeds, budget) = (context.seeds(), context.budget.clone());
    let mut runs = Vec::new();
    for size in context.sizes() {
        for seeds in seeds.chunks(MAX_PARALLEL_RUNS) {
            budget.check_start("members", (PART.needs)(size, context.options.quick))?;
            let run_one = |&seed: &u64| run_phases(seed, size, &budget).map(|result| (seed, result));
            let results: Vec<_> = pool.install(|| seeds.par_iter().map(run_one).collect::<Result<_, _>>())?;
            // One after another, so that the memory freed is that of one run alone.
            runs.extend(results.into_iter().map(|(seed, result)| with_memory(size, seed, result)));
        }
    }
    Ok(runs)
}

/// Measures the memory of the members by freeing them.
fn with_memory(size: usize, seed: u64, result: PhaseRun) -> Run {
    let PhaseRun { costs, mut simulation } = result;
    let before = allocated();
    simulation.nodes.iter_mut().for_each(|n| n.members = None);
    let member_bytes = before.saturating_sub(allocated()) as f64 / size as f64;
    Run { size, seed, costs, member_bytes }
}

/// Part of the figure's name, unit, description and value of what is measured in each phase.
type Measure = (&'static str, &'static str, &'static str, fn(&PhaseCost) -> f64);
const MEASURES: [Measure; 5] = [
    ("sent_bytes_per_s", "bytes/s", "sent a second by a member, mean of 30 s", |c| c.sent_per_s),
    ("received_bytes_per_s", "bytes/s", "received a second by a member, mean of 30 s", |c| c.received_per_s),
    ("worst_bytes_per_s", "bytes/s", "sent or received a second, worst member, worst 30 s", |c| c.max_per_s),
    ("core_share", "cores", "processor time of a member's decisions, mean of 30 s", |c| c.core_share),
    ("know_s", "s", "until 99.9% of pairs know each other", |c| c.known_after_s),
];

fn points(runs: &[Run], phase: Phase, value: fn(&PhaseCost) -> f64) -> Vec<Point> {
    let point = |run: &Run| {
        let cost = run.costs.iter().find(|c| c.0 == phase).map(|c| c.1).unwrap_or_default();
        Point { size: run.size, seed: run.seed, value: value(&cost) }
    };
    runs.iter().map(point).collect()
}

fn fit_slopes(context: &mut Context, runs: &[Run]) -> Result<(), ScaleError> {
    for phase in Phase::ALL {
        for (name, unit, what, value) in MEASURES {
            let id = format!("members_{}_{name}", phase.name());
            let what = format!("{what}; {}", phase.description());
            let quantity = Quantity { id: &id, role: ROLE, what: &what, unit };
            let fit = context.fit_slope(&quantity, &points(runs, phase, value))?;
            context.put(&format!("{id}_shape"), super::growth_name(fit.growth));
        }
    }
    let memory: Vec<Point> =
        runs.iter().map(|r| Point { size: r.size, seed: r.seed, value: r.member_bytes }).collect();
    let what = "kept by a member after all troubles";
    let quantity = Quantity { id: "members_memory_bytes", role: ROLE, what, unit: "bytes" };
    context.fit_slope(&quantity, &memory)?;
    Ok(())
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0.0, 0.0), |(n, s), v| (n + 1.0, s + v));
    sum / f64::max(count, 1.0)
}

/// Records the figures at the largest size: means over the seeds, and of the worst member the maximum over the seeds.
fn put_largest_size(context: &mut Context, runs: &[Run]) {
    let Some(size) = runs.iter().map(|r| r.size).max() else { return };
    let largest = || runs.iter().filter(|r| r.size == size);
    for phase in Phase::ALL {
        let values = |value: fn(&PhaseCost) -> f64| {
            largest().flat_map(|r| &r.costs).filter(move |c| c.0 == phase).map(move |c| value(&c.1))
        };
        let name = |figure: &str| format!("members_{}_{figure}_{size}", phase.name());
        context.put_rounded(&name("bytes_per_s"), mean(values(|c| c.sent_per_s)));
        context.put_rounded(&name("received_bytes_per_s"), mean(values(|c| c.received_per_s)));
        context.put_rounded(&name("worst_bytes_per_s"), values(|c| c.max_per_s).fold(0.0, f64::max));
        context.put_rounded(&name("core_share"), mean(values(|c| c.core_share)));
        context.put_rounded(&name("know_s"), mean(values(|c| c.known_after_s)));
    }
    context.put(&format!("members_memory_bytes_{size}"), mean(largest().map(|r| r.member_bytes)).round());
}
