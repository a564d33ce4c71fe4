//! The data file of `docs/CAPACITY.md`: figures with where each comes from, and what the page makes of them.
//!
//! A *figure* is one quantity as a function of the number of fronts, measured (command, commit, sizes) or reckoned (how).
//! *Cells* of the page are sums of figures, each multiplied by quantities of the target, so that the columns for a
//! tenth and ten times of the target follow by arithmetic. Whatever a file holds that isn't so is refused by name.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Deserialize;

use super::arithmetic::unit_of;
use super::trouble::{Trouble, wrong};

/// Of the data file; another one is refused.
pub const FORMAT: u64 = 1;
/// A page's figures take some 50 KB.
pub const MOST_BYTES: u64 = 4 << 20;
/// Fits stand on at least so many sizes.
pub const LEAST_SIZES: usize = 4;
/// No count, byte or second on the page is near it; sums and products stay finite below it.
const GREATEST: f64 = 1e18;
/// Worse than this nothing was seen to grow; a greater power is a mistake in a fit.
const GREATEST_POWER: f64 = 4.0;
/// Of one addend.
const MOST_TIMES: usize = 4;
/// The quantity that figures are functions of.
pub const FRONTS: &str = "fronts";

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    pub format: u64,
    /// The target's quantities, by name.
    pub quantities: BTreeMap<String, Quantity>,
    pub figures: Vec<Figure>,
    pub requirements: Vec<Requirement>,
    pub roles: Vec<Role>,
    pub failures: Vec<Failure>,
    pub missing: Vec<Missing>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quantity {
    pub value: f64,
    /// Whether it is a tenth, and ten times as much, with the fleet.
    pub grows: bool,
    /// What it is, for whoever reads the file.
    pub what: String,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    #[default]
    Count,
    PerS,
    Bytes,
    BytesPerS,
    Seconds,
    /// Of one core, 1 being all of it.
    Core,
    Share,
}

/// One quantity as a function of the number of fronts, or of another one: `base + per_front * fronts ^ power`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    pub name: String,
    /// The line of the page, as a run that contradicts it calls it.
    pub line: String,
    #[serde(default)]
    pub unit: Unit,
    /// The quantity that it is a function of.
    #[serde(default = "fronts")]
    pub over: String,
    pub base: f64,
    #[serde(default)]
    pub per_front: f64,
    #[serde(default = "one")]
    pub power: f64,
    /// Half the width of the 95% interval at the target's size, in the figure's unit.
    #[serde(default)]
    pub half_width: f64,
    pub source: Source,
}

