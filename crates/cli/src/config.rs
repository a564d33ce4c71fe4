//! `doorgrade config`: versions published, watched, compared and taken back, through the service.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Subcommand;
use doorgrade_control::ask::Asker;
use doorgrade_operator::settings::Manage;
use doorgrade_operator::{Settings, Version, files};
use doorgrade_stream::now;
use doorgrade_versions::Id;
use doorgrade_versions::service::{Answer, Ask, Filter, Line, Progress, Row, State, Totals};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

use crate::table::columns;
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
        /// The last version that you have seen; if there is a later one, nothing is published
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
    /// Stops a publication where it is; those that run it go on
    Stop { number: u64 },
    /// Says that a later service that this one has met is no more, or was this one: it goes on in a new epoch
    TakeOver,
}

fn manage(settings: Option<PathBuf>) -> Result<(Manage, PathBuf), String> {
    let path = settings.unwrap_or_else(|| files::USUAL.into());
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
        let mut asker = Asker::connect(&manage, &path).await?;
        talk(&mut asker, command).await
    })
}

fn check(file: &Path) -> Result<End, String> {
    match Version::sound(&file.display().to_string(), &read(file)?) {
        Err(why) => say(&format!("{why}\n")).map(|()| End::Wrong),
        Ok(version) => {
            let members = version.shape.as_ref().map_or(0, Vec::len);
            say(&format!("{}: sound; {members} members of a hierarchy\n", file.display())).map(|()| End::Done)
        }
    }
}

async fn totals(asker: &mut Asker) -> Result<Totals, String> {
    match asker.ask(&Ask::Status).await? {
        Answer::Status(totals) => Ok(*totals),
        other => Err(refusal(other)),
    }
}

/// Why something was not done, as the service says it.
fn refusal(answer: Answer) -> String {
    match answer {
        Answer::NotPublished(why) => format!("not published: {why}"),
        Answer::NotStored(why) => format!("not published: it could not be stored: {why}"),
        Answer::Unsound(why) => format!("not published:\n{why}"),
        Answer::Denied(why) => why.to_string(),
        other => format!("the service: an answer to something else: {other:?}"),
    }
}

async fn content(asker: &mut Asker, number: u64) -> Result<Vec<u8>, String> {
    match asker.ask(&Ask::Content { number }).await? {
        Answer::Content { content, .. } => Ok(content.to_vec()),
        other => Err(refusal(other)),
    }
}

/// A version by its number, or else a file.
async fn one(asker: &mut Asker, named: &str) -> Result<String, String> {
    let bytes = match named.parse() {
        Ok(number) => content(asker, number).await?,
        Err(_) => read(Path::new(named))?,
    };
    String::from_utf8(bytes).map_err(|_| format!("{named}: is no text"))
}

