//! `doorgrade fleet`: orders for instances, and how they stand.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use doorgrade_agent::protocol::{
    Client as Asker, InstanceStatus as Row, Request as Ask, Response as Answer, Status,
};
use doorgrade_agent::serve::Settings;
use doorgrade_fleet::order::Progress;
use doorgrade_fleet::{Operation, Order, Phase};
use doorgrade_stream::clock::now;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

use crate::table::columns;
use crate::{End, say};

#[derive(Args)]
pub struct Fleet {
    /// The agent's settings, which name its socket
    #[arg(long, value_name = "FILE", default_value = doorgrade_agent::serve::DEFAULT_PATH, global = true)]
    file: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum State {
    Absent,
    Starting,
    Ready,
    Draining,
    Stopping,
    Stopped,
    Failed,
    Lost,
}

/// Which instances; each given narrows them down.
#[derive(Args)]
struct Which {
    /// Instances by name
    names: Vec<String>,
    #[arg(long)]
    station: Option<String>,
    #[arg(long)]
    state: Option<State>,
    #[arg(long)]
    label: Option<String>,
    /// All that the agent has
    #[arg(long)]
    all: bool,
}

#[derive(Args)]
struct Way {
    #[command(flatten)]
    which: Which,
    /// Shows what would be changed, and changes nothing
    #[arg(long)]
    dry_run: bool,
    /// Takes the last serving instance of this station, too
    #[arg(long, value_name = "STATION")]
    force: Vec<String>,
    /// Does not wait until it is done
    #[arg(long)]
    no_wait: bool,
    /// Seconds to wait for it
    #[arg(long, default_value_t = 300)]
    within: u64,
    /// Who orders it, for others to see
    #[arg(long, env = "USER", default_value = "nobody")]
    by: String,
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// How instances stand
    Status {
        #[command(flatten)]
        which: Which,
        #[arg(long)]
        json: bool,
    },
    /// Exits with 3 unless all of these are as wanted
    Check {
        #[command(flatten)]
        which: Which,
        #[arg(long)]
        json: bool,
    },
    Start(Way),
    /// Their clients are told to go elsewhere; `start` takes it back
    Drain(Way),
    /// Drained first; after its SIGTERM there is no way back
    Stop(Way),
    /// One after the other, as the station's pace allows; stops at the first that does not come back
    Restart(Way),
    /// Starts whatever is wanted running and does not run
    Restore(Way),
    /// Follows what the agent tells, until it is ended
    Watch {
        #[arg(long)]
        json: bool,
    },
    /// Orders and what came of them, the newest first
    History {
        #[arg(long)]
        json: bool,
    },
}

impl State {
    fn phase(self) -> Phase {
        match self {
            State::Absent => Phase::Absent,
            State::Starting => Phase::Starting,
            State::Ready => Phase::Ready,
            State::Draining => Phase::Draining,
            State::Stopping => Phase::Stopping,
            State::Stopped => Phase::Stopped,
            State::Failed => Phase::Failed,
            State::Lost => Phase::Lost,
        }
    }
}

impl Which {
    fn says_something(&self) -> bool {
        self.all
            || !self.names.is_empty()
            || self.station.is_some()
            || self.state.is_some()
            || self.label.is_some()
    }

    fn of(&self, status: Status) -> Result<Vec<Row>, String> {
        let unknown = self.names.iter().find(|n| !status.instances.iter().any(|r| *r.name == **n));
        if let Some(name) = unknown {
            return Err(format!(
                "instance '{name}' is unknown to agent {}: look at `fleet status`",
                status.agent
            ));
        }
        let fits = |r: &Row| {
            (self.names.is_empty() || self.names.iter().any(|n| *r.name == **n))
                && self.station.as_ref().is_none_or(|s| *r.station == **s)
                && self.state.is_none_or(|s| r.phase == s.phase())
                && self.label.as_ref().is_none_or(|l| r.labels.iter().any(|own| **own == **l))
        };
        Ok(status.instances.into_iter().filter(fits).collect())
    }
}

pub fn run(fleet: Fleet) -> Result<End, String> {
    let settings = Settings::load(&fleet.file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let mut asker = Asker::connect(&settings.socket()).await?;
        talk(&mut asker, fleet.command).await
    })
}

async fn status(asker: &mut Asker) -> Result<Status, String> {
    match asker.request(&Ask::Status).await? {
        Answer::Status(status) => Ok(status),
        other => Err(refusal(other)),
    }
}

