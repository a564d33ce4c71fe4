//! `doorgrade config`: versions published, watched, compared and taken back, through the service.

mod lines;
mod publish;
mod show;

use std::path::{Path, PathBuf};

use clap::Subcommand;
use doorgrade_control::operator_client::OperatorClient;
use doorgrade_operator::settings::Manage;
use doorgrade_operator::{Settings, Version, files};
use doorgrade_versions::service::{ChangeRow, Filter, Request, Response, Totals};
use lines::{line_json, line_text};
use publish::published;
use show::{changes, history, status};

use crate::{End, say};

#[derive(Subcommand)]
pub enum Config {
    /// Reads a version's file and says what is wrong with it; asks nobody
    Check { file: PathBuf },
    /// Publishes a file as the next version
    Publish {
        file: PathBuf,
        /// Why, for the history
        #[arg(long, default_value = "")]
        note: String,
        /// The last version that you have seen; if there is a later one, nothing is published, or, where rollouts go by
        /// evidence, only what you changed against that version
        #[arg(long, value_name = "NUMBER")]
        expect: Option<u64>,
        /// Does not wait until it runs everywhere or stops
        #[arg(long)]
        no_wait: bool,
        #[arg(long)]
        json: bool,
    },
    /// Compares two versions, by number or as files
    Diff { old: String, new: String },
    /// Shows a version's content
    Show { number: u64 },
    /// Lists versions, the newest first
    History {
        #[arg(long)]
        json: bool,
    },
    /// Lists changes of the configuration and how far each is, the newest first; where rollouts go by evidence
    Changes {
        #[arg(long)]
        json: bool,
    },
    /// Shows what fronts run, in counts or one by one
    Status {
        /// Each front
        #[arg(long)]
        fronts: bool,
        /// Each front that does not run what is its turn to have
        #[arg(long)]
        behind: bool,
        /// Each front that turned something down, is missing, or says what can't be
        #[arg(long)]
        trouble: bool,
        #[arg(long)]
        json: bool,
    },
    /// Follows what the service tells, until it is ended
    Watch {
        #[arg(long)]
        json: bool,
    },
    /// Publishes an older content again, as a new version, to all at once
    Rollback {
        to: u64,
        #[arg(long, value_name = "NUMBER")]
        expect: Option<u64>,
        #[arg(long)]
        no_wait: bool,
        #[arg(long)]
        json: bool,
    },
    /// Stops a publication where it is, and those that run it go on; or takes a change out, where rollouts go by evidence
    Stop { number: u64 },
    /// Says that a later service that this one has met is no more, or was this one: it goes on in a new epoch
    TakeOver,
}

fn manage(settings: Option<PathBuf>) -> Result<(Manage, PathBuf), String> {
    let path = settings.unwrap_or_else(|| files::DEFAULT_PATH.into());
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let read = Settings::read(&name, &text).map_err(|problems| problems.to_string())?;
    let manage =
        read.manage.ok_or(format!("{name}: key 'manage': is missing: expected the service to talk to"))?;
    Ok((manage, path))
}

fn read(file: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(file).map_err(|e| format!("{}: can't be read: {e}", file.display()))
}

pub fn run(command: Config, settings: Option<PathBuf>) -> Result<End, String> {
    if let Config::Check { file } = &command {
        return check(file);
    }
    let (manage, path) = manage(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let mut asker = OperatorClient::connect(&manage, &path).await?;
        talk(&mut asker, command).await
    })
}

fn check(file: &Path) -> Result<End, String> {
    match Version::read_checked(&file.display().to_string(), &read(file)?) {
        Err(why) => say(&format!("{why}\n")).map(|()| End::Wrong),
        Ok(version) => {
            let members = version.shape.as_ref().map_or(0, Vec::len);
            say(&format!("{}: sound; {members} members of a hierarchy\n", file.display())).map(|()| End::Done)
        }
    }
}

async fn totals(asker: &mut OperatorClient) -> Result<Totals, String> {
    match asker.request(&Request::Status).await? {
        Response::Status(totals) => Ok(*totals),
        other => Err(refusal(other)),
    }
}