fn fronts() -> String {
    FRONTS.into()
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Source {
    Measured(Measured),
    /// From the code, with the file and the constant, or by a formula.
    Reckoned {
        how: String,
    },
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measured {
    pub command: String,
    pub commit: String,
    /// Fronts; a single one for what isn't a function of them.
    pub sizes: Vec<f64>,
    pub seeds: Vec<u64>,
    /// The greatest difference between a point and the fit, as a share of the point.
    #[serde(default)]
    pub residual: f64,
    /// A later run may differ by this share, beyond the interval, before the line is called out of date.
    pub margin: f64,
    /// What it does not cover, or what else to know.
    #[serde(default)]
    pub note: String,
}

/// One addend of a cell.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    pub figure: String,
    /// Quantities that it is multiplied by.
    #[serde(default)]
    pub times: Vec<String>,
    #[serde(default = "one")]
    pub factor: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// A quantity, which may grow with the fleet, or a figure: one of the two.
    #[serde(default)]
    pub quantity: Option<String>,
    #[serde(default)]
    pub figure: Option<String>,
    #[serde(default = "one")]
    pub factor: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// As the target has it.
    pub what: String,
    /// Empty where there is nothing to measure; the note then says why.
    #[serde(default)]
    pub today: Vec<Term>,
    /// What it may be at most, or with `at_least`, must be; none where the target has no figure.
    #[serde(default)]
    pub allowed: Option<Budget>,
    #[serde(default)]
    pub at_least: bool,
    #[serde(default)]
    pub note: String,
    /// What carries it; "missing" where nothing does.
    pub mechanism: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Role {
    pub name: String,
    pub about: String,
    pub rows: Vec<Row>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// State, messages with their link, processor time or memory.
    pub what: String,
    pub is: Vec<Term>,
    #[serde(default)]
    pub budget: Option<Budget>,
    pub mechanism: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    pub what: String,
    pub happens: String,
    pub lasts: String,
    pub mechanism: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Missing {
    pub mechanism: String,
    /// The requirement that it is for, by its text.
    pub requirement: String,
    /// How often it is missed, and whether only in a trouble.
    pub often: String,
    #[serde(default)]
    pub trouble: bool,
    pub why: String,
}

impl Data {
    pub fn load(file: &Path) -> Result<Data, Trouble> {
        Data::parse(&text(file)?)
    }

    pub fn parse(text: &str) -> Result<Data, Trouble> {
        // The format first: a newer file may have other keys, and is to be refused by its number.
        expect_format(&serde_json::from_str(text)?)?;
        let data: Data = serde_json::from_str(text)?;
        data.check()?;
        Ok(data)
    }

    pub fn figure(&self, at: &str, name: &str) -> Result<&Figure, Trouble> {
        let found = self.figures.iter().find(|f| f.name == name);
        found.ok_or_else(|| Trouble::Unknown { at: at.into(), kind: "figure", name: name.into() })
    }

    pub fn quantity(&self, at: &str, name: &str) -> Result<&Quantity, Trouble> {
        let found = self.quantities.get(name);
        found.ok_or_else(|| Trouble::Unknown { at: at.into(), kind: "quantity", name: name.into() })
    }

    fn check(&self) -> Result<(), Trouble> {
        for (name, quantity) in &self.quantities {
            number(&format!("quantity {name}"), "value", quantity.value, 0.0, GREATEST)?;
        }
        self.quantity("the file", FRONTS)?;
        let mut names = BTreeSet::new();
        for figure in &self.figures {
            figure.check()?;
            self.quantity(&figure.at(), &figure.over)?;
            if !names.insert(&figure.name) {
                return Err(wrong(figure.at(), "stands twice", "one entry a name"));
            }
        }
        for r in &self.requirements {
            if r.today.is_empty() && r.note.is_empty() {
                return Err(wrong(&r.what, "has neither a figure nor a note", "one of them"));
            }
            self.check_terms(&r.what, &r.today)?;
            r.allowed.iter().try_for_each(|b| self.check_budget(&r.what, b))?;
        }
        for row in self.roles.iter().flat_map(|r| &r.rows) {
            if row.is.is_empty() {
                return Err(wrong(&row.what, "has no terms", "a figure"));
            }
            self.check_terms(&row.what, &row.is)?;
            row.budget.iter().try_for_each(|b| self.check_budget(&row.what, b))?;
        }
        for missing in &self.missing {
            if !self.requirements.iter().any(|r| r.what == missing.requirement) {
                let name = missing.requirement.clone();
                return Err(Trouble::Unknown { at: missing.mechanism.clone(), kind: "requirement", name });
            }
        }
        Ok(())
    }

    /// Each cell in one unit, from what there is.
    fn check_terms(&self, at: &str, terms: &[Term]) -> Result<(), Trouble> {
        let mut unit = None;
        for term in terms {
            let figure = self.figure(at, &term.figure)?;
            let of = unit_of(figure.unit, &term.times);
            if *unit.get_or_insert(of) != of {
                return Err(wrong(at, format!("adds {} to another unit", term.figure), "one unit a cell"));
            }
            if term.times.len() > MOST_TIMES {
                return Err(wrong(at, "multiplies by too many quantities", "four at most"));
            }
            term.times.iter().try_for_each(|q| self.quantity(at, q).map(drop))?;
            number(at, "factor", term.factor, 0.0, GREATEST)?;
        }
        Ok(())
    }

    fn check_budget(&self, at: &str, budget: &Budget) -> Result<(), Trouble> {
        match (&budget.quantity, &budget.figure) {
            (Some(name), None) => self.quantity(at, name).map(drop)?,
            (None, Some(name)) => self.figure(at, name).map(drop)?,
            _ => return Err(wrong(at, "has a budget of both or neither", "a quantity or a figure")),
        }
        number(at, "factor", budget.factor, 0.0, GREATEST)
    }
}

impl Figure {
    fn at(&self) -> String {
        format!("figure {}", self.name)
    }

    fn check(&self) -> Result<(), Trouble> {
        let at = self.at();
        if self.name.is_empty() || self.line.is_empty() {
            return Err(wrong(at, "has an empty name or line", "both, for whoever is told of it"));
        }
        number(&at, "base", self.base, -GREATEST, GREATEST)?;
        number(&at, "per_front", self.per_front, -GREATEST, GREATEST)?;
        number(&at, "power", self.power, 0.0, GREATEST_POWER)?;
        number(&at, "half_width", self.half_width, 0.0, GREATEST)?;
        match &self.source {
            Source::Reckoned { how } if how.trim().is_empty() => Err(wrong(
                at,
                "is reckoned, and doesn't say how",
                "the file and the constant, or the formula",
            )),
            Source::Reckoned { .. } => Ok(()),
            Source::Measured(measured) => self.check_measured(measured),
        }
    }

    fn check_measured(&self, measured: &Measured) -> Result<(), Trouble> {
        let at = self.at();
        if measured.command.trim().is_empty() {
            return Err(wrong(at, "is measured, without a command", "the command that gave it"));
        }
        let commit = &measured.commit;
        if commit.len() < 7 || !commit.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(wrong(
                at,
                format!("is measured on commit {commit:?}"),
                "the commit's hash, 7 digits at least",
            ));
        }
        if measured.seeds.is_empty() || measured.sizes.is_empty() {
            return Err(wrong(at, "is measured without sizes or seeds", "those that it was measured with"));
        }
        measured.sizes.iter().try_for_each(|&size| number(&at, "sizes", size, 0.0, GREATEST))?;
        let distinct: BTreeSet<u64> = measured.sizes.iter().map(|s| s.to_bits()).collect();
        if self.per_front != 0.0 && distinct.len() < LEAST_SIZES {
            return Err(wrong(at, format!("is a slope of {} sizes", distinct.len()), "at least four"));
        }
        number(&at, "residual", measured.residual, 0.0, GREATEST)?;
        number(&at, "margin", measured.margin, 0.0, 1.0)
    }
}

/// The file, if it isn't longer than one of figures can be.
pub(super) fn text(file: &Path) -> Result<String, Trouble> {
    let unreadable = |why| Trouble::Unreadable { file: file.into(), why };
    let bytes = std::fs::metadata(file).map_err(unreadable)?.len();
    if bytes > MOST_BYTES {
        return Err(Trouble::TooLong { file: file.into(), bytes });
    }
    std::fs::read_to_string(file).map_err(unreadable)
}

pub(super) fn expect_format(value: &serde_json::Value) -> Result<(), Trouble> {
    match value.get("format").and_then(serde_json::Value::as_u64) {
        Some(FORMAT) => Ok(()),
        Some(found) => Err(Trouble::Format { found, expected: FORMAT }),
        None => Err(wrong("the file", "has no key 'format' with a whole number", "1")),
    }
}

fn number(at: &str, key: &str, value: f64, least: f64, most: f64) -> Result<(), Trouble> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    Err(wrong(
        at,
        format!("key '{key}': is {value:e}"),
        if least < 0.0 { "a finite number" } else { "0 or more, and in reason" },
    ))
}
