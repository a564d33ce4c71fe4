//! What one front keeps: what its table of fills knows, bytes an entry, and processor time an access.

use super::{Context, Needs, Part, Point, Quantity, ScaleError};
use crate::fills::short;
use crate::front_state::cost::{self, Load};
use crate::front_state::play::Members;
use crate::front_state::real::{Load as RealLoad, Rig};
use crate::front_state::site;
use crate::rig;

/// Sizes are caches in the front's own zone: the worst a list of the target's 250 can be.
pub(super) const PART: Part = Part {
    name: "front-state",
    full_sizes: &[25, 80, 150, 250],
    quick_sizes: &[25, 80, 150, 250],
    needs: |_, _| Needs { processes: 1, resident_bytes: 1_700_000_000 },
    run,
};

/// A site's caches, of 250; parents of its 12 regions.
const SITE: Members = Members { near: 6, far: 232, parents: 12 };
const PARENTS: usize = 12;
/// The middle of the popularities asked about, and all of them.
const EXPONENT: f64 = 0.9;
const EXPONENTS: [f64; 3] = [0.8, 0.9, 1.0];

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    cost_by_caches(context)?;
    fills(context)?;
    real(context)
}

fn cost_by_caches(context: &mut Context) -> Result<(), ScaleError> {
    let load = if context.options.quick { Load::QUICK } else { Load::FULL };
    let rates = context.options.rates.clone();
    let most = rates.iter().copied().fold(0.0, f64::max);
    let mut points = Vec::new();
    for size in context.sizes() {
        for seed in context.seeds() {
            context.check()?;
            let members = Members { near: size, far: 0, parents: PARENTS };
            let value =
                cost::access_us(members, most, seed, load).ok_or_else(|| context.fault("no draws"))?;
            points.push(Point { size, seed, value });
        }
    }
    let quantity = Quantity {
        id: "front.access_us_by_caches",
        role: "Front",
        what: "processor time of one access in the module alone, by caches of the front's own zone",
        unit: "us",
    };
    let fit = context.slope(&quantity, &points)?;
    context.ratio("module_us_per_access_per_cache", fit.slope);
    for rate in rates {
        let all: Option<Vec<f64>> =
            context.seeds().into_iter().map(|seed| cost::access_us(SITE, rate, seed, load)).collect();
        let all = all.ok_or_else(|| context.fault("no draws"))?;
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        context.ratio(&format!("module_us_per_access_{rate}"), mean);
        context.ratio(&format!("module_core_share_{rate}"), mean * rate / 1e6);
    }
    context.ratio("module_us_per_purge", cost::purge_us(18.0, 1, 100_000));
    Ok(())
}

/// Long enough for the table to turn over; what an hour would know is `doorgrade-lab fills`.
fn fills(context: &mut Context) -> Result<(), ScaleError> {
    let quick = context.options.quick;
    let exponents = if quick { &[EXPONENT][..] } else { &EXPONENTS[..] };
    let rates = if quick { vec![930.0] } else { context.options.rates.clone() };
    let seeds = context.seeds();
    let seeds = if quick { &seeds[..1] } else { &seeds[..] };
    for &rate in &rates {
        for &exponent in exponents {
            let mut found = Vec::new();
            for &seed in seeds {
                context.check()?;
                let run = site::run(&short(rate, exponent, seed));
                found.push(run.ok_or_else(|| context.fault("no objects to draw from"))?);
            }
            let mean = |of: fn(&site::Found) -> f64| found.iter().map(of).sum::<f64>() / found.len() as f64;
            let of = if exponent == EXPONENT { format!("{rate}") } else { format!("{rate}_zipf_{exponent}") };
            context.ratio(&format!("fills_reach_s_{of}"), mean(|f| f.reach_s));
            context.ratio(&format!("fills_known_share_{of}"), mean(|f| f.known));
            context.ratio(&format!("fills_shared_known_share_{of}"), mean(|f| f.shared));
            context.ratio(&format!("fills_wrongly_lacking_share_{of}"), mean(|f| f.wrongly_lacking));
        }
    }
    Ok(())
}

/// A real front under load, with purges and without; and with its feed cut.
fn real(context: &mut Context) -> Result<(), ScaleError> {
    let quick = context.options.quick;
    let program = rig::program(context.options.front.clone()).map_err(|why| context.fault(why))?;
    let needs = Needs { processes: 1, resident_bytes: 100_000_000 };
    context.budget.check_start("a front", needs)?;
    let seed = context.options.seed;
    let mut front = Rig::start(&program, seed).map_err(|why| context.fault(why))?;
    let seconds = if quick { 2.0 } else { 20.0 };
    context.put("real_bounds", front.bounds());
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
        let load = front.load(rate, purges, seconds, seed).map_err(|why| context.fault(why))?;
        put_load(context, name, &load);
    }
    let cuts: &[f64] = if quick { &[1.0] } else { &[0.0, 3.0, 10.0, 120.0] };
    for (n, &cut) in cuts.iter().enumerate() {
        context.check()?;
        let found = front.cut(cut, 1_000_000 + n as u64).map_err(|why| context.fault(why))?;
        let none = serde_json::Value::Null;
        let second = |of: Option<f64>| of.map_or(none.clone(), |s| ((s * 1e3).round() / 1e3).into());
        context.put(&format!("cut_{cut}_noticed_s"), second(found.noticed_s));
        context.put(&format!("cut_{cut}_purge_heeded_s"), second(found.heeded_s));
        context.put(&format!("cut_{cut}_old_answers"), found.old_answers);
        context.put(&format!("cut_{cut}_said_ready"), found.ready);
    }
    Ok(())
}

fn put_load(context: &mut Context, name: &str, load: &RealLoad) {
    context.put(&format!("real_{name}_asked"), load.asked);
    context.put(&format!("real_{name}_handled"), load.handled);
    context.ratio(&format!("real_{name}_core_share"), load.core_share);
    context.ratio(&format!("real_{name}_memory_mb"), load.memory_mb);
    context.ratio(&format!("real_{name}_feed_bytes_per_s"), load.feed_bytes_per_s);
    if load.asked > 0 {
        let us = load.core_share * load.seconds * 1e6 / load.asked as f64;
        context.ratio(&format!("real_{name}_us_per_access"), us);
    }
}