/// Changes that are not settled, or were lately; none where rollouts go in waves.
async fn rows(asker: &mut OperatorClient) -> Result<Vec<ChangeRow>, String> {
    match asker.request(&Request::Changes).await? {
        Response::Changes(rows) => Ok(rows),
        other => Err(refusal(other)),
    }
}

/// Why something was not done, as the service says it.
fn refusal(answer: Response) -> String {
    match answer {
        Response::NotPublished(why) => format!("not published: {why}"),
        Response::NotStored(why) => format!(
            "it could not be stored: {why}: nothing was published; what was stopped has stopped, and may go on when the \
             service starts anew"
        ),
        Response::Invalid(why) => format!("not published:\n{why}"),
        Response::Denied(why) => why.to_string(),
        other => format!("the service: an answer to something else: {other:?}"),
    }
}

async fn content(asker: &mut OperatorClient, number: u64) -> Result<Vec<u8>, String> {
    match asker.request(&Request::Content { number }).await? {
        Response::Content { content, .. } => Ok(content.to_vec()),
        other => Err(refusal(other)),
    }
}

/// A version by its number, or else a file.
async fn one(asker: &mut OperatorClient, named: &str) -> Result<String, String> {
    let bytes = match named.parse() {
        Ok(number) => content(asker, number).await?,
        Err(_) => read(Path::new(named))?,
    };
    String::from_utf8(bytes).map_err(|_| format!("{named}: is no text"))
}

async fn talk(asker: &mut OperatorClient, command: Config) -> Result<End, String> {
    match command {
        Config::Check { .. } => Ok(End::Done),
        Config::Publish { file, note, expect, no_wait, json } => {
            let content = read(&file)?;
            // Read here first: the message then names the file.
            Version::read_checked(&file.display().to_string(), &content)?;
            let expects = match expect {
                Some(number) => number,
                None => totals(asker).await?.last,
            };
            let ask = Request::Publish { content: content.into(), note: note.into(), expected_last: expects };
            published(asker, &ask, no_wait, json).await
        }
        Config::Rollback { to, expect, no_wait, json } => {
            let expects = match expect {
                Some(number) => number,
                None => totals(asker).await?.last,
            };
            published(asker, &Request::RollBack { to, expected_last: expects }, no_wait, json).await
        }
        Config::Diff { old, new } => {
            let (a, b) = (one(asker, &old).await?, one(asker, &new).await?);
            if a == b {
                return Ok(End::Done);
            }
            let diff = similar::TextDiff::from_lines(&a, &b);
            say(&diff.unified_diff().header(&old, &new).to_string())?;
            Ok(End::Differ)
        }
        Config::Show { number } => {
            let bytes = content(asker, number).await?;
            say(&String::from_utf8_lossy(&bytes)).map(|()| End::Done)
        }
        Config::History { json } => history(asker, json).await,
        Config::Changes { json } => changes(asker, json).await,
        Config::Status { fronts, behind, trouble, json } => {
            let filter = match (trouble, behind) {
                (true, _) => Filter::Trouble,
                (_, true) => Filter::Behind,
                _ => Filter::All,
            };
            status(asker, (fronts || behind || trouble).then_some(filter), json).await
        }
        Config::Watch { json } => {
            match asker.request(&Request::Watch).await? {
                Response::Watching => {}
                other => return Err(refusal(other)),
            }
            loop {
                let line = asker.next_log_event().await?;
                say(&if json {
                    format!("{}\n", line_json(&line))
                } else {
                    format!("{}\n", line_text(&line))
                })?;
            }
        }
        Config::Stop { number } => done(asker, &Request::Stop { number }).await,
        Config::TakeOver => done(asker, &Request::TakeOver).await,
    }
}

async fn done(asker: &mut OperatorClient, ask: &Request) -> Result<End, String> {
    match asker.request(ask).await? {
        Response::Done => Ok(End::Done),
        other => Err(refusal(other)),
    }
}
