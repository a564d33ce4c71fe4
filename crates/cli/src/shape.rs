//! `doorgrade shape`: a shape as a tree, a table or JSON; what of it can't be in force; what a change comes to.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};

use doorgrade_hierarchy::homes::{Home, min_moved_share, moved_share};
use doorgrade_hierarchy::shape::Member;
use doorgrade_hierarchy::{ApplyOutcome, PendingChange, PendingReason, Shape, Standing};
use doorgrade_operator::{Settings, files};
use serde_json::{Value, json};

use crate::table::columns;
use crate::{End, say};

/// The file asked for, or the one that the settings name.
pub fn file(asked: Option<PathBuf>, settings: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(file) = asked {
        return Ok(file);
    }
    let path = settings.unwrap_or(Path::new(files::DEFAULT_PATH));
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("no shape named, and {name}: {e}"))?;
    let read = Settings::read(&name, &text).map_err(|e| e.to_string())?;
    let hierarchy =
        read.hierarchy.ok_or(format!("no shape named, and {name} has no hierarchy that is on"))?;
    Ok(files::resolve(path, &hierarchy.shape))
}

/// The shape that a file comes to, and what was refused on the way.
fn read(path: &Path) -> Result<(Shape, Vec<String>), String> {
    let (mut shape, mut refused) = (Shape::new(), Vec::new());
    for change in files::shape(path).map_err(|e| e.to_string())? {
        if let ApplyOutcome::Rejected(why) = shape.apply(&change) {
            refused.push(format!("{}: {why}", change.member));
        }
    }
    Ok((shape, refused))
}

fn standing(of: Standing) -> &'static str {
    match of {
        Standing::InService => "in_service",
        Standing::Draining => "draining",
    }
}

fn why(of: &PendingReason) -> Value {
    match of {
        PendingReason::Cycle(ring) => json!({"ring": ring}),
        PendingReason::LowerTier { source, tier, own_tier } => {
            json!({"lower_tier": {"source": source, "tier": tier, "own": own_tier}})
        }
        PendingReason::NoSource(sources) => json!({"no_source": sources}),
    }
}

fn aside(of: &PendingChange) -> Value {
    let (member, incarnation, number) = (&of.member, of.incarnation, of.number);
    json!({"member": member, "incarnation": incarnation, "number": number, "why": why(&of.reason)})
}

fn object(shape: &Shape) -> Value {
    let cut_off = shape.cut_off();
    let member = |m: &Member<'_>| {
        json!({"member": m.name, "tier": m.tier, "standing": standing(m.standing), "incarnation": m.incarnation,
            "number": m.number, "fills_from": m.fills_from, "newest_in_force": m.newest_in_force,
            "reaches_archive": cut_off.binary_search(&m.name).is_err()})
    };
    let members: Vec<Value> = shape.members().iter().map(member).collect();
    let asides: Vec<Value> = shape.pending_changes().iter().map(aside).collect();
    json!({"members": members, "aside": asides, "depth": shape.depth(), "dead": shape.tombstones().0})
}

fn table(shape: &Shape) -> String {
    let head = ["member", "tier", "standing", "incarnation", "number", "fills from"].map(String::from);
    let row = |m: &Member<'_>| {
        let sources = if m.fills_from.is_empty() { "-".into() } else { m.fills_from.join(", ") };
        let mark = if m.newest_in_force { "" } else { " (not as told)" };
        vec![
            m.name.to_owned(),
            m.tier.to_string(),
            standing(m.standing).to_owned(),
            m.incarnation.to_string(),
            m.number.to_string(),
            sources + mark,
        ]
    };
    columns(&std::iter::once(head.to_vec()).chain(shape.members().iter().map(row)).collect::<Vec<_>>())
}

/// Each member below the first of its sources; the others are named behind it.
fn tree(shape: &Shape) -> String {
    let members = shape.members();
    let mut below: BTreeMap<&str, Vec<&Member<'_>>> = BTreeMap::new();
    for m in &members {
        if let Some(&above) = m.fills_from.first() {
            below.entry(above).or_default().push(m);
        }
    }
    let (mut text, none) = (String::new(), Vec::new());
    let heads = members.iter().filter(|m| m.fills_from.is_empty());
    // What is still to be drawn: the member, what stands before its line, and before those below it.
    let mut open: Vec<(&Member<'_>, String, String)> =
        heads.map(|m| (m, String::new(), String::new())).collect();
    open.reverse();
    while let Some((m, line, next)) = open.pop() {
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
            notes.push("not as told".into());
        }
        let _ = writeln!(text, "{line}{} ({})", m.name, notes.join("; "));
        let children = below.get(m.name).unwrap_or(&none);
        for (n, child) in children.iter().enumerate().rev() {
            let last = n + 1 == children.len();
            let (mark, rest) = if last { ("└─ ", "   ") } else { ("├─ ", "│  ") };
            open.push((child, format!("{next}{mark}"), format!("{next}{rest}")));
        }
    }
    text
}

