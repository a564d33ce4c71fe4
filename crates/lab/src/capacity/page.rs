//! `docs/CAPACITY.md`, rendered from its template and its data. Prose stands in the template, as Markdown; tables are
//! made from the data, and prose names figures (`{{ at("name") }}`) instead of repeating them.

use minijinja::{Environment, Error, ErrorKind, UndefinedBehavior, Value, context};
use serde::Serialize;

use super::arithmetic::SCALES;
use super::data::{Data, FRONTS, Failure, Figure, Measured, Requirement, Role, Source, Term};
use super::show::{digits, shown};
use super::trouble::Trouble;

/// What a page says of something that nothing carries.
pub const MISSING: &str = "missing:";
/// Where there is no figure.
const NONE: &str = "–";

#[derive(Serialize)]
struct Line {
    what: String,
    /// At a tenth, at the target, at ten times.
    at: [String; 3],
    budget: String,
    left: String,
    ratio: String,
    mechanism: String,
    from: &'static str,
    note: String,
}

#[derive(Serialize)]
struct Limit {
    what: String,
    fronts: String,
    scale: f64,
    from: &'static str,
}

#[derive(Serialize)]
struct Slope {
    name: String,
    line: String,
    slope: String,
    interval: String,
    residual: String,
    from: &'static str,
    /// The command and commit, or how it was reckoned.
    by: String,
    note: String,
}

#[derive(Serialize)]
struct Gap {
    mechanism: String,
    requirement: String,
    ratio: String,
    often: String,
    why: String,
    #[serde(skip)]
    trouble: bool,
    #[serde(skip)]
    factor: Option<f64>,
}

/// The page, to the last byte.
pub fn render(data: &Data, template: &str) -> Result<String, Trouble> {
    let mut env = Environment::new();
    env.set_undefined_behavior(UndefinedBehavior::Strict);
    env.set_trim_blocks(true);
    env.set_lstrip_blocks(true);
    env.set_keep_trailing_newline(true);
    let figures = data.clone();
    env.add_function("at", move |name: &str, scale: Option<f64>| {
        let unknown = |t: Trouble| Error::new(ErrorKind::InvalidOperation, t.to_string());
        let scale = scale.unwrap_or(1.0);
        let figure = figures.figure("the template", name).map_err(unknown)?;
        let value = figures.value("the template", figure, scale).map_err(unknown)?;
        Ok::<_, Error>(shown(value, figure.unit))
    });
    let mut requirements =
        data.requirements.iter().map(|r| requirement(data, r)).collect::<Result<Vec<_>, _>>()?;
    let roles = data.roles.iter().map(|r| role(data, r)).collect::<Result<Vec<_>, _>>()?;
    let slopes: Vec<Slope> = data.figures.iter().map(slope).collect();
    // Texts of the data may name figures, too.
    let told = |text: &str| env.render_str(text, context! {});
    for requirement in &mut requirements {
        requirement.note = told(&requirement.note)?;
    }
    let failure = |f: &Failure| {
        let (what, mechanism) = (&f.what, mechanism(&f.mechanism));
        Ok(context! { what, happens => told(&f.happens)?, lasts => told(&f.lasts)?, mechanism })
    };
    let failures = data.failures.iter().map(failure).collect::<Result<Vec<Value>, Error>>()?;
    let mut gaps = gaps(data)?;
    for gap in &mut gaps {
        gap.why = told(&gap.why)?;
    }
    let context = context! {
        requirements, roles, slopes, failures,
        limits => limits(data)?, missing => gaps,
    };
    Ok(env.render_str(template, context)?)
}

fn from(measured: bool) -> &'static str {
    if measured { "measured" } else { "reckoned" }
}

fn at_sizes(data: &Data, at: &str, terms: &[Term]) -> Result<[String; 3], Trouble> {
    let mut texts = [const { String::new() }; 3];
    for (text, scale) in texts.iter_mut().zip(SCALES) {
        let value = data.cell(at, terms, scale)?;
        *text = shown(value.value, value.unit);
    }
    Ok(texts)
}

fn requirement(data: &Data, r: &Requirement) -> Result<Line, Trouble> {
    let today = data.cell(&r.what, &r.today, 1.0)?;
    let allowed = r.allowed.as_ref().map(|b| data.budget(&r.what, b, 1.0)).transpose()?;
    let none = r.today.is_empty();
    Ok(Line {
        what: r.what.clone(),
        at: if none { [const { String::new() }; 3] } else { at_sizes(data, &r.what, &r.today)? },
        budget: allowed.map_or(NONE.into(), |b| shown(b, today.unit)),
        left: String::new(),
        ratio: ratio(data.ratio(r)?),
        mechanism: mechanism(&r.mechanism),
        from: if none { "no figure" } else { from(today.measured) },
        note: r.note.clone(),
    })
}

fn mechanism(name: &str) -> String {
    name.replace(MISSING, "**missing**:")
}

