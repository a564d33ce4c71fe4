//! What the service knows, as tables for people and JSON for scripts.

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_stream::clock::now;
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{
    ChangeRow, ChangeState, Filter, FrontRow, FrontState, Progress, Request, Response, Totals,
};
use serde_json::{Value, json};

use super::{refusal, rows, totals};
use crate::table::columns;
use crate::{End, say};

fn ago(at: u64) -> String {
    match now().saturating_sub(at) / 10_000 {
        seconds @ 0..120 => format!("{seconds} s ago"),
        seconds @ 120..7_200 => format!("{} min ago", seconds / 60),
        seconds @ 7_200..172_800 => format!("{} h ago", seconds / 3_600),
        seconds => format!("{} days ago", seconds / 86_400),
    }
}

pub async fn history(asker: &mut OperatorClient, json: bool) -> Result<End, String> {
    let (mut all, mut below) = (Vec::new(), u64::MAX);
    loop {
        let page = match asker.request(&Request::History { below }).await? {
            Response::History(page) => page,
            other => return Err(refusal(other)),
        };
        let Some(last) = page.last() else { break };
        below = last.id.number;
        all.extend(page);
    }
    if json {
        let one = |p: &doorgrade_versions::service::VersionSummary| {
            json!({"version": p.id.to_string(), "number": p.id.number, "epoch": p.id.epoch, "bytes": p.bytes,
                "at_ms": p.published_at / 10, "note": p.note})
        };
        let all: Vec<Value> = all.iter().map(one).collect();
        return say(&format!("{}\n", json!({"versions": all}))).map(|()| End::Done);
    }
    let mut rows = vec![["number", "published", "bytes", "hash", "note"].map(str::to_owned).to_vec()];
    for p in &all {
        let hash = p.id.to_string().rsplit('-').next().unwrap_or_default().to_owned();
        rows.push(vec![
            p.id.number.to_string(),
            ago(p.published_at),
            p.bytes.to_string(),
            hash,
            p.note.to_string(),
        ]);
    }
    say(&columns(&rows)).map(|()| End::Done)
}

fn id(of: Option<VersionId>) -> String {
    of.map_or("its own file".into(), |id| id.to_string())
}

fn state(of: &FrontState) -> String {
    match of {
        FrontState::Current => "current".into(),
        FrontState::Offered => "offered".into(),
        FrontState::Rejected(why) => format!("turned down: {why}"),
        FrontState::TimedOut => "missing".into(),
        FrontState::Waiting => "waiting".into(),
    }
}

fn publication(p: &Progress) -> Value {
    let Progress { id, wave, offered: went, running: runs, rejected: refused, timed_out: missing, stopped } =
        p;
    json!({"version": id.to_string(), "wave": wave, "went": went, "runs": runs, "refused": refused,
        "missing": missing, "stopped": stopped.as_ref().map(ToString::to_string)})
}

fn row_json(r: &FrontRow) -> Value {
    json!({"front": r.front, "station": r.station, "connected": r.connected, "heard_ms": r.last_seen / 10,
        "version": r.running.map(|id| id.to_string()), "stored": r.stored, "goal": r.target.map(|id| id.to_string()),
        "state": state(&r.state), "untrue": r.false_claim, "serves": r.service_level, "seal_key": r.seal_key})
}

fn totals_json(t: &Totals) -> Value {
    let runs: Vec<Value> = t
        .running
        .iter()
        .map(|(id, n)| json!({"version": id.map(|id| id.to_string()), "fronts": n}))
        .collect();
    let sealed: Vec<Value> = t.seal_keys.iter().map(|(key, n)| json!({"key": key, "fronts": n})).collect();
    json!({"epoch": t.epoch, "last": t.last, "base": t.base.map(|id| id.to_string()),
        "publication": t.publication.as_ref().map(publication), "superseded_by": t.superseded,
        "fronts": t.fronts, "connected": t.connected, "current": t.current, "offered": t.offered,
        "turned_down": t.rejected, "missing": t.timed_out, "waiting": t.waiting, "untrue": t.false_claims,
        "unstored": t.unstored, "runs": runs, "seal_keys": sealed, "spare_seal_keys": t.spare_keys})
}

