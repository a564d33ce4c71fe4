//! `doorgrade shape`: shows a shape as a tree, a table or JSON, checks it, and compares two shapes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};

use doorgrade_hierarchy::homes::{Home, min_moved_share, moved_share};
use doorgrade_hierarchy::shape::Member;
use doorgrade_hierarchy::{ApplyOutcome, PendingChange, PendingReason, Shape, Standing};
use doorgrade_operator::{Settings, files};
use serde_json::{Value, json};

use crate::table::format_table;
use crate::{Outcome, write_stdout};

/// The file given, or the one named in the settings.
pub fn file(given: Option<PathBuf>, settings: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(file) = given {
        return Ok(file);
    }
    let path = settings.unwrap_or(Path::new(files::DEFAULT_PATH));
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("no shape given, and {name}: {e}"))?;
    let settings = Settings::read(&name, &text).map_err(|e| e.to_string())?;
    let hierarchy =
        settings.hierarchy.ok_or(format!("no shape given, and the hierarchy is off in {name}"))?;
    Ok(files::resolve(path, &hierarchy.shape))
}

/// Applies the changes of a file; the resulting shape, and the changes that were rejected.
fn read(path: &Path) -> Result<(Shape, Vec<String>), String> {
    let (mut shape, mut rejected) = (Shape::new(), Vec::new());
    for change in files::shape(path).map_err(|e| e.to_string())? {
        if let ApplyOutcome::Rejected(reason) = shape.apply(&change) {
            rejected.push(format!("{}: {reason}", change.member));
        }
    }
    Ok((shape, rejected))
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::InService => "in_service",
        Standing::Draining => "draining",
    }
}

fn reason_json(reason: &PendingReason) -> Value {
    match reason {
        PendingReason::Cycle(cycle) => json!({"ring": cycle}),
        PendingReason::LowerTier { source, tier, own_tier } => {
            json!({"lower_tier": {"source": source, "tier": tier, "own": own_tier}})
        }
        PendingReason::NoSource(sources) => json!({"no_source": sources}),
    }
}

fn pending_json(change: &PendingChange) -> Value {
    let (member, incarnation, number) = (&change.member, change.incarnation, change.number);
    json!({"member": member, "incarnation": incarnation, "number": number, "why": reason_json(&change.reason)})
}

fn object(shape: &Shape) -> Value {
    let cut_off = shape.cut_off();
    let member = |m: &Member<'_>| {
        json!({"member": m.name, "tier": m.tier, "standing": standing(m.standing), "incarnation": m.incarnation,
            "number": m.number, "fills_from": m.fills_from, "newest_in_force": m.newest_in_force,
            "reaches_archive": cut_off.binary_search(&m.name).is_err()})
    };
    let members: Vec<Value> = shape.members().iter().map(member).collect();
    let pending: Vec<Value> = shape.pending_changes().iter().map(pending_json).collect();
    json!({"members": members, "aside": pending, "depth": shape.depth(), "dead": shape.tombstones().0})
}

fn table(shape: &Shape) -> String {
    let head = ["member", "tier", "standing", "incarnation", "number", "fills from"].map(String::from);
    let row = |m: &Member<'_>| {
        let sources = if m.fills_from.is_empty() { "-".into() } else { m.fills_from.join(", ") };
        let mark = if m.newest_in_force { "" } else { " (newest change pending)" };
        vec![
            m.name.to_owned(),
            m.tier.to_string(),
            standing(m.standing).to_owned(),
            m.incarnation.to_string(),
            m.number.to_string(),
            sources + mark,
        ]
    };
    format_table(&std::iter::once(head.to_vec()).chain(shape.members().iter().map(row)).collect::<Vec<_>>())
}

