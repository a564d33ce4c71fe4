//! Copies a run's figures into the page's data, in place of the earlier figures of the same names.

use serde_json::{Value, json};

use super::data::{Data, FRONTS};
use super::error::{PageError, invalid};
use super::run::{self, Entry, Growth, MeasuredFigure, Run};

/// The share by which a later run may differ beyond the interval, unless the data already has another one for the figure:
/// the project's machines are shared, and times measured on them vary by a fifth.
const DEFAULT_MARGIN: f64 = 0.25;
/// Half of a 95% interval, in standard deviations.
const HALF_INTERVAL_DEVIATIONS: f64 = 1.96;

/// The function that the data file has for a figure.
struct Function {
    base: f64,
    coefficient: f64,
    exponent: f64,
}

impl Function {
    fn value(&self, fronts: f64) -> f64 {
        self.base + self.coefficient * fronts.powf(self.exponent)
    }
}

/// Copies each entry of a run into the data; returns the names of those that were not there before, which no table of the
/// page uses yet.
pub fn take(data: &mut Value, run: &Run) -> Result<Vec<String>, PageError> {
    let previous = Data::parse(&data.to_string())?;
    let figures = data.get_mut("figures").and_then(Value::as_array_mut);
    let figures = figures.ok_or_else(|| invalid("the file", "has no list 'figures'", "one"))?;
    let mut new = Vec::new();
    for entry in &run.entries {
        let measured = run.figures.iter().find(|f| f.name == entry.id);
        let measured =
            measured.ok_or_else(|| invalid(&entry.id, "has no points", "those that it was fitted on"))?;
        let index = figures.iter().position(|f| f["name"] == json!(entry.id));
        let variable =
            previous.figures.iter().find(|f| f.name == entry.id).map_or(FRONTS, |f| f.variable.as_str());
        let target_size = previous.quantity_at(&entry.id, variable, 1.0)?;
        let figure = figure(entry, measured, index.map(|i| &figures[i]), target_size)?;
        match index {
            Some(i) => figures[i] = figure,
            None => {
                new.push(entry.id.clone());
                figures.push(figure);
            }
        }
    }
    Ok(new)
}

/// The page's unit, and the factor that converts values to it.
fn page_unit(entry: &Entry) -> Result<(&'static str, f64), PageError> {
    let unit = run::page_unit(&entry.unit);
    unit.ok_or_else(|| {
        invalid(
            &entry.id,
            format!("is in {:?}", entry.unit),
            "bytes, KB, MB, bytes/s, s, ms, us, cores, ms/s, share, /s or count",
        )
    })
}

fn figure(
    entry: &Entry,
    measured: &MeasuredFigure,
    previous: Option<&Value>,
    target_size: f64,
) -> Result<Value, PageError> {
    let (unit, factor) = page_unit(entry)?;
    let means = measured.means();
    let function = function(entry, &means.iter().map(|(n, v)| (*n as f64, *v)).collect::<Vec<_>>());
    let relative_error = |(size, mean): (&usize, &f64)| match mean.abs() {
        0.0 => 0.0,
        magnitude => (function.value(*size as f64) - mean).abs() / magnitude,
    };
    let residual = means.iter().map(relative_error).fold(0.0, f64::max);
    let kept = |key: &str| previous.and_then(|p| p.get(key)).cloned();
    let margin = previous.and_then(|p| p["source"]["measured"]["margin"].as_f64()).unwrap_or(DEFAULT_MARGIN);
    let mut figure = json!({
        "name": entry.id,
        "line": kept("line").unwrap_or_else(|| json!(entry.quantity)),
        "unit": unit,
        "base": function.base * factor,
        "per_front": function.coefficient * factor,
        "power": function.exponent,
        "half_width": half_width(entry, measured, target_size) * factor,
        "source": {"measured": {"command": entry.command, "commit": entry.commit, "sizes": entry.sizes, "seeds": entry.seeds,
            "residual": residual, "margin": margin}},
    });
    if let Some(over) = kept("over") {
        figure["over"] = over;
    }
    if let Some(note) = previous.and_then(|p| p["source"]["measured"].get("note")) {
        figure["source"]["measured"]["note"] = note.clone();
    }
    Ok(figure)
}

/// Flat: the mean. Linear: the fitted line. Superlinear: a power function, or the line where no power function fits.
fn function(entry: &Entry, means: &[(f64, f64)]) -> Function {
    let line = Function { base: entry.intercept, coefficient: entry.slope, exponent: 1.0 };
    match entry.growth {
        Growth::Flat => {
            let mean = means.iter().map(|m| m.1).sum::<f64>() / means.len().max(1) as f64;
            Function { base: mean, coefficient: 0.0, exponent: 1.0 }
        }
        Growth::Linear => line,
        Growth::Superlinear => power_function(means).unwrap_or(line),
    }
}

/// Fitted by least squares on logarithms.
fn power_function(means: &[(f64, f64)]) -> Option<Function> {
    let logs: Vec<(f64, f64)> =
        means.iter().filter(|m| m.0 > 0.0 && m.1 > 0.0).map(|m| (m.0.ln(), m.1.ln())).collect();
    if logs.len() < 2 || logs.len() < means.len() {
        return None;
    }
    let count = logs.len() as f64;
    let (x, y) =
        (logs.iter().map(|l| l.0).sum::<f64>() / count, logs.iter().map(|l| l.1).sum::<f64>() / count);
    let variation: f64 = logs.iter().map(|l| (l.0 - x).powi(2)).sum();
    let exponent = logs.iter().map(|l| (l.0 - x) * (l.1 - y)).sum::<f64>() / variation;
    let coefficient = (y - exponent * x).exp();
    (exponent.is_finite() && coefficient.is_finite()).then_some(Function { base: 0.0, coefficient, exponent })
}

/// Half the width of the line's 95% interval at the target's size, from the spread of the points about the line.
fn half_width(entry: &Entry, measured: &MeasuredFigure, target_size: f64) -> f64 {
    let count = measured.points.len() as f64;
    let mean = measured.points.iter().map(|p| p.fronts as f64).sum::<f64>() / count;
    let variation: f64 = measured.points.iter().map(|p| (p.fronts as f64 - mean).powi(2)).sum();
    let leverage = if entry.growth == Growth::Flat || variation == 0.0 {
        0.0
    } else {
        (target_size - mean).powi(2) / variation
    };
    HALF_INTERVAL_DEVIATIONS * entry.residual * (1.0 / count + leverage).sqrt()
}
