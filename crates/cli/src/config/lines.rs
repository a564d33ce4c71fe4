//! The service's log events as text and as JSON.

use doorgrade_versions::service::LogEvent;
use serde_json::{Value, json};

/// "change 3" or "changes 3, 4".
fn change_list(changes: &[u64]) -> String {
    let numbers: Vec<String> = changes.iter().map(u64::to_string).collect();
    let noun = if numbers.len() == 1 { "change" } else { "changes" };
    format!("{noun} {}", numbers.join(", "))
}

pub fn event_text(event: &LogEvent) -> String {
    match event {
        LogEvent::WaveStarted { id, wave, of, fronts } => {
            format!("version {id}: wave {wave} of {of}, {fronts} fronts")
        }
        LogEvent::Stopped { id, reason } => format!("version {id}: stopped: {reason}"),
        LogEvent::Everywhere(id) => format!("version {id}: rollout complete"),
        LogEvent::Rejected { front, id, reason } => {
            format!("version {id}: rejected by {front}: {reason}")
        }
        LogEvent::FalseClaim { front, id } => format!("{front} claims to run {id}, which is impossible"),
        LogEvent::NewEpoch { epoch, because } => {
            format!("epoch {epoch} started: {because} is running but unknown here")
        }
        LogEvent::Superseded { by } => {
            format!("a service of the later epoch {by} exists: no versions are offered")
        }
        LogEvent::StageStarted { stage, changes, fronts } => {
            format!("{}: trial stage {} on {fronts} fronts", change_list(changes), stage.name())
        }
        LogEvent::ChangeRemoved { change, reason } => format!("change {change}: removed: {reason}"),
        LogEvent::InForce(id) => format!("version {id}: in force"),
        LogEvent::UnderObservation { changes } => {
            format!(
                "service level dropped since {}: some fronts run without each, to find the cause",
                change_list(changes)
            )
        }
        LogEvent::ContinuedUnproven { change } => {
            format!("change {change}: too few accesses to judge; continues unproven")
        }
    }
}

pub fn event_json(event: &LogEvent) -> Value {
    match event {
        LogEvent::WaveStarted { id, wave, of, fronts } => {
            json!({"wave": {"version": id.to_string(), "wave": wave, "of": of, "fronts": fronts}})
        }
        LogEvent::Stopped { id, reason } => {
            json!({"stopped": {"version": id.to_string(), "why": reason.to_string()}})
        }
        LogEvent::Everywhere(id) => json!({"everywhere": {"version": id.to_string()}}),
        LogEvent::Rejected { front, id, reason } => {
            json!({"turned_down": {"front": front, "version": id.to_string(), "why": reason.to_string()}})
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
        LogEvent::ChangeRemoved { change, reason } => {
            json!({"taken_out": {"change": change, "why": reason.to_string()}})
        }
        LogEvent::InForce(id) => json!({"in_force": {"version": id.to_string()}}),
        LogEvent::UnderObservation { changes } => json!({"under_watch": {"changes": changes}}),
        LogEvent::ContinuedUnproven { change } => json!({"unproven": {"change": change}}),
    }
}