fn refusal(answer: Answer) -> String {
    match answer {
        Answer::Rejected(why) => why.to_string(),
        Answer::Forbidden => "this user may only look: expected the agent's own user, or root".into(),
        other => format!("the agent: an answer to something else: {other:?}"),
    }
}

async fn talk(asker: &mut Asker, command: Command) -> Result<End, String> {
    match command {
        Command::Status { which, json } => {
            let status = status(asker).await?;
            let (agent, term) = (status.agent.clone(), status.term);
            let rows = which.of(status)?;
            let told = if json { rows_json(&agent, term, &rows) } else { table(&rows) };
            say(&told).map(|()| End::Done)
        }
        Command::Check { which, json } => {
            let status = status(asker).await?;
            let (agent, term) = (status.agent.clone(), status.term);
            let off: Vec<Row> = which.of(status)?.into_iter().filter(|r| !as_wanted(r)).collect();
            let told = if json { rows_json(&agent, term, &off) } else { table(&off) };
            if json || !off.is_empty() {
                say(&told)?;
            }
            Ok(if off.is_empty() { End::Done } else { End::Wrong })
        }
        Command::Start(way) => order(asker, Operation::Start, way).await,
        Command::Drain(way) => order(asker, Operation::Drain, way).await,
        Command::Stop(way) => order(asker, Operation::Stop, way).await,
        Command::Restart(way) => order(asker, Operation::Restart, way).await,
        Command::Restore(way) => order(asker, Operation::Restore, way).await,
        Command::Watch { json } => {
            match asker.request(&Ask::Watch).await? {
                Answer::Watching => {}
                other => return Err(refusal(other)),
            }
            loop {
                let line = asker.next_log_event().await?;
                let text =
                    if json { json!({"line": line.to_string()}).to_string() } else { line.to_string() };
                say(&format!("{text}\n"))?;
            }
        }
        Command::History { json } => match asker.request(&Ask::History).await? {
            Answer::History(all) if json => {
                let all: Vec<Value> = all.iter().map(progress_json).collect();
                say(&format!("{}\n", json!({"orders": all}))).map(|()| End::Done)
            }
            Answer::History(all) => {
                let mut rows =
                    vec![["order", "by", "what", "of", "done", "state"].map(str::to_owned).to_vec()];
                for p in &all {
                    let what = [
                        p.number.to_string(),
                        p.by.to_string(),
                        p.operation.to_string(),
                        p.target_count.to_string(),
                    ];
                    let mut row = what.to_vec();
                    row.extend([p.done.to_string(), state(p)]);
                    rows.push(row);
                }
                say(&columns(&rows)).map(|()| End::Done)
            }
            other => Err(refusal(other)),
        },
    }
}

fn as_wanted(r: &Row) -> bool {
    use doorgrade_fleet::DesiredState;
    match r.desired {
        DesiredState::Running => r.phase == Phase::Ready,
        DesiredState::Drained => r.phase == Phase::Draining || !r.phase.has_process(),
        DesiredState::Stopped => !r.phase.has_process(),
    }
}

fn row_json(r: &Row) -> Value {
    json!({"front": r.name, "station": r.station, "labels": r.labels, "state": r.phase.to_string(),
        "since_ms": r.phase_since / 10, "want": r.desired.to_string(), "revision": r.revision,
        "by": r.changed_by, "order": r.order, "run": r.run, "process": r.process.map(|p| p.id), "failures": r.failures,
        "set_aside": r.quarantined})
}

fn rows_json(agent: &str, term: u64, rows: &[Row]) -> String {
    let rows: Vec<Value> = rows.iter().map(row_json).collect();
    format!("{}\n", json!({"agent": agent, "term": term, "instances": rows}))
}

fn table(rows: &[Row]) -> String {
    let head = ["instance", "station", "state", "for", "want", "run", "process", "order", ""];
    let mut all = vec![head.map(str::to_owned).to_vec()];
    for r in rows {
        let seconds = now().saturating_sub(r.phase_since) / 10_000;
        let process = r.process.map_or("-".into(), |p| p.id.to_string());
        let order = if r.order > 0 { format!("{} by {}", r.order, r.changed_by) } else { "-".into() };
        let note = match (r.quarantined, r.failures) {
            (true, failures) => format!("set aside, {failures} starts came to nothing"),
            (_, 0) => String::new(),
            (_, 1) => "died".into(),
            (_, failures) => format!("died {failures} times in a row"),
        };
        let (state, want) = (r.phase.to_string(), r.desired.to_string());
        let cells = [r.name.to_string(), r.station.to_string(), state, format!("{seconds} s"), want];
        let mut row = cells.to_vec();
        row.extend([r.run.to_string(), process, order, note]);
        all.push(row);
    }
    columns(&all)
}

