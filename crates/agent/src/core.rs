//! The one task that owns the state machine ([`Fleet`]) and the journal: passes events in and performs the effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use doorgrade_fleet::instance::{Check, Exit, PersistedState};
use doorgrade_fleet::{Effect, Fleet, LogEvent, OrderRejection, Process, Run};
use doorgrade_stream::clock::now;
use rustix::process::Signal;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::journal::Journal;
use crate::probe;
use crate::process::{self, ProcessSpec};
use crate::protocol::{InstanceStatus, Request, Response, Status};

/// The inputs of the task.
pub enum Event {
    /// The processes of an instance that were found by their marks.
    ProcessesFound(Box<str>, Vec<(Run, Process)>),
    Checked(Box<str>, Run, Check),
    Exited(Box<str>, Process, Exit),
    Request {
        request: Request,
        response: oneshot::Sender<Response>,
    },
    /// Subscribes to log events.
    Watch(mpsc::Sender<Arc<LogEvent>>),
    Stop,
}

/// The settings of an instance that the state machine does not need.
pub struct InstanceConfig {
    pub spec: ProcessSpec,
    pub station: Box<str>,
    pub address: SocketAddr,
    pub labels: Vec<Box<str>>,
}

/// The state of the task.
pub struct Core {
    pub agent: Box<str>,
    pub fleet: Fleet,
    pub journal: Journal,
    pub instance_configs: BTreeMap<Box<str>, InstanceConfig>,
    pub events: mpsc::Sender<Event>,
    pub watchers: Vec<mpsc::Sender<Arc<LogEvent>>>,
    /// The timer that the state machine has set.
    pub timer_at: Option<u64>,
    /// State that could not be written to the journal, by instance; retried.
    pub unwritten: BTreeMap<Box<str>, PersistedState>,
    /// Processes that earlier agents started. They are not children of this one, so their exit is polled for.
    pub adopted: BTreeMap<Process, Box<str>>,
}

/// Interval at which the exit of adopted processes is polled for.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between retries of failed writes to the journal.
const JOURNAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const MAX_WATCHERS: usize = 64;
/// Log events queued for one watcher; further ones are dropped.
pub const MAX_QUEUED_LOG_EVENTS: usize = 1_024;

fn exit_from(status: std::process::ExitStatus) -> Exit {
    use std::os::unix::process::ExitStatusExt;
    match (status.code(), status.signal()) {
        (Some(code), _) => Exit::Code(code),
        (_, Some(signal)) => Exit::Signal(signal),
        _ => Exit::Unobserved,
    }
}

