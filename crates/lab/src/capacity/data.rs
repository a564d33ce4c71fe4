//! The data file of `docs/CAPACITY.md`: figures with their provenance, and the tables that the page makes of them.
//!
//! A *figure* is one quantity as a function of the number of fronts. It is measured (by a command on a commit, at some
//! sizes) or calculated (by a derivation). A *cell* of the page is a sum of figures, each multiplied by quantities of
//! the target, so that it can be calculated for other sizes than the target's. Errors name the entry that is invalid.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Deserialize;

use super::arithmetic::multiplied_unit;
use super::error::{PageError, invalid};

/// Format of the data file; others are rejected.
pub const FORMAT: u64 = 1;
/// Longer files are not read. A page's figures take some 50 KB.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// Distinct sizes that a slope is measured on.
pub const MIN_SIZES: usize = 4;
/// No count, byte or second on the page comes near it, and sums and products stay finite below it.
const MAX_VALUE: f64 = 1e18;
/// A greater exponent is a mistake in a fit.
const MAX_EXPONENT: f64 = 4.0;
/// Quantities that one term may be multiplied by.
const MAX_MULTIPLIERS: usize = 4;
/// The quantity that figures are functions of by default.
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
    pub missing: Vec<MissingMechanism>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quantity {
    pub value: f64,
    /// Whether it is proportional to the size of the fleet.
    #[serde(rename = "grows")]
    pub scales_with_fleet: bool,
    /// For readers of the file.
    #[serde(rename = "what")]
    pub description: String,
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
    /// Processor time as a share of one core.
    Core,
    Share,
}

/// One quantity as a function of the number of fronts, or of another quantity:
/// `base + coefficient * variable ^ exponent`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    pub name: String,
    /// Name of its line on the page, for reports that contradict it.
    #[serde(rename = "line")]
    pub label: String,
    #[serde(default)]
    pub unit: Unit,
    /// Name of the quantity that it is a function of.
    #[serde(rename = "over", default = "fronts")]
    pub variable: String,
    pub base: f64,
    #[serde(rename = "per_front", default)]
    pub coefficient: f64,
    #[serde(rename = "power", default = "one")]
    pub exponent: f64,
    /// Half the width of the 95% interval at the target's size, in the figure's unit.
    #[serde(default)]
    pub half_width: f64,
    #[serde(rename = "source")]
    pub provenance: Provenance,
}

