//! `doorgrade config`: publishes, watches, compares and rolls back configuration versions, through the service.

mod lines;
mod publish;
mod show;

use std::path::{Path, PathBuf};

use clap::Subcommand;
use doorgrade_control::operator_client::OperatorClient;
use doorgrade_operator::settings::Manage;
use doorgrade_operator::{Settings, Version, files};
use doorgrade_versions::service::{ChangeRow, Filter, Request, Response, Totals};
use lines::{event_json, event_text};
use publish::publish;
use show::{changes, history, status};

use crate::{Outcome, write_stdout};

#[derive(Subcommand)]
pub enum Config {
    /// Validates a version's file, without asking the service
    Check { file: PathBuf },
    /// Publishes a file as the next version
    Publish {
        file: PathBuf,
        /// The reason for the change, shown in the history
        #[arg(long, default_value = "")]
        note: String,
        /// The last version that you have seen; if there is a later one, nothing is published, or, with rollouts by
        /// evidence, only your changes against that version
        #[arg(long, value_name = "NUMBER")]
        expect: Option<u64>,
        /// Returns at once, without waiting until the rollout is complete or stopped
        #[arg(long)]
        no_wait: bool,
        #[arg(long)]
        json: bool,
    },
    /// Compares two versions, each given by number or as a file
    Diff { old: String, new: String },
    /// Shows a version's content
    Show { number: u64 },
    /// Lists versions, newest first
    History {
        #[arg(long)]
        json: bool,
    },
    /// Lists configuration changes and the state of each, newest first; only with rollouts by evidence
    Changes {
        #[arg(long)]
        json: bool,
    },
    /// Shows which versions fronts run, as counts or per front
    Status {
        /// Lists every front
        #[arg(long)]
        fronts: bool,
        /// Lists the fronts that do not run the version meant for them now
        #[arg(long)]
        behind: bool,
        /// Lists the fronts that rejected a version, timed out, or claim a version that they can't have
        #[arg(long)]
        trouble: bool,
        #[arg(long)]
        json: bool,
    },
    /// Prints the service's log events as they come, until interrupted
    Watch {
        #[arg(long)]
        json: bool,
    },
    /// Publishes the content of an older version as a new version, to all fronts at once
    Rollback {
        to: u64,
        #[arg(long, value_name = "NUMBER")]
        expect: Option<u64>,
        #[arg(long)]
        no_wait: bool,
        #[arg(long)]
        json: bool,
    },
    /// Stops a rollout; fronts that already run the version keep it. With rollouts by evidence, removes a change
    Stop { number: u64 },
    /// Continues a superseded service in a new epoch: confirms that the later service is gone, or was this one
    TakeOver,
}

fn manage(settings: Option<PathBuf>) -> Result<(Manage, PathBuf), String> {
    let path = settings.unwrap_or_else(|| files::DEFAULT_PATH.into());
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let settings = Settings::read(&name, &text).map_err(|problems| problems.to_string())?;
    let manage = settings
        .manage
        .ok_or(format!("{name}: key 'manage': is missing: expected the address of the control service"))?;
    Ok((manage, path))
}

fn read(file: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(file).map_err(|e| format!("{}: can't be read: {e}", file.display()))
}

pub fn run(command: Config, settings: Option<PathBuf>) -> Result<Outcome, String> {
    if let Config::Check { file } = &command {
        return check(file);
    }
    let (manage, path) = manage(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let mut client = OperatorClient::connect(&manage, &path).await?;
        execute(&mut client, command).await
    })
}

fn check(file: &Path) -> Result<Outcome, String> {
    match Version::read_checked(&file.display().to_string(), &read(file)?) {
        Err(reason) => write_stdout(&format!("{reason}\n")).map(|()| Outcome::ProblemsFound),
        Ok(version) => {
            let members = version.shape.as_ref().map_or(0, Vec::len);
            write_stdout(&format!("{}: sound; {members} members in the hierarchy\n", file.display()))
                .map(|()| Outcome::Done)
        }
    }
}