impl Core {
    /// Runs until [`Event::Stop`].
    pub async fn run(mut self, first_effects: Vec<Effect>, mut events: mpsc::Receiver<Event>) {
        self.perform(first_effects);
        let mut exit_poll = tokio::time::interval(EXIT_POLL_INTERVAL);
        exit_poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut journal_retry = tokio::time::interval(JOURNAL_RETRY_INTERVAL);
        journal_retry.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wait = self
                .timer_at
                .map_or(Duration::from_secs(60), |at| Duration::from_micros(at.saturating_sub(now()) * 100));
            let mut effects = Vec::new();
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Stop) | None => return,
                    Some(event) => self.on_event(event, &mut effects),
                },
                _ = exit_poll.tick(), if !self.adopted.is_empty() => {
                    let exited: Vec<Process> =
                        self.adopted.keys().copied().filter(|p| !process::is_alive(*p)).collect();
                    for process in exited {
                        if let Some(name) = self.adopted.remove(&process) {
                            self.fleet.on_exited(now(), &name, process, Exit::Unobserved, &mut effects);
                        }
                    }
                }
                _ = journal_retry.tick(), if !self.unwritten.is_empty() => self.retry_journal(),
                () = sleep(wait) => {
                    if self.timer_at.is_some_and(|at| now() >= at) {
                        self.timer_at = None;
                        self.fleet.on_timer(now(), &mut effects);
                    }
                }
            }
            self.perform(effects);
        }
    }

    fn on_event(&mut self, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::ProcessesFound(name, processes) => {
                for (_, process) in &processes {
                    self.adopted.insert(*process, name.clone());
                }
                self.fleet.on_processes_found(now(), &name, &processes, effects);
            }
            Event::Checked(name, run, check) => self.fleet.on_checked(now(), &name, run, check, effects),
            Event::Exited(name, process, exit) => {
                self.adopted.remove(&process);
                self.fleet.on_exited(now(), &name, process, exit, effects);
            }
            Event::Request { request, response } => {
                let answer = self.on_request(request, effects);
                // First, since an order that was accepted must outlive this agent: it is in the journal by then.
                self.perform(std::mem::take(effects));
                let _ = response.send(answer);
            }
            Event::Watch(watcher) => {
                self.watchers.retain(|w| !w.is_closed());
                if self.watchers.len() < MAX_WATCHERS {
                    self.watchers.push(watcher);
                }
            }
            Event::Stop => {}
        }
    }

    fn on_request(&mut self, request: Request, effects: &mut Vec<Effect>) -> Response {
        match request {
            Request::Status => Response::Status(self.status()),
            Request::Plan(order) => self.fleet.plan(&order).map_or_else(Response::Rejected, Response::Plan),
            Request::Order(order) => match tokio::task::block_in_place(|| self.journal.check()) {
                Ok(()) => {
                    if self.unwritten.is_empty() {
                        self.fleet.on_journal_ok();
                    }
                    self.fleet
                        .order(now(), &order, effects)
                        .map_or_else(Response::Rejected, Response::Accepted)
                }
                // The order would be lost if this agent stopped.
                Err(error) => {
                    Response::Rejected(OrderRejection::JournalUnavailable(error.to_string().into()))
                }
            },
            Request::Progress(number) => Response::Progress(self.fleet.progress(number)),
            Request::History => {
                let all: Vec<u64> = self.fleet.orders().rev().collect();
                Response::History(all.into_iter().filter_map(|n| self.fleet.progress(n)).collect())
            }
            Request::Watch => Response::Watching,
        }
    }

    fn status(&self) -> Status {
        let status = |(station, i): (&str, &doorgrade_fleet::instance::Instance)| InstanceStatus {
            name: i.name.clone(),
            station: station.into(),
            labels: self.instance_configs.get(&i.name).map(|c| c.labels.clone()).unwrap_or_default(),
            phase: i.phase,
            phase_since: i.phase_since,
            desired: i.persisted.desired,
            revision: i.persisted.revision,
            changed_by: i.persisted.changed_by.clone(),
            order: i.persisted.order,
            run: i.persisted.run,
            process: i.persisted.process,
            failures: i.persisted.failures,
            quarantined: i.persisted.quarantined,
        };
        let instances = self.fleet.instances().map(status).collect();
        Status { agent: self.agent.clone(), term: self.journal.term, at: now(), instances }
    }

    /// Performs effects in their order, and those that they lead to.
    fn perform(&mut self, mut pending: Vec<Effect>) {
        while !pending.is_empty() {
            let mut effects = Vec::new();
            for effect in pending {
                match effect {
                    Effect::Persist(name, state) => self.persist(name, state, &mut effects),
                    Effect::Start { name, run } => {
                        let started = self.start(&name, run);
                        self.fleet.on_started(now(), &name, run, started, &mut effects);
                    }
                    Effect::FindProcesses { name } => self.find_processes(name),
                    Effect::Check { name, run } => self.check(name, run),
                    Effect::Drain { process, on, .. } => {
                        let signal = if on { Signal::USR1 } else { Signal::USR2 };
                        let _ = process::signal(process, signal);
                    }
                    Effect::Signal { process, kill, .. } => {
                        // If it has exited already, that is reported as an event.
                        let _ = process::signal(process, if kill { Signal::KILL } else { Signal::TERM });
                    }
                    Effect::SetTimer(at) => self.timer_at = Some(at),
                    Effect::Log(event) => self.log(event),
                }
            }
            pending = effects;
        }
    }

    fn persist(&mut self, name: Box<str>, state: PersistedState, effects: &mut Vec<Effect>) {
        match tokio::task::block_in_place(|| self.journal.write(&name, &state)) {
            Ok(()) => {
                self.unwritten.remove(&name);
                if self.unwritten.is_empty() {
                    self.fleet.on_journal_ok();
                }
            }
            Err(error) => {
                tracing::error!("journal: {error}");
                self.fleet.on_journal_error(now(), &name, &error.to_string(), effects);
                self.unwritten.insert(name, state);
            }
        }
    }

    /// Retries failed writes to the journal.
    fn retry_journal(&mut self) {
        let journal = &self.journal;
        let write =
            |name: &str, state: &PersistedState| tokio::task::block_in_place(|| journal.write(name, state));
        self.unwritten.retain(|name, state| write(name, state).is_err());
        if self.unwritten.is_empty() {
            tracing::info!("journal: all pending state is written");
            self.fleet.on_journal_ok();
        }
    }

    fn start(&mut self, name: &str, run: Run) -> Result<Process, Box<str>> {
        let config = self.instance_configs.get(name).ok_or("it is no longer in the settings")?;
        let start_error =
            |e: std::io::Error| -> Box<str> { format!("{}: {e}", config.spec.program.display()).into() };
        let mut child = config.spec.start(&self.agent, run).map_err(start_error)?;
        let id = child.id();
        let (events, name) = (self.events.clone(), Box::<str>::from(name));
        // Read before the child can be waited for: until then its id is not reused.
        let process = Process { id, start_time: process::start_time(id).unwrap_or(0) };
        tokio::task::spawn_blocking(move || {
            let exit = child.wait().map_or(Exit::Unobserved, exit_from);
            let _ = events.blocking_send(Event::Exited(name, process, exit));
        });
        Ok(process)
    }

    fn find_processes(&self, name: Box<str>) {
        let (agent, events) = (self.agent.clone(), self.events.clone());
        tokio::spawn(async move {
            let found = tokio::task::spawn_blocking(move || {
                let found = process::find(&agent).into_iter().filter(|f| f.0 == name);
                let processes = found.map(|(_, run, process)| (run, process)).collect();
                (name, processes)
            });
            if let Ok((name, processes)) = found.await {
                let _ = events.send(Event::ProcessesFound(name, processes)).await;
            }
        });
    }

    fn check(&self, name: Box<str>, run: Run) {
        let Some(address) = self.instance_configs.get(&name).map(|c| c.address) else { return };
        let events = self.events.clone();
        tokio::spawn(async move {
            let check = probe::check(address).await;
            let _ = events.send(Event::Checked(name, run, check)).await;
        });
    }

    /// Logs an event and sends it to the watchers. A watcher whose queue is full misses it.
    fn log(&mut self, event: LogEvent) {
        match &event {
            LogEvent::Quarantined { .. }
            | LogEvent::Halted { .. }
            | LogEvent::BudgetExhausted { .. }
            | LogEvent::UnexpectedProcess { .. } => {
                tracing::warn!("{event}")
            }
            LogEvent::JournalFailed { .. } | LogEvent::NotStarted { .. } => tracing::error!("{event}"),
            _ => tracing::info!("{event}"),
        }
        let event = Arc::new(event);
        self.watchers
            .retain(|w| !matches!(w.try_send(event.clone()), Err(mpsc::error::TrySendError::Closed(_))));
    }
}
