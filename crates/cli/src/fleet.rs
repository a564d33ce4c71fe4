//! `doorgrade fleet`: sends orders for instances to the agent and shows the state of instances.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use doorgrade_agent::protocol::{Client, InstanceStatus, Request, Response, Status};
use doorgrade_agent::serve::Settings;
use doorgrade_fleet::order::Progress;
use doorgrade_fleet::{Operation, Order, Phase};
use doorgrade_stream::clock::now;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

use crate::table::format_table;
use crate::{Outcome, write_stdout};

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

/// Selects instances; criteria are combined with "and".
#[derive(Args)]
struct Selection {
    /// Instances by name
    names: Vec<String>,
    #[arg(long)]
    station: Option<String>,
    #[arg(long)]
    state: Option<State>,
    #[arg(long)]
    label: Option<String>,
    /// All instances of the agent
    #[arg(long)]
    all: bool,
}

#[derive(Args)]
struct OrderArgs {
    #[command(flatten)]
    selection: Selection,
    /// Shows what would change, without changing anything
    #[arg(long)]
    dry_run: bool,
    /// Also allows taking the last serving instance of this station out of service
    #[arg(long, value_name = "STATION")]
    force: Vec<String>,
    /// Returns at once, without waiting until the order is done
    #[arg(long)]
    no_wait: bool,
    /// Maximum seconds to wait
    #[arg(long, default_value_t = 300)]
    within: u64,
    /// Who gives the order, shown in the status and history
    #[arg(long, env = "USER", default_value = "nobody")]
    by: String,
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the state of instances
    Status {
        #[command(flatten)]
        selection: Selection,
        #[arg(long)]
        json: bool,
    },
    /// Exits with 3 unless all selected instances are in their wanted state
    Check {
        #[command(flatten)]
        selection: Selection,
        #[arg(long)]
        json: bool,
    },
    /// Starts instances, or ends their drain
    Start(OrderArgs),
    /// Drains instances: they report not ready, so that clients go elsewhere; `start` undoes it
    Drain(OrderArgs),
    /// Drains and then stops instances; can't be undone once SIGTERM was sent
    Stop(OrderArgs),
    /// Restarts instances in turn, as the pace settings allow; halts at the first that fails to come back
    Restart(OrderArgs),
    /// Starts all instances that should be running but are not
    Restore(OrderArgs),
    /// Prints the agent's log events as they come, until interrupted
    Watch {
        #[arg(long)]
        json: bool,
    },
    /// Lists orders and their results, newest first
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

impl Selection {
    fn is_specified(&self) -> bool {
        self.all
            || !self.names.is_empty()
            || self.station.is_some()
            || self.state.is_some()
            || self.label.is_some()
    }

    fn apply(&self, status: Status) -> Result<Vec<InstanceStatus>, String> {
        let unknown = self.names.iter().find(|n| !status.instances.iter().any(|r| *r.name == **n));
        if let Some(name) = unknown {
            return Err(format!(
                "instance '{name}' is unknown to agent {}: see `fleet status`",
                status.agent
            ));
        }
        let is_selected = |r: &InstanceStatus| {
            (self.names.is_empty() || self.names.iter().any(|n| *r.name == **n))
                && self.station.as_ref().is_none_or(|s| *r.station == **s)
                && self.state.is_none_or(|s| r.phase == s.phase())
                && self.label.as_ref().is_none_or(|l| r.labels.iter().any(|own| **own == **l))
        };
        Ok(status.instances.into_iter().filter(is_selected).collect())
    }
}

pub fn run(fleet: Fleet) -> Result<Outcome, String> {
    let settings = Settings::load(&fleet.file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let mut client = Client::connect(&settings.socket()).await?;
        execute(&mut client, fleet.command).await
    })
}

async fn status(client: &mut Client) -> Result<Status, String> {
    match client.request(&Request::Status).await? {
        Response::Status(status) => Ok(status),
        other => Err(response_error(other)),
    }
}

fn response_error(response: Response) -> String {
    match response {
        Response::Rejected(reason) => reason.to_string(),
        Response::Forbidden => {
            "this user has read-only access: expected the agent's own user, or root".into()
        }
        other => format!("unexpected response from the agent: {other:?}"),
    }
}

