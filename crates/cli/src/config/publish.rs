//! Publishes a version and waits for the end of its rollout.

use std::time::Duration;

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{ChangeState, Request, Response};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;

use super::show::state_name;
use super::{change_rows, response_error, totals};
use crate::{Outcome, write_stdout};

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Publishes and, unless `no_wait`, waits until the version runs everywhere, has stopped, or was removed.
pub async fn publish(
    client: &mut OperatorClient,
    request: &Request,
    no_wait: bool,
    json: bool,
) -> Result<Outcome, String> {
    let id = match client.request(request).await? {
        Response::Published(id) => id,
        other => return Err(response_error(other)),
    };
    if no_wait {
        let text = if json {
            format!("{}\n", json!({"version": id.to_string()}))
        } else {
            format!("version {id}\n")
        };
        return write_stdout(&text).map(|()| Outcome::Done);
    }
    // A service with rollouts in waves lists no changes.
    match change_rows(client).await?.iter().any(|row| row.number == id.number) {
        true => wait_by_evidence(client, id, json).await,
        false => wait_in_waves(client, id, json).await,
    }
}

/// A progress bar; hidden if standard error is not a terminal.
fn progress_bar(template: &str) -> Result<ProgressBar, String> {
    let bar = ProgressBar::new(1);
    bar.set_style(ProgressStyle::with_template(template).map_err(|e| e.to_string())?);
    Ok(bar)
}

/// Waits until the change is in force or removed.
async fn wait_by_evidence(client: &mut OperatorClient, id: VersionId, json: bool) -> Result<Outcome, String> {
    let bar = progress_bar("{msg}, {elapsed}")?;
    loop {
        let row = change_rows(client).await?.into_iter().find(|row| row.number == id.number);
        let state = row.map(|row| row.state);
        let text = match &state {
            Some(ChangeState::InForce) => format!("version {id} is in force"),
            Some(ChangeState::Unproven) => {
                format!("version {id} is in force, unproven: too few accesses to judge it")
            }
            Some(ChangeState::Removed(reason)) => format!("version {id} was removed: {reason}"),
            // So many changes came after it that it is no longer listed, or the service has lost its store.
            None => {
                return Err(format!("version {id} is no longer listed: see 'doorgrade config history'"));
            }
            Some(state) => {
                bar.set_message(format!("version {id} {state}"));
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        bar.finish_and_clear();
        let removed = match &state {
            Some(ChangeState::Removed(reason)) => Some(reason.to_string()),
            _ => None,
        };
        let state = state.as_ref().map(state_name);
        write_stdout(&match json {
            true => format!(
                "{}\n",
                json!({"version": id.to_string(), "everywhere": removed.is_none(), "stopped": removed, "state": state})
            ),
            false => format!("{text}\n"),
        })?;
        return Ok(if removed.is_some() { Outcome::ProblemsFound } else { Outcome::Done });
    }
}

/// Waits until the version runs everywhere or has stopped.
async fn wait_in_waves(client: &mut OperatorClient, id: VersionId, json: bool) -> Result<Outcome, String> {
    let bar = progress_bar("{msg} [{bar:30}] {pos} of {len} fronts, {elapsed}")?;
    loop {
        let totals = totals(client).await?;
        let own = totals.publication.as_ref().filter(|p| p.id == id);
        match own {
            Some(p) if p.stopped.is_none() => {
                bar.set_length(totals.connected.max(1));
                bar.set_position(p.running as u64);
                bar.set_message(format!("version {id}, wave {}", p.wave));
            }
            _ => {
                bar.finish_and_clear();
                let stopped = own.and_then(|p| p.stopped.clone());
                // Another version may have been published since, which also ends this rollout.
                let everywhere = stopped.is_none() && totals.base == Some(id);
                let reason = stopped.map(|s| s.to_string());
                if json {
                    write_stdout(&format!(
                        "{}\n",
                        json!({"version": id.to_string(), "everywhere": everywhere, "stopped": reason})
                    ))?;
                } else if let Some(reason) = &reason {
                    write_stdout(&format!("version {id} was stopped: {reason}\n"))?;
                } else {
                    write_stdout(&format!("version {id} runs on all fronts now\n"))?;
                }
                return Ok(if reason.is_some() { Outcome::ProblemsFound } else { Outcome::Done });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
