//! Lines that the service tells, for people and for scripts.

use doorgrade_versions::service::LogEvent;
use serde_json::{Value, json};

/// Numbers as a person lists them.
fn listed(changes: &[u64]) -> String {
    let numbers: Vec<String> = changes.iter().map(u64::to_string).collect();
    let word = if numbers.len() == 1 { "change" } else { "changes" };
    format!("{word} {}", numbers.join(", "))
}

pub fn line_text(line: &LogEvent) -> String {
    match line {
        LogEvent::WaveStarted { id, wave, of, fronts } => {
            format!("version {id}: wave {wave} of {of}, {fronts} fronts")
        }
        LogEvent::Stopped { id, reason: why } => format!("version {id}: stopped: {why}"),
        LogEvent::Everywhere(id) => format!("version {id}: is everyone's now"),
        LogEvent::Rejected { front, id, reason: why } => {
            format!("version {id}: turned down by {front}: {why}")
        }
        LogEvent::FalseClaim { front, id } => format!("{front} says that it runs {id}, which can't be"),
        LogEvent::NewEpoch { epoch, because } => {
            format!("epoch {epoch} is opened: {because} is run, and not known here")
        }
        LogEvent::Superseded { by } => format!("a service of epoch {by} is about: nothing is offered"),
        LogEvent::StageStarted { stage, changes, fronts } => {
            format!("{}: on trial, {}, {fronts} fronts", listed(changes), stage.name())
        }
        LogEvent::ChangeRemoved { change, reason: why } => format!("change {change}: taken out: {why}"),
        LogEvent::InForce(id) => format!("version {id}: in force"),
        LogEvent::UnderObservation { changes } => {
            format!("service has fallen since {} came: some fronts run without each, to see", listed(changes))
        }
        LogEvent::ContinuedUnproven { change } => {
            format!("change {change}: too few accesses; it goes on unproven")
        }
    }
}

pub fn line_json(line: &LogEvent) -> Value {
    match line {
        LogEvent::WaveStarted { id, wave, of, fronts } => {
            json!({"wave": {"version": id.to_string(), "wave": wave, "of": of, "fronts": fronts}})
        }
        LogEvent::Stopped { id, reason: why } => {
            json!({"stopped": {"version": id.to_string(), "why": why.to_string()}})
        }
        LogEvent::Everywhere(id) => json!({"everywhere": {"version": id.to_string()}}),
        LogEvent::Rejected { front, id, reason: why } => {
            json!({"turned_down": {"front": front, "version": id.to_string(), "why": why.to_string()}})
        }
        LogEvent::FalseClaim { front, id } => {
            json!({"untrue": {"front": front, "version": id.to_string()}})
        }
        LogEvent::NewEpoch { epoch, because } => {
            json!({"new_epoch": {"epoch": epoch, "because": because.to_string()}})
        }
        LogEvent::Superseded { by } => json!({"superseded": {"epoch": by}}),
        LogEvent::StageStarted { stage, changes, fronts } => {
            json!({"trial": {"stage": stage.name(), "changes": changes, "fronts": fronts}})
        }
        LogEvent::ChangeRemoved { change, reason: why } => {
            json!({"taken_out": {"change": change, "why": why.to_string()}})
        }
        LogEvent::InForce(id) => json!({"in_force": {"version": id.to_string()}}),
        LogEvent::UnderObservation { changes } => json!({"under_watch": {"changes": changes}}),
        LogEvent::ContinuedUnproven { change } => json!({"unproven": {"change": change}}),
    }
}
