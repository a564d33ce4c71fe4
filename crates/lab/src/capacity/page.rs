//! Renders `docs/CAPACITY.md` from its template and its data. The template holds the text, as Markdown. Tables are made
//! from the data, and text that states a figure refers to it by name: `{{ at("name") }}`.

use minijinja::{Environment, Error, ErrorKind, UndefinedBehavior, Value, context};
use serde::Serialize;

use super::arithmetic::SCALES;
use super::data::{Data, FRONTS, Failure, Figure, MeasuredProvenance, Provenance, Requirement, Role, Term};
use super::error::PageError;
use super::formatting::{format_number, format_value};

/// Prefix of a mechanism that does not exist yet.
pub const MISSING: &str = "missing:";
/// Shown where there is no figure.
const NO_FIGURE: &str = "–";

// Fields are renamed to the template's placeholders.
#[derive(Serialize)]
struct Line {
    #[serde(rename = "what")]
    description: String,
    /// The values at `SCALES`.
    #[serde(rename = "at")]
    values: [String; 3],
    budget: String,
    #[serde(rename = "left")]
    headroom: String,
    ratio: String,
    mechanism: String,
    #[serde(rename = "from")]
    basis: &'static str,
    note: String,
}

#[derive(Serialize)]
struct Limit {
    #[serde(rename = "what")]
    description: String,
    fronts: String,
    scale: f64,
    #[serde(rename = "from")]
    basis: &'static str,
}

#[derive(Serialize)]
struct Slope {
    name: String,
    #[serde(rename = "line")]
    label: String,
    slope: String,
    interval: String,
    residual: String,
    #[serde(rename = "from")]
    basis: &'static str,
    /// The command and commit, or the derivation.
    #[serde(rename = "by")]
    provenance: String,
    note: String,
}

#[derive(Serialize)]
struct Gap {
    mechanism: String,
    requirement: String,
    ratio: String,
    #[serde(rename = "often")]
    frequency: String,
    #[serde(rename = "why")]
    reason: String,
    #[serde(skip)]
    only_in_failure: bool,
    #[serde(skip)]
    factor: Option<f64>,
}

/// Returns the text of the page.
pub fn render(data: &Data, template: &str) -> Result<String, PageError> {
    let mut env = Environment::new();
    env.set_undefined_behavior(UndefinedBehavior::Strict);
    env.set_trim_blocks(true);
    env.set_lstrip_blocks(true);
    env.set_keep_trailing_newline(true);
    let figures = data.clone();
    env.add_function("at", move |name: &str, scale: Option<f64>| {
        let unknown = |e: PageError| Error::new(ErrorKind::InvalidOperation, e.to_string());
        let scale = scale.unwrap_or(1.0);
        let figure = figures.figure("the template", name).map_err(unknown)?;
        let value = figures.figure_at("the template", figure, scale).map_err(unknown)?;
        Ok::<_, Error>(format_value(value, figure.unit))
    });
    let mut requirements =
        data.requirements.iter().map(|r| requirement(data, r)).collect::<Result<Vec<_>, _>>()?;
    let roles = data.roles.iter().map(|r| role(data, r)).collect::<Result<Vec<_>, _>>()?;
    let slopes: Vec<Slope> = data.figures.iter().map(slope).collect();
    // Texts of the data may refer to figures, too.
    let expand = |text: &str| env.render_str(text, context! {});
    for requirement in &mut requirements {
        requirement.note = expand(&requirement.note)?;
    }
    let failure = |f: &Failure| {
        let (what, mechanism) = (&f.description, mechanism(&f.mechanism));
        Ok(context! { what, happens => expand(&f.effect)?, lasts => expand(&f.duration)?, mechanism })
    };
    let failures = data.failures.iter().map(failure).collect::<Result<Vec<Value>, Error>>()?;
    let mut gaps = gaps(data)?;
    for gap in &mut gaps {
        gap.reason = expand(&gap.reason)?;
    }
    let context = context! {
        requirements, roles, slopes, failures,
        limits => limits(data)?, missing => gaps,
    };
    Ok(env.render_str(template, context)?)
}

fn basis(measured: bool) -> &'static str {
    if measured { "measured" } else { "reckoned" }
}

fn values_at_scales(data: &Data, entry: &str, terms: &[Term]) -> Result<[String; 3], PageError> {
    let mut texts = [const { String::new() }; 3];
    for (text, scale) in texts.iter_mut().zip(SCALES) {
        let cell = data.cell(entry, terms, scale)?;
        *text = format_value(cell.value, cell.unit);
    }
    Ok(texts)
}

fn requirement(data: &Data, r: &Requirement) -> Result<Line, PageError> {
    let current = data.cell(&r.description, &r.current, 1.0)?;
    let allowed = r.allowed.as_ref().map(|b| data.budget(&r.description, b, 1.0)).transpose()?;
    let no_figure = r.current.is_empty();
    Ok(Line {
        description: r.description.clone(),
        values: if no_figure {
            [const { String::new() }; 3]
        } else {
            values_at_scales(data, &r.description, &r.current)?
        },
        budget: allowed.map_or(NO_FIGURE.into(), |b| format_value(b, current.unit)),
        headroom: String::new(),
        ratio: format_ratio(data.ratio(r)?),
        mechanism: mechanism(&r.mechanism),
        basis: if no_figure { "no figure" } else { basis(current.measured) },
        note: r.note.clone(),
    })
}

/// Sets off the prefix of a missing mechanism in bold.
fn mechanism(name: &str) -> String {
    name.replace(MISSING, "**missing**:")
}