/// A ring as one: each fills from the one below it, the last from the first.
fn ring(names: &[Box<str>]) -> String {
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

fn troubles(shape: &Shape, refused: &[String]) -> String {
    let mut text = String::new();
    for line in refused {
        let _ = writeln!(text, "refused: {line}");
    }
    for aside in shape.pending_changes() {
        let PendingChange { member, incarnation, number, reason: why } = &aside;
        let _ =
            writeln!(text, "not in force: change {number} of {member} (incarnation {incarnation}): {why}");
        if let PendingReason::Cycle(names) = why {
            text.push_str(&ring(names));
        }
    }
    let members = shape.members();
    let (top, cut_off) = (members.iter().map(|m| m.tier).max(), shape.cut_off());
    for m in &members {
        if m.root && Some(m.tier) != top {
            let _ = writeln!(text, "{} fills from nobody, but does not stand in the highest tier", m.name);
        } else if cut_off.binary_search(&m.name).is_ok() && m.standing == Standing::InService {
            let _ = writeln!(text, "{} is cut off from the archive", m.name);
        }
    }
    text
}

pub fn show(path: &Path, as_table: bool, as_json: bool) -> Result<End, String> {
    let (shape, refused) = read(path)?;
    if as_json {
        say(&format!("{}\n", object(&shape)))?;
    } else {
        let drawn = if as_table { table(&shape) } else { tree(&shape) };
        say(&(drawn + &troubles(&shape, &refused)))?;
    }
    Ok(End::Done)
}

pub fn check(path: &Path, as_json: bool) -> Result<End, String> {
    let (shape, refused) = read(path)?;
    let found = troubles(&shape, &refused);
    if as_json {
        let mut all = object(&shape);
        all["refused"] = json!(refused);
        all["sound"] = json!(found.is_empty());
        say(&format!("{all}\n"))?;
    } else if found.is_empty() {
        say(&format!("sound: {} members, {} deep\n", shape.len(), shape.depth()))?;
    } else {
        say(&found)?;
    }
    Ok(if found.is_empty() { End::Done } else { End::Wrong })
}

/// Members in service of each tier, as homes of one weight.
fn tiers(shape: &Shape) -> BTreeMap<u8, Vec<Home>> {
    let mut tiers: BTreeMap<u8, Vec<Home>> = BTreeMap::new();
    for m in shape.members().iter().filter(|m| m.standing == Standing::InService) {
        tiers.entry(m.tier).or_default().push(Home::named(m.name, 1.0));
    }
    tiers
}

pub fn diff(old: &Path, new: &Path, as_json: bool) -> Result<End, String> {
    let ((old, _), (new, _)) = (read(old)?, read(new)?);
    let by_name = |shape: &Shape| -> BTreeMap<String, (u8, Standing, Vec<String>)> {
        let of = |m: &Member<'_>| (m.tier, m.standing, m.fills_from.iter().map(|&s| s.to_owned()).collect());
        shape.members().iter().map(|m| (m.name.to_owned(), of(m))).collect()
    };
    let (before, after) = (by_name(&old), by_name(&new));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let describe = |(tier, stands, sources): &(u8, Standing, Vec<String>)| {
        let from = if sources.is_empty() { "nobody".into() } else { sources.join(", ") };
        format!("tier {tier}, {}, fills from {from}", standing(*stands))
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
        let told = [was, is].into_iter().flatten().map(describe).collect::<Vec<_>>().join("  ->  ");
        rows.push(vec![mark.to_owned(), name.clone(), told]);
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
        let share =
            |&(tier, moved, least): &(u8, f64, f64)| json!({"tier": tier, "moved": moved, "least": least});
        let shares: Vec<Value> = shares.iter().map(share).collect();
        say(&format!("{}\n", json!({"members": objects, "tiers": shares, "differ": differ})))?;
    } else {
        let mut text = if differ { columns(&rows) } else { "no difference\n".into() };
        for (tier, moved, least) in shares.iter().filter(|s| s.1 > 0.0) {
            let (moved, least) = (100.0 * moved, 100.0 * least);
            let _ = writeln!(
                text,
                "tier {tier}: {moved:.1}% of the objects move; {least:.1}% is the least possible"
            );
        }
        say(&text)?;
    }
    Ok(if differ { End::Differ } else { End::Done })
}
