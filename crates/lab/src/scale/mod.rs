//! `doorgrade-lab scale`: the cost of each role as the fleet grows. Each part measures one role at several fleet sizes with
//! several seeds, and fits the growth of its figures over the size. A run stays within a budget of processes and memory.

mod agent;
pub mod budget;
mod commands;
pub mod comparison;
pub mod control_only;
pub mod control_rig;
pub mod fit;
mod front_state;
pub mod members;
pub mod options;
mod rollouts;
mod service;
mod service_figures;
pub mod watch;

use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;

pub use budget::{Budget, BudgetError, GB, Needs, Usage};
pub use fit::{Fit, FitError, Point, fit};
pub use options::{OptionError, Options, ScaleArgs};
use watch::Watchdog;

use crate::capacity::run::{Basis, Entry, FORMAT, Growth, MeasuredFigure, Measurement, Run};
use crate::{Figures, RunArgs};

/// A part of the run, which measures one role.
pub struct Part {
    pub name: &'static str,
    pub full_sizes: &'static [usize],
    pub quick_sizes: &'static [usize],
    /// The resources that the part needs beside this process at a size; the second argument says whether it is a quick run.
    pub needs: fn(usize, bool) -> Needs,
    pub run: fn(&mut Context) -> Result<(), ScaleError>,
}

pub static PARTS: [Part; 6] =
    [service::PART, members::PART, front_state::PART, rollouts::PART, commands::PART, agent::PART];

#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    #[error(transparent)]
    Option(#[from] OptionError),
    #[error("can't continue: {0}")]
    Budget(#[from] BudgetError),
    #[error("slope of {id}: {reason}")]
    Fit { id: String, reason: FitError },
    #[error("{path}: {reason}: check that the folder exists and is writable", path = path.display())]
    Data { path: PathBuf, reason: std::io::Error },
    #[error("the watchdog thread of the run does not start: {0}: check this user's limit of threads")]
    Watchdog(std::io::Error),
    /// An error of the part's own rig.
    #[error("part {part}: {reason}")]
    Part { part: &'static str, reason: String },
}

/// The description of a measured quantity.
#[derive(Clone, Copy)]
pub struct Quantity<'a> {
    /// Unique in `docs/capacity.json`.
    pub id: &'a str,
    pub role: &'a str,
    /// What is measured, and under which condition.
    pub what: &'a str,
    pub unit: &'a str,
}

/// The input of a part, and the figures that it has measured.
pub struct Context {
    pub options: Options,
    pub budget: Arc<Budget>,
    pub figures: Figures,
    /// The fitted slopes.
    pub slopes: Vec<Entry>,
    /// The measurements that the slopes were fitted on.
    points: Vec<MeasuredFigure>,
    part: &'static Part,
    commit: String,
}

impl Context {
    pub fn new(options: Options) -> Context {
        let budget = Arc::new(Budget::new(options.processes, options.memory_gb));
        let (figures, slopes, points) = Default::default();
        Context { options, budget, figures, slopes, points, part: &PARTS[0], commit: commit() }
    }

    /// The fleet sizes to measure.
    pub fn sizes(&self) -> Vec<usize> {
        self.options.sizes_of(self.part)
    }

    /// The seeds to run each size with; three or more.
    pub fn seeds(&self) -> Vec<u64> {
        (0..self.options.seeds).map(|n| self.options.seed.wrapping_mul(1_000).wrapping_add(n)).collect()
    }

    /// Whether the run may go on. Called in every long loop, so that an interrupted run ends in order.
    pub fn check(&self) -> Result<(), ScaleError> {
        Ok(self.budget.check()?)
    }

    /// An error of the current part.
    pub fn part_error(&self, reason: impl std::fmt::Display) -> ScaleError {
        ScaleError::Part { part: self.part.name, reason: reason.to_string() }
    }

    /// Records a figure.
    pub fn put(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.put(name, value);
    }

    /// Records a figure rounded to its significant digits.
    pub fn put_rounded(&mut self, name: &str, value: f64) {
        self.figures.put_rounded(name, value);
    }

    /// Fits a slope to the measurements and adds both to the data file (`--data`).
    pub fn fit_slope(&mut self, quantity: &Quantity, points: &[Point]) -> Result<Fit, ScaleError> {
        let id = quantity.id;
        let fit = fit(points).map_err(|reason| ScaleError::Fit { id: id.to_owned(), reason })?;
        let distinct = |all: &mut dyn Iterator<Item = u64>| {
            all.collect::<std::collections::BTreeSet<_>>().into_iter().collect::<Vec<_>>()
        };
        self.slopes.push(Entry {
            id: id.to_owned(),
            role: quantity.role.to_owned(),
            quantity: quantity.what.to_owned(),
            unit: quantity.unit.to_owned(),
            slope: fit.slope,
            interval: fit.slope_interval,
            intercept: fit.intercept,
            intercept_interval: fit.intercept_interval,
            residual: fit.residual,
            growth: fit.growth,
            sizes: distinct(&mut points.iter().map(|p| p.size as u64)).iter().map(|&n| n as usize).collect(),
            seeds: distinct(&mut points.iter().map(|p| p.seed)),
            basis: Basis::Measured,
            command: self.command(),
            commit: self.commit.clone(),
        });
        let measured = |p: &Point| Measurement { fronts: p.size, value: p.value, seed: p.seed };
        let points = points.iter().map(measured).collect();
        self.points.push(MeasuredFigure { name: id.to_owned(), unit: quantity.unit.to_owned(), points });
        Ok(fit)
    }

    /// The command that repeats the current part.
    fn command(&self) -> String {
        let quick = if self.options.quick { " --quick" } else { "" };
        format!("doorgrade-lab scale --seed {}{quick} --only {}", self.options.seed, self.part.name)
    }
}

/// The commit of the working tree, or `unknown` outside of one.
fn commit() -> String {
    let git = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let hash =
        git.ok().filter(|o| o.status.success()).map(|o| String::from_utf8_lossy(&o.stdout).trim().into());
    hash.unwrap_or_else(|| "unknown".to_owned())
}

/// Runs the selected parts in order.
pub fn run(run_args: &RunArgs, args: &ScaleArgs) -> Result<Figures, ScaleError> {
    let options = Options::parse(run_args, args)?;
    let mut context = Context::new(options);
    let watchdog = Watchdog::start(context.budget.clone()).map_err(ScaleError::Watchdog)?;
    for part in context.options.parts.clone() {
        context.part = part;
        context.budget.sample()?;
        (part.run)(&mut context)?;
    }
    context.budget.sample()?;
    drop(watchdog);
    let peak = context.budget.peak();
    context.put_rounded("peak_rss_gb", peak.resident_bytes as f64 / GB);
    context.put("processes", peak.processes);
    let Context { options, figures, slopes: entries, points, commit, .. } = context;
    if let Some(path) = &options.data {
        let command = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
        let command = format!("doorgrade-lab {command}");
        let run = Run { format: FORMAT, commit, command, entries, figures: points };
        write(path, &run).map_err(|reason| ScaleError::Data { path: path.clone(), reason })?;
    }
    Ok(figures)
}

fn write(path: &std::path::Path, run: &Run) -> std::io::Result<()> {
    let text = serde_json::to_string_pretty(run).map_err(std::io::Error::other)?;
    std::fs::write(path, text + "\n")
}

/// The value of a figure that states how a quantity grows.
pub fn growth_name(growth: Growth) -> &'static str {
    match growth {
        Growth::Flat => "flat",
        Growth::Linear => "linear",
        Growth::Superlinear => "worse",
    }
}