async fn execute(client: &mut Client, command: Command) -> Result<Outcome, String> {
    match command {
        Command::Status { selection, json } => {
            let status = status(client).await?;
            let (agent, term) = (status.agent.clone(), status.term);
            let rows = selection.apply(status)?;
            let text = if json { rows_json(&agent, term, &rows) } else { table(&rows) };
            write_stdout(&text).map(|()| Outcome::Done)
        }
        Command::Check { selection, json } => {
            let status = status(client).await?;
            let (agent, term) = (status.agent.clone(), status.term);
            let mismatched: Vec<InstanceStatus> =
                selection.apply(status)?.into_iter().filter(|r| !is_as_wanted(r)).collect();
            let text = if json { rows_json(&agent, term, &mismatched) } else { table(&mismatched) };
            if json || !mismatched.is_empty() {
                write_stdout(&text)?;
            }
            Ok(if mismatched.is_empty() { Outcome::Done } else { Outcome::ProblemsFound })
        }
        Command::Start(args) => order(client, Operation::Start, args).await,
        Command::Drain(args) => order(client, Operation::Drain, args).await,
        Command::Stop(args) => order(client, Operation::Stop, args).await,
        Command::Restart(args) => order(client, Operation::Restart, args).await,
        Command::Restore(args) => order(client, Operation::Restore, args).await,
        Command::Watch { json } => {
            match client.request(&Request::Watch).await? {
                Response::Watching => {}
                other => return Err(response_error(other)),
            }
            loop {
                let event = client.next_log_event().await?;
                let text =
                    if json { json!({"line": event.to_string()}).to_string() } else { event.to_string() };
                write_stdout(&format!("{text}\n"))?;
            }
        }
        Command::History { json } => match client.request(&Request::History).await? {
            Response::History(orders) if json => {
                let orders: Vec<Value> = orders.iter().map(progress_json).collect();
                write_stdout(&format!("{}\n", json!({"orders": orders}))).map(|()| Outcome::Done)
            }
            Response::History(orders) => {
                let mut rows =
                    vec![["order", "by", "what", "of", "done", "state"].map(str::to_owned).to_vec()];
                for p in &orders {
                    let cells = [
                        p.number.to_string(),
                        p.by.to_string(),
                        p.operation.to_string(),
                        p.target_count.to_string(),
                    ];
                    let mut row = cells.to_vec();
                    row.extend([p.done.to_string(), state(p)]);
                    rows.push(row);
                }
                write_stdout(&format_table(&rows)).map(|()| Outcome::Done)
            }
            other => Err(response_error(other)),
        },
    }
}

fn is_as_wanted(r: &InstanceStatus) -> bool {
    use doorgrade_fleet::DesiredState;
    match r.desired {
        DesiredState::Running => r.phase == Phase::Ready,
        DesiredState::Drained => r.phase == Phase::Draining || !r.phase.has_process(),
        DesiredState::Stopped => !r.phase.has_process(),
    }
}

fn row_json(r: &InstanceStatus) -> Value {
    json!({"front": r.name, "station": r.station, "labels": r.labels, "state": r.phase.to_string(),
        "since_ms": r.phase_since / 10, "want": r.desired.to_string(), "revision": r.revision,
        "by": r.changed_by, "order": r.order, "run": r.run, "process": r.process.map(|p| p.id), "failures": r.failures,
        "set_aside": r.quarantined})
}

fn rows_json(agent: &str, term: u64, rows: &[InstanceStatus]) -> String {
    let rows: Vec<Value> = rows.iter().map(row_json).collect();
    format!("{}\n", json!({"agent": agent, "term": term, "instances": rows}))
}

fn table(rows: &[InstanceStatus]) -> String {
    let head = ["instance", "station", "state", "for", "want", "run", "process", "order", ""];
    let mut lines = vec![head.map(str::to_owned).to_vec()];
    for r in rows {
        let seconds = now().saturating_sub(r.phase_since) / 10_000;
        let process = r.process.map_or("-".into(), |p| p.id.to_string());
        let order = if r.order > 0 { format!("{} by {}", r.order, r.changed_by) } else { "-".into() };
        let note = match (r.quarantined, r.failures) {
            (true, failures) => format!("set aside after {failures} failed starts"),
            (_, 0) => String::new(),
            (_, 1) => "died".into(),
            (_, failures) => format!("died {failures} times in a row"),
        };
        let (state, want) = (r.phase.to_string(), r.desired.to_string());
        let cells = [r.name.to_string(), r.station.to_string(), state, format!("{seconds} s"), want];
        let mut row = cells.to_vec();
        row.extend([r.run.to_string(), process, order, note]);
        lines.push(row);
    }
    format_table(&lines)
}