fn totals_text(t: &Totals) -> String {
    let mut text = format!("epoch {}, last version {}, everyone's: {}\n", t.epoch, t.last, id(t.base));
    if let Some(by) = t.superseded {
        text += &format!("A service of epoch {by} is about, later than this one: nothing is offered.\n");
    }
    if let Some(p) = &t.publication {
        let how = p.stopped.as_ref().map_or("under way".into(), |why| format!("stopped: {why}"));
        text += &format!(
            "version {}: {how}; wave {}, went to {}, {} run it, {} turned it down, {} missing\n",
            p.id, p.wave, p.offered, p.running, p.rejected, p.timed_out
        );
    }
    text += &format!(
        "{} fronts, {} connected: {} current, {} offered, {} turned down, {} missing, {} waiting\n",
        t.fronts, t.connected, t.current, t.offered, t.rejected, t.timed_out, t.waiting
    );
    if t.unstored > 0 {
        text += &format!("{} could not store what they run\n", t.unstored);
    }
    if t.false_claims > 0 {
        text += &format!("{} say what can't be\n", t.false_claims);
    }
    for (runs, count) in &t.running {
        text += &format!("  {count} run {}\n", id(*runs));
    }
    for (key, count) in &t.seal_keys {
        text += &format!("  {count} run what key {key} sealed\n");
    }
    for key in &t.spare_keys {
        text += &format!("  key {key} can be dropped\n");
    }
    text
}

pub async fn status(asker: &mut OperatorClient, fronts: Option<Filter>, json: bool) -> Result<End, String> {
    let totals = totals(asker).await?;
    let open: Vec<ChangeRow> = rows(asker).await?.into_iter().filter(under_way).collect();
    let rows = match fronts {
        Some(filter) => asker.fronts(filter).await?,
        None => Vec::new(),
    };
    if json {
        let mut told = totals_json(&totals);
        told["changes"] = open.iter().map(change_json).collect();
        if fronts.is_some() {
            told["list"] = rows.iter().map(row_json).collect();
        }
        return say(&format!("{told}\n")).map(|()| End::Done);
    }
    let mut text = totals_text(&totals);
    for row in &open {
        text += &format!("change {}: {}\n", row.number, row.state);
    }
    if !rows.is_empty() {
        let head = ["front", "station", "heard", "runs", "serves", "state"];
        let mut table = vec![head.map(str::to_owned).to_vec()];
        for r in &rows {
            let heard = if r.connected { ago(r.last_seen) } else { format!("{}, away", ago(r.last_seen)) };
            let serves = r.service_level.map_or("-".into(), |s| format!("{:.1}%", 100.0 * s));
            let mut runs = id(r.running);
            if r.running.is_some() && !r.stored {
                runs.push_str(" (not stored)");
            }
            let state = if r.false_claim {
                format!("says what can't be; {}", state(&r.state))
            } else {
                state(&r.state)
            };
            table.push(vec![r.front.to_string(), r.station.to_string(), heard, runs, serves, state]);
        }
        text.push('\n');
        text += &columns(&table);
    }
    say(&text).map(|()| End::Done)
}

/// Not settled: neither everyone's nor out.
fn under_way(row: &ChangeRow) -> bool {
    use ChangeState::{Canary, Everywhere, Queued, Wide};
    matches!(row.state, Queued | Canary | Wide | Everywhere)
}

/// As scripts name it.
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
    let why = match &row.state {
        ChangeState::Removed(why) => Some(why.to_string()),
        _ => None,
    };
    json!({"number": row.number, "note": row.note, "state": state_name(&row.state), "why": why})
}

pub async fn changes(asker: &mut OperatorClient, json: bool) -> Result<End, String> {
    let all = rows(asker).await?;
    if json {
        let all: Vec<Value> = all.iter().map(change_json).collect();
        return say(&format!("{}\n", json!({"changes": all}))).map(|()| End::Done);
    }
    let mut table = vec![["number", "state", "note"].map(str::to_owned).to_vec()];
    table.extend(all.iter().map(|r| vec![r.number.to_string(), r.state.to_string(), r.note.to_string()]));
    say(&columns(&table)).map(|()| End::Done)
}
