//! A run's figures against the page's: which lines are out of date.

use std::fmt;

use super::data::{Data, Figure, Source};
use super::run::{self, Run};
use super::show::shown;

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
fn contradicts(figure: &Figure, margin: f64, points: &run::Figure) -> Option<String> {
    points.means().into_iter().find_map(|(fronts, mean)| {
        let (mean, expected) = (mean * points.factor(), figure.value(fronts as f64));
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
