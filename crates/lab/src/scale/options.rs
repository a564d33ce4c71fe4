//! The options of a scale run, validated before anything starts.

use std::path::PathBuf;
use std::str::FromStr;

use clap::Args;

use super::budget::{BudgetError, GB, MAX_MEMORY_GB, MAX_PROCESSES};
use super::fit::{MIN_SEEDS, MIN_SIZES};
use super::{PARTS, Part};
use crate::RunArgs;

/// Ten times the target's fleet, simulated in virtual time.
const MAX_SIZE: usize = 10_000;
const MAX_SEEDS: u64 = 30;
/// Accesses a second at one front: ten times the target's 930.
const MAX_RATE: f64 = 10_000.0;
/// In seconds: one change a day.
const MAX_CHANGE_EACH: f64 = 86_400.0;

/// The options as typed. Numbers are parsed by `Options::parse`, whose errors state the accepted range.
#[derive(Args, Clone, Default)]
pub struct ScaleArgs {
    /// Only these parts: service, members, front-state, rollouts, commands, agent
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
    /// Numbers of instances, one run for each; at least four sizes for a slope
    #[arg(long, value_delimiter = ',', allow_hyphen_values = true)]
    pub sizes: Vec<String>,
    /// Runs of each size; at least three for a slope
    #[arg(long, allow_hyphen_values = true, default_value = "3")]
    pub seeds: String,
    /// Accesses a second at one front, for the part front-state
    #[arg(long, value_delimiter = ',', allow_hyphen_values = true, default_value = "40,200,930")]
    pub rates: Vec<String>,
    /// Seconds between changes of configuration, on average
    #[arg(long, allow_hyphen_values = true, default_value = "2")]
    pub change_each_s: String,
    /// Maximum resident memory of the run and its children
    #[arg(long, allow_hyphen_values = true, default_value = "12")]
    pub memory_gb: String,
    /// Maximum number of processes, including this one
    #[arg(long, allow_hyphen_values = true, default_value = "300")]
    pub processes: String,
    /// Writes the measured slopes into this file, for `doorgrade-lab capacity`
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
    #[error("--sizes {size}: {part} would take {reason}")]
    TooLarge { size: usize, part: &'static str, reason: BudgetError },
}

/// The validated options.
#[derive(Clone)]
pub struct Options {
    pub seed: u64,
    pub quick: bool,
    pub parts: Vec<&'static Part>,
    /// Empty: the sizes of each part.
    pub sizes: Vec<usize>,
    pub seeds: u64,
    pub rates: Vec<f64>,
    pub change_each_s: f64,
    pub memory_gb: f64,
    pub processes: usize,
    pub data: Option<PathBuf>,
    pub front: Option<PathBuf>,
}

fn parse_in_range<T: FromStr + PartialOrd + std::fmt::Display + Copy>(
    option: &'static str,
    given: &str,
    [min, max]: [T; 2],
    unit: &str,
) -> Result<T, OptionError> {
    let error = || {
        let expected = format!("{min} to {max}{unit}");
        OptionError::Value { option, given: given.to_owned(), expected }
    };
    // NaN is in no range.
    given.parse().ok().filter(|n| (min..=max).contains(n)).ok_or_else(error)
}

fn parse_parts(only: &[String]) -> Result<Vec<&'static Part>, OptionError> {
    let names = || PARTS.iter().map(|p| p.name).collect::<Vec<_>>().join(", ");
    let error = |given: &String| OptionError::Value {
        option: "only",
        given: given.clone(),
        expected: format!("some of {}", names()),
    };
    for given in only {
        PARTS.iter().find(|p| p.name == given).ok_or_else(|| error(given))?;
    }
    let selected = |p: &&'static Part| only.is_empty() || only.iter().any(|o| o == p.name);
    Ok(PARTS.iter().filter(selected).collect())
}

impl Options {
    /// Validates all options before anything starts.
    pub fn parse(run_args: &RunArgs, args: &ScaleArgs) -> Result<Options, OptionError> {
        let parts = parse_parts(&args.only)?;
        let sizes: Vec<usize> = args
            .sizes
            .iter()
            .map(|s| parse_in_range("sizes", s, [2, MAX_SIZE], " instances, each"))
            .collect::<Result<_, _>>()?;
        let mut distinct = sizes.clone();
        distinct.sort_unstable();
        distinct.dedup();
        if !sizes.is_empty() && distinct.len() < MIN_SIZES {
            let expected = format!("{MIN_SIZES} sizes or more that differ, for a slope");
            return Err(OptionError::Value { option: "sizes", given: args.sizes.join(","), expected });
        }
        let seeds =
            parse_in_range("seeds", &args.seeds, [MIN_SEEDS as u64, MAX_SEEDS], " runs of each size")?;
        let rate = |r: &String| parse_in_range("rates", r, [0.1, MAX_RATE], " accesses a second, each");
        let rates = args.rates.iter().map(rate).collect::<Result<_, _>>()?;
        let change_each_s =
            parse_in_range("change-each-s", &args.change_each_s, [0.1, MAX_CHANGE_EACH], " s on average")?;
        let memory_gb = parse_in_range("memory-gb", &args.memory_gb, [0.1, MAX_MEMORY_GB], " GB")?;
        let processes = parse_in_range("processes", &args.processes, [1, MAX_PROCESSES], " processes")?;
        let (data, front) = (args.data.clone(), args.front.clone());
        let (seed, quick) = (run_args.seed, run_args.quick);
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
        options.check_budget()?;
        Ok(options)
    }

    /// The sizes of a part: those of the option, or its defaults.
    pub fn sizes_of(&self, part: &Part) -> Vec<usize> {
        let defaults = if self.quick { part.quick_sizes } else { part.full_sizes };
        if self.sizes.is_empty() { defaults.to_vec() } else { self.sizes.clone() }
    }

    /// Checks that the largest size of each part is within the budget.
    fn check_budget(&self) -> Result<(), OptionError> {
        for part in &self.parts {
            let Some(size) = self.sizes_of(part).into_iter().max() else { continue };
            let needs = (part.needs)(size, self.quick);
            let (processes, gb) = (needs.processes + 1, needs.resident_bytes as f64 / GB);
            let what = format!("at {size}");
            let reason = if processes > self.processes {
                BudgetError::Processes { what, required: processes, max: self.processes }
            } else if gb > self.memory_gb {
                BudgetError::Memory { what, required: gb, max: self.memory_gb }
            } else {
                continue;
            };
            return Err(OptionError::TooLarge { size, part: part.name, reason });
        }
        Ok(())
    }
}