/// Over 1 it is missed, and stands out.
fn ratio(factor: Option<f64>) -> String {
    match factor {
        None => NONE.into(),
        Some(factor) if factor > 1.0 => format!("**{}**", digits(factor)),
        Some(factor) => digits(factor),
    }
}

fn role(data: &Data, role: &Role) -> Result<Value, Trouble> {
    let rows = role.rows.iter().map(|row| {
        let now = data.cell(&row.what, &row.is, 1.0)?;
        let allowed = row.budget.as_ref().map(|b| data.budget(&row.what, b, 1.0)).transpose()?;
        let left = allowed.map_or("".into(), |allowed| match allowed - now.value {
            left if left >= 0.0 => shown(left, now.unit),
            over => format!("**over by {}**", shown(-over, now.unit)),
        });
        Ok(Line {
            what: row.what.clone(),
            at: at_sizes(data, &row.what, &row.is)?,
            budget: allowed.map_or("".into(), |b| shown(b, now.unit)),
            left,
            ratio: String::new(),
            mechanism: mechanism(&row.mechanism),
            from: from(now.measured),
            note: row.is.iter().map(|t| format!("`{}`", t.figure)).collect::<Vec<_>>().join(", "),
        })
    });
    let rows = rows.collect::<Result<Vec<Line>, Trouble>>()?;
    Ok(context! { name => role.name, about => role.about, rows })
}

/// What is spent first as the fleet grows, the smallest fleet first.
fn limits(data: &Data) -> Result<Vec<Limit>, Trouble> {
    let rows = data.roles.iter().flat_map(|role| role.rows.iter().map(move |row| (role, row)));
    let mut limits = Vec::new();
    for (role, row) in rows {
        let Some(budget) = &row.budget else { continue };
        let Some(scale) = data.spent_at(&row.what, &row.is, budget)? else { continue };
        let fronts = data.amount(&row.what, FRONTS, scale)?;
        let fronts = if scale <= 0.01 { "at any size".into() } else { digits(fronts) };
        let measured = data.cell(&row.what, &row.is, 1.0)?.measured;
        limits.push(Limit {
            what: format!("{}: {}", role.name, row.what),
            fronts,
            scale,
            from: from(measured),
        });
    }
    limits.sort_by(|a, b| a.scale.total_cmp(&b.scale));
    Ok(limits)
}

/// The missing mechanisms, the one whose requirement is missed by most first.
fn gaps(data: &Data) -> Result<Vec<Gap>, Trouble> {
    let mut gaps = Vec::new();
    for missing in &data.missing {
        let requirement = data.requirements.iter().find(|r| r.what == missing.requirement);
        let factor = requirement.map(|r| data.ratio(r)).transpose()?.flatten();
        gaps.push(Gap {
            mechanism: missing.mechanism.clone(),
            requirement: missing.requirement.clone(),
            ratio: ratio(factor),
            often: missing.often.clone(),
            why: missing.why.clone(),
            trouble: missing.trouble,
            factor,
        });
    }
    // Equal ones keep the file's order; without a figure it can't be said to be missed by much.
    let order = |gap: &Gap| (gap.trouble, gap.factor.unwrap_or(0.0));
    gaps.sort_by(|a, b| {
        let (a, b) = (order(a), order(b));
        a.0.cmp(&b.0).then(b.1.total_cmp(&a.1))
    });
    Ok(gaps)
}

fn slope(figure: &Figure) -> Slope {
    // As the slope's text names it: 'a front', 'an instance'.
    let each = if figure.over == FRONTS { "a front".into() } else { format!("a unit of {}", figure.over) };
    let text = match (figure.per_front, figure.power) {
        (0.0, _) => format!("{}, whatever the size", shown(figure.base, figure.unit)),
        (slope, 1.0) => format!("{} + {} {each}", shown(figure.base, figure.unit), shown(slope, figure.unit)),
        (slope, power) => {
            let base = shown(figure.base, figure.unit);
            format!("{base} + {} × {}^{}", shown(slope, figure.unit), figure.over, digits(power))
        }
    };
    let (interval, residual, by, note) = match &figure.source {
        Source::Reckoned { how } => (String::new(), String::new(), how.clone(), String::new()),
        Source::Measured(m) => {
            (interval(figure), format!("{}%", digits(m.residual * 100.0)), measured_by(m), m.note.clone())
        }
    };
    Slope {
        name: figure.name.clone(),
        line: figure.line.clone(),
        slope: text,
        interval,
        residual,
        from: from(figure.measured()),
        by,
        note,
    }
}

fn measured_by(m: &Measured) -> String {
    let join = |all: Vec<String>| all.join(", ");
    let sizes = join(m.sizes.iter().map(|&s| digits(s)).collect());
    let seeds = join(m.seeds.iter().map(u64::to_string).collect());
    format!("`{}` on {}; sizes {sizes}; seeds {seeds}", m.command, &m.commit)
}

/// The interval of a measured figure. A single run, or runs that were not fitted, have none.
fn interval(figure: &Figure) -> String {
    match figure.half_width {
        0.0 => "none".into(),
        half_width => format!("± {}", shown(half_width, figure.unit)),
    }
}
