//! A run's figures put into the page's data, in place of what stood under their names.

use serde_json::{Value, json};

use super::data::{Data, FRONTS};
use super::run::{self, Entry, Figure, Run, Shape};
use super::trouble::{Trouble, wrong};

/// A later run may differ by so much beyond the interval, unless the entry said otherwise before: this project's machines are
/// shared, and their times move by a fifth.
const MARGIN: f64 = 0.25;
/// Of a 95% interval, in standard deviations.
const WIDE: f64 = 1.96;

/// How a figure stands in the data file.
struct Law {
    base: f64,
    per_front: f64,
    power: f64,
}

impl Law {
    fn value(&self, fronts: f64) -> f64 {
        self.base + self.per_front * fronts.powf(self.power)
    }
}

/// Puts each entry of a run into the data; gives the names of those that are new, and stand on no line yet.
pub fn take(data: &mut Value, run: &Run) -> Result<Vec<String>, Trouble> {
    let known = Data::parse(&data.to_string())?;
    let figures = data.get_mut("figures").and_then(Value::as_array_mut);
    let figures = figures.ok_or_else(|| wrong("the file", "has no list 'figures'", "one"))?;
    let mut new = Vec::new();
    for entry in &run.entries {
        let points = run.figures.iter().find(|f| f.name == entry.id);
        let points =
            points.ok_or_else(|| wrong(&entry.id, "has no points", "those that it was fitted on"))?;
        let old = figures.iter().position(|f| f["name"] == json!(entry.id));
        let over = known.figures.iter().find(|f| f.name == entry.id).map_or(FRONTS, |f| f.over.as_str());
        let target = known.amount(&entry.id, over, 1.0)?;
        let made = figure(entry, points, old.map(|at| &figures[at]), target)?;
        match old {
            Some(at) => figures[at] = made,
            None => {
                new.push(entry.id.clone());
                figures.push(made);
            }
        }
    }
    Ok(new)
}

/// The page's unit, and what values are multiplied by to be in it.
fn unit(entry: &Entry) -> Result<(&'static str, f64), Trouble> {
    let known = run::unit(&entry.unit);
    known.ok_or_else(|| {
        wrong(
            &entry.id,
            format!("is in {:?}", entry.unit),
            "bytes, KB, MB, bytes/s, s, ms, us, cores, ms/s, share, /s or count",
        )
    })
}

fn figure(entry: &Entry, points: &Figure, old: Option<&Value>, target: f64) -> Result<Value, Trouble> {
    let (unit, factor) = unit(entry)?;
    let means = points.means();
    let law = law(entry, &means.iter().map(|(n, v)| (*n as f64, *v)).collect::<Vec<_>>());
    let off = |(size, mean): (&usize, &f64)| match mean.abs() {
        0.0 => 0.0,
        size_of => (law.value(*size as f64) - mean).abs() / size_of,
    };
    let residual = means.iter().map(off).fold(0.0, f64::max);
    let kept = |key: &str| old.and_then(|o| o.get(key)).cloned();
    let margin = old.and_then(|o| o["source"]["measured"]["margin"].as_f64()).unwrap_or(MARGIN);
    let mut made = json!({
        "name": entry.id,
        "line": kept("line").unwrap_or_else(|| json!(entry.quantity)),
        "unit": unit,
        "base": law.base * factor,
        "per_front": law.per_front * factor,
        "power": law.power,
        "half_width": half_width(entry, points, target) * factor,
        "source": {"measured": {"command": entry.command, "commit": entry.commit, "sizes": entry.sizes, "seeds": entry.seeds,
            "residual": residual, "margin": margin}},
    });
    if let Some(over) = kept("over") {
        made["over"] = over;
    }
    if let Some(note) = old.and_then(|o| o["source"]["measured"].get("note")) {
        made["source"]["measured"]["note"] = note.clone();
    }
    Ok(made)
}

/// Flat: the mean. Linear: the line. Worse: a power by least squares of logarithms, or the line where there is none.
fn law(entry: &Entry, means: &[(f64, f64)]) -> Law {
    let line = Law { base: entry.intercept, per_front: entry.slope, power: 1.0 };
    match entry.shape {
        Shape::Flat => {
            let mean = means.iter().map(|m| m.1).sum::<f64>() / means.len().max(1) as f64;
            Law { base: mean, per_front: 0.0, power: 1.0 }
        }
        Shape::Linear => line,
        Shape::Worse => power(means).unwrap_or(line),
    }
}

fn power(means: &[(f64, f64)]) -> Option<Law> {
    let logs: Vec<(f64, f64)> =
        means.iter().filter(|m| m.0 > 0.0 && m.1 > 0.0).map(|m| (m.0.ln(), m.1.ln())).collect();
    if logs.len() < 2 || logs.len() < means.len() {
        return None;
    }
    let count = logs.len() as f64;
    let (x, y) =
        (logs.iter().map(|l| l.0).sum::<f64>() / count, logs.iter().map(|l| l.1).sum::<f64>() / count);
    let spread: f64 = logs.iter().map(|l| (l.0 - x).powi(2)).sum();
    let power = logs.iter().map(|l| (l.0 - x) * (l.1 - y)).sum::<f64>() / spread;
    let per_front = (y - power * x).exp();
    (power.is_finite() && per_front.is_finite()).then_some(Law { base: 0.0, per_front, power })
}

/// Of the line at the target's size, from the spread about it.
fn half_width(entry: &Entry, points: &Figure, target: f64) -> f64 {
    let count = points.points.len() as f64;
    let mean = points.points.iter().map(|p| p.fronts as f64).sum::<f64>() / count;
    let spread: f64 = points.points.iter().map(|p| (p.fronts as f64 - mean).powi(2)).sum();
    let far =
        if entry.shape == Shape::Flat || spread == 0.0 { 0.0 } else { (target - mean).powi(2) / spread };
    WIDE * entry.residual * (1.0 / count + far).sqrt()
}
