//! What a scale run is told, checked before anything starts.

use std::path::PathBuf;
use std::str::FromStr;

use clap::Args;

use super::budget::{BudgetError, GB, MOST_MEMORY_GB, MOST_PROCESSES};
use super::fit::{LEAST_SEEDS, LEAST_SIZES};
use super::{PARTS, Part};
use crate::How;

/// Virtual time at ten times the target's fleet.
const MOST_SIZE: usize = 10_000;
const MOST_SEEDS: u64 = 30;
/// Accesses a second at one front: ten times the target's 930.
const MOST_RATE: f64 = 10_000.0;
/// A change each day, in seconds.
const MOST_CHANGE_EACH: f64 = 86_400.0;

/// As they are typed: numbers are read here, so that a wrong one is answered with what it may be.
#[derive(Args, Clone, Default)]
pub struct ScaleArgs {
    /// Only these parts: service, members, front-state, rollouts, commands, agent
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// How many instances, one run for each; at least four sizes for a slope
    #[arg(long, value_delimiter = ',', allow_hyphen_values = true)]
    pub sizes: Vec<String>,
    /// Runs of each size; at least three for a slope
    #[arg(long, allow_hyphen_values = true, default_value = "3")]
    pub seeds: String,
    /// Accesses a second at one front, for what a front keeps
    #[arg(long, value_delimiter = ',', allow_hyphen_values = true, default_value = "40,200,930")]
    pub rates: Vec<String>,
    /// Seconds between changes of configuration, on average
    #[arg(long, allow_hyphen_values = true, default_value = "2")]
    pub change_each_s: String,
    /// The most that the run and its children may have resident
    #[arg(long, allow_hyphen_values = true, default_value = "12")]
    pub memory_gb: String,
    /// The most processes, this one among them
    #[arg(long, allow_hyphen_values = true, default_value = "300")]
    pub processes: String,
    /// Writes the slopes that were measured into this file, as docs/capacity.json has them
    #[arg(long)]
    pub data: Option<PathBuf>,
    /// The program to measure; the one beside this by default
    #[arg(long)]
    pub front: Option<PathBuf>,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OptionError {
    #[error("--{option} {given}: expected {expected}")]
    Value { option: &'static str, given: String, expected: String },
    #[error("--sizes {size}: {part} would take {why}")]
    TooLarge { size: usize, part: &'static str, why: BudgetError },
}

/// Checked: within their bounds.
#[derive(Clone)]
pub struct Options {
    pub seed: u64,
    pub quick: bool,
    pub parts: Vec<&'static Part>,
    /// Empty: each part's own.
    pub sizes: Vec<usize>,
    pub seeds: u64,
    pub rates: Vec<f64>,
    pub change_each_s: f64,
    pub memory_gb: f64,
    pub processes: usize,
    pub data: Option<PathBuf>,
    pub front: Option<PathBuf>,
}

fn one<T: FromStr + PartialOrd + std::fmt::Display + Copy>(
    option: &'static str,
    given: &str,
    [least, most]: [T; 2],
    unit: &str,
) -> Result<T, OptionError> {
    let fault = || {
        let expected = format!("{least} to {most}{unit}");
        OptionError::Value { option, given: given.to_owned(), expected }
    };
    // What is no number (also NaN) is in no range.
    given.parse().ok().filter(|n| (least..=most).contains(n)).ok_or_else(fault)
}

fn parts(only: &[String]) -> Result<Vec<&'static Part>, OptionError> {
    let names = || PARTS.iter().map(|p| p.name).collect::<Vec<_>>().join(", ");
    let fault = |given: &String| OptionError::Value {
        option: "only",
        given: given.clone(),
        expected: format!("some of {}", names()),
    };
    for given in only {
        PARTS.iter().find(|p| p.name == given).ok_or_else(|| fault(given))?;
    }
    let asked = |p: &&'static Part| only.is_empty() || only.iter().any(|o| o == p.name);
    Ok(PARTS.iter().filter(asked).collect())
}

impl Options {
    /// Checks all; nothing has started yet.
    pub fn read(how: &How, args: &ScaleArgs) -> Result<Options, OptionError> {
        let parts = parts(&args.only)?;
        let sizes: Vec<usize> = args
            .sizes
            .iter()
            .map(|s| one("sizes", s, [2, MOST_SIZE], " instances, each"))
            .collect::<Result<_, _>>()?;
        let mut distinct = sizes.clone();
        distinct.sort_unstable();
        distinct.dedup();
        if !sizes.is_empty() && distinct.len() < LEAST_SIZES {
            let expected = format!("{LEAST_SIZES} sizes or more that differ, for a slope");
            return Err(OptionError::Value { option: "sizes", given: args.sizes.join(","), expected });
        }
        let seeds = one("seeds", &args.seeds, [LEAST_SEEDS as u64, MOST_SEEDS], " runs of each size")?;
        let rate = |r: &String| one("rates", r, [0.1, MOST_RATE], " accesses a second, each");
        let rates = args.rates.iter().map(rate).collect::<Result<_, _>>()?;
        let change_each_s =
            one("change-each-s", &args.change_each_s, [0.1, MOST_CHANGE_EACH], " s on average")?;
        let memory_gb = one("memory-gb", &args.memory_gb, [0.1, MOST_MEMORY_GB], " GB")?;
        let processes = one("processes", &args.processes, [1, MOST_PROCESSES], " processes")?;
        let (data, front) = (args.data.clone(), args.front.clone());
        let (seed, quick) = (how.seed, how.quick);
        let options = Options {
            seed,
            quick,
            parts,
            sizes: distinct,
            seeds,
            rates,
            change_each_s,
            memory_gb,
            processes,
            data,
            front,
        };
        options.fits()?;
        Ok(options)
    }

    /// The sizes of a part: those asked for, or its own.
    pub fn sizes_of(&self, part: &Part) -> Vec<usize> {
        let own = if self.quick { part.quick_sizes } else { part.full_sizes };
        if self.sizes.is_empty() { own.to_vec() } else { self.sizes.clone() }
    }

    /// Whether the largest size of each part is within the budget.
    fn fits(&self) -> Result<(), OptionError> {
        for part in &self.parts {
            let Some(size) = self.sizes_of(part).into_iter().max() else { continue };
            let needs = (part.needs)(size, self.quick);
            let (would, gb) = (needs.processes + 1, needs.resident as f64 / GB);
            let what = format!("at {size}");
            let why = if would > self.processes {
                BudgetError::Processes { what, would, most: self.processes }
            } else if gb > self.memory_gb {
                BudgetError::Memory { what, would: gb, most: self.memory_gb }
            } else {
                continue;
            };
            return Err(OptionError::TooLarge { size, part: part.name, why });
        }
        Ok(())
    }
}
