//! Lines that the service tells, for people and for scripts.

use doorgrade_versions::service::Line;
use serde_json::{Value, json};

/// Numbers as a person lists them.
fn listed(changes: &[u64]) -> String {
    let numbers: Vec<String> = changes.iter().map(u64::to_string).collect();
    let word = if numbers.len() == 1 { "change" } else { "changes" };
    format!("{word} {}", numbers.join(", "))
}

pub fn line_text(line: &Line) -> String {
    match line {
        Line::Wave { id, wave, of, fronts } => format!("version {id}: wave {wave} of {of}, {fronts} fronts"),
        Line::Stopped { id, why } => format!("version {id}: stopped: {why}"),
        Line::Everywhere(id) => format!("version {id}: is everyone's now"),
        Line::TurnedDown { front, id, why } => format!("version {id}: turned down by {front}: {why}"),
        Line::Lies { front, id } => format!("{front} says that it runs {id}, which can't be"),
        Line::NewEpoch { epoch, because } => {
            format!("epoch {epoch} is opened: {because} is run, and not known here")
        }
        Line::Superseded { by } => format!("a service of epoch {by} is about: nothing is offered"),
        Line::Trial { stage, changes, fronts } => {
            format!("{}: on trial, {}, {fronts} fronts", listed(changes), stage.name())
        }
        Line::TakenOut { change, why } => format!("change {change}: taken out: {why}"),
        Line::InForce(id) => format!("version {id}: in force"),
        Line::UnderWatch { changes } => {
            format!("service has fallen since {} came: some fronts run without each, to see", listed(changes))
        }
        Line::WentOnUnproven { change } => format!("change {change}: too few accesses; it goes on unproven"),
    }
}

pub fn line_json(line: &Line) -> Value {
    match line {
        Line::Wave { id, wave, of, fronts } => {
            json!({"wave": {"version": id.to_string(), "wave": wave, "of": of, "fronts": fronts}})
        }
        Line::Stopped { id, why } => json!({"stopped": {"version": id.to_string(), "why": why.to_string()}}),
        Line::Everywhere(id) => json!({"everywhere": {"version": id.to_string()}}),
        Line::TurnedDown { front, id, why } => {
            json!({"turned_down": {"front": front, "version": id.to_string(), "why": why.to_string()}})
        }
        Line::Lies { front, id } => json!({"untrue": {"front": front, "version": id.to_string()}}),
        Line::NewEpoch { epoch, because } => {
            json!({"new_epoch": {"epoch": epoch, "because": because.to_string()}})
        }
        Line::Superseded { by } => json!({"superseded": {"epoch": by}}),
        Line::Trial { stage, changes, fronts } => {
            json!({"trial": {"stage": stage.name(), "changes": changes, "fronts": fronts}})
        }
        Line::TakenOut { change, why } => json!({"taken_out": {"change": change, "why": why.to_string()}}),
        Line::InForce(id) => json!({"in_force": {"version": id.to_string()}}),
        Line::UnderWatch { changes } => json!({"under_watch": {"changes": changes}}),
        Line::WentOnUnproven { change } => json!({"unproven": {"change": change}}),
    }
}
