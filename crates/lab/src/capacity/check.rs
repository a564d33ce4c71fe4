//! Compares a run's figures with the page's and finds the lines that are out of date.

use std::fmt;

use super::data::{Data, Figure, Provenance};
use super::formatting::format_value;
use super::run::{MeasuredFigure, Run};

/// A line of the page that a run contradicts.
#[derive(Clone, Debug, PartialEq)]
pub struct OutdatedLine {
    pub figure: String,
    pub label: String,
    difference: String,
}

impl fmt::Display for OutdatedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "out of date: {:?} ({}): {}", self.label, self.figure, self.difference)
    }
}

/// Names of figures by the result of their comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    pub confirmed: Vec<String>,
    pub outdated: Vec<OutdatedLine>,
    /// Measured in the run; the page has no measured value to compare them with.
    pub not_on_page: Vec<String>,
    /// Measured values of the page that this run did not measure.
    pub not_in_run: Vec<String>,
}

/// The greatest difference to the expected value that the page allows.
fn tolerance(figure: &Figure, margin: f64, expected: f64) -> f64 {
    figure.half_width + margin * expected.abs()
}

pub fn check(data: &Data, run: &Run) -> CheckReport {
    let mut report = CheckReport::default();
    for measured in &run.figures {
        let on_page = data.figures.iter().find(|f| f.name == measured.name);
        match on_page.map(|f| (f, &f.provenance)) {
            Some((figure, Provenance::Measured(provenance))) => {
                match contradiction(figure, provenance.margin, measured) {
                    Some(difference) => report.outdated.push(OutdatedLine {
                        figure: figure.name.clone(),
                        label: figure.label.clone(),
                        difference,
                    }),
                    None => report.confirmed.push(measured.name.clone()),
                }
            }
            _ => report.not_on_page.push(measured.name.clone()),
        }
    }
    let in_run = |name: &String| run.figures.iter().any(|m| m.name == *name);
    let on_page = data.figures.iter().filter(|f| f.is_measured()).map(|f| &f.name);
    report.not_in_run = on_page.filter(|name| !in_run(name)).cloned().collect();
    report
}

/// Compares the mean over the seeds at each size, since the page states a mean.
fn contradiction(figure: &Figure, margin: f64, measured: &MeasuredFigure) -> Option<String> {
    measured.means().into_iter().find_map(|(fronts, mean)| {
        let (mean, expected) = (mean * measured.unit_factor(), figure.value(fronts as f64));
        let tolerance = tolerance(figure, margin, expected);
        // False for NaN, too, so that a value that can't be compared is reported.
        let confirmed = (mean - expected).abs() <= tolerance;
        (!confirmed).then(|| {
            let format = |value| format_value(value, figure.unit);
            format!(
                "{} at {fronts} fronts; the page has {}, and allows {} either way",
                format(mean),
                format(expected),
                format(tolerance)
            )
        })
    })
}