fn fronts() -> String {
    FRONTS.into()
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Provenance {
    Measured(MeasuredProvenance),
    /// From a constant in the code, named with its file, or by a formula.
    #[serde(rename = "reckoned")]
    Calculated {
        #[serde(rename = "how")]
        derivation: String,
    },
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuredProvenance {
    pub command: String,
    pub commit: String,
    /// Numbers of fronts; a single one for a figure that is not a function of them.
    pub sizes: Vec<f64>,
    pub seeds: Vec<u64>,
    /// The greatest difference between a size's mean and the fit, as a share of the mean.
    #[serde(default)]
    pub residual: f64,
    /// The share by which a later run may differ, beyond the interval, before the line is out of date.
    pub margin: f64,
    /// What the measurement does not cover, or other remarks.
    #[serde(default)]
    pub note: String,
}

/// One addend of a cell.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    pub figure: String,
    /// Names of the quantities that it is multiplied by.
    #[serde(rename = "times", default)]
    pub multipliers: Vec<String>,
    #[serde(default = "one")]
    pub factor: f64,
}

/// The limit of a cell. It has either a quantity, which may scale with the fleet, or a figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
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
    /// In the words of the target.
    #[serde(rename = "what")]
    pub description: String,
    /// The current value; empty where there is nothing to measure, which the note then explains.
    #[serde(rename = "today", default)]
    pub current: Vec<Term>,
    /// The maximum, or with `is_minimum` the minimum; none where the target has no figure.
    #[serde(default)]
    pub allowed: Option<Budget>,
    #[serde(rename = "at_least", default)]
    pub is_minimum: bool,
    #[serde(default)]
    pub note: String,
    /// The mechanism that meets it; begins with "missing:" where there is none.
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
    /// The resource: state, messages with their link, processor time or memory.
    #[serde(rename = "what")]
    pub description: String,
    #[serde(rename = "is")]
    pub terms: Vec<Term>,
    #[serde(default)]
    pub budget: Option<Budget>,
    pub mechanism: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    #[serde(rename = "what")]
    pub description: String,
    #[serde(rename = "happens")]
    pub effect: String,
    #[serde(rename = "lasts")]
    pub duration: String,
    pub mechanism: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingMechanism {
    pub mechanism: String,
    /// Description of the requirement that it is needed for.
    pub requirement: String,
    /// How often the requirement is missed.
    #[serde(rename = "often")]
    pub frequency: String,
    /// Whether the requirement is missed only during a failure.
    #[serde(rename = "trouble", default)]
    pub only_in_failure: bool,
    #[serde(rename = "why")]
    pub reason: String,
}

impl Data {
    pub fn load(file: &Path) -> Result<Data, PageError> {
        Data::parse(&read_file(file)?)
    }

    pub fn parse(text: &str) -> Result<Data, PageError> {
        // The format is checked first: a newer file may have other keys, and its error should name the format.
        check_format(&serde_json::from_str(text)?)?;
        let data: Data = serde_json::from_str(text)?;
        data.check()?;
        Ok(data)
    }

    pub fn figure(&self, entry: &str, name: &str) -> Result<&Figure, PageError> {
        let found = self.figures.iter().find(|f| f.name == name);
        found.ok_or_else(|| PageError::Unknown { entry: entry.into(), kind: "figure", name: name.into() })
    }

    pub fn quantity(&self, entry: &str, name: &str) -> Result<&Quantity, PageError> {
        let found = self.quantities.get(name);
        found.ok_or_else(|| PageError::Unknown { entry: entry.into(), kind: "quantity", name: name.into() })
    }

    fn check(&self) -> Result<(), PageError> {
        for (name, quantity) in &self.quantities {
            check_number(&format!("quantity {name}"), "value", quantity.value, 0.0, MAX_VALUE)?;
        }
        self.quantity("the file", FRONTS)?;
        let mut names = BTreeSet::new();
        for figure in &self.figures {
            figure.check()?;
            self.quantity(&figure.entry_name(), &figure.variable)?;
            if !names.insert(&figure.name) {
                return Err(invalid(figure.entry_name(), "is defined twice", "one entry for each name"));
            }
        }
        for r in &self.requirements {
            if r.current.is_empty() && r.note.is_empty() {
                return Err(invalid(&r.description, "has neither a figure nor a note", "one of them"));
            }
            self.check_terms(&r.description, &r.current)?;
            r.allowed.iter().try_for_each(|b| self.check_budget(&r.description, b))?;
        }
        for row in self.roles.iter().flat_map(|r| &r.rows) {
            if row.terms.is_empty() {
                return Err(invalid(&row.description, "has no terms", "a figure"));
            }
            self.check_terms(&row.description, &row.terms)?;
            row.budget.iter().try_for_each(|b| self.check_budget(&row.description, b))?;
        }
        for missing in &self.missing {
            if !self.requirements.iter().any(|r| r.description == missing.requirement) {
                let name = missing.requirement.clone();
                return Err(PageError::Unknown {
                    entry: missing.mechanism.clone(),
                    kind: "requirement",
                    name,
                });
            }
        }
        Ok(())
    }

    /// Checks that the terms name existing entries and have one unit.
    fn check_terms(&self, entry: &str, terms: &[Term]) -> Result<(), PageError> {
        let mut cell_unit = None;
        for term in terms {
            let figure = self.figure(entry, &term.figure)?;
            let unit = multiplied_unit(figure.unit, &term.multipliers);
            if *cell_unit.get_or_insert(unit) != unit {
                return Err(invalid(
                    entry,
                    format!("adds {} to another unit", term.figure),
                    "one unit a cell",
                ));
            }
            if term.multipliers.len() > MAX_MULTIPLIERS {
                return Err(invalid(entry, "multiplies by too many quantities", "four at most"));
            }
            term.multipliers.iter().try_for_each(|q| self.quantity(entry, q).map(drop))?;
            check_number(entry, "factor", term.factor, 0.0, MAX_VALUE)?;
        }
        Ok(())
    }

    fn check_budget(&self, entry: &str, budget: &Budget) -> Result<(), PageError> {
        match (&budget.quantity, &budget.figure) {
            (Some(name), None) => self.quantity(entry, name).map(drop)?,
            (None, Some(name)) => self.figure(entry, name).map(drop)?,
            _ => return Err(invalid(entry, "has a budget of both or neither", "a quantity or a figure")),
        }
        check_number(entry, "factor", budget.factor, 0.0, MAX_VALUE)
    }
}

impl Figure {
    /// As errors name it.
    fn entry_name(&self) -> String {
        format!("figure {}", self.name)
    }

    fn check(&self) -> Result<(), PageError> {
        let entry = self.entry_name();
        if self.name.is_empty() || self.label.is_empty() {
            return Err(invalid(entry, "has an empty name or line", "both, for reports that name it"));
        }
        check_number(&entry, "base", self.base, -MAX_VALUE, MAX_VALUE)?;
        check_number(&entry, "per_front", self.coefficient, -MAX_VALUE, MAX_VALUE)?;
        check_number(&entry, "power", self.exponent, 0.0, MAX_EXPONENT)?;
        check_number(&entry, "half_width", self.half_width, 0.0, MAX_VALUE)?;
        match &self.provenance {
            Provenance::Calculated { derivation } if derivation.trim().is_empty() => Err(invalid(
                entry,
                "is reckoned, and its 'how' is empty",
                "the file and the constant, or the formula",
            )),
            Provenance::Calculated { .. } => Ok(()),
            Provenance::Measured(measured) => self.check_measured(measured),
        }
    }

    fn check_measured(&self, measured: &MeasuredProvenance) -> Result<(), PageError> {
        let entry = self.entry_name();
        if measured.command.trim().is_empty() {
            return Err(invalid(entry, "is measured, and its 'command' is empty", "the command"));
        }
        let commit = &measured.commit;
        if commit.len() < 7 || !commit.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid(entry, format!("is measured on commit {commit:?}"), "7 or more hex digits"));
        }
        if measured.seeds.is_empty() || measured.sizes.is_empty() {
            return Err(invalid(entry, "is measured without sizes or seeds", "both"));
        }
        measured.sizes.iter().try_for_each(|&size| check_number(&entry, "sizes", size, 0.0, MAX_VALUE))?;
        let distinct: BTreeSet<u64> = measured.sizes.iter().map(|s| s.to_bits()).collect();
        if self.coefficient != 0.0 && distinct.len() < MIN_SIZES {
            return Err(invalid(entry, format!("is a slope of {} sizes", distinct.len()), "at least four"));
        }
        check_number(&entry, "residual", measured.residual, 0.0, MAX_VALUE)?;
        check_number(&entry, "margin", measured.margin, 0.0, 1.0)
    }
}

/// Reads a file of at most `MAX_FILE_BYTES`.
pub(super) fn read_file(file: &Path) -> Result<String, PageError> {
    let unreadable = |reason| PageError::Unreadable { file: file.into(), reason };
    let bytes = std::fs::metadata(file).map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(PageError::TooLong { file: file.into(), bytes });
    }
    std::fs::read_to_string(file).map_err(unreadable)
}

pub(super) fn check_format(value: &serde_json::Value) -> Result<(), PageError> {
    match value.get("format").and_then(serde_json::Value::as_u64) {
        Some(FORMAT) => Ok(()),
        Some(found) => Err(PageError::Format { found, expected: FORMAT }),
        None => Err(invalid("the file", "has no key 'format' with a whole number", "1")),
    }
}

fn check_number(entry: &str, key: &str, value: f64, min: f64, max: f64) -> Result<(), PageError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid(
        entry,
        format!("key '{key}': is {value:e}"),
        if min < 0.0 { "a finite number below 1e18" } else { "0 or more, and no impossible size" },
    ))
}