fn state(p: &Progress) -> String {
    let mut told = Vec::new();
    if p.halted {
        told.push("stopped".to_owned());
    }
    if !p.failed.is_empty() {
        told.push(format!("failed: {}", p.failed.join(", ")));
    }
    if !p.pending.is_empty() && !p.halted {
        told.push(format!("waits for {}", p.pending.join(", ")));
    }
    if p.superseded > 0 {
        told.push(format!("{} ordered otherwise since", p.superseded));
    }
    if told.is_empty() { "done".into() } else { told.join("; ") }
}

fn progress_json(p: &Progress) -> Value {
    json!({"order": p.number, "by": p.by, "what": p.operation.to_string(), "of": p.target_count, "done": p.done,
        "overtaken": p.superseded, "failed": p.failed, "waits_for": p.pending, "stopped": p.halted})
}

async fn order(asker: &mut Asker, operation: Operation, way: Way) -> Result<End, String> {
    if !way.which.says_something() {
        return Err("no instance is named: expected names, --station, --state, --label or --all".into());
    }
    let rows = way.which.of(status(asker).await?)?;
    // The revisions that were just seen: if somebody else is quicker, nothing is done.
    let targets = rows.iter().map(|r| (r.name.clone(), Some(r.revision))).collect();
    let force: BTreeSet<Box<str>> = way.force.iter().map(|s| s.as_str().into()).collect();
    let order = Order { by: way.by.as_str().into(), operation, targets, force };
    if way.dry_run {
        return match asker.request(&Ask::Plan(order)).await? {
            Answer::Plan(plan) if way.json => {
                let all: Vec<Value> = plan
                    .iter()
                    .map(|(name, is, want)| json!({"front": name, "state": is.to_string(), "want": want.to_string()}))
                    .collect();
                say(&format!("{}\n", json!({"would_change": all}))).map(|()| End::Done)
            }
            Answer::Plan(plan) => {
                let mut all = vec![["instance", "is", "would be"].map(str::to_owned).to_vec()];
                all.extend(
                    plan.iter()
                        .map(|(name, is, want)| vec![name.to_string(), is.to_string(), want.to_string()]),
                );
                say(&columns(&all)).map(|()| End::Done)
            }
            other => Err(refusal(other)),
        };
    }
    let number = match asker.request(&Ask::Order(order)).await? {
        Answer::Accepted(number) => number,
        other => return Err(refusal(other)),
    };
    if way.no_wait {
        let text = if way.json { json!({"order": number}).to_string() } else { format!("order {number}") };
        return say(&format!("{text}\n")).map(|()| End::Done);
    }
    wait(asker, number, &way).await
}

const LOOK_EACH: Duration = Duration::from_millis(200);

/// Waits until an order is over, and says what it waits for meanwhile.
async fn wait(asker: &mut Asker, number: u64, way: &Way) -> Result<End, String> {
    let begun = Instant::now();
    let bar = ProgressBar::new(1);
    let style = ProgressStyle::with_template("order {msg} [{bar:30}] {pos} of {len}, {elapsed}");
    bar.set_style(style.map_err(|e| e.to_string())?);
    loop {
        let progress = match asker.request(&Ask::Progress(number)).await? {
            Answer::Progress(Some(progress)) => progress,
            Answer::Progress(None) => {
                return Err(format!(
                    "order {number} is not known to this agent: was it replaced? `fleet status` has what is wanted"
                ));
            }
            other => return Err(refusal(other)),
        };
        bar.set_length(progress.target_count as u64);
        bar.set_position(progress.done as u64);
        let some: Vec<&str> = progress.pending.iter().take(3).map(|n| &**n).collect();
        bar.set_message(format!("{number}, waits for {}", some.join(", ")));
        let late = begun.elapsed() > Duration::from_secs(way.within);
        if progress.is_finished() || late {
            bar.finish_and_clear();
            let text = if way.json {
                progress_json(&progress).to_string()
            } else if late && !progress.is_finished() {
                format!("order {number}: {} after {} s; it goes on", state(&progress), way.within)
            } else {
                format!("order {number}: {}", state(&progress))
            };
            say(&format!("{text}\n"))?;
            let well = progress.is_finished() && !progress.halted && progress.failed.is_empty();
            return Ok(if well { End::Done } else { End::Wrong });
        }
        tokio::time::sleep(LOOK_EACH).await;
    }
}
