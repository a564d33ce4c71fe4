//! Publishing, and waiting for what comes of it.

use std::time::Duration;

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{ChangeState, Request, Response};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;

use super::show::state_name;
use super::{refusal, rows, totals};
use crate::{End, say};

const LOOK_EACH: Duration = Duration::from_millis(250);

/// Publishes, and stays until it is known what came of it: it runs everywhere, has stopped, or was taken out.
pub async fn published(
    asker: &mut OperatorClient,
    ask: &Request,
    no_wait: bool,
    json: bool,
) -> Result<End, String> {
    let id = match asker.request(ask).await? {
        Response::Published(id) => id,
        other => return Err(refusal(other)),
    };
    if no_wait {
        let told = if json {
            format!("{}\n", json!({"version": id.to_string()}))
        } else {
            format!("version {id}\n")
        };
        return say(&told).map(|()| End::Done);
    }
    // Whoever's rollouts go in waves lists no changes.
    match rows(asker).await?.iter().any(|row| row.number == id.number) {
        true => by_evidence(asker, id, json).await,
        false => in_waves(asker, id, json).await,
    }
}

/// Hidden where standard error is no terminal.
fn shown(template: &str) -> Result<ProgressBar, String> {
    let bar = ProgressBar::new(1);
    bar.set_style(ProgressStyle::with_template(template).map_err(|e| e.to_string())?);
    Ok(bar)
}

/// Until the change is in force, or out.
async fn by_evidence(asker: &mut OperatorClient, id: VersionId, json: bool) -> Result<End, String> {
    let bar = shown("{msg}, {elapsed}")?;
    loop {
        let row = rows(asker).await?.into_iter().find(|row| row.number == id.number);
        let state = row.map(|row| row.state);
        let told = match &state {
            Some(ChangeState::InForce) => format!("version {id} is in force"),
            Some(ChangeState::Unproven) => {
                format!("version {id} is in force, unproven: too few accesses spoke about it")
            }
            Some(ChangeState::Removed(why)) => format!("version {id} was taken out: {why}"),
            // So many came after it that nobody lists it any more; or the service has lost its store.
            None => {
                return Err(format!("version {id} is not listed any more: see 'doorgrade config history'"));
            }
            Some(state) => {
                bar.set_message(format!("version {id} {state}"));
                tokio::time::sleep(LOOK_EACH).await;
                continue;
            }
        };
        bar.finish_and_clear();
        let out = match &state {
            Some(ChangeState::Removed(why)) => Some(why.to_string()),
            _ => None,
        };
        let state = state.as_ref().map(state_name);
        say(&match json {
            true => format!(
                "{}\n",
                json!({"version": id.to_string(), "everywhere": out.is_none(), "stopped": out, "state": state})
            ),
            false => format!("{told}\n"),
        })?;
        return Ok(if out.is_some() { End::Wrong } else { End::Done });
    }
}

/// Until it runs everywhere or has stopped.
async fn in_waves(asker: &mut OperatorClient, id: VersionId, json: bool) -> Result<End, String> {
    let bar = shown("{msg} [{bar:30}] {pos} of {len} fronts, {elapsed}")?;
    loop {
        let totals = totals(asker).await?;
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
                // Another one may have been published since: then it is over, too.
                let everywhere = stopped.is_none() && totals.base == Some(id);
                let why = stopped.map(|s| s.to_string());
                if json {
                    say(&format!(
                        "{}\n",
                        json!({"version": id.to_string(), "everywhere": everywhere, "stopped": why})
                    ))?;
                } else if let Some(why) = &why {
                    say(&format!("version {id} was stopped: {why}\n"))?;
                } else {
                    say(&format!("version {id} is everyone's now\n"))?;
                }
                return Ok(if why.is_some() { End::Wrong } else { End::Done });
            }
        }
        tokio::time::sleep(LOOK_EACH).await;
    }
}
