//! The one task that owns the machine and the journal.

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

use crate::ask::{Answer, Ask, Row, Status};
use crate::journal::Journal;
use crate::probe;
use crate::process::{self, Spec};

pub enum Event {
    Found(Box<str>, Vec<(Run, Process)>),
    Checked(Box<str>, Run, Check),
    Exited(Box<str>, Process, Exit),
    Asked { ask: Ask, answer: oneshot::Sender<Answer> },
    Watch(mpsc::Sender<Arc<LogEvent>>),
    Stop,
}

/// What the shell knows of an instance besides what the machine does.
pub struct Place {
    pub spec: Spec,
    pub station: Box<str>,
    pub at: SocketAddr,
    pub labels: Vec<Box<str>>,
}

pub struct Core {
    pub agent: Box<str>,
    pub fleet: Fleet,
    pub journal: Journal,
    pub places: BTreeMap<Box<str>, Place>,
    pub events: mpsc::Sender<Event>,
    pub watchers: Vec<mpsc::Sender<Arc<LogEvent>>>,
    pub wake: Option<u64>,
    /// What the journal did not take, by instance: it is owed, and tried again.
    pub unkept: BTreeMap<Box<str>, PersistedState>,
    /// Not children of this agent: their ends are looked for.
    pub adopted: BTreeMap<Process, Box<str>>,
}

/// How often the ends of processes are looked for that are not this agent's children.
const LOOK_EACH: Duration = Duration::from_millis(200);
/// How often what the journal did not take is tried again.
const KEEP_EACH: Duration = Duration::from_millis(500);
const MOST_WATCHERS: usize = 64;
pub const MOST_LINES: usize = 1_024;

fn exit_of(status: std::process::ExitStatus) -> Exit {
    use std::os::unix::process::ExitStatusExt;
    match (status.code(), status.signal()) {
        (Some(code), _) => Exit::Code(code),
        (_, Some(signal)) => Exit::Signal(signal),
        _ => Exit::Unobserved,
    }
}

