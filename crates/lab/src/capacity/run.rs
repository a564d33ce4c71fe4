//! The file that `doorgrade-lab scale --data FILE` writes: what each role costs as the fleet grows.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::data::{check_format, read_file};
use super::error::{PageError, invalid};

/// A point with more instances is a mistake in the file.
const MAX_INSTANCES: usize = 1_000_000_000;

/// How a quantity grows with the number of instances, N.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Growth {
    /// No rise over the measured sizes can be told from none.
    Flat,
    /// No faster than a straight line. Slower growth, such as a logarithm, counts as linear.
    Linear,
    /// Faster than a straight line.
    #[serde(rename = "worse")]
    Superlinear,
}

/// Whether a figure was measured or calculated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    Measured,
    #[serde(rename = "reckoned")]
    Calculated,
}

/// A quantity of one role, fitted as a straight line over N.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Unique, as in `membership.heal.bytes_per_s`.
    pub id: String,
    /// Front, site, configuration service, membership, purge delivery, agent or operators' commands.
    pub role: String,
    /// What is counted, in words, with its condition.
    pub quantity: String,
    /// Unit of the quantity, as in `bytes/s`.
    pub unit: String,
    /// In units for each further instance.
    pub slope: f64,
    /// 95% confidence interval of the slope.
    pub interval: [f64; 2],
    /// The line's value at N = 0, in units.
    pub intercept: f64,
    /// 95% confidence interval of the intercept.
    pub intercept_interval: [f64; 2],
    /// Standard deviation of the measurements from the line, in units.
    pub residual: f64,
    #[serde(rename = "shape")]
    pub growth: Growth,
    /// The measured values of N.
    pub sizes: Vec<usize>,
    pub seeds: Vec<u64>,
    pub basis: Basis,
    /// The command line.
    pub command: String,
    /// The commit that the command ran on.
    pub commit: String,
}

impl Entry {
    /// The line's value at `n`, an extrapolation beyond the measured sizes.
    pub fn at(&self, n: f64) -> f64 {
        self.intercept + self.slope * n
    }
}

/// The fitted lines of one run, and the points that they were fitted on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Format of this file; only `FORMAT` is accepted.
    pub format: u32,
    pub commit: String,
    pub command: String,
    pub entries: Vec<Entry>,
    pub figures: Vec<MeasuredFigure>,
}

/// The format that is written.
pub const FORMAT: u32 = 1;

/// The measurements of one quantity; `name` is an entry's `id`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeasuredFigure {
    pub name: String,
    pub unit: String,
    pub points: Vec<Measurement>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// N, the number of instances.
    pub fronts: usize,
    pub value: f64,
    pub seed: u64,
}

impl Run {
    pub fn load(file: &Path) -> Result<Run, PageError> {
        Run::parse(&read_file(file)?)
    }

    /// Rejects figures without points and points with impossible values.
    pub fn parse(text: &str) -> Result<Run, PageError> {
        // The format is checked first: a newer file may have other keys, and its error should name the format.
        check_format(&serde_json::from_str(text)?)?;
        let run: Run = serde_json::from_str(text)?;
        for figure in &run.figures {
            let entry = format!("figure {}", figure.name);
            if figure.points.is_empty() {
                return Err(invalid(entry, "has no points", "one at least"));
            }
            if figure.points.iter().any(|p| !p.value.is_finite() || p.fronts > MAX_INSTANCES) {
                return Err(invalid(entry, "has an impossible point", "finite values for 0 to 1e9 fronts"));
            }
        }
        Ok(run)
    }
}

/// The page's unit for a unit of a run, and the factor that converts values to it.
pub fn page_unit(name: &str) -> Option<(&'static str, f64)> {
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

impl MeasuredFigure {
    /// The factor that converts values to the page's unit; 1 for an unknown unit, which `take` rejects.
    pub fn unit_factor(&self) -> f64 {
        page_unit(&self.unit).map_or(1.0, |u| u.1)
    }

    /// The mean over the seeds at each size.
    pub fn means(&self) -> BTreeMap<usize, f64> {
        let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for point in &self.points {
            let (sum, count) = sums.entry(point.fronts).or_default();
            (*sum, *count) = (*sum + point.value, *count + 1.0);
        }
        sums.into_iter().map(|(size, (sum, count))| (size, sum / count)).collect()
    }
}
