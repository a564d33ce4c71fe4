//! The cost of one front: processor time for each access and purge, what its table of fills knows, and a real front under
//! load.

use super::{Context, Needs, Part, Point, Quantity, ScaleError};
use crate::fills::short_case;
use crate::front_state::cost::{self, AccessCounts};
use crate::front_state::real::{FrontRig, LoadResult};
use crate::front_state::simulation::MemberCounts;
use crate::front_state::site;
use crate::rig;

/// Sizes are numbers of caches in the front's own zone. The worst case is that all of the target's 250 are in one.
pub(super) const PART: Part = Part {
    name: "front-state",
    full_sizes: &[25, 80, 150, 250],
    quick_sizes: &[25, 80, 150, 250],
    needs: |_, _| Needs { processes: 1, resident_bytes: 1_700_000_000 },
    run,
};

/// The 250 members that a front of the target lists: the caches of its own site and of the others, and a parent for each of
/// the 12 regions.
const SITE: MemberCounts = MemberCounts { own_zone: 6, other_zones: 232, parents: 12 };
const PARENTS: usize = 12;
/// Zipf exponents of the objects' popularity: the middle one, and all.
const EXPONENT: f64 = 0.9;
const EXPONENTS: [f64; 3] = [0.8, 0.9, 1.0];

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    cost_by_caches(context)?;
    fills(context)?;
    real_front(context)
}

fn cost_by_caches(context: &mut Context) -> Result<(), ScaleError> {
    let accesses = if context.options.quick { AccessCounts::QUICK } else { AccessCounts::FULL };
    let rates = context.options.rates.clone();
    let max_rate = rates.iter().copied().fold(0.0, f64::max);
    let mut points = Vec::new();
    for size in context.sizes() {
        for seed in context.seeds() {
            context.check()?;
            let members = MemberCounts { own_zone: size, other_zones: 0, parents: PARENTS };
            let value = cost::access_us(members, max_rate, seed, accesses)
                .ok_or_else(|| context.part_error("there are no objects to access"))?;
            points.push(Point { size, seed, value });
        }
    }
    let quantity = Quantity {
        id: "front.access_us_by_caches",
        role: "Front",
        what: "processor time of one access in the module alone, by caches of the front's own zone",
        unit: "us",
    };
    let fit = context.fit_slope(&quantity, &points)?;
    context.put_rounded("module_us_per_access_per_cache", fit.slope);
    for rate in rates {
        let values: Option<Vec<f64>> =
            context.seeds().into_iter().map(|seed| cost::access_us(SITE, rate, seed, accesses)).collect();
        let values = values.ok_or_else(|| context.part_error("there are no objects to access"))?;
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        context.put_rounded(&format!("module_us_per_access_{rate}"), mean);
        context.put_rounded(&format!("module_core_share_{rate}"), mean * rate / 1e6);
    }
    context.put_rounded("module_us_per_purge", cost::purge_us(18.0, 1, 100_000));
    Ok(())
}

/// What the table of fills knows, over runs that only just replace all of its entries. Figures that need an hour are those of
/// `doorgrade-lab fills`.
fn fills(context: &mut Context) -> Result<(), ScaleError> {
    let quick = context.options.quick;
    let exponents = if quick { &[EXPONENT][..] } else { &EXPONENTS[..] };
    let rates = if quick { vec![930.0] } else { context.options.rates.clone() };
    let seeds = context.seeds();
    let seeds = if quick { &seeds[..1] } else { &seeds[..] };
    for &rate in &rates {
        for &exponent in exponents {
            let mut runs = Vec::new();
            for &seed in seeds {
                context.check()?;
                let run = site::run(&short_case(rate, exponent, seed));
                runs.push(run.ok_or_else(|| context.part_error("there are no objects to access"))?);
            }
            let mean =
                |value: fn(&site::SiteStats) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
            let case =
                if exponent == EXPONENT { format!("{rate}") } else { format!("{rate}_zipf_{exponent}") };
            context.put_rounded(&format!("fills_reach_s_{case}"), mean(|r| r.stay_s));
            context.put_rounded(&format!("fills_known_share_{case}"), mean(|r| r.known));
            context.put_rounded(&format!("fills_shared_known_share_{case}"), mean(|r| r.shared_known));
            context.put_rounded(&format!("fills_wrongly_lacking_share_{case}"), mean(|r| r.wrongly_lacking));
        }
    }
    Ok(())
}

/// A real front under load, with purges and without, and with its feed cut.
fn real_front(context: &mut Context) -> Result<(), ScaleError> {
    let quick = context.options.quick;
    let program = rig::program(context.options.front.clone()).map_err(|e| context.part_error(e))?;
    let needs = Needs { processes: 1, resident_bytes: 100_000_000 };
    context.budget.check_start("a front", needs)?;
    let seed = context.options.seed;
    let mut front = FrontRig::start(&program, seed).map_err(|e| context.part_error(e))?;
    let seconds = if quick { 2.0 } else { 20.0 };
    context.put("real_bounds", front.logged_bounds());
    let runs: &[(&str, f64, f64)] = match quick {
        true => &[("at_100", 100.0, 0.0)],
        false => &[
            ("at_rest", 0.0, 0.0),
            ("purges_only", 0.0, 18.0),
            ("at_40", 40.0, 0.0),
            ("at_200", 200.0, 0.0),
            ("at_200_with_purges", 200.0, 18.0),
            ("at_930", 930.0, 0.0),
        ],
    };
    for &(name, rate, purges) in runs {
        context.check()?;
        let load = front.load(rate, purges, seconds, seed).map_err(|e| context.part_error(e))?;
        put_load(context, name, &load);
    }
    let cuts: &[f64] = if quick { &[1.0] } else { &[0.0, 3.0, 10.0, 120.0] };
    for (n, &cut) in cuts.iter().enumerate() {
        context.check()?;
        let result = front.cut(cut, 1_000_000 + n as u64).map_err(|e| context.part_error(e))?;
        let none = serde_json::Value::Null;
        let rounded = |time: Option<f64>| time.map_or(none.clone(), |s| ((s * 1e3).round() / 1e3).into());
        context.put(&format!("cut_{cut}_noticed_s"), rounded(result.noticed_s));
        context.put(&format!("cut_{cut}_purge_heeded_s"), rounded(result.purge_applied_s));
        context.put(&format!("cut_{cut}_old_answers"), result.stale_responses);
        context.put(&format!("cut_{cut}_said_ready"), result.ready);
    }
    Ok(())
}

fn put_load(context: &mut Context, name: &str, load: &LoadResult) {
    context.put(&format!("real_{name}_asked"), load.accesses);
    context.put(&format!("real_{name}_handled"), load.handled);
    context.put_rounded(&format!("real_{name}_core_share"), load.core_share);
    context.put_rounded(&format!("real_{name}_memory_mb"), load.memory_mb);
    context.put_rounded(&format!("real_{name}_feed_bytes_per_s"), load.feed_bytes_per_s);
    if load.accesses > 0 {
        let us = load.core_share * load.seconds * 1e6 / load.accesses as f64;
        context.put_rounded(&format!("real_{name}_us_per_access"), us);
    }
}