/// A tree: each member below the first of its sources, with its other sources in a note.
fn tree(shape: &Shape) -> String {
    let members = shape.members();
    let mut below: BTreeMap<&str, Vec<&Member<'_>>> = BTreeMap::new();
    for m in &members {
        if let Some(&source) = m.fills_from.first() {
            below.entry(source).or_default().push(m);
        }
    }
    let (mut text, none) = (String::new(), Vec::new());
    let roots = members.iter().filter(|m| m.fills_from.is_empty());
    // Members still to be drawn, each with the prefix of its line and the prefix of its children's lines.
    let mut stack: Vec<(&Member<'_>, String, String)> =
        roots.map(|m| (m, String::new(), String::new())).collect();
    stack.reverse();
    while let Some((m, prefix, child_prefix)) = stack.pop() {
        let mut notes = vec![format!("tier {}", m.tier)];
        if m.standing != Standing::InService {
            notes.push(standing(m.standing).into());
        }
        if m.fills_from.len() > 1 {
            notes.push(format!("also from {}", m.fills_from[1..].join(", ")));
        }
        if m.fills_from.is_empty() && !m.root {
            notes.push("cut off from its sources".into());
        } else if !m.newest_in_force {
            notes.push("newest change pending".into());
        }
        let _ = writeln!(text, "{prefix}{} ({})", m.name, notes.join("; "));
        let children = below.get(m.name).unwrap_or(&none);
        for (n, child) in children.iter().enumerate().rev() {
            let last = n + 1 == children.len();
            let (mark, rest) = if last { ("└─ ", "   ") } else { ("├─ ", "│  ") };
            stack.push((child, format!("{child_prefix}{mark}"), format!("{child_prefix}{rest}")));
        }
    }
    text
}

/// Draws a cycle as a ring: each member fills from the one below it, the last from the first.
fn cycle_drawing(names: &[Box<str>]) -> String {
    let mut text = String::new();
    for (n, name) in names.iter().enumerate() {
        let mark = match n {
            0 => "┌→",
            n if n + 1 == names.len() => "└─",
            _ => "│ ",
        };
        let _ = writeln!(
            text,
            "    {mark} {name}{}",
            if n + 1 < names.len() { "  fills from" } else { "  fills from the first" }
        );
    }
    text
}

fn problems(shape: &Shape, rejected: &[String]) -> String {
    let mut text = String::new();
    for line in rejected {
        let _ = writeln!(text, "rejected: {line}");
    }
    for change in shape.pending_changes() {
        let PendingChange { member, incarnation, number, reason } = &change;
        let _ =
            writeln!(text, "not in force: change {number} of {member} (incarnation {incarnation}): {reason}");
        if let PendingReason::Cycle(names) = reason {
            text.push_str(&cycle_drawing(names));
        }
    }
    let members = shape.members();
    let (top, cut_off) = (members.iter().map(|m| m.tier).max(), shape.cut_off());
    for m in &members {
        if m.root && Some(m.tier) != top {
            let _ = writeln!(text, "{} has no source, but is not in the highest tier", m.name);
        } else if cut_off.binary_search(&m.name).is_ok() && m.standing == Standing::InService {
            let _ = writeln!(text, "{} is cut off from the archive", m.name);
        }
    }
    text
}

pub fn show(path: &Path, as_table: bool, as_json: bool) -> Result<Outcome, String> {
    let (shape, rejected) = read(path)?;
    if as_json {
        write_stdout(&format!("{}\n", object(&shape)))?;
    } else {
        let drawing = if as_table { table(&shape) } else { tree(&shape) };
        write_stdout(&(drawing + &problems(&shape, &rejected)))?;
    }
    Ok(Outcome::Done)
}

pub fn check(path: &Path, as_json: bool) -> Result<Outcome, String> {
    let (shape, rejected) = read(path)?;
    let problems = problems(&shape, &rejected);
    if as_json {
        let mut all = object(&shape);
        all["refused"] = json!(rejected);
        all["sound"] = json!(problems.is_empty());
        write_stdout(&format!("{all}\n"))?;
    } else if problems.is_empty() {
        write_stdout(&format!("sound: {} members, {} deep\n", shape.len(), shape.depth()))?;
    } else {
        write_stdout(&problems)?;
    }
    Ok(if problems.is_empty() { Outcome::Done } else { Outcome::ProblemsFound })
}

/// The members in service of each tier, as homes of equal weight.
fn tiers(shape: &Shape) -> BTreeMap<u8, Vec<Home>> {
    let mut tiers: BTreeMap<u8, Vec<Home>> = BTreeMap::new();
    for m in shape.members().iter().filter(|m| m.standing == Standing::InService) {
        tiers.entry(m.tier).or_default().push(Home::named(m.name, 1.0));
    }
    tiers
}

pub fn diff(old: &Path, new: &Path, as_json: bool) -> Result<Outcome, String> {
    let ((old, _), (new, _)) = (read(old)?, read(new)?);
    let by_name = |shape: &Shape| -> BTreeMap<String, (u8, Standing, Vec<String>)> {
        let properties =
            |m: &Member<'_>| (m.tier, m.standing, m.fills_from.iter().map(|&s| s.to_owned()).collect());
        shape.members().iter().map(|m| (m.name.to_owned(), properties(m))).collect()
    };
    let (before, after) = (by_name(&old), by_name(&new));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let describe = |(tier, state, sources): &(u8, Standing, Vec<String>)| {
        let from = if sources.is_empty() { "nobody".into() } else { sources.join(", ") };
        format!("tier {tier}, {}, fills from {from}", standing(*state))
    };
    let (mut rows, mut objects) = (Vec::new(), Vec::new());
    for name in names {
        let (was, is) = (before.get(name), after.get(name));
        if was == is {
            continue;
        }
        let mark = if was.is_none() {
            "+"
        } else if is.is_none() {
            "-"
        } else {
            "~"
        };
        let change = [was, is].into_iter().flatten().map(describe).collect::<Vec<_>>().join("  ->  ");
        rows.push(vec![mark.to_owned(), name.clone(), change]);
        objects.push(json!({"member": name, "before": was.map(describe), "after": is.map(describe)}));
    }
    let (was, is) = (tiers(&old), tiers(&new));
    let (mut shares, none) = (Vec::new(), Vec::new());
    for tier in was.keys().chain(is.keys()).collect::<BTreeSet<_>>() {
        let (a, b) = (was.get(tier).unwrap_or(&none), is.get(tier).unwrap_or(&none));
        shares.push((*tier, moved_share(a, b), min_moved_share(a, b)));
    }
    let differ = !rows.is_empty();
    if as_json {
        let share = |&(tier, moved, min_moved): &(u8, f64, f64)| json!({"tier": tier, "moved": moved, "least": min_moved});
        let shares: Vec<Value> = shares.iter().map(share).collect();
        write_stdout(&format!("{}\n", json!({"members": objects, "tiers": shares, "differ": differ})))?;
    } else {
        let mut text = if differ { format_table(&rows) } else { "no difference\n".into() };
        for (tier, moved, min_moved) in shares.iter().filter(|s| s.1 > 0.0) {
            let (moved, min_moved) = (100.0 * moved, 100.0 * min_moved);
            let _ = writeln!(
                text,
                "tier {tier}: {moved:.1}% of the objects move; {min_moved:.1}% is the least possible"
            );
        }
        write_stdout(&text)?;
    }
    Ok(if differ { Outcome::Differ } else { Outcome::Done })
}