async fn talk(asker: &mut Asker, command: Config) -> Result<End, String> {
    match command {
        Config::Check { .. } => Ok(End::Done),
        Config::Publish { file, note, expect, no_wait, json } => {
            let content = read(&file)?;
            // Read here first: the message then names the file.
            Version::sound(&file.display().to_string(), &content)?;
            let expects = match expect {
                Some(number) => number,
                None => totals(asker).await?.last,
            };
            let ask = Ask::Publish { content: content.into(), note: note.into(), expects };
            published(asker, &ask, no_wait, json).await
        }
        Config::Rollback { to, expect, no_wait, json } => {
            let expects = match expect {
                Some(number) => number,
                None => totals(asker).await?.last,
            };
            published(asker, &Ask::RollBack { to, expects }, no_wait, json).await
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
        Config::Status { fronts, behind, trouble, json } => {
            let filter = match (trouble, behind) {
                (true, _) => Filter::Trouble,
                (_, true) => Filter::Behind,
                _ => Filter::All,
            };
            status(asker, (fronts || behind || trouble).then_some(filter), json).await
        }
        Config::Watch { json } => {
            match asker.ask(&Ask::Watch).await? {
                Answer::Watching => {}
                other => return Err(refusal(other)),
            }
            loop {
                let line = asker.line().await?;
                say(&if json {
                    format!("{}\n", line_json(&line))
                } else {
                    format!("{}\n", line_text(&line))
                })?;
            }
        }
        Config::Stop { number } => done(asker, &Ask::Stop { number }).await,
        Config::TakeOver => done(asker, &Ask::TakeOver).await,
    }
}

async fn done(asker: &mut Asker, ask: &Ask) -> Result<End, String> {
    match asker.ask(ask).await? {
        Answer::Done => Ok(End::Done),
        other => Err(refusal(other)),
    }
}

const LOOK_EACH: Duration = Duration::from_millis(250);

/// Publishes, and stays until it runs everywhere or has stopped.
async fn published(asker: &mut Asker, ask: &Ask, no_wait: bool, json: bool) -> Result<End, String> {
    let id = match asker.ask(ask).await? {
        Answer::Published(id) => id,
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
    // Hidden where standard error is no terminal.
    let bar = ProgressBar::new(1);
    let style = ProgressStyle::with_template("{msg} [{bar:30}] {pos} of {len} fronts, {elapsed}");
    bar.set_style(style.map_err(|e| e.to_string())?);
    loop {
        let totals = totals(asker).await?;
        let own = totals.publication.as_ref().filter(|p| p.id == id);
        match own {
            Some(p) if p.stopped.is_none() => {
                bar.set_length(totals.connected.max(1));
                bar.set_position(p.runs as u64);
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

fn ago(at: u64) -> String {
    match now().saturating_sub(at) / 10_000 {
        seconds @ 0..120 => format!("{seconds} s ago"),
        seconds @ 120..7_200 => format!("{} min ago", seconds / 60),
        seconds @ 7_200..172_800 => format!("{} h ago", seconds / 3_600),
        seconds => format!("{} days ago", seconds / 86_400),
    }
}

async fn history(asker: &mut Asker, json: bool) -> Result<End, String> {
    let (mut all, mut below) = (Vec::new(), u64::MAX);
    loop {
        let page = match asker.ask(&Ask::History { below }).await? {
            Answer::History(page) => page,
            other => return Err(refusal(other)),
        };
        let Some(last) = page.last() else { break };
        below = last.id.number;
        all.extend(page);
    }
    if json {
        let one = |p: &doorgrade_versions::service::Past| {
            json!({"version": p.id.to_string(), "number": p.id.number, "epoch": p.id.epoch, "bytes": p.bytes,
                "at_ms": p.at / 10, "note": p.note})
        };
        let all: Vec<Value> = all.iter().map(one).collect();
        return say(&format!("{}\n", json!({"versions": all}))).map(|()| End::Done);
    }
    let mut rows = vec![["number", "published", "bytes", "hash", "note"].map(str::to_owned).to_vec()];
    for p in &all {
        let hash = p.id.to_string().rsplit('-').next().unwrap_or_default().to_owned();
        rows.push(vec![p.id.number.to_string(), ago(p.at), p.bytes.to_string(), hash, p.note.to_string()]);
    }
    say(&columns(&rows)).map(|()| End::Done)
}

fn id(of: Option<Id>) -> String {
    of.map_or("its own file".into(), |id| id.to_string())
}

fn state(of: &State) -> String {
    match of {
        State::Current => "current".into(),
        State::Offered => "offered".into(),
        State::TurnedDown(why) => format!("turned down: {why}"),
        State::Missing => "missing".into(),
        State::Waiting => "waiting".into(),
    }
}

fn publication(p: &Progress) -> Value {
    let Progress { id, wave, went, runs, refused, missing, stopped } = p;
    json!({"version": id.to_string(), "wave": wave, "went": went, "runs": runs, "refused": refused,
        "missing": missing, "stopped": stopped.as_ref().map(ToString::to_string)})
}

fn row_json(r: &Row) -> Value {
    json!({"front": r.front, "station": r.station, "connected": r.connected, "heard_ms": r.heard / 10,
        "version": r.runs.map(|id| id.to_string()), "stored": r.stored, "goal": r.goal.map(|id| id.to_string()),
        "state": state(&r.state), "untrue": r.lies, "serves": r.serves, "seal_key": r.sealed})
}

fn totals_json(t: &Totals) -> Value {
    let runs: Vec<Value> =
        t.runs.iter().map(|(id, n)| json!({"version": id.map(|id| id.to_string()), "fronts": n})).collect();
    let sealed: Vec<Value> = t.sealed.iter().map(|(key, n)| json!({"key": key, "fronts": n})).collect();
    json!({"epoch": t.epoch, "last": t.last, "base": t.base.map(|id| id.to_string()),
        "publication": t.publication.as_ref().map(publication), "superseded_by": t.superseded,
        "fronts": t.fronts, "connected": t.connected, "current": t.current, "offered": t.offered,
        "turned_down": t.turned_down, "missing": t.missing, "waiting": t.waiting, "untrue": t.lies,
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
            p.id, p.wave, p.went, p.runs, p.refused, p.missing
        );
    }
    text += &format!(
        "{} fronts, {} connected: {} current, {} offered, {} turned down, {} missing, {} waiting\n",
        t.fronts, t.connected, t.current, t.offered, t.turned_down, t.missing, t.waiting
    );
    if t.unstored > 0 {
        text += &format!("{} could not store what they run\n", t.unstored);
    }
    if t.lies > 0 {
        text += &format!("{} say what can't be\n", t.lies);
    }
    for (runs, count) in &t.runs {
        text += &format!("  {count} run {}\n", id(*runs));
    }
    for (key, count) in &t.sealed {
        text += &format!("  {count} run what key {key} sealed\n");
    }
    for key in &t.spare_keys {
        text += &format!("  key {key} can be dropped\n");
    }
    text
}

async fn status(asker: &mut Asker, fronts: Option<Filter>, json: bool) -> Result<End, String> {
    let totals = totals(asker).await?;
    let rows = match fronts {
        Some(filter) => asker.fronts(filter).await?,
        None => Vec::new(),
    };
    if json {
        let mut told = totals_json(&totals);
        if fronts.is_some() {
            told["list"] = rows.iter().map(row_json).collect();
        }
        return say(&format!("{told}\n")).map(|()| End::Done);
    }
    let mut text = totals_text(&totals);
    if !rows.is_empty() {
        let head = ["front", "station", "heard", "runs", "serves", "state"];
        let mut table = vec![head.map(str::to_owned).to_vec()];
        for r in &rows {
            let heard = if r.connected { ago(r.heard) } else { format!("{}, away", ago(r.heard)) };
            let serves = r.serves.map_or("-".into(), |s| format!("{:.1}%", 100.0 * s));
            let mut runs = id(r.runs);
            if r.runs.is_some() && !r.stored {
                runs.push_str(" (not stored)");
            }
            let state =
                if r.lies { format!("says what can't be; {}", state(&r.state)) } else { state(&r.state) };
            table.push(vec![r.front.to_string(), r.station.to_string(), heard, runs, serves, state]);
        }
        text.push('\n');
        text += &columns(&table);
    }
    say(&text).map(|()| End::Done)
}

fn line_text(line: &Line) -> String {
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
            format!("changes {changes:?}: on trial, {}, {fronts} fronts", stage.name())
        }
        Line::TakenOut { change, why } => format!("change {change}: taken out: {why}"),
        Line::InForce(id) => format!("version {id}: in force"),
        Line::UnderWatch { changes } => {
            format!("service has fallen since changes {changes:?} came: each is tried without")
        }
        Line::WentOnUnproven { change } => format!("change {change}: too few accesses; it goes on unproven"),
    }
}

fn line_json(line: &Line) -> Value {
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
