//! The service's status, history and changes, as tables or JSON.

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_stream::clock::now;
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{
    ChangeRow, ChangeState, Filter, FrontRow, FrontState, Progress, Request, Response, Totals,
};
use serde_json::{Value, json};

use super::{change_rows, response_error, totals};
use crate::table::format_table;
use crate::{Outcome, write_stdout};

fn ago(at: u64) -> String {
    match now().saturating_sub(at) / 10_000 {
        seconds @ 0..120 => format!("{seconds} s ago"),
        seconds @ 120..7_200 => format!("{} min ago", seconds / 60),
        seconds @ 7_200..172_800 => format!("{} h ago", seconds / 3_600),
        seconds => format!("{} days ago", seconds / 86_400),
    }
}

pub async fn history(client: &mut OperatorClient, json: bool) -> Result<Outcome, String> {
    let (mut versions, mut below) = (Vec::new(), u64::MAX);
    loop {
        let page = match client.request(&Request::History { below }).await? {
            Response::History(page) => page,
            other => return Err(response_error(other)),
        };
        let Some(last) = page.last() else { break };
        below = last.id.number;
        versions.extend(page);
    }
    if json {
        let version_json = |p: &doorgrade_versions::service::VersionSummary| {
            json!({"version": p.id.to_string(), "number": p.id.number, "epoch": p.id.epoch, "bytes": p.bytes,
                "at_ms": p.published_at / 10, "note": p.note})
        };
        let versions: Vec<Value> = versions.iter().map(version_json).collect();
        return write_stdout(&format!("{}\n", json!({"versions": versions}))).map(|()| Outcome::Done);
    }
    let mut rows = vec![["number", "published", "bytes", "hash", "note"].map(str::to_owned).to_vec()];
    for p in &versions {
        let hash = p.id.to_string().rsplit('-').next().unwrap_or_default().to_owned();
        rows.push(vec![
            p.id.number.to_string(),
            ago(p.published_at),
            p.bytes.to_string(),
            hash,
            p.note.to_string(),
        ]);
    }
    write_stdout(&format_table(&rows)).map(|()| Outcome::Done)
}

fn version_text(version: Option<VersionId>) -> String {
    version.map_or("its own file".into(), |id| id.to_string())
}

fn state(state: &FrontState) -> String {
    match state {
        FrontState::Current => "current".into(),
        FrontState::Offered => "offered".into(),
        FrontState::Rejected(reason) => format!("turned down: {reason}"),
        FrontState::TimedOut => "missing".into(),
        FrontState::Waiting => "waiting".into(),
    }
}

fn publication(p: &Progress) -> Value {
    let Progress { id, wave, offered, running, rejected, timed_out, stopped } = p;
    json!({"version": id.to_string(), "wave": wave, "went": offered, "runs": running, "refused": rejected,
        "missing": timed_out, "stopped": stopped.as_ref().map(ToString::to_string)})
}

fn row_json(r: &FrontRow) -> Value {
    json!({"front": r.front, "station": r.station, "connected": r.connected, "heard_ms": r.last_seen / 10,
        "version": r.running.map(|id| id.to_string()), "stored": r.stored, "goal": r.target.map(|id| id.to_string()),
        "state": state(&r.state), "untrue": r.false_claim, "serves": r.service_level, "seal_key": r.seal_key})
}

fn totals_json(t: &Totals) -> Value {
    let running: Vec<Value> = t
        .running
        .iter()
        .map(|(id, n)| json!({"version": id.map(|id| id.to_string()), "fronts": n}))
        .collect();
    let seal_keys: Vec<Value> = t.seal_keys.iter().map(|(key, n)| json!({"key": key, "fronts": n})).collect();
    json!({"epoch": t.epoch, "last": t.last, "base": t.base.map(|id| id.to_string()),
        "publication": t.publication.as_ref().map(publication), "superseded_by": t.superseded,
        "fronts": t.fronts, "connected": t.connected, "current": t.current, "offered": t.offered,
        "turned_down": t.rejected, "missing": t.timed_out, "waiting": t.waiting, "untrue": t.false_claims,
        "unstored": t.unstored, "runs": running, "seal_keys": seal_keys, "spare_seal_keys": t.spare_keys})
}

