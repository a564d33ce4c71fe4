//! What a role costs as the fleet grows, as `doorgrade-lab scale --data FILE` writes it.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::data::{expect_format, text};
use super::trouble::{Trouble, wrong};

/// More instances than this were never measured, nor reckoned with.
const MOST_FRONTS: usize = 1_000_000_000;

/// How a quantity grows with the number of instances, N.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Its rise over the sizes measured can't be told from none.
    Flat,
    /// No faster than a straight line; what grows more slowly (a logarithm) counts as this.
    Linear,
    /// Faster than a straight line.
    Worse,
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    Measured,
    Reckoned,
}

/// One line: a quantity of one role as a straight line over N.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Unique, as in `membership.heal.bytes_per_s`.
    pub id: String,
    /// Front, site, configuration service, membership, purge delivery, agent, operators' commands.
    pub role: String,
    /// What is counted, in words, with its condition.
    pub quantity: String,
    /// Of the quantity, as in `bytes/s`.
    pub unit: String,
    /// Units for each further instance.
    pub slope: f64,
    /// Of the slope, 95%.
    pub interval: [f64; 2],
    /// Units at N = 0, by the line.
    pub intercept: f64,
    /// Of the intercept, 95%.
    pub intercept_interval: [f64; 2],
    /// Standard deviation of the measurements about the line, in units.
    pub residual: f64,
    pub shape: Shape,
    /// N at which it was measured.
    pub sizes: Vec<usize>,
    pub seeds: Vec<u64>,
    pub basis: Basis,
    /// As it is given to a shell.
    pub command: String,
    /// On which the command ran.
    pub commit: String,
}

impl Entry {
    /// By the line; beyond the sizes measured it is reckoned.
    pub fn at(&self, n: f64) -> f64 {
        self.intercept + self.slope * n
    }
}

/// What one run wrote with `--data`: its lines, and the points that they were fitted on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Of this file; others are refused.
    pub format: u32,
    pub commit: String,
    pub command: String,
    pub entries: Vec<Entry>,
    pub figures: Vec<Figure>,
}

/// The format written now.
pub const FORMAT: u32 = 1;

/// One quantity as it was measured; `name` is an entry's `id`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub name: String,
    pub unit: String,
    pub points: Vec<Measured>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// N: how many instances.
    pub fronts: usize,
    pub value: f64,
    pub seed: u64,
}

impl Run {
    pub fn load(file: &Path) -> Result<Run, Trouble> {
        Run::parse(&text(file)?)
    }

    /// Refuses what can't be measured: no points, no finite values.
    pub fn parse(text: &str) -> Result<Run, Trouble> {
        // The format first: a newer file may have other keys, and is to be refused by its number.
        expect_format(&serde_json::from_str(text)?)?;
        let run: Run = serde_json::from_str(text)?;
        for figure in &run.figures {
            let at = format!("figure {}", figure.name);
            if figure.points.is_empty() {
                return Err(wrong(at, "has no points", "one at least"));
            }
            if figure.points.iter().any(|p| !p.value.is_finite() || p.fronts > MOST_FRONTS) {
                return Err(wrong(at, "has a point that can't be", "finite values for 0 to 1e9 fronts"));
            }
        }
        Ok(run)
    }
}

/// The page's unit for a run's, and what a value is multiplied by to be in it.
pub fn unit(name: &str) -> Option<(&'static str, f64)> {
    Some(match name {
        "bytes" => ("bytes", 1.0),
        "KB" => ("bytes", 1e3),
        "MB" => ("bytes", 1e6),
        "bytes/s" => ("bytes_per_s", 1.0),
        "s" | "seconds" => ("seconds", 1.0),
        "ms" => ("seconds", 1e-3),
        "us" => ("seconds", 1e-6),
        "cores" | "core" => ("core", 1.0),
        "ms/s" => ("core", 1e-3),
        "share" => ("share", 1.0),
        "/s" | "1/s" => ("per_s", 1.0),
        "" | "count" | "entries" | "versions" | "datagrams" => ("count", 1.0),
        _ => return None,
    })
}

impl Figure {
    /// What values are multiplied by to be in the page's unit; 1 where the unit isn't known, which `take` refuses.
    pub fn factor(&self) -> f64 {
        unit(&self.unit).map_or(1.0, |u| u.1)
    }

    /// The mean over seeds at each size.
    pub fn means(&self) -> BTreeMap<usize, f64> {
        let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for point in &self.points {
            let (sum, count) = sums.entry(point.fronts).or_default();
            (*sum, *count) = (*sum + point.value, *count + 1.0);
        }
        sums.into_iter().map(|(size, (sum, count))| (size, sum / count)).collect()
    }
}