fn state(p: &Progress) -> String {
    let mut parts = Vec::new();
    if p.halted {
        parts.push("stopped".to_owned());
    }
    if !p.failed.is_empty() {
        parts.push(format!("failed: {}", p.failed.join(", ")));
    }
    if !p.pending.is_empty() && !p.halted {
        parts.push(format!("waits for {}", p.pending.join(", ")));
    }
    if p.superseded > 0 {
        parts.push(format!("{} superseded by later orders", p.superseded));
    }
    if parts.is_empty() { "done".into() } else { parts.join("; ") }
}

fn progress_json(p: &Progress) -> Value {
    json!({"order": p.number, "by": p.by, "what": p.operation.to_string(), "of": p.target_count, "done": p.done,
        "overtaken": p.superseded, "failed": p.failed, "waits_for": p.pending, "stopped": p.halted})
}

async fn order(client: &mut Client, operation: Operation, args: OrderArgs) -> Result<Outcome, String> {
    if !args.selection.is_specified() {
        return Err("no instance is selected: expected names, --station, --state, --label or --all".into());
    }
    let rows = args.selection.apply(status(client).await?)?;
    // With the revisions just read: if another order changed an instance since, the agent rejects this one.
    let targets = rows.iter().map(|r| (r.name.clone(), Some(r.revision))).collect();
    let force: BTreeSet<Box<str>> = args.force.iter().map(|s| s.as_str().into()).collect();
    let order = Order { by: args.by.as_str().into(), operation, targets, force };
    if args.dry_run {
        return match client.request(&Request::Plan(order)).await? {
            Response::Plan(plan) if args.json => {
                let changes: Vec<Value> = plan
                    .iter()
                    .map(|(name, is, want)| json!({"front": name, "state": is.to_string(), "want": want.to_string()}))
                    .collect();
                write_stdout(&format!("{}\n", json!({"would_change": changes}))).map(|()| Outcome::Done)
            }
            Response::Plan(plan) => {
                let mut rows = vec![["instance", "is", "would be"].map(str::to_owned).to_vec()];
                rows.extend(
                    plan.iter()
                        .map(|(name, is, want)| vec![name.to_string(), is.to_string(), want.to_string()]),
                );
                write_stdout(&format_table(&rows)).map(|()| Outcome::Done)
            }
            other => Err(response_error(other)),
        };
    }
    let number = match client.request(&Request::Order(order)).await? {
        Response::Accepted(number) => number,
        other => return Err(response_error(other)),
    };
    if args.no_wait {
        let text = if args.json { json!({"order": number}).to_string() } else { format!("order {number}") };
        return write_stdout(&format!("{text}\n")).map(|()| Outcome::Done);
    }
    wait(client, number, &args).await
}

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until an order is finished, and shows its progress meanwhile.
async fn wait(client: &mut Client, number: u64, args: &OrderArgs) -> Result<Outcome, String> {
    let started = Instant::now();
    let bar = ProgressBar::new(1);
    let style = ProgressStyle::with_template("order {msg} [{bar:30}] {pos} of {len}, {elapsed}");
    bar.set_style(style.map_err(|e| e.to_string())?);
    loop {
        let progress = match client.request(&Request::Progress(number)).await? {
            Response::Progress(Some(progress)) => progress,
            Response::Progress(None) => {
                return Err(format!(
                    "order {number} is not known to this agent: was it replaced? see `fleet status` for the wanted states"
                ));
            }
            other => return Err(response_error(other)),
        };
        bar.set_length(progress.target_count as u64);
        bar.set_position(progress.done as u64);
        let first_pending: Vec<&str> = progress.pending.iter().take(3).map(|n| &**n).collect();
        bar.set_message(format!("{number}, waits for {}", first_pending.join(", ")));
        let timed_out = started.elapsed() > Duration::from_secs(args.within);
        if progress.is_finished() || timed_out {
            bar.finish_and_clear();
            let text = if args.json {
                progress_json(&progress).to_string()
            } else if timed_out && !progress.is_finished() {
                format!("order {number}: {} after {} s; it continues", state(&progress), args.within)
            } else {
                format!("order {number}: {}", state(&progress))
            };
            write_stdout(&format!("{text}\n"))?;
            let succeeded = progress.is_finished() && !progress.halted && progress.failed.is_empty();
            return Ok(if succeeded { Outcome::Done } else { Outcome::ProblemsFound });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