fn totals_text(t: &Totals) -> String {
    let mut text = format!(
        "epoch {}, last version {}, version of all fronts: {}\n",
        t.epoch,
        t.last,
        version_text(t.base)
    );
    if let Some(by) = t.superseded {
        text += &format!("A service of the later epoch {by} exists: no versions are offered.\n");
    }
    if let Some(p) = &t.publication {
        let state = p.stopped.as_ref().map_or("under way".into(), |reason| format!("stopped: {reason}"));
        text += &format!(
            "version {}: {state}; wave {}, offered to {}, {} run it, {} rejected it, {} missing\n",
            p.id, p.wave, p.offered, p.running, p.rejected, p.timed_out
        );
    }
    text += &format!(
        "{} fronts, {} connected: {} current, {} offered, {} turned down, {} missing, {} waiting\n",
        t.fronts, t.connected, t.current, t.offered, t.rejected, t.timed_out, t.waiting
    );
    if t.unstored > 0 {
        text += &format!("{} could not store the version that they run\n", t.unstored);
    }
    if t.false_claims > 0 {
        text += &format!("{} claim a version that they can't have\n", t.false_claims);
    }
    for (running, count) in &t.running {
        text += &format!("  {count} run {}\n", version_text(*running));
    }
    for (key, count) in &t.seal_keys {
        text += &format!("  {count} run a version sealed with key {key}\n");
    }
    for key in &t.spare_keys {
        text += &format!("  key {key} is no longer needed\n");
    }
    text
}

pub async fn status(
    client: &mut OperatorClient,
    fronts: Option<Filter>,
    json: bool,
) -> Result<Outcome, String> {
    let totals = totals(client).await?;
    let changes_under_way: Vec<ChangeRow> =
        change_rows(client).await?.into_iter().filter(under_way).collect();
    let rows = match fronts {
        Some(filter) => client.fronts(filter).await?,
        None => Vec::new(),
    };
    if json {
        let mut object = totals_json(&totals);
        object["changes"] = changes_under_way.iter().map(change_json).collect();
        if fronts.is_some() {
            object["list"] = rows.iter().map(row_json).collect();
        }
        return write_stdout(&format!("{object}\n")).map(|()| Outcome::Done);
    }
    let mut text = totals_text(&totals);
    for row in &changes_under_way {
        text += &format!("change {}: {}\n", row.number, row.state);
    }
    if !rows.is_empty() {
        let head = ["front", "station", "heard", "runs", "serves", "state"];
        let mut table = vec![head.map(str::to_owned).to_vec()];
        for r in &rows {
            let last_seen =
                if r.connected { ago(r.last_seen) } else { format!("{}, disconnected", ago(r.last_seen)) };
            let service_level = r.service_level.map_or("-".into(), |s| format!("{:.1}%", 100.0 * s));
            let mut running = version_text(r.running);
            if r.running.is_some() && !r.stored {
                running.push_str(" (not stored)");
            }
            let state = if r.false_claim {
                format!("claims a version that it can't have; {}", state(&r.state))
            } else {
                state(&r.state)
            };
            table.push(vec![
                r.front.to_string(),
                r.station.to_string(),
                last_seen,
                running,
                service_level,
                state,
            ]);
        }
        text.push('\n');
        text += &format_table(&table);
    }
    write_stdout(&text).map(|()| Outcome::Done)
}

/// Whether the change is neither in force nor removed yet.
fn under_way(row: &ChangeRow) -> bool {
    use ChangeState::{Canary, Everywhere, Queued, Wide};
    matches!(row.state, Queued | Canary | Wide | Everywhere)
}

/// The state's name in JSON.
pub fn state_name(state: &ChangeState) -> &'static str {
    match state {
        ChangeState::Queued => "queued",
        ChangeState::Canary => "canary",
        ChangeState::Wide => "wide",
        ChangeState::Everywhere => "everywhere",
        ChangeState::InForce => "in_force",
        ChangeState::Removed(_) => "taken_out",
        ChangeState::Unproven => "unproven",
    }
}

fn change_json(row: &ChangeRow) -> Value {
    let reason = match &row.state {
        ChangeState::Removed(reason) => Some(reason.to_string()),
        _ => None,
    };
    json!({"number": row.number, "note": row.note, "state": state_name(&row.state), "why": reason})
}

pub async fn changes(client: &mut OperatorClient, json: bool) -> Result<Outcome, String> {
    let all = change_rows(client).await?;
    if json {
        let all: Vec<Value> = all.iter().map(change_json).collect();
        return write_stdout(&format!("{}\n", json!({"changes": all}))).map(|()| Outcome::Done);
    }
    let mut table = vec![["number", "state", "note"].map(str::to_owned).to_vec()];
    table.extend(all.iter().map(|r| vec![r.number.to_string(), r.state.to_string(), r.note.to_string()]));
    write_stdout(&format_table(&table)).map(|()| Outcome::Done)
}