async fn totals(client: &mut OperatorClient) -> Result<Totals, String> {
    match client.request(&Request::Status).await? {
        Response::Status(totals) => Ok(*totals),
        other => Err(response_error(other)),
    }
}

/// Changes that are under way or were settled recently; empty with rollouts in waves.
async fn change_rows(client: &mut OperatorClient) -> Result<Vec<ChangeRow>, String> {
    match client.request(&Request::Changes).await? {
        Response::Changes(rows) => Ok(rows),
        other => Err(response_error(other)),
    }
}

/// The error for a response other than the expected one.
fn response_error(response: Response) -> String {
    match response {
        Response::NotPublished(reason) => format!("not published: {reason}"),
        Response::NotStored(reason) => format!(
            "could not be stored: {reason}: nothing was published; what was stopped has stopped, but may resume when \
             the service restarts"
        ),
        Response::Invalid(reason) => format!("not published:\n{reason}"),
        Response::Denied(reason) => reason.to_string(),
        other => format!("unexpected response from the service: {other:?}"),
    }
}

async fn content(client: &mut OperatorClient, number: u64) -> Result<Vec<u8>, String> {
    match client.request(&Request::Content { number }).await? {
        Response::Content { content, .. } => Ok(content.to_vec()),
        other => Err(response_error(other)),
    }
}

/// The content of a version given by its number, or of a file.
async fn text_of(client: &mut OperatorClient, version: &str) -> Result<String, String> {
    let bytes = match version.parse() {
        Ok(number) => content(client, number).await?,
        Err(_) => read(Path::new(version))?,
    };
    String::from_utf8(bytes).map_err(|_| format!("{version}: is not UTF-8 text"))
}

async fn execute(client: &mut OperatorClient, command: Config) -> Result<Outcome, String> {
    match command {
        Config::Check { .. } => Ok(Outcome::Done),
        Config::Publish { file, note, expect, no_wait, json } => {
            let content = read(&file)?;
            // Validated here first, so that the error message names the file.
            Version::read_checked(&file.display().to_string(), &content)?;
            let expected_last = match expect {
                Some(number) => number,
                None => totals(client).await?.last,
            };
            let request = Request::Publish { content: content.into(), note: note.into(), expected_last };
            publish(client, &request, no_wait, json).await
        }
        Config::Rollback { to, expect, no_wait, json } => {
            let expected_last = match expect {
                Some(number) => number,
                None => totals(client).await?.last,
            };
            publish(client, &Request::RollBack { to, expected_last }, no_wait, json).await
        }
        Config::Diff { old, new } => {
            let (a, b) = (text_of(client, &old).await?, text_of(client, &new).await?);
            if a == b {
                return Ok(Outcome::Done);
            }
            let diff = similar::TextDiff::from_lines(&a, &b);
            write_stdout(&diff.unified_diff().header(&old, &new).to_string())?;
            Ok(Outcome::Differ)
        }
        Config::Show { number } => {
            let bytes = content(client, number).await?;
            write_stdout(&String::from_utf8_lossy(&bytes)).map(|()| Outcome::Done)
        }
        Config::History { json } => history(client, json).await,
        Config::Changes { json } => changes(client, json).await,
        Config::Status { fronts, behind, trouble, json } => {
            let filter = match (trouble, behind) {
                (true, _) => Filter::Trouble,
                (_, true) => Filter::Behind,
                _ => Filter::All,
            };
            status(client, (fronts || behind || trouble).then_some(filter), json).await
        }
        Config::Watch { json } => {
            match client.request(&Request::Watch).await? {
                Response::Watching => {}
                other => return Err(response_error(other)),
            }
            loop {
                let event = client.next_log_event().await?;
                write_stdout(&if json {
                    format!("{}\n", event_json(&event))
                } else {
                    format!("{}\n", event_text(&event))
                })?;
            }
        }
        Config::Stop { number } => send(client, &Request::Stop { number }).await,
        Config::TakeOver => send(client, &Request::TakeOver).await,
    }
}

async fn send(client: &mut OperatorClient, request: &Request) -> Result<Outcome, String> {
    match client.request(request).await? {
        Response::Done => Ok(Outcome::Done),
        other => Err(response_error(other)),
    }
}
