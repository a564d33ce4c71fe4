//! The load of cold caches and parents as figures: the share of runs in which one gets more than is allowed, with its
//! interval.

use doorgrade_lab::cold::{ColdRun, cases, share_with_interval, simulate};
use rayon::prelude::*;

use crate::{Figures, RunArgs};

/// Runs of each case.
const SEEDS: u64 = 100;

pub fn run(run_args: &RunArgs) -> Figures {
    let sizes: &[usize] = if run_args.quick { &[1, 20, 30, 300] } else { &[1, 6, 20, 30, 300, 3_000] };
    let budgets: &[f64] = if run_args.quick { &[2.0, 20.0] } else { &[2.0, 5.0, 20.0] };
    let seeds = if run_args.quick { 20 } else { SEEDS };
    let mut figures = Figures::default();
    for &fronts in sizes {
        for &budget in budgets {
            // A single run of these takes minutes.
            if fronts > 300 && budget > 5.0 {
                continue;
            }
            for (name, case) in cases(fronts, budget) {
                let seed = run_args.seed.wrapping_mul(1_000);
                let runs: Vec<_> = (0..seeds).into_par_iter().map(|n| simulate(&case, seed + n)).collect();
                let max = |value: fn(&ColdRun) -> f64| runs.iter().map(value).fold(0.0, f64::max);
                let mean =
                    |value: fn(&ColdRun) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
                let over = runs.iter().filter(|r| r.cache_ratio > 1.0 || r.parent_ratio > 1.0).count();
                let (over, low, high) = share_with_interval(over, runs.len());
                let figure = |what: &str| format!("{what}_{name}_{fronts}_n{budget}");
                figures.put_rounded(&figure("cold_over"), over);
                figures.put_rounded(&figure("cold_over_low"), low);
                figures.put_rounded(&figure("cold_over_high"), high);
                figures.put_rounded(&figure("cold_worst"), max(|r| r.cache_ratio));
                figures.put_rounded(&figure("cold_worst_parent"), max(|r| r.parent_ratio));
                figures.put_rounded(&figure("cold_used"), mean(|r| r.relative_use));
                figures.put_rounded(&figure("declined"), mean(|r| r.declined));
            }
        }
    }
    figures
}