impl Core {
    pub async fn run(mut self, first: Vec<Effect>, mut events: mpsc::Receiver<Event>) {
        self.perform(first);
        let mut look = tokio::time::interval(LOOK_EACH);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut keep = tokio::time::interval(KEEP_EACH);
        keep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wait = self
                .wake
                .map_or(Duration::from_secs(60), |at| Duration::from_micros(at.saturating_sub(now()) * 100));
            let mut out = Vec::new();
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Stop) | None => return,
                    Some(event) => self.take(event, &mut out),
                },
                _ = look.tick(), if !self.adopted.is_empty() => {
                    let gone: Vec<Process> = self.adopted.keys().copied().filter(|p| !process::lives(*p)).collect();
                    for process in gone {
                        if let Some(name) = self.adopted.remove(&process) {
                            self.fleet.on_exited(now(), &name, process, Exit::Unobserved, &mut out);
                        }
                    }
                }
                _ = keep.tick(), if !self.unkept.is_empty() => self.keep_again(),
                () = sleep(wait) => {
                    if self.wake.is_some_and(|at| now() >= at) {
                        self.wake = None;
                        self.fleet.on_timer(now(), &mut out);
                    }
                }
            }
            self.perform(out);
        }
    }

    fn take(&mut self, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Found(name, processes) => {
                for (_, process) in &processes {
                    self.adopted.insert(*process, name.clone());
                }
                self.fleet.on_processes_found(now(), &name, &processes, out);
            }
            Event::Checked(name, run, check) => self.fleet.on_checked(now(), &name, run, check, out),
            Event::Exited(name, process, exit) => {
                self.adopted.remove(&process);
                self.fleet.on_exited(now(), &name, process, exit, out);
            }
            Event::Asked { ask, answer } => {
                let _ = answer.send(self.answer(ask, out));
            }
            Event::Watch(to) => {
                self.watchers.retain(|w| !w.is_closed());
                if self.watchers.len() < MOST_WATCHERS {
                    self.watchers.push(to);
                }
            }
            Event::Stop => {}
        }
    }

    fn answer(&mut self, ask: Ask, out: &mut Vec<Effect>) -> Answer {
        match ask {
            Ask::Status => Answer::Status(self.status()),
            Ask::Plan(order) => self.fleet.plan(&order).map_or_else(Answer::Refused, Answer::Plan),
            Ask::Order(order) => match tokio::task::block_in_place(|| self.journal.check()) {
                Ok(()) => {
                    if self.unkept.is_empty() {
                        self.fleet.on_journal_ok();
                    }
                    self.fleet.order(now(), &order, out).map_or_else(Answer::Refused, Answer::Ordered)
                }
                // Taken on, it would be lost with this agent.
                Err(trouble) => {
                    Answer::Refused(OrderRejection::JournalUnavailable(trouble.to_string().into()))
                }
            },
            Ask::Progress(number) => Answer::Progress(self.fleet.progress(number)),
            Ask::History => {
                let all: Vec<u64> = self.fleet.orders().rev().collect();
                Answer::History(all.into_iter().filter_map(|n| self.fleet.progress(n)).collect())
            }
            Ask::Watch => Answer::Watching,
        }
    }

    fn status(&self) -> Status {
        let row = |(station, i): (&str, &doorgrade_fleet::instance::Instance)| Row {
            name: i.name.clone(),
            station: station.into(),
            labels: self.places.get(&i.name).map(|p| p.labels.clone()).unwrap_or_default(),
            phase: i.phase,
            since: i.phase_since,
            want: i.persisted.desired,
            revision: i.persisted.revision,
            by: i.persisted.changed_by.clone(),
            order: i.persisted.order,
            run: i.persisted.run,
            process: i.persisted.process,
            failures: i.persisted.failures,
            set_aside: i.persisted.quarantined,
        };
        let rows = self.fleet.instances().map(row).collect();
        Status { agent: self.agent.clone(), term: self.journal.term, at: now(), rows }
    }

    /// Does what the machine asks for, in its order, and what that leads to.
    fn perform(&mut self, mut todo: Vec<Effect>) {
        while !todo.is_empty() {
            let mut out = Vec::new();
            for each in todo {
                match each {
                    Effect::Persist(name, kept) => self.keep(name, kept, &mut out),
                    Effect::Start { name, run } => {
                        let made = self.start(&name, run);
                        self.fleet.on_started(now(), &name, run, made, &mut out);
                    }
                    Effect::FindProcesses { name } => self.look(name),
                    Effect::Check { name, run } => self.check(name, run),
                    Effect::Drain { process, on, .. } => {
                        let signal = if on { Signal::USR1 } else { Signal::USR2 };
                        let _ = process::signal(process, signal);
                    }
                    Effect::Signal { process, kill, .. } => {
                        // One that is gone is told of as an end.
                        let _ = process::signal(process, if kill { Signal::KILL } else { Signal::TERM });
                    }
                    Effect::SetTimer(at) => self.wake = Some(at),
                    Effect::Log(line) => self.tell(line),
                }
            }
            todo = out;
        }
    }

    fn keep(&mut self, name: Box<str>, kept: PersistedState, out: &mut Vec<Effect>) {
        match tokio::task::block_in_place(|| self.journal.keep(&name, &kept)) {
            Ok(()) => {
                self.unkept.remove(&name);
                if self.unkept.is_empty() {
                    self.fleet.on_journal_ok();
                }
            }
            Err(trouble) => {
                tracing::error!("journal: {trouble}");
                self.fleet.on_journal_error(now(), &name, &trouble.to_string(), out);
                self.unkept.insert(name, kept);
            }
        }
    }

    fn keep_again(&mut self) {
        let journal = &self.journal;
        let keep =
            |name: &str, kept: &PersistedState| tokio::task::block_in_place(|| journal.keep(name, kept));
        self.unkept.retain(|name, kept| keep(name, kept).is_err());
        if self.unkept.is_empty() {
            tracing::info!("journal: all that was owed is kept");
            self.fleet.on_journal_ok();
        }
    }

    fn start(&mut self, name: &str, run: Run) -> Result<Process, Box<str>> {
        let place = self.places.get(name).ok_or("it is in the settings no more")?;
        let why = |e: std::io::Error| -> Box<str> { format!("{}: {e}", place.spec.program.display()).into() };
        let mut child = place.spec.start(&self.agent, run).map_err(why)?;
        let id = child.id();
        let (events, name) = (self.events.clone(), Box::<str>::from(name));
        // Read before it can be waited for: until then its id is its own.
        let process = Process { id, start_time: process::born(id).unwrap_or(0) };
        tokio::task::spawn_blocking(move || {
            let exit = child.wait().map_or(Exit::Unobserved, exit_of);
            let _ = events.blocking_send(Event::Exited(name, process, exit));
        });
        Ok(process)
    }

    fn look(&self, name: Box<str>) {
        let (agent, events) = (self.agent.clone(), self.events.clone());
        tokio::spawn(async move {
            let found = tokio::task::spawn_blocking(move || {
                let of = process::find(&agent).into_iter().filter(|f| f.0 == name);
                let of = of.map(|(_, run, process)| (run, process)).collect();
                (name, of)
            });
            if let Ok((name, of)) = found.await {
                let _ = events.send(Event::Found(name, of)).await;
            }
        });
    }

    fn check(&self, name: Box<str>, run: Run) {
        let Some(at) = self.places.get(&name).map(|p| p.at) else { return };
        let events = self.events.clone();
        tokio::spawn(async move {
            let check = probe::check(at).await;
            let _ = events.send(Event::Checked(name, run, check)).await;
        });
    }

    fn tell(&mut self, line: LogEvent) {
        match &line {
            LogEvent::Quarantined { .. }
            | LogEvent::Halted { .. }
            | LogEvent::BudgetExhausted { .. }
            | LogEvent::UnexpectedProcess { .. } => {
                tracing::warn!("{line}")
            }
            LogEvent::JournalFailed { .. } | LogEvent::NotStarted { .. } => tracing::error!("{line}"),
            _ => tracing::info!("{line}"),
        }
        let line = Arc::new(line);
        self.watchers
            .retain(|w| !matches!(w.try_send(line.clone()), Err(mpsc::error::TrySendError::Closed(_))));
    }
}