/// In bold over 1, where the requirement is missed.
fn format_ratio(factor: Option<f64>) -> String {
    match factor {
        None => NO_FIGURE.into(),
        Some(factor) if factor > 1.0 => format!("**{}**", format_number(factor)),
        Some(factor) => format_number(factor),
    }
}

fn role(data: &Data, role: &Role) -> Result<Value, PageError> {
    let rows = role.rows.iter().map(|row| {
        let current = data.cell(&row.description, &row.terms, 1.0)?;
        let allowed = row.budget.as_ref().map(|b| data.budget(&row.description, b, 1.0)).transpose()?;
        let headroom = allowed.map_or("".into(), |allowed| match allowed - current.value {
            rest if rest >= 0.0 => format_value(rest, current.unit),
            excess => format!("**over by {}**", format_value(-excess, current.unit)),
        });
        Ok(Line {
            description: row.description.clone(),
            values: values_at_scales(data, &row.description, &row.terms)?,
            budget: allowed.map_or("".into(), |b| format_value(b, current.unit)),
            headroom,
            ratio: String::new(),
            mechanism: mechanism(&row.mechanism),
            basis: basis(current.measured),
            note: row.terms.iter().map(|t| format!("`{}`", t.figure)).collect::<Vec<_>>().join(", "),
        })
    });
    let rows = rows.collect::<Result<Vec<Line>, PageError>>()?;
    Ok(context! { name => role.name, about => role.about, rows })
}

/// Budgets in the order in which they are exhausted as the fleet grows.
fn limits(data: &Data) -> Result<Vec<Limit>, PageError> {
    let rows = data.roles.iter().flat_map(|role| role.rows.iter().map(move |row| (role, row)));
    let mut limits = Vec::new();
    for (role, row) in rows {
        let Some(budget) = &row.budget else { continue };
        let Some(scale) = data.exhausted_at(&row.description, &row.terms, budget)? else { continue };
        let fronts = data.quantity_at(&row.description, FRONTS, scale)?;
        let fronts = if scale <= 0.01 { "at any size".into() } else { format_number(fronts) };
        let measured = data.cell(&row.description, &row.terms, 1.0)?.measured;
        limits.push(Limit {
            description: format!("{}: {}", role.name, row.description),
            fronts,
            scale,
            basis: basis(measured),
        });
    }
    limits.sort_by(|a, b| a.scale.total_cmp(&b.scale));
    Ok(limits)
}

/// Missing mechanisms: first those that an ordinary day needs, then those that only a failure does; in each group the
/// one whose requirement is missed by the largest factor first.
fn gaps(data: &Data) -> Result<Vec<Gap>, PageError> {
    let mut gaps = Vec::new();
    for missing in &data.missing {
        let requirement = data.requirements.iter().find(|r| r.description == missing.requirement);
        let factor = requirement.map(|r| data.ratio(r)).transpose()?.flatten();
        gaps.push(Gap {
            mechanism: missing.mechanism.clone(),
            requirement: missing.requirement.clone(),
            ratio: format_ratio(factor),
            frequency: missing.frequency.clone(),
            reason: missing.reason.clone(),
            only_in_failure: missing.only_in_failure,
            factor,
        });
    }
    // The sort is stable, so equal factors keep the file's order. A gap without a factor comes last in its group.
    let order = |gap: &Gap| (gap.only_in_failure, gap.factor.unwrap_or(0.0));
    gaps.sort_by(|a, b| {
        let (a, b) = (order(a), order(b));
        a.0.cmp(&b.0).then(b.1.total_cmp(&a.1))
    });
    Ok(gaps)
}

fn slope(figure: &Figure) -> Slope {
    let each =
        if figure.variable == FRONTS { "a front".into() } else { format!("a unit of {}", figure.variable) };
    let text = match (figure.coefficient, figure.exponent) {
        (0.0, _) => format!("{}, whatever the size", format_value(figure.base, figure.unit)),
        (slope, 1.0) => {
            format!(
                "{} + {} {each}",
                format_value(figure.base, figure.unit),
                format_value(slope, figure.unit)
            )
        }
        (slope, exponent) => {
            let base = format_value(figure.base, figure.unit);
            format!(
                "{base} + {} × {}^{}",
                format_value(slope, figure.unit),
                figure.variable,
                format_number(exponent)
            )
        }
    };
    let (interval, residual, provenance, note) = match &figure.provenance {
        Provenance::Calculated { derivation } => {
            (String::new(), String::new(), derivation.clone(), String::new())
        }
        Provenance::Measured(m) => (
            interval(figure),
            format!("{}%", format_number(m.residual * 100.0)),
            describe_measurement(m),
            m.note.clone(),
        ),
    };
    Slope {
        name: figure.name.clone(),
        label: figure.label.clone(),
        slope: text,
        interval,
        residual,
        basis: basis(figure.is_measured()),
        provenance,
        note,
    }
}

fn describe_measurement(m: &MeasuredProvenance) -> String {
    let join = |all: Vec<String>| all.join(", ");
    let sizes = join(m.sizes.iter().map(|&s| format_number(s)).collect());
    let seeds = join(m.seeds.iter().map(u64::to_string).collect());
    format!("`{}` on {}; sizes {sizes}; seeds {seeds}", m.command, &m.commit)
}

/// The interval of a measured figure; a single run, or runs that were not fitted, have none.
fn interval(figure: &Figure) -> String {
    match figure.half_width {
        0.0 => "none".into(),
        half_width => format!("± {}", format_value(half_width, figure.unit)),
    }
}
