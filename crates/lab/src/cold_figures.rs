//! What all fronts send cold caches and parents together, as figures: the share of runs over the line, and its interval.

use doorgrade_lab::cold::{Run, cases, play, share};
use rayon::prelude::*;

use crate::{Figures, RunArgs};

/// Runs of each case.
const SEEDS: u64 = 100;

pub fn run(how: &RunArgs) -> Figures {
    let sizes: &[usize] = if how.quick { &[1, 20, 30, 300] } else { &[1, 6, 20, 30, 300, 3_000] };
    let budgets: &[f64] = if how.quick { &[2.0, 20.0] } else { &[2.0, 5.0, 20.0] };
    let seeds = if how.quick { 20 } else { SEEDS };
    let mut figures = Figures::default();
    for &fronts in sizes {
        for &n in budgets {
            // What one run of these needs is minutes.
            if fronts > 300 && n > 5.0 {
                continue;
            }
            for (name, case) in cases(fronts, n) {
                let seed = how.seed.wrapping_mul(1_000);
                let runs: Vec<_> = (0..seeds).into_par_iter().map(|n| play(&case, seed + n)).collect();
                let most = |of: fn(&Run) -> f64| runs.iter().map(of).fold(0.0, f64::max);
                let mean = |of: fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
                let over = runs.iter().filter(|r| r.cache > 1.0 || r.parent > 1.0).count();
                let (over, low, high) = share(over, runs.len());
                let figure = |what: &str| format!("{what}_{name}_{fronts}_n{n}");
                figures.put_rounded(&figure("cold_over"), over);
                figures.put_rounded(&figure("cold_over_low"), low);
                figures.put_rounded(&figure("cold_over_high"), high);
                figures.put_rounded(&figure("cold_worst"), most(|r| r.cache));
                figures.put_rounded(&figure("cold_worst_parent"), most(|r| r.parent));
                figures.put_rounded(&figure("cold_used"), mean(|r| r.used));
                figures.put_rounded(&figure("declined"), mean(|r| r.declined));
            }
        }
    }
    figures
}
