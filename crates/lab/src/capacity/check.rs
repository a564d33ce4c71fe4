//! A run's figures against the page's: which lines are out of date.

use std::fmt;
use std::path::Path;

use serde::Deserialize;

use super::data::{Data, Figure, Source, expect_format, text};
use super::show::shown;
use super::trouble::{Trouble, wrong};

/// What `doorgrade-lab scale --data FILE` writes.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    pub figures: Vec<Points>,
}

/// A figure as it was at some sizes.
#[derive(Clone, Debug, Deserialize)]
pub struct Points {
    pub name: String,
    pub points: Vec<Point>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Point {
    pub fronts: f64,
    pub value: f64,
}

/// A line of the page that a run contradicts.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfDate {
    pub name: String,
    pub line: String,
    text: String,
}

impl fmt::Display for OutOfDate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "out of date: {:?} ({}): {}", self.line, self.name, self.text)
    }
}

/// What came of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checked {
    pub held: Vec<String>,
    pub out_of_date: Vec<OutOfDate>,
    /// Measured in the run, and not on the page as measured: nothing to hold them to.
    pub not_on_page: Vec<String>,
    /// On the page as measured, and not in this run.
    pub not_in_run: Vec<String>,
}

impl Run {
    pub fn load(file: &Path) -> Result<Run, Trouble> {
        Run::parse(&text(file)?)
    }

    pub fn parse(text: &str) -> Result<Run, Trouble> {
        let value: serde_json::Value = serde_json::from_str(text)?;
        expect_format(&value)?;
        let run: Run = serde_json::from_value(value)?;
        for figure in &run.figures {
            let at = format!("figure {}", figure.name);
            if figure.points.is_empty() {
                return Err(wrong(at, "has no points", "one at least"));
            }
            if figure.points.iter().any(|p| !p.value.is_finite() || !(0.0..=1e9).contains(&p.fronts)) {
                return Err(wrong(at, "has a point that can't be", "finite values for 0 to 1e9 fronts"));
            }
        }
        Ok(run)
    }
}

/// The greatest difference that the page's own statement allows at that size.
fn allowed(figure: &Figure, margin: f64, expected: f64) -> f64 {
    figure.half_width + margin * expected.abs()
}

pub fn check(data: &Data, run: &Run) -> Checked {
    let mut came = Checked::default();
    for points in &run.figures {
        let known = data.figures.iter().find(|f| f.name == points.name);
        match known.map(|f| (f, &f.source)) {
            Some((figure, Source::Measured(measured))) => {
                match contradicts(figure, measured.margin, points) {
                    Some(text) => came.out_of_date.push(OutOfDate {
                        name: figure.name.clone(),
                        line: figure.line.clone(),
                        text,
                    }),
                    None => came.held.push(points.name.clone()),
                }
            }
            _ => came.not_on_page.push(points.name.clone()),
        }
    }
    let ran = |name: &String| run.figures.iter().any(|p| p.name == *name);
    let measured = data.figures.iter().filter(|f| f.measured()).map(|f| &f.name);
    came.not_in_run = measured.filter(|name| !ran(name)).cloned().collect();
    came
}

/// The mean at each size against the page's: seeds differ, and the page states a mean.
fn contradicts(figure: &Figure, margin: f64, points: &Points) -> Option<String> {
    let mut sizes: Vec<f64> = points.points.iter().map(|p| p.fronts).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes.into_iter().find_map(|fronts| {
        let at: Vec<f64> = points.points.iter().filter(|p| p.fronts == fronts).map(|p| p.value).collect();
        let mean = at.iter().sum::<f64>() / at.len() as f64;
        let expected = figure.value(fronts);
        let most = allowed(figure, margin, expected);
        // Written so that what can't be compared is out of date, too.
        let holds = (mean - expected).abs() <= most;
        (!holds).then(|| {
            let show = |value| shown(value, figure.unit);
            format!(
                "{} at {fronts} fronts; the page has {}, and allows {} either way",
                show(mean),
                show(expected),
                show(most)
            )
        })
    })
}
